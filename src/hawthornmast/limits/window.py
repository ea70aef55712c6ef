"""A retry budget that all daemons of a fleet keep together.

The owner of a service allows a number of retries per request within any span
of a given length, plus a fixed number. Requests are counted by the daemon
that received them, so each may spend the ratio of its own ones without
asking. The fixed number is divided among those who forward most of them.
"""

from collections import deque
from collections.abc import Callable

BUCKET_S = 0.5

SAFETY = 0.8
"""Part of the ratio that is spent; the rest covers requests that arrive in
the window before the retry that they allowed."""


class WindowBudget:
    """Retries allowed in a sliding window.

    Parameters
    ----------
    ratio
        Retries allowed per request, from 0 to 1.
    slack
        Retries allowed besides in any window; may be set anew.
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
        # Start of the bucket, requests and retries in it.
        self._buckets: deque[list[float]] = deque()
        self._requests = 0.0
        self._retries = 0.0

    def count_request(self) -> None:
        """Count a request of a client."""
        self._bucket()[1] += 1
        self._requests += 1

    def remaining(self) -> float:
        """Return the retries that may be spent now."""
        self._bucket()
        return self._allowed() - self._retries

    def share(self) -> float:
        """Return the part of the budget that is left, from 0 to 1."""
        left = self.remaining()
        allowed = self._allowed()
        return max(0.0, left / allowed) if allowed > 0.0 else 0.0

    def take(self) -> bool:
        """Spend one retry; False when the budget is spent."""
        if self.remaining() < 1.0:
            return False
        self._bucket()[2] += 1
        self._retries += 1
        return True

    def _allowed(self) -> float:
        return self._ratio * SAFETY * self._requests + self.slack

    def _bucket(self) -> list[float]:
        now = self._clock()
        buckets = self._buckets
        # A bucket leaves the window when its last moment does.
        while buckets and buckets[0][0] + BUCKET_S <= now - self._window_s:
            _, requests, retries = buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        if not buckets or now - buckets[-1][0] >= BUCKET_S:
            buckets.append([now, 0.0, 0.0])
        return buckets[-1]
