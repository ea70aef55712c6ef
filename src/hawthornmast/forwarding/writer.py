"""Writing of the responses of one client connection."""

from collections.abc import Sequence
import math
import socket

import h11
import trio

from hawthornmast.forwarding import sockets
from hawthornmast.forwarding.context import ServerContext
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.serialization import write_response
from hawthornmast.forwarding.turns import Turn

_BODILESS_STATUSES = frozenset({204, 304})
_MAX_COPIED_BYTES = 65_536
"""Size up to which parts of a stream are joined and sent at once."""

_LINGER_S = 0.5
_LINGER_BYTES = 1_048_576


class ResponseWriter:
    """Writes responses, one at a time, and limits the time they take.

    Attributes
    ----------
    deadline
        Monotonic time by which the client must have read the response that
        is being written. The server polls it.
    """

    __slots__ = ("_server", "_sock", "deadline")

    def __init__(self, server: ServerContext, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self.deadline = math.inf

    async def write(
        self, turn: Turn, response: ClientResponse, *, close: bool
    ) -> bool:
        """Write a response; return False if the client has disconnected."""
        request = turn.request
        assert request is not None
        body = response.body
        content_length: bytes | None = b"%d" % len(body)
        if request.method == "HEAD":
            content_length, body = (
                response.content_length or content_length,
                b"",
            )
        if response.status in _BODILESS_STATUSES:
            content_length, body = None, b""
        data = write_response(
            turn.parser,
            response.status,
            self._server.dialect.build_headers(response, request.request_id),
            body,
            content_length=content_length,
            close=close,
        )
        return await self._send(data)

    async def stream(
        self,
        turn: Turn,
        response: ClientResponse,
        exchange: Exchange,
        *,
        close: bool,
    ) -> bool:
        """Pass on a response while it is read; return whether it ended.

        A slow client is limited by the deadline of the request and not by
        ``write_s``.
        """
        parser, trace = turn.parser, turn.trace
        assert turn.request is not None
        headers = self._server.dialect.build_headers(
            response, turn.request.request_id
        )
        if response.content_length is not None:
            headers.append((b"content-length", response.content_length))
        if close:
            headers.append((b"connection", b"close"))
        event: h11.Event = h11.Response(
            status_code=response.status, headers=headers
        )
        head = parser.send(event) or b""
        # Nothing else refers to the first chunk, which is freed once sent.
        chunk, response.body = response.body, b""
        trace.awaiting_client = True
        while chunk:
            parts = parser.send_with_data_passthrough(h11.Data(data=chunk))
            if not await self._send_parts(head, parts or ()):
                trace.client_disconnected = True
                return False
            head = b""
            trace.awaiting_client = False
            try:
                chunk = await exchange.read()
            except (OSError, h11.RemoteProtocolError):
                return False
            trace.awaiting_client = True
        data = parser.send(h11.EndOfMessage()) or b""
        return not data or await self._send(data, limited=False)

    async def _send_parts(self, head: bytes, parts: Sequence[bytes]) -> bool:
        """Send a part of a stream; copy it only if it is short."""
        if sum(map(len, parts)) <= _MAX_COPIED_BYTES:
            return await self._send(b"".join((head, *parts)), limited=False)
        for part in (head, *parts):
            if part and not await self._send(part, limited=False):
                return False
        return True

    async def refuse(self, turn: Turn, bad_input: BadInputError) -> bool:
        """Answer bad input; return whether the client could read it.

        The connection must be closed then.
        """
        self._server.count_bad_input(bad_input.kind)
        parser, request = turn.parser, turn.request
        if parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return False
        request_id = request.request_id if request else ""
        response = build_error_response(
            bad_input.status, bad_input.kind, detail=str(bad_input)
        )
        headers = self._server.dialect.build_headers(
            response, request_id or self._server.new_request_id()
        )
        headers.append((b"content-length", b"%d" % len(response.body)))
        headers.append((b"connection", b"close"))
        data = parser.send(
            h11.Response(
                status_code=response.status, headers=headers, reason=b""
            )
        )
        assert data is not None
        if request is None or request.method != "HEAD":
            data += parser.send(h11.Data(data=response.body)) or b""
        return await self._send(data)

    async def send_continue(self, parser: h11.Connection) -> None:
        """Ask the client for the body of a request."""
        data = parser.send(
            h11.InformationalResponse(status_code=100, headers=[])
        )
        if data:
            await self._send(data)

    async def linger(self) -> None:
        """Discard further input before the connection is closed.

        Closing a socket with unread data resets the connection, and the
        client may lose a response that it has not read yet.
        """
        with trio.move_on_after(_LINGER_S):
            try:
                self._sock.shutdown(socket.SHUT_WR)
                received = 0
                while received < _LINGER_BYTES:
                    data = await sockets.receive(self._sock, 65_536)
                    if not data:
                        return
                    received += len(data)
            except OSError:
                return

    async def _send(self, data: bytes, *, limited: bool = True) -> bool:
        """Send all bytes; return False if the client has disconnected."""
        try:
            sent = await sockets.send_some(self._sock, data)
            if sent < len(data):
                await self._send_rest(data, sent, limited=limited)
        except OSError:
            return False
        return True

    async def _send_rest(
        self, data: bytes, sent: int, *, limited: bool
    ) -> None:
        """Send what the socket didn't take at once.

        Parameters
        ----------
        sent
            Size of the part that was sent.
        limited
            The client has ``write_s`` for it.
        """
        memory = self._server.response_memory
        memory.hold(len(data))
        if limited:
            self.deadline = trio.current_time() + self._server.limits.write_s
        try:
            with memoryview(data) as view:
                while sent < len(data):
                    sent += await sockets.send_some(self._sock, view[sent:])
        finally:
            self.deadline = math.inf
            memory.release(len(data))
