"""Server side of one client connection."""

import math
import socket
from typing import Protocol

import h11
import trio

from hawthornmast.forwarding import sockets
from hawthornmast.forwarding.delivery import Deliver
from hawthornmast.forwarding.delivery import OpenScope
from hawthornmast.forwarding.dialect import Dialect
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.parsing import check_lines
from hawthornmast.forwarding.parsing import ClientLimits
from hawthornmast.forwarding.parsing import parse_head
from hawthornmast.forwarding.serialization import write_response

_READ_BYTES = 16_384
_BODILESS_STATUSES = frozenset({204, 304})
_LINGER_S = 0.5
_LINGER_BYTES = 1_048_576


class RequestHandler(Protocol):
    """Handles requests whose heads were parsed."""

    def check(self, request: ClientRequest) -> ClientResponse | None:
        """Return a refusal that doesn't depend on the body, or None."""

    async def run(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
    ) -> ClientResponse:
        """Forward a request and return its response."""


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
    """

    limits: ClientLimits
    dialect: Dialect
    closing: bool
    end_at: float
    buffered_body_bytes: int

    @property
    def forwarder(self) -> RequestHandler:
        """Handler of the requests."""

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

    def watch(self, connection: "ClientConnection") -> None:
        """Cancel the connection's request when its client disconnects."""

    def unwatch(self, connection: "ClientConnection") -> None:
        """Stop watching a connection for a disconnect."""


class ClientConnection:
    """Serves the requests of one connection sequentially."""

    def __init__(
        self, server: ServerContext, sock: socket.socket, client: str
    ) -> None:
        self.sock = sock
        self.idle = True
        # The server polls io_deadline, which limits both reads and writes,
        # and cancels this scope after it.
        # Setting a float is cheaper than changing the deadline of a scope.
        self.io_scope = trio.CancelScope()
        self.io_deadline = math.inf
        self._idle_scope = trio.CancelScope()
        self._idle_since = trio.current_time()
        self._step = ""
        self._buffered_bytes = 0
        self.request_scope = trio.CancelScope()
        self.trace = Trace()
        self._server = server
        self._limits = server.limits
        self._client = client
        self._h11_connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )

    async def serve(self) -> None:
        """Serve requests until the connection ends, then close it."""
        try:
            with self.io_scope:
                while await self._serve_request():
                    self._count_body_bytes(-self._buffered_bytes)
                    self._h11_connection.start_next_cycle()
            if self.io_scope.cancelled_caught and not self.idle and self._step:
                bad_input = (
                    BadInputError(503, "closing")
                    if trio.current_time() >= self._server.end_at
                    else BadInputError(408, f"slow-{self._step}")
                )
                with trio.move_on_after(self._limits.write_s):
                    await self._refuse_input(bad_input, None)
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            self._count_body_bytes(-self._buffered_bytes)
            self.sock.close()

    def cancel_overdue(self, now: float) -> None:
        """End the connection if its client is idle or slow for too long.

        Limits that were raised meanwhile apply to idle connections too, since
        clients go by the new ones.
        """
        if not self.idle:
            is_reading = bool(self._step)
            if now >= self.io_deadline or (
                is_reading and now >= self._server.end_at
            ):
                self.io_scope.cancel()
            return
        idle_limit_s = self._server.limits.idle_s
        if now >= max(self.io_deadline, self._idle_since + idle_limit_s):
            self.cancel_idle()

    def limit_request_time(self) -> None:
        """End the request in flight by the end of a draining server."""
        self.request_scope.deadline = min(
            self.request_scope.deadline, self._server.end_at
        )

    def cancel_idle(self) -> None:
        """End the connection unless a request has just arrived on it."""
        self._idle_scope.cancel()

    async def _serve_request(self) -> bool:
        request: ClientRequest | None = None
        bad_input: BadInputError | None = None
        self._limits = self._server.limits
        self._idle_since = trio.current_time()
        self.io_deadline = self._idle_since + self._limits.idle_s
        self.idle = not self._h11_connection.trailing_data[0]
        self._step = "header"
        try:
            head = await self._read_head()
            if head is None:
                return False
            self._step = "body"
            request = parse_head(
                head, self._limits, self._client, self._server.dialect
            )
            self._server.assign_request_id(request)
            await self._server.prepare(request)
            # A request without a body is checked by forwarder.run().
            refusal = (
                self._check_before_body(request) if request.has_body else None
            )
            if refusal is None:
                await self._read_body(request)
        except BadInputError as error:
            bad_input = error
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            kind = "header-too-long" if status == 431 else "protocol"
            bad_input = BadInputError(status, kind, str(error))
        self._step = ""
        self.io_deadline = math.inf
        if bad_input is not None:
            await self._refuse_input(bad_input, request)
            return False
        assert request is not None
        return await self._respond(request, refusal)

    async def _read_head(self) -> h11.Request | None:
        connection = self._h11_connection
        if self.idle:
            # No data is buffered, and receiving first is cheaper than
            # asking h11 for an event.
            # The request must not be cancelled with the wait for it, so the
            # wait has a scope of its own.
            with trio.CancelScope() as self._idle_scope:
                await self._receive_head()
            if self._idle_scope.cancelled_caught:
                return None
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
            self.io_deadline = trio.current_time() + self._limits.header_s
        self._h11_connection.receive_data(data)

    def _check_before_body(
        self, request: ClientRequest
    ) -> ClientResponse | None:
        if self._server.is_fleet_endpoint(request):
            return None
        return self._server.forwarder.check(request)

    def _count_body_bytes(self, count: int) -> None:
        """Add to the bytes of request bodies held in memory."""
        self._buffered_bytes += count
        self._server.buffered_body_bytes += count

    async def _read_body(self, request: ClientRequest) -> None:
        connection = self._h11_connection
        self.io_deadline = request.received_at + self._limits.body_s
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
                self._count_body_bytes(len(event.data))
                if len(body) > self._limits.body_bytes:
                    raise BadInputError(413, "body-too-long")
                if (
                    self._server.buffered_body_bytes
                    > self._limits.total_body_bytes
                ):
                    raise BadInputError(503, "bodies-too-long")
            elif type(event) is h11.EndOfMessage:
                break
            else:
                raise BadInputError(400, "cut-body")
        request.body = bytes(body)

    async def _respond(
        self, request: ClientRequest, refusal: ClientResponse | None
    ) -> bool:
        """Respond to a request; return whether to keep the connection."""
        server = self._server
        trace = self.trace = Trace()
        if refusal is not None:
            response = refusal
        elif server.is_fleet_endpoint(request):
            response = server.handle_fleet_endpoint(request)
        else:
            server.watch(self)
            try:
                response = await server.forwarder.run(
                    request,
                    trace,
                    self._open_scope,
                    self._make_deliver(request),
                )
            finally:
                server.unwatch(self)
        server.report(request, trace, response)
        if (
            trace.client_disconnected
            or response.truncated
            or self._h11_connection.our_state is not h11.SEND_RESPONSE
        ):
            return (
                response.streamed
                and not response.truncated
                and not trace.client_disconnected
                and self._is_reusable()
            )
        if not await self._write(request, response):
            return False
        if self._h11_connection.their_state is not h11.DONE:
            # The request body was not read, so closing now would reset the
            # connection and might discard the response.
            await self._linger()
            return False
        return self._is_reusable()

    def _open_scope(self, deadline: float) -> trio.CancelScope:
        self.request_scope = trio.CancelScope(
            deadline=min(deadline, self._server.end_at)
        )
        return self.request_scope

    def _is_reusable(self) -> bool:
        connection = self._h11_connection
        return (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )

    async def _write(
        self, request: ClientRequest, response: ClientResponse
    ) -> bool:
        body = response.body
        content_length: bytes | None = b"%d" % len(body)
        if request.method == "HEAD":
            content_length, body = (
                response.content_length or content_length,
                b"",
            )
        if response.status in _BODILESS_STATUSES:
            content_length, body = None, b""
        connection = self._h11_connection
        data = write_response(
            connection,
            response.status,
            self._server.dialect.build_headers(response, request.request_id),
            body,
            content_length=content_length,
            close=self._server.closing
            or connection.their_state is not h11.DONE,
        )
        return await self._send_bytes(data)

    def _add_close(self, headers: RawHeaders) -> None:
        if self._server.closing or (
            self._h11_connection.their_state is not h11.DONE
        ):
            headers.append((b"connection", b"close"))

    def _make_deliver(self, request: ClientRequest) -> Deliver:
        async def deliver(
            response: ClientResponse, exchange: Exchange
        ) -> bool:
            connection = self._h11_connection
            headers = self._server.dialect.build_headers(
                response, request.request_id
            )
            if response.content_length is not None:
                headers.append((b"content-length", response.content_length))
            self._add_close(headers)
            event: h11.Event = h11.Response(
                status_code=response.status, headers=headers
            )
            data = connection.send(event) or b""
            chunk = response.body
            # While streaming, a slow client is limited by the deadline of the
            # entry and not by write_s.
            self.trace.awaiting_client = True
            while chunk:
                data += connection.send(h11.Data(data=chunk)) or b""
                if not await self._send_bytes(data):
                    self.trace.client_disconnected = True
                    return False
                data = b""
                self.trace.awaiting_client = False
                try:
                    chunk = await exchange.read()
                except (OSError, h11.RemoteProtocolError):
                    return False
                self.trace.awaiting_client = True
            data = connection.send(h11.EndOfMessage()) or b""
            return not data or await self._send_bytes(data)

        return deliver

    async def _refuse_input(
        self, bad_input: BadInputError, request: ClientRequest | None
    ) -> None:
        self._server.count_bad_input(bad_input.kind)
        if self._h11_connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        request_id = request.request_id if request else ""
        response = build_error_response(
            bad_input.status, bad_input.kind, detail=str(bad_input)
        )
        headers = self._server.dialect.build_headers(
            response, request_id or self._server.new_request_id()
        )
        headers.append((b"content-length", b"%d" % len(response.body)))
        headers.append((b"connection", b"close"))
        data = self._h11_connection.send(
            h11.Response(
                status_code=response.status, headers=headers, reason=b""
            )
        )
        assert data is not None
        if request is None or request.method != "HEAD":
            data += (
                self._h11_connection.send(h11.Data(data=response.body)) or b""
            )
        if await self._send_bytes(data):
            await self._linger()

    async def _send(self, event: h11.Event) -> None:
        data = self._h11_connection.send(event)
        if data:
            await self._send_bytes(data)

    async def _send_bytes(self, data: bytes) -> bool:
        """Send all bytes; return False if the client has disconnected."""
        try:
            sent = await sockets.send_some(self.sock, data)
            if sent < len(data):
                previous = self.io_deadline
                if not self.trace.awaiting_client:
                    self.io_deadline = (
                        trio.current_time() + self._limits.write_s
                    )
                while sent < len(data):
                    sent += await sockets.send_some(self.sock, data[sent:])
                self.io_deadline = previous
        except OSError:
            return False
        return True

    async def _linger(self) -> None:
        """Discard further input before the connection is closed.

        Closing a socket with unread data resets the connection, and the
        client may lose a response that it has not read yet.
        """
        with trio.move_on_after(_LINGER_S):
            try:
                self.sock.shutdown(socket.SHUT_WR)
                received = 0
                while received < _LINGER_BYTES:
                    data = await sockets.receive(self.sock, 65_536)
                    if not data:
                        return
                    received += len(data)
            except OSError:
                return
