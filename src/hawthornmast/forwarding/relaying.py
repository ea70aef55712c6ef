"""Passes requests to the owners of services that are served elsewhere."""

from collections.abc import Callable

from result import Err

from hawthornmast.common import Outcome
from hawthornmast.forwarding import relay
from hawthornmast.forwarding.delivery import Deliver
from hawthornmast.forwarding.delivery import MAX_ATTEMPTS
from hawthornmast.forwarding.delivery import OLD_BUFFER_BYTES
from hawthornmast.forwarding.delivery import OpenScope
from hawthornmast.forwarding.headers import filter_headers
from hawthornmast.forwarding.judgement import is_own
from hawthornmast.forwarding.messages import Answer
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import refuse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.runtime import ServiceDirectory
from hawthornmast.forwarding.translation import build_answer
from hawthornmast.forwarding.translation import build_request
from hawthornmast.forwarding.translation import refuse_busy
from hawthornmast.forwarding.upstream import Exchange
from hawthornmast.forwarding.upstream import Progress
from hawthornmast.forwarding.upstream import UpstreamClient

RELAY_S = 5.0


class Relayer:
    """Relays requests without a ticket, once, to an owner.

    Parameters
    ----------
    directory
        Owners of the services.
    upstreams
        Connections, also to other daemons.
    mark
        Signs relayed requests.
    buffer_bytes
        Bytes of a response that are held before it is streamed.
    clock
        Monotonic time.
    """

    def __init__(
        self,
        directory: ServiceDirectory,
        upstreams: UpstreamClient,
        *,
        mark: relay.RelayMark,
        buffer_bytes: int,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._upstreams = upstreams
        self._mark = mark
        self._buffer_bytes = buffer_bytes
        self._clock = clock

    async def run(
        self,
        request: ClientRequest,
        open_scope: OpenScope,
        trace: Trace,
        deliver: Deliver,
    ) -> Answer:
        """Pass a request to an owner of its service, once.

        The request has no ticket, so an owner runs it only when it is
        idempotent.
        """
        owners = self._directory.owners(request.service) or []
        if not owners:
            return refuse_busy("no-owner")
        headers = filter_headers(request.headers)
        mark = self._mark.sign(
            request.request_id, request.method, request.target
        )
        headers.append((relay.HEADER, mark))
        allowed_s = min(RELAY_S, request.timeout_s or RELAY_S)
        deadline = request.arrived + allowed_s
        progress = Progress()
        with open_scope(deadline):
            # Owners of the own zone come first; another is tried only when
            # no connection could be made.
            for owner in owners[:MAX_ATTEMPTS]:
                trace.upstreams.append(owner.instance_id)
                progress = Progress()
                sent = await self._upstreams.send(
                    relay.as_upstream(owner),
                    build_request(request, headers, deadline - self._clock()),
                    progress,
                    deadline=deadline,
                    fresh=False,
                    buffer_bytes=(
                        OLD_BUFFER_BYTES if request.old else self._buffer_bytes
                    ),
                )
                if not isinstance(sent, Err):
                    return await _deliver_relayed(
                        request, sent.ok_value, deliver
                    )
                if progress.started:
                    break
        if progress.started:
            return refuse(502, "relay-failed", outcome=Outcome.UNKNOWN)
        return refuse_busy("no-owner")


async def _deliver_relayed(
    request: ClientRequest, exchange: Exchange, deliver: Deliver
) -> Answer:
    own = is_own(exchange, request)
    try:
        if not own:
            return refuse(502, "relay-failed", outcome=Outcome.UNKNOWN)
        answer = build_answer(request, exchange, relayed=True)
        if not exchange.complete:
            if request.old:
                return refuse(502, "too-long", outcome=Outcome.UNKNOWN)
            answer.sent = True
            answer.cut = not await deliver(answer, exchange)
        return answer
    finally:
        exchange.release(own=own)
