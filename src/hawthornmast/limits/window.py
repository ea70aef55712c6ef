"""Retry budget of a fleet over a sliding window.

In any window of a given length, the owner of a service allows a ratio of
retries to requests plus a fixed number of retries. Each request is counted
only by the daemon that received it, so each daemon may spend the ratio of its
own requests without coordination. The fixed number is divided among the
daemons that forward most requests.
"""

from collections import deque
from collections.abc import Callable

BUCKET_S = 0.5

RATIO_SAFETY_FACTOR = 0.8
"""Fraction of the ratio that is spent. A retry is allowed by the requests of
the window that ends with it, but a later window may contain the retry without
those requests; the unspent fraction covers this difference."""


class FleetRetryBudget:
    """Limits the retries of one service in a sliding window.

    The gateway uses it; a daemon limits the retries of each entry with
    ``RetryBudget`` instead.

    Parameters
    ----------
    ratio
        Retries allowed per request, from 0 to 1.
    slack
        Additional retries allowed in any window; may be changed later.
    window_s
        Length of the window in seconds.
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        clock: Callable[[], float],
    ) -> None:
        if ratio < 0.0 or slack < 0.0 or window_s <= 0.0:
            raise ValueError(
                f"ratio {ratio} and slack {slack} must be 0 or more,"
                f" window_s {window_s} above 0"
            )
        self._ratio = ratio
        self.slack = slack
        self._window_s = window_s
        self._clock = clock
        # Start time, requests and retries of each bucket.
        self._buckets: deque[list[float]] = deque()
        self._requests = 0.0
        self._retries = 0.0

    def count_request(self) -> None:
        """Count a client request."""
        self._current_bucket()[1] += 1
        self._requests += 1

    def remaining(self) -> float:
        """Return the retries that may be spent now."""
        self._current_bucket()
        return self._allowed() - self._retries

    def remaining_fraction(self) -> float:
        """Return the fraction of the budget that is left, from 0 to 1."""
        left = self.remaining()
        allowed = self._allowed()
        return max(0.0, left / allowed) if allowed > 0.0 else 0.0

    def take(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self.remaining() < 1.0:
            return False
        self._current_bucket()[2] += 1
        self._retries += 1
        return True

    def _allowed(self) -> float:
        return self._ratio * RATIO_SAFETY_FACTOR * self._requests + self.slack

    def _current_bucket(self) -> list[float]:
        now = self._clock()
        buckets = self._buckets
        # A bucket is dropped only once its end is outside the window.
        while buckets and buckets[0][0] + BUCKET_S <= now - self._window_s:
            _, requests, retries = buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        if not buckets or now - buckets[-1][0] >= BUCKET_S:
            buckets.append([now, 0.0, 0.0])
        return buckets[-1]
