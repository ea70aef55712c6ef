"""The server on a member's clients' address."""

from collections.abc import Callable

import trio

from hawthornmast.forwarding import ClientLimits
from hawthornmast.forwarding import ConnectionServer
from hawthornmast.forwarding import Dialect
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.gateway.forwarder import RouteForwarder

START_SHARE = 0.3
"""Part of a client's time that a request waits while its member starts."""

DEFAULT_WAIT_S = 2.0
"""Time of a client that did not say how long it waits."""


class GatewayServer(ConnectionServer):
    """Serves clients of a member."""

    def __init__(
        self,
        forwarder: RouteForwarder,
        dialect: Dialect,
        upstreams: UpstreamClient,
        *,
        host: str,
        port: int,
        limits: ClientLimits,
        on_finished: Callable[[ClientRequest, Trace, ClientResponse], None],
        on_bad_input: Callable[[str], None],
    ) -> None:
        super().__init__(
            forwarder,
            dialect,
            upstreams,
            host=host,
            port=port,
            limits=limits,
            on_bad_input=on_bad_input,
        )
        self._on_finished = on_finished
        self.informed = trio.Event()

    async def prepare(self, request: ClientRequest) -> None:
        """Wait for what a request needs while the member starts."""
        if not self.informed.is_set():
            allowed_s = request.timeout_s or DEFAULT_WAIT_S
            with trio.move_on_after(allowed_s * START_SHARE):
                await self.informed.wait()

    def report(
        self, request: ClientRequest, trace: Trace, answer: ClientResponse
    ) -> None:
        """Report a finished request."""
        self._on_finished(request, trace, answer)
