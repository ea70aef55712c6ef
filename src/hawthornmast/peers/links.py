"""Authenticated peer streams and their failure detection."""

from typing import Any

import attrs
import trio

from hawthornmast.peers import messages
from hawthornmast.peers.session import Session

FAST_HEARTBEAT_S = 0.5
BACKOFF_RESET_S = 1.5
"""Duration of a connection after which the dial backoff is reset.

It equals the silence timeout of a peer with fast failure detection, which is
``MISSED_HEARTBEATS`` times ``FAST_HEARTBEAT_S``.
"""

SLOW_HEARTBEAT_S = 2.0
"""Heartbeat interval to peers that only exchange configuration.

Slow detection is enough for them: the streams of a killed process close at
once, so that only a pause or a partition is detected by silence, and meanwhile
configuration is exchanged with other neighbours.
"""

MISSED_HEARTBEATS = 3


@attrs.define(kw_only=True, eq=False)
class PeerLink:
    """One authenticated stream to a peer: its session and outgoing queue."""

    session: Session
    send_queue: trio.MemorySendChannel[Any]
    last_heard_at: float
    dialed: bool
    # The peer's interval is unknown until its first heartbeat.
    silence_timeout_s: float = MISSED_HEARTBEATS * SLOW_HEARTBEAT_S
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    ended: trio.Event = attrs.field(factory=trio.Event)

    def apply_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Set the silence timeout from the peer's heartbeat interval."""
        interval = min(
            max(heartbeat.interval_s, FAST_HEARTBEAT_S), SLOW_HEARTBEAT_S
        )
        self.silence_timeout_s = MISSED_HEARTBEATS * interval

    @property
    def is_silent(self) -> bool:
        """Whether the silence timeout of the peer has passed."""
        return (
            trio.current_time() - self.last_heard_at > self.silence_timeout_s
        )
