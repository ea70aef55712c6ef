"""One connection of a client."""

import math
import socket
from typing import Protocol

import h11
import trio

from hawthornmast.forwarding import sockets
from hawthornmast.forwarding.delivery import Deliver
from hawthornmast.forwarding.delivery import OpenScope
from hawthornmast.forwarding.dialect import Dialect
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.inputs import check_lines
from hawthornmast.forwarding.inputs import ClientLimits
from hawthornmast.forwarding.inputs import parse_head
from hawthornmast.forwarding.messages import Answer
from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import refuse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.upstream import Exchange
from hawthornmast.forwarding.writing import write_response

_READ_BYTES = 16_384
_NO_BODY = frozenset({204, 304})
_LINGER_S = 0.5
_LINGER_BYTES = 1_048_576


class RequestRunner(Protocol):
    """Decides a request and runs it on upstreams."""

    def check(self, request: ClientRequest) -> Answer | None:
        """Return the refusal of a request that needs no body to decide."""

    async def run(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
    ) -> Answer:
        """Run a request and return its answer."""


class Host(Protocol):
    """What a connection needs of its server."""

    limits: ClientLimits
    dialect: Dialect
    closing: bool
    body_bytes: int

    @property
    def forwarder(self) -> RequestRunner:
        """What runs the requests."""

    def new_request_id(self) -> str:
        """Return an identifier that is unique in the fleet."""

    def identify(self, request: ClientRequest) -> None:
        """Give a request its identifier."""

    def is_page(self, request: ClientRequest) -> bool:
        """Tell whether the server itself answers a request."""

    async def prepare(self, request: ClientRequest) -> None:
        """Learn of the request's service if this daemon doesn't know it."""

    def answer_page(self, request: ClientRequest) -> Answer:
        """Answer a request for the fleet's own pages."""

    def count_bad_input(self, kind: str) -> None:
        """Count a refused input by its kind."""

    def report(
        self, request: ClientRequest, trace: Trace, answer: Answer
    ) -> None:
        """Report a finished request."""

    def watch(self, connection: "ClientConnection") -> None:
        """Cancel the connection's request when its client leaves."""

    def unwatch(self, connection: "ClientConnection") -> None:
        """Stop watching a connection."""


class ClientConnection:
    """Serves the requests of one connection, one after the other."""

    def __init__(self, host: Host, sock: socket.socket, client: str) -> None:
        self.sock = sock
        self.idle = True
        # The server cancels this scope once the time is past the limit. A
        # plain number is cheaper to change than a scope's deadline.
        self.reading = trio.CancelScope()
        self.limit = math.inf
        self._step = ""
        self._held = 0
        self.running = trio.CancelScope()
        self.trace = Trace()
        self._host = host
        self._limits = host.limits
        self._client = client
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=host.limits.header_bytes
        )

    async def serve(self) -> None:
        """Serve until the connection ends, and close it."""
        try:
            with self.reading:
                while await self._serve_one():
                    self._hold(-self._held)
                    self._connection.start_next_cycle()
            if self.reading.cancelled_caught and not self.idle and self._step:
                bad = BadInputError(408, f"slow-{self._step}")
                with trio.move_on_after(self._limits.write_s):
                    await self._refuse_input(bad, None)
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            self._hold(-self._held)
            self.sock.close()

    async def _serve_one(self) -> bool:
        request: ClientRequest | None = None
        bad: BadInputError | None = None
        self.limit = trio.current_time() + self._limits.idle_s
        self.idle = not self._connection.trailing_data[0]
        self._step = "header"
        try:
            head = await self._read_head()
            if head is None:
                return False
            self._step = "body"
            request = parse_head(
                head, self._limits, self._client, self._host.dialect
            )
            self._host.identify(request)
            await self._host.prepare(request)
            # Without a body the same checks are made when it runs.
            refused = self._check_early(request) if request.framed else None
            if refused is None:
                await self._read_body(request)
        except BadInputError as error:
            bad = error
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            kind = "header-too-long" if status == 431 else "protocol"
            bad = BadInputError(status, kind, str(error))
        self._step = ""
        self.limit = math.inf
        if bad is not None:
            await self._refuse_input(bad, request)
            return False
        assert request is not None
        return await self._answer(request, refused)

    async def _read_head(self) -> h11.Request | None:
        connection = self._connection
        if self.idle:
            # h11 needs data first; asking it costs more than receiving.
            await self._receive_head()
        while True:
            check_lines(connection.trailing_data[0], self._limits)
            event = connection.next_event()
            if event is h11.NEED_DATA:
                await self._receive_head()
            elif type(event) is h11.Request:
                self.idle = False
                return event
            else:
                return None

    async def _receive_head(self) -> None:
        data = await sockets.receive(self.sock, _READ_BYTES)
        if data and self.idle:
            self.idle = False
            self.limit = trio.current_time() + self._limits.header_s
        self._connection.receive_data(data)

    def _check_early(self, request: ClientRequest) -> Answer | None:
        if self._host.is_page(request):
            return None
        return self._host.forwarder.check(request)

    def _hold(self, count: int) -> None:
        """Count the bytes of bodies that are held in memory."""
        self._held += count
        self._host.body_bytes += count

    async def _read_body(self, request: ClientRequest) -> None:
        connection = self._connection
        self.limit = request.arrived + self._limits.body_s
        if connection.they_are_waiting_for_100_continue:
            await self._send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await sockets.receive(self.sock, 65_536)
                connection.receive_data(data)
            elif type(event) is h11.Data:
                body += event.data
                self._hold(len(event.data))
                if len(body) > self._limits.body_bytes:
                    raise BadInputError(413, "body-too-long")
                if self._host.body_bytes > self._limits.total_body_bytes:
                    raise BadInputError(503, "bodies-too-long")
            elif type(event) is h11.EndOfMessage:
                break
            else:
                raise BadInputError(400, "cut-body")
        request.body = bytes(body)

    async def _answer(
        self, request: ClientRequest, refused: Answer | None
    ) -> bool:
        """Run and answer a request; return whether another may follow."""
        host = self._host
        trace = self.trace = Trace()
        if refused is not None:
            answer = refused
        elif host.is_page(request):
            answer = host.answer_page(request)
        else:
            host.watch(self)
            try:
                answer = await host.forwarder.run(
                    request,
                    trace,
                    self._open_scope,
                    self._make_deliver(request),
                )
            finally:
                host.unwatch(self)
        host.report(request, trace, answer)
        if (
            trace.left
            or answer.cut
            or self._connection.our_state is not h11.SEND_RESPONSE
        ):
            return (
                answer.sent
                and not answer.cut
                and not trace.left
                and self._is_reusable()
            )
        if not await self._write(request, answer):
            return False
        if self._connection.their_state is not h11.DONE:
            # The body was not read; the answer must not be lost to a reset.
            await self._linger()
            return False
        return self._is_reusable()

    def _open_scope(self, deadline: float) -> trio.CancelScope:
        self.running = trio.CancelScope(deadline=deadline)
        return self.running

    def _is_reusable(self) -> bool:
        connection = self._connection
        return (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )

    async def _write(self, request: ClientRequest, answer: Answer) -> bool:
        body = answer.body
        length: bytes | None = b"%d" % len(body)
        if request.method == "HEAD":
            length, body = answer.length or length, b""
        if answer.status in _NO_BODY:
            length, body = None, b""
        connection = self._connection
        data = write_response(
            connection,
            answer.status,
            self._host.dialect.head(answer, request.request_id),
            body,
            length=length,
            close=self._host.closing or connection.their_state is not h11.DONE,
        )
        return await self._send_bytes(data)

    def _add_close(self, headers: RawHeaders) -> None:
        if self._host.closing or (
            self._connection.their_state is not h11.DONE
        ):
            headers.append((b"connection", b"close"))

    def _make_deliver(self, request: ClientRequest) -> Deliver:
        async def deliver(answer: Answer, exchange: Exchange) -> bool:
            connection = self._connection
            headers = self._host.dialect.head(answer, request.request_id)
            if answer.length is not None:
                headers.append((b"content-length", answer.length))
            self._add_close(headers)
            event: h11.Event = h11.Response(
                status_code=answer.status, headers=headers
            )
            data = connection.send(event) or b""
            part = answer.body
            # The entry's deadline limits the time that a client may take.
            self.trace.streaming = True
            while part:
                data += connection.send(h11.Data(data=part)) or b""
                if not await self._send_bytes(data):
                    self.trace.left = True
                    return False
                data = b""
                self.trace.streaming = False
                try:
                    part = await exchange.read()
                except (OSError, h11.RemoteProtocolError):
                    return False
                self.trace.streaming = True
            data = connection.send(h11.EndOfMessage()) or b""
            return not data or await self._send_bytes(data)

        return deliver

    async def _refuse_input(
        self, bad: BadInputError, request: ClientRequest | None
    ) -> None:
        self._host.count_bad_input(bad.kind)
        if self._connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        request_id = request.request_id if request else ""
        answer = refuse(bad.status, bad.kind, detail=str(bad))
        headers = self._host.dialect.head(
            answer, request_id or self._host.new_request_id()
        )
        headers.append((b"content-length", b"%d" % len(answer.body)))
        headers.append((b"connection", b"close"))
        data = self._connection.send(
            h11.Response(
                status_code=answer.status, headers=headers, reason=b""
            )
        )
        assert data is not None
        if request is None or request.method != "HEAD":
            data += self._connection.send(h11.Data(data=answer.body)) or b""
        if await self._send_bytes(data):
            await self._linger()

    async def _send(self, event: h11.Event) -> None:
        data = self._connection.send(event)
        if data:
            await self._send_bytes(data)

    async def _send_bytes(self, data: bytes) -> bool:
        """Send all bytes; return False when the client is gone."""
        try:
            sent = await sockets.send_some(self.sock, data)
            if sent < len(data):
                before = self.limit
                if not self.trace.streaming:
                    self.limit = trio.current_time() + self._limits.write_s
                while sent < len(data):
                    sent += await sockets.send_some(self.sock, data[sent:])
                self.limit = before
        except OSError:
            return False
        return True

    async def _linger(self) -> None:
        """Read what the client still sends, so that it gets the answer.

        Closing a socket with unread data resets the connection, and the
        client may lose an answer that it has not read yet.
        """
        with trio.move_on_after(_LINGER_S):
            try:
                self.sock.shutdown(socket.SHUT_WR)
                taken = 0
                while taken < _LINGER_BYTES:
                    data = await sockets.receive(self.sock, 65_536)
                    if not data:
                        return
                    taken += len(data)
            except OSError:
                return
