"""Sequential test (CUSUM) for a raised failure rate of one upstream."""

import math

import attrs

HEALTHY_FAILURE_RATE = 0.01
FAILED_FAILURE_RATE = 0.5

LOW_THRESHOLD = 19.0
"""Five consecutive failures against the healthy rate exceed it (19.6)."""

LOW_THRESHOLD_MIN_RUN_S = 1.0
AVOID_THRESHOLD = 6.0
"""Reached by two failures of this daemon's own requests with at most two
successes between them."""

HIGH_THRESHOLD = 23.0
"""A false alarm rate of exp(-23) per request keeps wrong ejections below one
in 10,000 hours."""

SINGLE_SOURCE_MIN_RUN_S = 0.8
"""Minimum duration of failures that only one owner observes; they must also
reach the high threshold. Reports of the other owners, sent every 250 ms, can
then arrive before an ejection."""

_TRIAL_INITIAL_FAILURES = 5
_CONTRADICTING_RATIO = 3
"""Ratio of successes to failures of one owner that contradicts a failure of
the upstream."""

_DECAY_MIN_RESULTS = 8
_MAX_LEVEL = HIGH_THRESHOLD + 10
"""Upper limit of the level, so that a recovered upstream is cleared soon."""

_FAILURE_STEP = math.log(FAILED_FAILURE_RATE / HEALTHY_FAILURE_RATE)
_SUCCESS_STEP = math.log(
    (1 - FAILED_FAILURE_RATE) / (1 - HEALTHY_FAILURE_RATE)
)


def compute_score(failed: int, ok: int, healthy_rate: float) -> float:
    """Return the log-likelihood ratio of the failed and healthy hypotheses."""
    if healthy_rate >= FAILED_FAILURE_RATE:
        return 0.0
    return failed * math.log(
        FAILED_FAILURE_RATE / healthy_rate
    ) + ok * math.log((1 - FAILED_FAILURE_RATE) / (1 - healthy_rate))


def bound_failure_rate(failed: int, total: int) -> float:
    """Return a lower confidence bound of a failure rate.

    Two standard deviations are subtracted, so that a single random failure
    among few requests to the other upstreams does not mask a failing one.
    """
    if not total:
        return HEALTHY_FAILURE_RATE
    return max(HEALTHY_FAILURE_RATE, (failed - 2 * math.sqrt(failed)) / total)


def step_level(level: float, *, failed: bool) -> float:
    """Return the level of the sequential test after one request."""
    if failed:
        return min(_MAX_LEVEL, level + _FAILURE_STEP)
    return max(0.0, level + _SUCCESS_STEP)


@attrs.define(kw_only=True)
class Score:
    """Sequential test of one upstream, pooled over the owners.

    A run starts with the first failure and ends when the level returns to 0.
    """

    total: int = 0
    failures: int = 0
    level: float = 0.0
    run_ok: int = 0
    run_failed: int = 0
    run_started: float = 0.0
    sources: dict[str, list[int]] = attrs.field(factory=dict)
    others: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def add_ok(self, source: str, count: int = 1) -> None:
        """Record successes observed by one owner."""
        self.total += count
        if self.level <= 0.0:
            return
        self.run_ok += count
        self.sources.setdefault(source, [0, 0])[1] += count
        self.level += count * _SUCCESS_STEP
        if self.level <= 0.0:
            self.reset()

    def add_failed(self, source: str, now: float, count: int = 1) -> None:
        """Record failures observed by one owner."""
        self.total += count
        self.failures += count
        if self.level <= 0.0:
            self.run_started = now
        self.run_failed += count
        self.sources.setdefault(source, [0, 0])[0] += count
        self.level = min(_MAX_LEVEL, self.level + count * _FAILURE_STEP)

    def reset(self) -> None:
        """End the run."""
        self.level = 0.0
        self.run_ok = 0
        self.run_failed = 0
        self.sources.clear()
        self.others.clear()

    def start_trial(self, now: float) -> None:
        """Start a run in which one early failure suffices for an ejection."""
        self.reset()
        self.run_started = now
        self.run_failed = _TRIAL_INITIAL_FAILURES
        self.level = _TRIAL_INITIAL_FAILURES * _FAILURE_STEP

    def is_contradicted(self) -> bool:
        """Return whether the results of any owner contradict the failures.

        A few successes may predate the fault, so they suffice only while
        fewer than two owners observe repeated failures.
        """
        failing = sum(failed >= 2 for failed, _ in self.sources.values())
        fewest = _CONTRADICTING_RATIO if failing >= 2 else 1
        return any(
            ok >= max(fewest, _CONTRADICTING_RATIO * failed)
            for failed, ok in self.sources.values()
        )

    def decay_sources(self) -> None:
        """Halve the counts of each owner, so that recent results dominate."""
        for counts in self.sources.values():
            if sum(counts) >= _DECAY_MIN_RESULTS:
                counts[0] //= 2
                counts[1] //= 2

    def is_sick(self, now: float, healthy_rate: float, owners: int) -> bool:
        """Return whether the run justifies an ejection."""
        if (
            self.level < LOW_THRESHOLD
            or not self.sources
            or self.is_contradicted()
        ):
            return False
        lasted = now - self.run_started
        score = compute_score(self.run_failed, self.run_ok, healthy_rate)
        if owners > 1 and len(self.sources) < 2:
            return (
                score >= HIGH_THRESHOLD and lasted >= SINGLE_SOURCE_MIN_RUN_S
            )
        return score >= HIGH_THRESHOLD or (
            score >= LOW_THRESHOLD and lasted >= LOW_THRESHOLD_MIN_RUN_S
        )
