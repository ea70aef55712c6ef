"""Demand for an allowance, as one member measures it."""

from collections import deque
import math

BUCKET_S = 0.1
"""Resolution of the measurement in seconds."""

SHORT_WINDOW_S = 0.3
WINDOW_S = 1.0
LONG_WINDOW_S = 4.0
"""Times in seconds over which demand is measured: the shortest that has enough
requests, so that a change is noticed soon and a low rate isn't overestimated
after a single request."""

MIN_COUNT = 9
"""Requests that are enough for a window."""

SILENT_INTERVALS = 5.0
"""Mean intervals between requests after which demand counts as ended."""

MIN_SILENCE_S = 0.2
MAX_SILENCE_S = 1.0
"""Limits of that time in seconds."""


class DemandMeter:
    """Counts requests, admitted or not, in sliding windows."""

    def __init__(self) -> None:
        # Number and count of each bucket with requests, oldest first.
        self._buckets: deque[list[int]] = deque()
        self._last_at = -math.inf

    def count(self, now: float) -> None:
        """Count a request."""
        bucket = int(now / BUCKET_S)
        self._last_at = now
        if self._buckets and self._buckets[-1][0] == bucket:
            self._buckets[-1][1] += 1
            return
        self._buckets.append([bucket, 1])
        self._drop_old(now)

    def is_empty(self, now: float) -> bool:
        """Return whether there was no request in the longest window."""
        self._drop_old(now)
        return not self._buckets

    def estimate_lower(self, now: float) -> float:
        """Return requests per second, rather too few while it changes."""
        short, usual, long = self._sum(now)
        if self._is_silent(now, long):
            return 0.0
        if usual < MIN_COUNT:
            return long / LONG_WINDOW_S
        return min(usual / WINDOW_S, short / SHORT_WINDOW_S)

    def estimate_upper(self, now: float) -> float:
        """Return requests per second, rather too many.

        It includes one standard deviation of a Poisson process.
        """
        short, usual, long = self._sum(now)
        if self._is_silent(now, long):
            return 0.0
        if usual < MIN_COUNT:
            return _add_deviation(long) / LONG_WINDOW_S
        upper_short = _add_deviation(short) / SHORT_WINDOW_S
        if short < MIN_COUNT and upper_short >= usual / WINDOW_S / 2:
            return _add_deviation(usual) / WINDOW_S
        # It has risen, or has fallen by more than half.
        return upper_short

    def _is_silent(self, now: float, long: int) -> bool:
        # A single request has no interval.
        usual_s = SILENT_INTERVALS * LONG_WINDOW_S / long if long > 1 else 0.0
        limit_s = min(MAX_SILENCE_S, max(MIN_SILENCE_S, usual_s))
        return now - self._last_at > limit_s

    def _sum(self, now: float) -> tuple[int, int, int]:
        self._drop_old(now)
        first_short = int((now - SHORT_WINDOW_S) / BUCKET_S)
        first_usual = int((now - WINDOW_S) / BUCKET_S)
        short = usual = long = 0
        for bucket, count in self._buckets:
            long += count
            if bucket > first_usual:
                usual += count
            if bucket > first_short:
                short += count
        return short, usual, long

    def _drop_old(self, now: float) -> None:
        first = int((now - LONG_WINDOW_S) / BUCKET_S)
        while self._buckets and self._buckets[0][0] <= first:
            self._buckets.popleft()


def _add_deviation(count: int) -> float:
    return count + math.sqrt(count)
