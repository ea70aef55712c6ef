"""Sequential test (CUSUM) of one upstream against the others."""

import math

import attrs

P_HEALTHY = 0.01
P_FAILED = 0.5

LOW = 19.0
"""Five failures in a row at the healthy rate exceed it (19.6)."""

LOW_RUN_S = 1.0
AVOID = 6.0
"""Two own failures with at most two successes between them."""

HIGH = 23.0
"""exp(-23) per request keeps wrong ejections below one in 10,000 hours."""

SINGLE_SOURCE_S = 0.8
"""Failures that one owner alone sees need this long and the high threshold,
so that the evidence of the others, sent every 250 ms, can arrive first."""

_HEAD_START = 5
_CONTRADICTING = 3
"""Successes for each failure at which an upstream works for an owner."""

_DECAY_FROM = 8
_MOST = HIGH + 10
"""Caps the level, so that a recovered upstream is cleared soon."""
_FAIL_STEP = math.log(P_FAILED / P_HEALTHY)
_OK_STEP = math.log((1 - P_FAILED) / (1 - P_HEALTHY))


def compute_score(failed: int, ok: int, p_healthy: float) -> float:
    """Return the log-likelihood ratio of failed against healthy."""
    if p_healthy >= P_FAILED:
        return 0.0
    return failed * math.log(P_FAILED / p_healthy) + ok * math.log(
        (1 - P_FAILED) / (1 - p_healthy)
    )


def bound_rate(failed: int, total: int) -> float:
    """Return a cautious estimate of the rate at which others fail.

    Two standard deviations are subtracted, so that one chance failure among
    few requests of the others does not hide a failing upstream.
    """
    if not total:
        return P_HEALTHY
    return max(P_HEALTHY, (failed - 2 * math.sqrt(failed)) / total)


def step_level(level: float, *, failed: bool) -> float:
    """Return the level of a sequential test after one request."""
    if failed:
        return min(_MOST, level + _FAIL_STEP)
    return max(0.0, level + _OK_STEP)


@attrs.define(kw_only=True)
class Score:
    """Evidence about one upstream, pooled over the owners.

    A run starts with the first failure and ends when the successes since
    then outweigh the failures.
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
        """Record successes seen by one owner."""
        self.total += count
        if self.level <= 0.0:
            return
        self.run_ok += count
        self.sources.setdefault(source, [0, 0])[1] += count
        self.level += count * _OK_STEP
        if self.level <= 0.0:
            self.reset()

    def add_failed(self, source: str, now: float, count: int = 1) -> None:
        """Record failures seen by one owner."""
        self.total += count
        self.failures += count
        if self.level <= 0.0:
            self.run_started = now
        self.run_failed += count
        self.sources.setdefault(source, [0, 0])[0] += count
        self.level = min(_MOST, self.level + count * _FAIL_STEP)

    def reset(self) -> None:
        """End the run."""
        self.level = 0.0
        self.run_ok = 0
        self.run_failed = 0
        self.sources.clear()
        self.others.clear()

    def start_trial(self, now: float) -> None:
        """Start a run so that one early failure suffices."""
        self.reset()
        self.run_started = now
        self.run_failed = _HEAD_START
        self.level = _HEAD_START * _FAIL_STEP

    def works_for_some(self) -> bool:
        """Tell whether an owner's own evidence contradicts the failures.

        A few successes may be older than the fault. They count only as long
        as no second owner sees failures.
        """
        failing = sum(failed >= 2 for failed, _ in self.sources.values())
        fewest = _CONTRADICTING if failing >= 2 else 1
        return any(
            ok >= max(fewest, _CONTRADICTING * failed)
            for failed, ok in self.sources.values()
        )

    def decay_sources(self) -> None:
        """Let recent evidence of each owner outweigh old evidence."""
        for counts in self.sources.values():
            if sum(counts) >= _DECAY_FROM:
                counts[0] //= 2
                counts[1] //= 2

    def is_sick(self, now: float, p_healthy: float, owners: int) -> bool:
        """Tell whether the run justifies an ejection."""
        if self.level < LOW or not self.sources or self.works_for_some():
            return False
        lasted = now - self.run_started
        score = compute_score(self.run_failed, self.run_ok, p_healthy)
        if owners > 1 and len(self.sources) < 2:
            return score >= HIGH and lasted >= SINGLE_SOURCE_S
        return score >= HIGH or (score >= LOW and lasted >= LOW_RUN_S)
