"""HTTP server for the clients of a member."""

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

STARTUP_WAIT_FRACTION = 0.3
"""Fraction of a client's timeout that a request may wait for its member to
start."""

DEFAULT_CLIENT_TIMEOUT_S = 2.0
"""Timeout assumed for a client that does not state one."""


class GatewayServer(ConnectionServer):
    """Serves clients of a member; requests may wait while it starts.

    ``initialized`` is set once the configuration and the list of upstreams are
    known.
    """

    reads_ahead = True

    def __init__(
        self,
        forwarder: RouteForwarder,
        dialect: Dialect,
        upstream_client: UpstreamClient,
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
            upstream_client,
            host=host,
            port=port,
            limits=limits,
            on_bad_input=on_bad_input,
        )
        self._on_finished = on_finished
        self.initialized = trio.Event()

    async def prepare(self, request: ClientRequest) -> None:
        """Hold a request until the member is initialized or time runs out."""
        if not self.initialized.is_set():
            timeout_s = request.timeout_s or DEFAULT_CLIENT_TIMEOUT_S
            with trio.move_on_after(timeout_s * STARTUP_WAIT_FRACTION):
                await self.initialized.wait()

    def report(
        self, request: ClientRequest, trace: Trace, answer: ClientResponse
    ) -> None:
        """Report a finished request."""
        self._on_finished(request, trace, answer)
