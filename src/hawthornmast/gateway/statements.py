"""What a member that starts learns of upstreams that state that they leave.

The published list lags, and a restarted member remembers nothing. It asks a
peer once, so that it doesn't use upstreams again which left before its start.
"""

from collections.abc import Callable

import msgpack
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast import http
from hawthornmast.audit import describe_error
from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.gateway.services import ServiceRegistry

STATEMENTS_PATH = "/v1/statements"

FETCH_TIMEOUT_S = 0.5

RETRY_INTERVAL_S = 0.3
"""Pause before the next peer is asked."""

MAX_ATTEMPTS = 10
"""Peers asked before a member goes by its own responses and the list alone.
Members of earlier versions don't answer."""

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


async def learn_statements(
    list_peers: Callable[[], list[Instance]],
    apply: Callable[[list[LeavingProcess], Instance], None],
) -> StepError | None:
    """Ask peers in turns until one answers; return the last error, if none.

    Parameters
    ----------
    list_peers
        Returns the live peers, the preferred ones first.
    apply
        Called with what the first peer that answers knows.
    """
    error: StepError | None = None
    for attempt in range(MAX_ATTEMPTS):
        peers = list_peers()
        if peers:
            peer = peers[attempt % len(peers)]
            result = await fetch_statements(peer)
            if isinstance(result, Ok):
                apply(result.ok_value, peer)
                return None
            error = result.err_value
        await trio.sleep(RETRY_INTERVAL_S)
    return error
