"""Exchange of statements between members: which upstreams leave.

The published list lags. A member that learns from an upstream that it leaves
tells the others. A restarted member remembers nothing, so it asks two peers,
and doesn't use upstreams again which left before its start.
"""

from collections.abc import Callable
import logging
from typing import Any

import msgpack
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast import http
from hawthornmast.audit import describe_error
from hawthornmast.audit import log_event
from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.gateway.services import ServiceRegistry
from hawthornmast.membership.gossip import Gossip

_LOG = logging.getLogger("hawthornmast.gateway.statements")

STATEMENTS_PATH = "/v1/statements"

FETCH_TIMEOUT_S = 0.5

RETRY_INTERVAL_S = 0.3
"""Pause before the next peer is asked."""

MAX_ATTEMPTS = 10
"""Requests before a member goes by its own responses and the list alone.
Members of earlier versions don't answer."""

LEARN_FROM_PEERS = 2
"""Peers that a member that starts learns from; one alone may just have started
itself."""

LeavingProcess = tuple[str, int]
"""Identifier and start time of an upstream that leaves."""


def encode_statements(services: ServiceRegistry) -> bytes:
    """Encode the listed upstreams that stated that they leave."""
    leaving = [
        [name, member.upstream.started_ms]
        for state in services
        for name, member in state.pool.members.items()
        if member.stated.left_at is not None
    ]
    packed: bytes = msgpack.packb(leaving)
    return packed


def decode_statements(body: bytes) -> Result[list[LeavingProcess], str]:
    """Decode the statements of a peer; the error is a description."""
    try:
        return Ok([(str(name), int(ms)) for name, ms in msgpack.unpackb(body)])
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Err(describe_error(error))


async def fetch_statements(
    peer: Instance,
) -> Result[list[LeavingProcess], StepError]:
    """Fetch what a peer knows of upstreams that leave."""
    result = await http.fetch(
        peer.host,
        peer.peer_port,
        "GET",
        STATEMENTS_PATH,
        timeout=FETCH_TIMEOUT_S,
    )
    if isinstance(result, Err):
        return result
    response = result.ok_value
    detail = f"status is {response.status}"
    if response.status == 200:
        decoded = decode_statements(response.body)
        if isinstance(decoded, Ok):
            return decoded
        detail = decoded.err_value
    return Err(
        StepError(
            step="fetch-statements", detail=detail, peer=peer.instance_id
        )
    )


class StatementExchange:
    """Tells members which upstreams state that they leave.

    Parameters
    ----------
    services
        Services that this member forwards to.
    gossip
        Membership of the fleet.
    send
        Sends a notice to IP addresses.
    """

    def __init__(
        self,
        services: ServiceRegistry,
        *,
        gossip: Gossip,
        send: Callable[[list[str], list[Any]], None],
    ) -> None:
        self._services = services
        self._gossip = gossip
        self._send = send

    def announce(self, upstream: Upstream) -> None:
        """Tell the zone and the other representatives of a new statement.

        Members of earlier versions refuse the notice and go by the published
        list.
        """
        self._send_notice(
            upstream.upstream_id,
            upstream.started_ms,
            self._gossip.zone_peers() + self._gossip.representatives(),
        )

    def receive(self, notice: Any, sender: str) -> None:
        """Apply a peer's notice; pass it on if it is from another zone.

        Raises ValueError or TypeError for a malformed notice.
        """
        upstream_id, started_ms = notice
        process = str(upstream_id), int(started_ms)
        peer = self._gossip.find(sender)
        if (
            self._apply(process, sender)
            and peer is not None
            and peer.zone != self._gossip.instance.zone
        ):
            self._send_notice(*process, self._gossip.zone_peers())

    async def learn(self) -> None:
        """Ask peers, in turns until enough answer, what left before."""
        error: StepError | None = None
        answered: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            peers = self._gossip.zone_peers() + self._gossip.remote_peers()
            if peers:
                peer = peers[attempt % len(peers)]
                result = await fetch_statements(peer)
                if isinstance(result, Err):
                    error = result.err_value
                else:
                    answered.add(peer.instance_id)
                    for process in result.ok_value:
                        self._apply(process, peer.host)
                if len(answered) >= min(LEARN_FROM_PEERS, len(peers)):
                    return
            await trio.sleep(RETRY_INTERVAL_S)
        if error is not None and not answered:
            log_event(
                _LOG,
                "statements-not-learned",
                step=error.step,
                detail=error.detail,
                peer=error.peer,
            )

    def _apply(self, process: LeavingProcess, peer: str) -> bool:
        """Record a process that leaves; return whether that is new."""
        applied = [
            state.record_leaving(*process, peer) for state in self._services
        ]
        return any(applied)

    def _send_notice(
        self, upstream_id: str, started_ms: int, recipients: list[Instance]
    ) -> None:
        self._send(
            [item.host for item in recipients], [upstream_id, started_ms]
        )
