"""Rate limits that upstreams state for all daemons together.

An upstream in need states how many requests per second it takes. Each daemon
keeps to its share of that rate without messages, so that lost messages can't
make the daemons exceed it together.
"""

import math

import attrs

BURST_S = 0.5
"""Time for which unused requests are kept for later."""

MIN_BURST = 1.5
"""Requests that may be kept at least: one, and what is earned until it is
sent."""

STATEMENT_TTL_S = 30.0
"""Time after which a limit that was not stated again is forgotten. A daemon
whose share is too small for any request would otherwise never learn that the
limit has ended."""


@attrs.define(kw_only=True)
class StatedLimit:
    """Token bucket for one daemon's share of a limit.

    Parameters
    ----------
    rate_per_s
        Requests per second that the upstream takes from all daemons.
    stated_at
        Monotonic time in seconds of the last response that stated it.
    """

    rate_per_s: float
    stated_at: float
    _tokens: float = 0.0
    _updated_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._updated_at = self.stated_at

    def restate(self, rate_per_s: float, now: float, *, share: float) -> None:
        """Apply a further statement; requests already earned are kept."""
        self._refill(now, share)
        self.rate_per_s = rate_per_s
        self.stated_at = now

    def is_expired(self, now: float) -> bool:
        """Return whether the limit was not stated for too long."""
        return now - self.stated_at > STATEMENT_TTL_S

    def wait_s(self, now: float, *, share: float) -> float:
        """Return the seconds until the next request may be sent.

        Parameters
        ----------
        share
            This daemon's share of the rate, from 0 to 1.
        """
        self._refill(now, share)
        if self._tokens >= 1.0:
            return 0.0
        rate = self.rate_per_s * share
        if rate <= 0.0:
            return math.inf
        return (1.0 - self._tokens) / rate

    def count_allowed(
        self, now: float, seconds: float, *, share: float
    ) -> int:
        """Return how many requests may be sent within a time from now."""
        self._refill(now, share)
        return max(0, int(self._tokens + self.rate_per_s * share * seconds))

    def spend(self) -> None:
        """Count a request that is sent."""
        self._tokens -= 1.0

    def _refill(self, now: float, share: float) -> None:
        rate = self.rate_per_s * share
        burst = max(MIN_BURST, rate * BURST_S)
        earned = self._tokens + rate * (now - self._updated_at)
        self._tokens = min(burst, earned)
        self._updated_at = now
