"""Forwarding of requests to the daemons that own their services.

The signature on a relayed request is computed and verified by ``relay.py``.
"""

from collections.abc import Callable
import functools

from result import Err

from hawthornmast.common import Outcome
from hawthornmast.forwarding import relay
from hawthornmast.forwarding.delivery import Deliver
from hawthornmast.forwarding.delivery import HTTP10_BUFFER_BYTES
from hawthornmast.forwarding.delivery import MAX_ATTEMPTS
from hawthornmast.forwarding.delivery import OpenScope
from hawthornmast.forwarding.evidence import matches_request
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.headers import filter_headers
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.runtime import ServiceDirectory
from hawthornmast.forwarding.translation import build_request
from hawthornmast.forwarding.translation import build_response
from hawthornmast.forwarding.translation import build_unavailable_response
from hawthornmast.forwarding.upstream import UpstreamClient

RELAY_TIMEOUT_S = 5.0


class Relayer:
    """Relays requests without a ticket to an owner of their service.

    Parameters
    ----------
    directory
        Owners of the services.
    upstreams
        HTTP client, also used for connections to other daemons.
    signer
        Signs relayed requests.
    buffer_bytes
        Responses up to this size are buffered; longer ones are streamed.
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self,
        directory: ServiceDirectory,
        upstreams: UpstreamClient,
        *,
        signer: relay.RelaySigner,
        buffer_bytes: int,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._upstreams = upstreams
        self._signer = signer
        self._buffer_bytes = buffer_bytes
        self._clock = clock

    async def run(
        self,
        request: ClientRequest,
        open_scope: OpenScope,
        trace: Trace,
        deliver: Deliver,
    ) -> ClientResponse:
        """Send a request to one owner of its service.

        The request has no ticket, so the owner runs it only if it is
        idempotent.
        """
        owners = self._directory.owners(request.service) or []
        if not owners:
            return build_unavailable_response("no-owner")
        headers = filter_headers(request.headers)
        signature = self._signer.sign(
            request.request_id, request.method, request.target
        )
        headers.append((relay.HEADER, signature))
        timeout_s = min(RELAY_TIMEOUT_S, request.timeout_s or RELAY_TIMEOUT_S)
        deadline = request.received_at + timeout_s
        progress = Progress()
        with open_scope(deadline):
            # Owners in this daemon's zone come first. The next one is tried
            # only if nothing was sent to the previous one.
            for owner in owners[:MAX_ATTEMPTS]:
                trace.upstreams.append(owner.instance_id)
                progress = Progress()
                result = await self._upstreams.send(
                    relay.build_relay_upstream(owner),
                    build_request(request, headers, deadline - self._clock()),
                    progress,
                    deadline=deadline,
                    new_connection=False,
                    buffer_bytes=(
                        HTTP10_BUFFER_BYTES
                        if request.is_http10
                        else self._buffer_bytes
                    ),
                    whole=request.is_http10,
                    accepts_head=functools.partial(
                        matches_request, request=request
                    ),
                )
                if not isinstance(result, Err):
                    return await _deliver_relayed(
                        request, result.ok_value, deliver
                    )
                if progress.started:
                    break
        if progress.started:
            return build_error_response(
                502, "relay-failed", outcome=Outcome.UNKNOWN
            )
        return build_unavailable_response("no-owner")


async def _deliver_relayed(
    request: ClientRequest, exchange: Exchange, deliver: Deliver
) -> ClientResponse:
    matches = matches_request(exchange, request)
    try:
        if not matches:
            return build_error_response(
                502, "relay-failed", outcome=Outcome.UNKNOWN
            )
        response = build_response(request, exchange, relayed=True)
        if not exchange.complete:
            if request.is_http10:
                return build_error_response(
                    502, "too-long", outcome=Outcome.UNKNOWN
                )
            response.streamed = True
            response.truncated = not await deliver(response, exchange)
        return response
    finally:
        exchange.release(reusable=matches)
