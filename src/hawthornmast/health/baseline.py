"""Baseline latency of each entry, pooled over all upstreams."""

import collections
import statistics

SLOW_FACTOR = 5.0
MIN_SLOW_LIMIT_S = 0.05

_WINDOW_SAMPLES = 63
_MIN_SAMPLES = 8
_REFRESH_SAMPLES = 16


class LatencyBaseline:
    """Median latency of the most recent requests of each entry.

    The median over all upstreams shifts only when most requests are slow, so
    a single slow upstream does not raise its own limit.
    """

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}
        self._limits: dict[str, float] = {}
        self._samples_since_refresh: collections.Counter[str] = (
            collections.Counter()
        )

    def add(self, entry_name: str, latency: float) -> None:
        """Record the latency of a complete response."""
        samples = self._samples.get(entry_name)
        if samples is None:
            samples = collections.deque(maxlen=_WINDOW_SAMPLES)
            self._samples[entry_name] = samples
        samples.append(latency)
        self._samples_since_refresh[entry_name] += 1
        if len(samples) < _MIN_SAMPLES:
            return
        if entry_name in self._limits and (
            self._samples_since_refresh[entry_name] < _REFRESH_SAMPLES
        ):
            return
        self._samples_since_refresh[entry_name] = 0
        median = statistics.median(samples)
        self._limits[entry_name] = max(MIN_SLOW_LIMIT_S, SLOW_FACTOR * median)

    def get_limit(self, entry_name: str) -> float:
        """Return the latency above which a request counts as slow."""
        return self._limits.get(entry_name, float("inf"))
