"""What a client connection uses of its server."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from hawthornmast.forwarding.delivery import Deliver
from hawthornmast.forwarding.delivery import OpenScope
from hawthornmast.forwarding.dialect import Dialect
from hawthornmast.forwarding.memory import ResponseMemory
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.parsing import ClientLimits


class RequestHandler(Protocol):
    """Handles requests whose heads were parsed."""

    def check(self, request: ClientRequest) -> ClientResponse | None:
        """Return a refusal that doesn't depend on the body, or None."""

    def may_run_early(self, request: ClientRequest) -> bool:
        """Return whether a request may run before earlier ones are answered.

        Only a request that may be repeated can: its client sends it again if
        an earlier response ends the connection.
        """

    async def run(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
    ) -> ClientResponse:
        """Forward a request and return its response."""


class WatchedConnection(Protocol):
    """A connection whose socket the server watches while requests run."""

    def read_ahead(self) -> None:
        """Read further requests, which have arrived."""

    def cancel_requests(self) -> None:
        """Cancel all requests because the client has disconnected."""


class ServerContext(Protocol):
    """Server state and callbacks that a connection uses.

    Parameters
    ----------
    limits
        Limits on what clients may send.
    dialect
        Header conventions of the clients.
    closing
        The server drains: each response asks the client to close the
        connection.
    end_at
        Monotonic time at which a draining server ends what is in flight.
    buffered_body_bytes
        Size of the request bodies that all connections hold in memory.
    reads_ahead
        Requests are read before earlier ones are answered.
    response_memory
        Counts the response bytes that the process holds.
    """

    limits: ClientLimits
    dialect: Dialect
    closing: bool
    end_at: float
    buffered_body_bytes: int
    reads_ahead: bool
    response_memory: ResponseMemory

    @property
    def forwarder(self) -> RequestHandler:
        """Handler of the requests."""

    def start_task(self, function: Callable[[], Awaitable[None]]) -> None:
        """Run a function as a task of the server."""

    def new_request_id(self) -> str:
        """Return a request identifier that is unique in the fleet."""

    def assign_request_id(self, request: ClientRequest) -> None:
        """Set the identifier of a request."""

    def is_fleet_endpoint(self, request: ClientRequest) -> bool:
        """Return whether the server itself handles a request."""

    async def prepare(self, request: ClientRequest) -> None:
        """Load the request's service if this daemon doesn't know it."""

    def handle_fleet_endpoint(self, request: ClientRequest) -> ClientResponse:
        """Handle a request to one of the fleet's own endpoints."""

    def count_bad_input(self, kind: str) -> None:
        """Count refused input by its kind."""

    def report(
        self, request: ClientRequest, trace: Trace, response: ClientResponse
    ) -> None:
        """Report a completed request."""

    def watch(self, fileno: int, connection: WatchedConnection) -> None:
        """Watch a connection for further requests and for a disconnect."""

    def await_input(self, fileno: int) -> None:
        """Call ``read_ahead`` of a watched connection at its next input."""

    def unwatch(self, fileno: int) -> None:
        """Stop watching a connection."""
