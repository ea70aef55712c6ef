"""The server on the clients' address."""

from collections.abc import Callable
from collections.abc import Sequence
import errno
import itertools
import logging
import secrets
import select
import socket

import trio

from hawthornmast.forwarding import pages
from hawthornmast.forwarding import relay
from hawthornmast.forwarding.connection import ClientConnection
from hawthornmast.forwarding.connection import RequestRunner
from hawthornmast.forwarding.dialect import Dialect
from hawthornmast.forwarding.dialect import OwnDialect
from hawthornmast.forwarding.forwarder import Forwarder
from hawthornmast.forwarding.inputs import ClientLimits
from hawthornmast.forwarding.messages import Answer
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import refuse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.runtime import RequestReport
from hawthornmast.forwarding.runtime import ServiceDirectory
from hawthornmast.forwarding.tickets import TicketBook
from hawthornmast.forwarding.upstream import UpstreamClient

_log = logging.getLogger(__name__)

# Within this time a request is cancelled after its client has left. One poll
# of all running requests is cheaper than a reading task for each of them.
_WATCH_S = 0.05
_IDLE_WATCH_S = 0.2
_SWEEP_S = 1.0
_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Hawthornmast-Outcome: not-run\r\nHawthornmast-Reason: connections\r\n"
    b"Retry-After: 1\r\nConnection: close\r\n\r\n"
)
_SHORT_OF_RESOURCES = {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.ENOBUFS,
}


def _ignore_report(report: RequestReport) -> None:
    del report


def _ignore_kind(kind: str) -> None:
    del kind


class ConnectionServer:
    """Accepts clients and serves their connections.

    Parameters
    ----------
    forwarder
        Runs the requests.
    dialect
        The interface that the clients speak.
    upstreams
        Connections to upstreams; closed with the server.
    host, port
        Address to listen on; port 0 chooses one.
    limits
        Limits on what clients may send.
    on_bad_input
        Called with the kind of each input that was refused.
    """

    def __init__(
        self,
        forwarder: RequestRunner,
        dialect: Dialect,
        upstreams: UpstreamClient,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        limits: ClientLimits | None = None,
        on_bad_input: Callable[[str], None] = _ignore_kind,
    ) -> None:
        self.limits = limits or ClientLimits()
        self.forwarder = forwarder
        self.dialect = dialect
        self.closing = False
        self.body_bytes = 0
        self._upstreams = upstreams
        self._host = host
        self._port = port
        self._on_bad_input = on_bad_input
        self._connections: set[ClientConnection] = set()
        self._watched: dict[int, ClientConnection] = {}
        self._listeners: list[trio.SocketListener] = []
        self._accepting = trio.CancelScope()
        self._accepted = trio.Event()
        self._scope = trio.CancelScope()
        self._ended = trio.Event()
        self._prefix = secrets.token_hex(4)
        self._serial = itertools.count(1)

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self._port

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy(self) -> bool:
        """Whether any request is running."""
        return bool(self._watched)

    async def start(
        self,
        nursery: trio.Nursery,
        *,
        listener: socket.socket | None = None,
    ) -> None:
        """Listen, and serve in the nursery until ``close``.

        Parameters
        ----------
        listener
            A socket that listens already, instead of a new one.
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

    def begin_drain(self) -> None:
        """Answer with ``Connection: close`` from now on.

        New connections are still accepted, and idle ones stay open, because
        clients hold this daemon's address for a while. A connection that is
        closed as its client writes a request would lose that request.
        """
        self.closing = True

    def _close_idle(self) -> None:
        poller = select.poll()
        idle = {}
        for connection in self._connections:
            if connection.idle and connection.sock.fileno() >= 0:
                idle[connection.sock.fileno()] = connection
                poller.register(connection.sock.fileno(), select.POLLIN)
        # A request that has arrived but was not read yet is served.
        pending = {fileno for fileno, _ in poller.poll(0)}
        for fileno, connection in idle.items():
            if fileno not in pending:
                connection.reading.cancel()

    async def finish(self, grace: float) -> None:
        """Accept for ``grace`` seconds more, then wait for all requests.

        Nothing is cut; every request ends by its entry's deadline.
        """
        self.begin_drain()
        await trio.sleep(grace)
        self._accepting.cancel()
        await self._accepted.wait()
        self._close_idle()
        while self._connections:
            await trio.sleep(0.01)
            self._close_idle()
        await self.close()

    async def close(self) -> None:
        """Stop at once; requests in flight are cut."""
        self._scope.cancel()
        await self._ended.wait()

    async def _serve(self) -> None:
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch_clients)
                    nursery.start_soon(self._sweep)
                    await self._accept(nursery)
                    await trio.sleep_forever()
        finally:
            for listener in self._listeners:
                listener.socket.close()
            self._upstreams.close()
            self._accepted.set()
            self._ended.set()

    async def _accept(self, nursery: trio.Nursery) -> None:
        listener = self._listeners[0].socket
        with self._accepting:
            while True:
                await self._accept_one(listener, nursery)
        # Connections that the kernel holds already are served, too.
        poller = select.poll()
        poller.register(listener.fileno(), select.POLLIN)
        while poller.poll(0):
            await self._accept_one(listener, nursery)
        listener.close()
        self._accepted.set()

    async def _accept_one(
        self, listener: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        try:
            sock, address = await listener.accept()
        except OSError as error:
            if error.errno in _SHORT_OF_RESOURCES:
                _log.warning("event=accept-failed errno=%s", error.errno)
                await trio.sleep(0.1)
            return
        if len(self._connections) >= self.limits.connections:
            self.count_bad_input("connections")
            with trio.move_on_after(0.1):
                try:
                    await sock.send(_FULL)
                except OSError:
                    pass
            sock.close()
            return
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        raw = socket.socket(fileno=sock.detach())
        raw.setblocking(False)
        nursery.start_soon(self._serve_client, raw, address)

    async def _serve_client(
        self, sock: socket.socket, address: tuple[str, int]
    ) -> None:
        connection = ClientConnection(self, sock, f"{address[0]}:{address[1]}")
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception:
            # A fault in one connection must not end the others.
            _log.exception("event=connection-failed client=%s", address[0])
        finally:
            self._connections.discard(connection)

    async def _watch_clients(self) -> None:
        while True:
            await trio.sleep(_WATCH_S if self._connections else _IDLE_WATCH_S)
            now = trio.current_time()
            for connection in self._connections:
                if connection.limit <= now:
                    connection.reading.cancel()
            if not self._watched:
                continue
            poller = select.poll()
            for fileno in self._watched:
                poller.register(fileno, select.POLLRDHUP)
            for fileno, events in poller.poll(0):
                if events & _LEFT:
                    connection = self._watched[fileno]
                    connection.trace.left = True
                    connection.running.cancel()

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(_SWEEP_S)
            self._upstreams.close_idle()

    def new_request_id(self) -> str:
        """Return an identifier that is unique in the fleet."""
        return f"{self._prefix}-{next(self._serial):x}"

    def identify(self, request: ClientRequest) -> None:
        """Give a request an identifier unless its client sent one."""
        if not request.request_id:
            request.request_id = self.new_request_id()

    def is_page(self, request: ClientRequest) -> bool:
        """Tell whether the server itself answers a request."""
        del request
        return False

    async def prepare(self, request: ClientRequest) -> None:
        """Learn what is needed to decide a request."""
        del request

    def answer_page(self, request: ClientRequest) -> Answer:
        """Answer a request for a page of the server itself."""
        return refuse(404, "no-page", detail=request.target)

    def count_bad_input(self, kind: str) -> None:
        """Count a refused input by its kind."""
        self._on_bad_input(kind)

    def report(
        self, request: ClientRequest, trace: Trace, answer: Answer
    ) -> None:
        """Report a finished request."""
        del request, trace, answer

    def watch(self, connection: ClientConnection) -> None:
        """Cancel the connection's request when its client leaves."""
        self._watched[connection.sock.fileno()] = connection

    def unwatch(self, connection: ClientConnection) -> None:
        """Stop watching a connection."""
        self._watched.pop(connection.sock.fileno(), None)


class ClientServer(ConnectionServer):
    """Serves the fleet's own interface, with its pages and tickets.

    Parameters
    ----------
    directory
        Services of this daemon and owners of the others.
    tickets
        Tickets of this incarnation.
    upstreams
        Connections to upstreams; closed with the server.
    host, port
        Address to listen on; port 0 chooses one.
    limits
        Limits on what clients may send.
    peer_secrets
        Shared secrets of the fleet; the first signs relayed requests.
        Without any, nothing is relayed.
    on_finished
        Called with the report of each request that was read whole.
    on_bad_input
        Called with the kind of each input that was refused.
    """

    def __init__(
        self,
        directory: ServiceDirectory,
        tickets: TicketBook,
        upstreams: UpstreamClient,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        limits: ClientLimits | None = None,
        peer_secrets: Sequence[bytes] = (),
        on_finished: Callable[[RequestReport], None] = _ignore_report,
        on_bad_input: Callable[[str], None] = _ignore_kind,
    ) -> None:
        limits = limits or ClientLimits()
        self.mark = relay.RelayMark(peer_secrets)
        forwarder = Forwarder(
            directory,
            upstreams,
            tickets,
            mark=self.mark,
            buffer_bytes=limits.answer_buffer_bytes,
        )
        super().__init__(
            forwarder,
            OwnDialect(),
            upstreams,
            host=host,
            port=port,
            limits=limits,
            on_bad_input=on_bad_input,
        )
        self._directory = directory
        self._tickets = tickets
        self._on_finished = on_finished

    def identify(self, request: ClientRequest) -> None:
        """Give the request its identifier, that of its relay if it has one."""
        if request.mark is not None:
            if self.mark.check(request.mark, request.method, request.target):
                request.relayed = True
                request.request_id = request.mark.partition(b".")[0].decode()
                return
            # An ordinary client sent it; the header is dropped.
            self.count_bad_input("forged-relay")
        super().identify(request)

    def is_page(self, request: ClientRequest) -> bool:
        """Tell whether a request is for the fleet's own pages."""
        return request.target.startswith(pages.ROOT)

    async def prepare(self, request: ClientRequest) -> None:
        """Learn of the request's service if this daemon doesn't know it."""
        name = request.service
        if request.target.startswith(pages.ROOT):
            name = pages.read_service(request.target)
        if not self._directory.is_known(name):
            await self._directory.prepare(name)

    def answer_page(self, request: ClientRequest) -> Answer:
        """Answer a request for the fleet's own pages."""
        return pages.answer_page(
            request.method,
            request.target,
            directory=self._directory,
            tickets=self._tickets,
            closing=self.closing,
        )

    def report(
        self, request: ClientRequest, trace: Trace, answer: Answer
    ) -> None:
        """Report a finished request."""
        total_s = trio.current_time() - request.arrived
        self._on_finished(
            RequestReport(
                request_id=request.request_id,
                service=request.service,
                entry=trace.entry,
                owner=trace.owner,
                rank=trace.rank,
                outcome=answer.outcome,
                status=answer.status,
                reason=answer.reason,
                upstreams=tuple(trace.upstreams),
                queue_s=trace.queue_s,
                total_s=total_s,
                revision=trace.revision,
                client=request.client,
            )
        )
