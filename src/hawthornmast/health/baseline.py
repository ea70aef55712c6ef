"""Usual latency of each entry, pooled over all upstreams."""

import collections
import statistics

SLOW_FACTOR = 5.0
SLOW_LEAST_S = 0.05

_WINDOW = 63
_FEWEST = 8
_REFRESH = 16


class LatencyBaseline:
    """Median latency of the latest requests of each entry.

    The median over all upstreams moves only when most of the requests are
    slow, so an upstream that is slow alone does not shift its own limit.
    """

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}
        self._limits: dict[str, float] = {}
        self._pending: collections.Counter[str] = collections.Counter()

    def add(self, entry_name: str, latency: float) -> None:
        """Record the latency of a complete response."""
        samples = self._samples.get(entry_name)
        if samples is None:
            samples = collections.deque(maxlen=_WINDOW)
            self._samples[entry_name] = samples
        samples.append(latency)
        self._pending[entry_name] += 1
        if len(samples) < _FEWEST:
            return
        if entry_name in self._limits and (
            self._pending[entry_name] < _REFRESH
        ):
            return
        self._pending[entry_name] = 0
        median = statistics.median(samples)
        self._limits[entry_name] = max(SLOW_LEAST_S, SLOW_FACTOR * median)

    def get_limit(self, entry_name: str) -> float:
        """Return the latency above which a request is slow."""
        return self._limits.get(entry_name, float("inf"))
