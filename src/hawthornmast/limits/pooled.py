"""State of one upstream in a shared pool."""

import math

import attrs

from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health.belief import Belief
from hawthornmast.limits.coverage import RECOVERY_S
from hawthornmast.limits.rate import StatedLimit
from hawthornmast.limits.statements import StatedState

INITIAL_BACKOFF_S = 1.5
"""Backoff after a failed connection; doubles with each further failure up to
``MAX_BACKOFF_S``."""

MAX_BACKOFF_S = 6.0

PEER_USE_TTL_S = 2.5
"""Validity of the use that a peer reported."""


@attrs.define(kw_only=True, eq=False)
class PooledUpstream:
    """Use and estimated health of one upstream."""

    upstream: Upstream
    belief: Belief
    in_use: int = 0
    listed: bool = True
    # Whether the address now serves another upstream.
    moved: bool = False
    # Time of the last request by any daemon, as known here.
    last_request_at: float = -math.inf
    # Time since which requests of this daemon have had no response.
    waiting_since: float = 0.0
    backoff_until: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    # Whether the probability of failure exceeds MAX_FAILURE_PROBABILITY.
    # Unlike ``Standing.avoided``, this is only reported by ``on_change``.
    avoided: bool = False
    # What its process stated of itself.
    stated: StatedState = attrs.field(factory=StatedState)
    # Slots in use by each peer, with the time of the report.
    peer_use: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def count_use(self, now: float) -> int:
        """Return the slots in use by all daemons."""
        use = self.in_use
        for count, at in self.peer_use.values():
            if now - at <= PEER_USE_TTL_S:
                use += count
        return use

    def is_candidate(self) -> bool:
        """Return whether the upstream may receive new requests."""
        return (
            self.listed
            and not self.moved
            and self.stated.left_at is None
            and self.upstream.state is State.LIVE
        )

    def is_healthy(self, now: float) -> bool:
        """Return whether the floor counts the upstream as healthy."""
        return (
            now - self.belief.last_failure_at > RECOVERY_S
            and now >= self.stated.held_until
            and self.is_candidate()
        )

    def statement_wait_s(self, now: float, *, share: float) -> float:
        """Return the seconds until its statements allow a request."""
        if self.stated.limit is None and now >= self.stated.held_until:
            return 0.0
        hold_off_s = self.stated.hold_off_s(now)
        limit = self._get_limit(now)
        if limit is None:
            return hold_off_s
        return max(hold_off_s, limit.wait_s(now, share=share))

    def count_allowed(
        self, now: float, seconds: float, *, share: float
    ) -> float:
        """Return how many requests its statements allow within a time."""
        hold_off_s = self.stated.hold_off_s(now)
        if hold_off_s and hold_off_s >= seconds:
            return 0
        limit = self._get_limit(now)
        if limit is None:
            return math.inf
        return limit.count_allowed(now, seconds, share=share)

    def _get_limit(self, now: float) -> StatedLimit | None:
        """Return its limit unless it was not stated for too long."""
        limit = self.stated.limit
        if limit is not None and limit.is_expired(now):
            limit = self.stated.limit = None
        return limit

    def record_request(self, now: float) -> None:
        """Take a slot for a request of this daemon."""
        if self.stated.limit is not None:
            self.stated.limit.spend()
        if not self.in_use:
            self.waiting_since = now
        self.in_use += 1
        self.last_request_at = now

    def record_response(self, now: float) -> None:
        """Record a response to this daemon and end any backoff."""
        self.waiting_since = now
        self.backoff_until = 0.0
        self.backoff_s = INITIAL_BACKOFF_S

    def back_off(self, now: float) -> None:
        """Start a backoff, twice as long as the last one."""
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, 2.0 * self.backoff_s)

    def record_peer_use(self, peer: str, count: int, now: float) -> None:
        """Record the slots that a peer uses."""
        if not count:
            self.peer_use.pop(peer, None)
            return
        if count > self.peer_use.get(peer, (0, 0.0))[0]:
            self.last_request_at = now
        self.peer_use[peer] = (count, now)
