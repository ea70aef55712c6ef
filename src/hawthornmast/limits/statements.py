"""What upstreams state of themselves in their responses.

A statement belongs to the process of the upstream that made it. It holds for
this daemon until its time ends or the upstream starts again, whatever the
published list says, because the list lags behind the upstream itself.
"""

from collections.abc import Iterable
import math

import attrs

from hawthornmast.common import Upstream
from hawthornmast.limits.rate import StatedLimit

MAX_HOLD_OFF_S = 60.0
"""Longest time for which a statement keeps an upstream without requests. A
wrong value would otherwise take the upstream away for good."""

MAX_UNLISTED = 4096
"""Upstreams that are not listed now whose statements are kept. An entry that
expired while the platform was away may come back."""


@attrs.frozen(kw_only=True)
class UpstreamStatement:
    """What one response states of the upstream that sent it.

    Parameters
    ----------
    leaving
        It leaves and takes no new requests.
    hold_off_s
        Seconds for which it takes no requests from this daemon; None if it
        states none.
    rate_limit_per_s
        Requests per second that it takes from all daemons together; None if
        it states no limit.
    malformed
        Values that can't be used, empty if there are none.
    """

    leaving: bool = False
    hold_off_s: float | None = None
    rate_limit_per_s: float | None = None
    malformed: str = ""


@attrs.define(kw_only=True, eq=False)
class StatedState:
    """What one process of an upstream has stated so far.

    Parameters
    ----------
    started_ms
        Start time of the process, as in ``Upstream``.
    left_at
        Monotonic time in seconds at which it stated that it leaves; None if
        it did not.
    held_until
        Monotonic time in seconds until which it takes no requests from this
        daemon.
    limit
        Rate that it takes, None if it states none.
    malformed
        The first values that could not be used.
    """

    started_ms: int = 0
    left_at: float | None = None
    held_until: float = -math.inf
    limit: StatedLimit | None = None
    malformed: str = ""

    def record(
        self, statement: UpstreamStatement, now: float, *, share: float
    ) -> bool:
        """Apply a statement; return whether it changes what holds.

        Parameters
        ----------
        statement
            What a response of this process states.
        now
            Monotonic time in seconds.
        share
            This daemon's share of the rates that upstreams state.
        """
        changed = self._record_limit(
            statement.rate_limit_per_s, now, share=share
        )
        if statement.leaving and self.record_leaving(now):
            changed = True
        if statement.hold_off_s:
            changed = changed or now >= self.held_until
            hold_off_s = min(statement.hold_off_s, MAX_HOLD_OFF_S)
            self.held_until = max(self.held_until, now + hold_off_s)
        if statement.malformed and not self.malformed:
            self.malformed = statement.malformed
            changed = True
        return changed

    def record_leaving(self, now: float) -> bool:
        """Record that the process leaves; return whether that is new."""
        if self.left_at is not None:
            return False
        self.left_at = now
        return True

    def hold_off_s(self, now: float) -> float:
        """Return the seconds until requests may be sent again."""
        return max(0.0, self.held_until - now)

    def _record_limit(
        self, rate_per_s: float | None, now: float, *, share: float
    ) -> bool:
        if rate_per_s is None:
            had_limit = self.limit is not None
            self.limit = None
            return had_limit
        if self.limit is None:
            self.limit = StatedLimit(rate_per_s=rate_per_s, stated_at=now)
            return True
        changed = self.limit.rate_per_s != rate_per_s
        self.limit.restate(rate_per_s, now, share=share)
        return changed


class StatementRegistry:
    """The statements of all upstreams that this daemon knows or knew."""

    def __init__(self) -> None:
        self._states: dict[str, StatedState] = {}

    def find(self, upstream: Upstream) -> StatedState:
        """Return the state of the listed process of an upstream.

        A process that started anew has stated nothing yet.
        """
        name = upstream.upstream_id
        state = self._states.pop(name, None)
        if state is None or state.started_ms != upstream.started_ms:
            state = StatedState(started_ms=upstream.started_ms)
        # The dict is kept in the order of use.
        self._states[name] = state
        return state

    def discard_unlisted(self, listed_ids: Iterable[str]) -> None:
        """Forget the oldest upstreams that are no longer listed."""
        listed = set(listed_ids)
        unlisted = [name for name in self._states if name not in listed]
        for name in unlisted[: max(0, len(unlisted) - MAX_UNLISTED)]:
            del self._states[name]
