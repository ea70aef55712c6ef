"""Sequential test (CUSUM) for a raised failure rate of one upstream."""

import math

import attrs

HEALTHY_FAILURE_RATE = 0.01
FAILING_FAILURE_RATE = 0.5
"""Failure rate of a failing upstream, the alternative hypothesis of the
test."""

LOW_THRESHOLD = 19.0
"""Log-likelihood ratio (natural logarithm, like all levels and thresholds
here) from which a run of some duration justifies an ejection. Five consecutive
failures reach 19.6 if the healthy failure rate is ``HEALTHY_FAILURE_RATE``."""

LOW_THRESHOLD_MIN_RUN_S = 1.0
"""Minimum duration of a run, from its first failure, for an ejection at the
low threshold."""

AVOID_THRESHOLD = 6.0
"""Level of this daemon's own requests at which it avoids an upstream. Reached
by two failures with at most two successes between them."""

HIGH_THRESHOLD = 23.0
"""Log-likelihood ratio that justifies an ejection without a minimum duration
of the run, unless only one owner observes failures. A false alarm rate of
exp(-23) = 1e-10 per request keeps wrong ejections below one in 10,000 hours at
up to 270 requests per second."""

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

_FAILURE_STEP = math.log(FAILING_FAILURE_RATE / HEALTHY_FAILURE_RATE)
_SUCCESS_STEP = math.log(
    (1 - FAILING_FAILURE_RATE) / (1 - HEALTHY_FAILURE_RATE)
)


def compute_log_likelihood_ratio(
    failed: int, ok: int, healthy_rate: float
) -> float:
    """Return the log-likelihood ratio of failing against healthy."""
    if healthy_rate >= FAILING_FAILURE_RATE:
        return 0.0
    return failed * math.log(
        FAILING_FAILURE_RATE / healthy_rate
    ) + ok * math.log((1 - FAILING_FAILURE_RATE) / (1 - healthy_rate))


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
class Cusum:
    """State of the sequential test of one upstream, pooled over the owners.

    A run starts with the first failure and ends when the level returns to 0.
    The level assumes ``HEALTHY_FAILURE_RATE``; an ejection also requires the
    log-likelihood ratio against the failure rate of the other upstreams.
    """

    total: int = 0
    failures: int = 0
    level: float = 0.0
    run_ok: int = 0
    run_failed: int = 0
    run_started: float = 0.0
    sources: dict[str, list[int]] = attrs.field(factory=dict)
    """Recent failures and successes of the run, in this order, by owner."""

    others_at_start: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    """Total results and failures of each other upstream at the start of the
    run."""

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
        self.others_at_start.clear()

    def start_trial(self, now: float) -> None:
        """Start a run in which one early failure suffices for an ejection."""
        self.reset()
        self.run_started = now
        self.run_failed = _TRIAL_INITIAL_FAILURES
        self.level = _TRIAL_INITIAL_FAILURES * _FAILURE_STEP

    def is_contradicted(self) -> bool:
        """Return whether the results of any owner contradict the failures.

        An owner contradicts them if its successes are at least
        ``_CONTRADICTING_RATIO`` times its failures. One success of an owner
        without failures is enough while fewer than two owners have observed
        two failures each. Otherwise at least ``_CONTRADICTING_RATIO``
        successes are required, because a few may predate the fault.
        """
        failing = sum(failed >= 2 for failed, _ in self.sources.values())
        min_successes = _CONTRADICTING_RATIO if failing >= 2 else 1
        return any(
            ok >= max(min_successes, _CONTRADICTING_RATIO * failed)
            for failed, ok in self.sources.values()
        )

    def decay_sources(self) -> None:
        """Halve the counts of each owner, so that recent results dominate."""
        for counts in self.sources.values():
            if sum(counts) >= _DECAY_MIN_RESULTS:
                counts[0] //= 2
                counts[1] //= 2

    def is_failing(self, now: float, healthy_rate: float, owners: int) -> bool:
        """Return whether the run justifies an ejection."""
        if (
            self.level < LOW_THRESHOLD
            or not self.sources
            or self.is_contradicted()
        ):
            return False
        lasted = now - self.run_started
        ratio = compute_log_likelihood_ratio(
            self.run_failed, self.run_ok, healthy_rate
        )
        if owners > 1 and len(self.sources) < 2:
            return (
                ratio >= HIGH_THRESHOLD and lasted >= SINGLE_SOURCE_MIN_RUN_S
            )
        return ratio >= HIGH_THRESHOLD or (
            ratio >= LOW_THRESHOLD and lasted >= LOW_THRESHOLD_MIN_RUN_S
        )
