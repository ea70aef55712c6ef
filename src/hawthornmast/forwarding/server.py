"""Base of the HTTP servers for clients."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import errno
import itertools
import logging
import math
import secrets
import select
import socket

import trio

from hawthornmast.audit import log_failures
from hawthornmast.common.ticks import sleep_until_tick
from hawthornmast.forwarding.connection import ClientConnection
from hawthornmast.forwarding.context import RequestHandler
from hawthornmast.forwarding.context import WatchedConnection
from hawthornmast.forwarding.dialect import Dialect
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.parsing import ClientLimits
from hawthornmast.forwarding.upstream import UpstreamClient

_log = logging.getLogger(__name__)

# Maximum delay between a client's disconnect and the cancellation of its
# request. Polling all sockets is cheaper than a reading task per request.
_POLL_INTERVAL_S = 0.05
_IDLE_POLL_INTERVAL_S = 0.1
_POOL_CLEANUP_INTERVAL_S = 1.0
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Reported once, until the descriptor is armed again.
_INPUT_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT
_CONNECTION_LIMIT_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Hawthornmast-Outcome: not-run\r\nHawthornmast-Reason: connections\r\n"
    b"Retry-After: 1\r\nConnection: close\r\n\r\n"
)
_RESOURCE_ERRNOS = {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.ENOBUFS,
}


def ignore_bad_input(kind: str) -> None:
    """Do nothing."""
    del kind


class ConnectionServer:
    """Base server: accepts and serves the connections of any client interface.

    It is stopped by ``finish``, which drains it, or by ``close``, which aborts
    requests:

    - ``begin_drain`` sets ``closing``: the server still accepts connections,
      but each response asks the client to close. It also sets ``end_at``, at
      which requests end that are still being read or processed.
    - ``finish`` drains for a grace period, stops accepting, waits for the
      requests in flight and calls ``close``.
    - ``close`` stops at once.

    Parameters
    ----------
    forwarder
        Handles the requests.
    dialect
        Header conventions of the clients.
    upstreams
        HTTP client for upstreams; closed with the server.
    host, port
        Address to listen on; port 0 selects a free port.
    limits
        Limits on what clients may send.
    on_bad_input
        Called with the kind of each refused input.

    Attributes
    ----------
    reads_ahead
        Requests are read before earlier ones are answered.
    """

    reads_ahead = False

    def __init__(
        self,
        forwarder: RequestHandler,
        dialect: Dialect,
        upstreams: UpstreamClient,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        limits: ClientLimits | None = None,
        on_bad_input: Callable[[str], None] = ignore_bad_input,
    ) -> None:
        self.limits = limits or ClientLimits()
        self.forwarder = forwarder
        self.dialect = dialect
        self.closing = False
        self.end_at = math.inf
        self.buffered_body_bytes = 0
        self.response_memory = upstreams.memory
        self._upstreams = upstreams
        self._host = host
        self._port = port
        self._on_bad_input = on_bad_input
        self._connections: set[ClientConnection] = set()
        self._watched: dict[int, WatchedConnection] = {}
        # Arming and disarming a descriptor for each request is cheaper than
        # a task that waits for it.
        self._epoll = select.epoll()
        self._nursery: trio.Nursery | None = None
        self._listeners: list[trio.SocketListener] = []
        self._accept_scope = trio.CancelScope()
        self._accept_ended = trio.Event()
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()
        self._request_id_prefix = secrets.token_hex(4)
        self._request_numbers = itertools.count(1)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._port

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy(self) -> bool:
        """Whether any request is being processed."""
        return bool(self._watched)

    async def start(
        self,
        nursery: trio.Nursery,
        *,
        listener: socket.socket | None = None,
    ) -> None:
        """Listen and serve in the nursery until ``close`` is called.

        Parameters
        ----------
        listener
            Socket that is already listening, to use instead of a new one.
        """
        if listener is not None:
            opened = trio.SocketListener(
                trio.socket.from_stdlib_socket(listener)
            )
            self._listeners = [opened]
        else:
            self._listeners = await trio.open_tcp_listeners(
                self._port, host=self._host
            )
        self._port = self._listeners[0].socket.getsockname()[1]
        nursery.start_soon(self._serve)

    def begin_drain(self, *, end_at: float = math.inf) -> None:
        """Send ``Connection: close`` with each response from now on.

        New connections are still accepted, because clients cache this
        daemon's address. Idle ones stay open, because closing a connection
        while its client sends a request would lose that request.

        Parameters
        ----------
        end_at
            Monotonic time at which requests in flight are answered with a
            timeout; by default they keep their deadlines.
        """
        self.closing = True
        self.end_at = end_at
        for connection in self._connections:
            connection.limit_request_time()

    def _close_idle(self) -> None:
        poller = select.poll()
        idle = {}
        for connection in self._connections:
            if connection.idle and connection.sock.fileno() >= 0:
                idle[connection.sock.fileno()] = connection
                poller.register(connection.sock.fileno(), select.POLLIN)
        # Connections with unread input have a pending request and stay open.
        pending = {fileno for fileno, _ in poller.poll(0)}
        for fileno, connection in idle.items():
            if fileno not in pending:
                connection.cancel_idle()

    async def finish(
        self, grace_s: float, *, end_at: float = math.inf
    ) -> None:
        """Accept for ``grace_s`` more seconds, then wait for all requests.

        No request is aborted; each ends by its deadline or by ``end_at``.
        """
        self.begin_drain(end_at=end_at)
        await trio.sleep(grace_s)
        self._accept_scope.cancel()
        await self._accept_ended.wait()
        self._close_idle()
        while self._connections:
            await trio.sleep(0.01)
            self._close_idle()
        await self.close()

    async def close(self) -> None:
        """Stop immediately and abort the requests in flight."""
        self._scope.cancel()
        await self._stopped.wait()

    async def _serve(self) -> None:
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    nursery.start_soon(self._poll_clients)
                    if self.reads_ahead:
                        nursery.start_soon(self._await_inputs)
                    nursery.start_soon(self._clean_up_pools)
                    await self._accept(nursery)
                    await trio.sleep_forever()
        finally:
            for listener in self._listeners:
                listener.socket.close()
            self._epoll.close()
            self._upstreams.close()
            self._accept_ended.set()
            self._stopped.set()

    async def _accept(self, nursery: trio.Nursery) -> None:
        listener = self._listeners[0].socket
        with self._accept_scope:
            while True:
                await self._accept_one(listener, nursery)
        # Connections in the accept queue of the kernel are served as well.
        poller = select.poll()
        poller.register(listener.fileno(), select.POLLIN)
        while poller.poll(0):
            await self._accept_one(listener, nursery)
        listener.close()
        self._accept_ended.set()

    async def _accept_one(
        self, listener: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        try:
            sock, address = await listener.accept()
        except OSError as error:
            if error.errno in _RESOURCE_ERRNOS:
                _log.warning("event=accept-failed errno=%s", error.errno)
                await trio.sleep(0.1)
            return
        if len(self._connections) >= self.limits.connections:
            self.count_bad_input("connections")
            with trio.move_on_after(0.1):
                try:
                    await sock.send(_CONNECTION_LIMIT_RESPONSE)
                except OSError:
                    pass
            sock.close()
            return
        client_sock = socket.socket(fileno=sock.detach())
        client_sock.setblocking(False)
        nursery.start_soon(self._serve_client, client_sock, address)

    async def _serve_client(
        self, sock: socket.socket, address: tuple[str, int]
    ) -> None:
        connection = ClientConnection(self, sock, f"{address[0]}:{address[1]}")
        self._connections.add(connection)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await connection.serve()
        except Exception:
            # An error in one connection must not stop the others.
            _log.exception("event=connection-failed client=%s", address[0])
        finally:
            self._connections.discard(connection)

    async def _poll_clients(self) -> None:
        while True:
            await sleep_until_tick(
                _POLL_INTERVAL_S
                if self._connections
                else _IDLE_POLL_INTERVAL_S
            )
            with log_failures("poll-clients"):
                self._poll_clients_once()

    def _poll_clients_once(self) -> None:
        now = trio.current_time()
        for connection in self._connections:
            connection.cancel_overdue(now)
        if not self._watched:
            return
        poller = select.poll()
        for fileno in self._watched:
            poller.register(fileno, select.POLLRDHUP)
        for fileno, events in poller.poll(0):
            if events & _DISCONNECT_EVENTS:
                self._watched[fileno].cancel_requests()

    async def _await_inputs(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for fileno, events in self._epoll.poll(0):
                connection = self._watched.get(fileno)
                if connection is not None and not events & _DISCONNECT_EVENTS:
                    with log_failures("read-ahead"):
                        connection.read_ahead()

    async def _clean_up_pools(self) -> None:
        while True:
            await sleep_until_tick(_POOL_CLEANUP_INTERVAL_S)
            with log_failures("clean-up-pools"):
                self._upstreams.close_idle()

    def new_request_id(self) -> str:
        """Return a request identifier that is unique in the fleet."""
        return f"{self._request_id_prefix}-{next(self._request_numbers):x}"

    def assign_request_id(self, request: ClientRequest) -> None:
        """Set the identifier of a request unless its client sent one."""
        if not request.request_id:
            request.request_id = self.new_request_id()

    def is_fleet_endpoint(self, request: ClientRequest) -> bool:
        """Return whether the server itself handles a request."""
        del request
        return False

    async def prepare(self, request: ClientRequest) -> None:
        """Load what is needed to handle a request."""
        del request

    def handle_fleet_endpoint(self, request: ClientRequest) -> ClientResponse:
        """Handle a request to one of the server's own endpoints."""
        return build_error_response(404, "no-page", detail=request.target)

    def count_bad_input(self, kind: str) -> None:
        """Count refused input by its kind."""
        self._on_bad_input(kind)

    def report(
        self, request: ClientRequest, trace: Trace, response: ClientResponse
    ) -> None:
        """Report a completed request."""
        del request, trace, response

    def start_task(self, function: Callable[[], Awaitable[None]]) -> None:
        """Run a function as a task of the server."""
        assert self._nursery is not None
        self._nursery.start_soon(function)

    def watch(self, fileno: int, connection: WatchedConnection) -> None:
        """Watch a connection for further requests and for a disconnect."""
        self._watched[fileno] = connection
        if self.reads_ahead:
            self.await_input(fileno)

    def await_input(self, fileno: int) -> None:
        """Call ``read_ahead`` of a watched connection at its next input."""
        if fileno not in self._watched:
            return
        try:
            try:
                self._epoll.modify(fileno, _INPUT_EVENTS)
            except FileNotFoundError:
                self._epoll.register(fileno, _INPUT_EVENTS)
        except OSError as error:
            # Without a watch, further requests are read in their turn.
            _log.warning("event=watch-failed errno=%s", error.errno)

    def unwatch(self, fileno: int) -> None:
        """Stop watching a connection."""
        self._watched.pop(fileno, None)
        if self.reads_ahead:
            # Input is left to the connection itself until the next watch.
            with contextlib.suppress(FileNotFoundError):
                self._epoll.modify(fileno, select.EPOLLONESHOT)
