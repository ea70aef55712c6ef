"""HTTP server of the native client interface."""

from collections.abc import Callable
from collections.abc import Sequence

import trio

from hawthornmast.forwarding import endpoints
from hawthornmast.forwarding import relay
from hawthornmast.forwarding.dialect import NativeDialect
from hawthornmast.forwarding.forwarder import Forwarder
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.parsing import ClientLimits
from hawthornmast.forwarding.runtime import RequestReport
from hawthornmast.forwarding.runtime import ServiceDirectory
from hawthornmast.forwarding.server import ConnectionServer
from hawthornmast.forwarding.server import ignore_bad_input
from hawthornmast.forwarding.tickets import TicketStore
from hawthornmast.forwarding.upstream import UpstreamClient


def _ignore_report(report: RequestReport) -> None:
    del report


class ClientServer(ConnectionServer):
    """Server of the native client interface, with its endpoints and tickets.

    Parameters
    ----------
    directory
        Services of this daemon and owners of the others.
    tickets
        Tickets of this incarnation.
    upstreams
        HTTP client for upstreams; closed with the server.
    host, port
        Address to listen on; port 0 selects a free port.
    limits
        Limits on what clients may send.
    peer_secrets
        Shared secrets of the fleet; the first one is used to sign relayed
        requests. Without any, nothing is relayed.
    on_finished
        Called with the report of each request that was read completely.
    on_bad_input
        Called with the kind of each refused input.
    """

    def __init__(
        self,
        directory: ServiceDirectory,
        tickets: TicketStore,
        upstreams: UpstreamClient,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        limits: ClientLimits | None = None,
        peer_secrets: Sequence[bytes] = (),
        on_finished: Callable[[RequestReport], None] = _ignore_report,
        on_bad_input: Callable[[str], None] = ignore_bad_input,
    ) -> None:
        limits = limits or ClientLimits()
        self.relay_signer = relay.RelaySigner(peer_secrets)
        forwarder = Forwarder(
            directory,
            upstreams,
            tickets,
            relay_signer=self.relay_signer,
            buffer_bytes=limits.answer_buffer_bytes,
        )
        super().__init__(
            forwarder,
            NativeDialect(),
            upstreams,
            host=host,
            port=port,
            limits=limits,
            on_bad_input=on_bad_input,
        )
        self._directory = directory
        self._tickets = tickets
        self._on_finished = on_finished

    def assign_request_id(self, request: ClientRequest) -> None:
        """Set the identifier of a request.

        A relayed request keeps the identifier set by the relaying daemon.
        """
        if request.relay_signature is not None:
            if self.relay_signer.verify(
                request.relay_signature, request.method, request.target
            ):
                request.relayed = True
                request.request_id = request.relay_signature.partition(b".")[
                    0
                ].decode()
                return
            # The header didn't come from a daemon of the fleet, so it is
            # ignored and not forwarded.
            self.count_bad_input("forged-relay")
        super().assign_request_id(request)

    def is_fleet_endpoint(self, request: ClientRequest) -> bool:
        """Return whether a request is for one of the fleet's endpoints."""
        return request.target.startswith(endpoints.PATH_PREFIX)

    async def prepare(self, request: ClientRequest) -> None:
        """Load the request's service if this daemon doesn't know it."""
        name = request.service
        if request.target.startswith(endpoints.PATH_PREFIX):
            name = endpoints.parse_service_name(request.target)
        if not self._directory.is_known(name):
            await self._directory.fetch_if_unknown(name)

    def handle_fleet_endpoint(self, request: ClientRequest) -> ClientResponse:
        """Handle a request to one of the fleet's own endpoints."""
        return endpoints.handle_request(
            request.method,
            request.target,
            directory=self._directory,
            tickets=self._tickets,
            closing=self.closing,
        )

    def report(
        self, request: ClientRequest, trace: Trace, response: ClientResponse
    ) -> None:
        """Report a completed request."""
        total_s = trio.current_time() - request.received_at
        self._on_finished(
            RequestReport(
                request_id=request.request_id,
                service=request.service,
                entry=trace.entry,
                owner=trace.owner,
                rank=trace.rank,
                outcome=response.outcome,
                status=response.status,
                reason=response.reason,
                upstreams=tuple(trace.upstreams),
                queue_s=trace.queue_s,
                total_s=total_s,
                revision=trace.revision,
                client=request.client,
            )
        )
