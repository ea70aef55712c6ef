"""A live stream to a peer and its heartbeats."""

from typing import Any

import attrs
import trio

from hawthornmast.peers import messages
from hawthornmast.peers.session import Session

HEARTBEAT_S = 0.5
SILENCE_S = 1.5
"""Silence after which a close peer counts as unreachable."""

DISTANT_HEARTBEAT_S = 2.0
"""Interval to peers that only exchange configuration.

A killed process closes its streams at once; only a pause or a partition is
found by silence, and the exchange with other neighbours bridges it.
"""

SILENT_BEATS = 3


@attrs.define(kw_only=True, eq=False)
class Link:
    """A live session with its queue of outgoing messages."""

    session: Session
    outbox: trio.MemorySendChannel[Any]
    heard_at: float
    dialed: bool
    # Until the peer's first heartbeat its interval is unknown.
    silence_s: float = SILENT_BEATS * DISTANT_HEARTBEAT_S
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    ended: trio.Event = attrs.field(factory=trio.Event)

    def note_heartbeat(self, beat: messages.Heartbeat) -> None:
        """Adapt the allowed silence to the peer's interval."""
        interval = min(max(beat.interval_s, HEARTBEAT_S), DISTANT_HEARTBEAT_S)
        self.silence_s = SILENT_BEATS * interval

    @property
    def is_silent(self) -> bool:
        """Whether the peer was not heard for too long."""
        return trio.current_time() - self.heard_at > self.silence_s
