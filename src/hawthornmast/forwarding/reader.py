"""Reading of the requests of one client connection."""

import math
import socket

import h11
import trio

from hawthornmast.forwarding import sockets
from hawthornmast.forwarding.context import ServerContext
from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.parsing import check_lines
from hawthornmast.forwarding.parsing import parse_head
from hawthornmast.forwarding.turns import Turn
from hawthornmast.forwarding.writer import ResponseWriter

_READ_BYTES = 16_384
_BODY_READ_BYTES = 65_536


class RequestReader:
    """Reads requests, one at a time, and limits the time they take.

    The server polls ``deadline``: setting a float is cheaper than changing
    the deadline of a scope.

    Attributes
    ----------
    parser
        Parser of the next request.
    idle
        No byte of the next request has arrived.
    deadline
        Monotonic time by which the part of a request that is being read must
        have arrived.
    held_bytes
        Size of the request bodies that the connection holds in memory.
    """

    __slots__ = (
        "_client",
        "_idle_scope",
        "_idle_since",
        "_limits",
        "_server",
        "_sock",
        "_step",
        "_writer",
        "deadline",
        "held_bytes",
        "idle",
        "parser",
    )

    def __init__(
        self,
        server: ServerContext,
        sock: socket.socket,
        client: str,
        writer: ResponseWriter,
    ) -> None:
        self._server = server
        self._sock = sock
        self._client = client
        self._writer = writer
        self._limits = server.limits
        self._idle_scope = trio.CancelScope()
        self._idle_since = trio.current_time()
        self.idle = True
        self._step = ""
        self.deadline = math.inf
        self.held_bytes = 0
        self.parser = self._make_parser()

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    def split(self) -> None:
        """Use a new parser, which gets what the previous one didn't read.

        h11 reads no further request before the response is sent.
        """
        data, closed = self.parser.trailing_data
        self.parser = self._make_parser()
        if data:
            self.parser.receive_data(data)
        if closed:
            self.parser.receive_data(b"")

    def has_input(self) -> bool:
        """Return whether a part of the next request was received.

        Receives what has arrived; doesn't wait.
        """
        data, closed = self.parser.trailing_data
        if data or closed:
            return bool(data)
        try:
            received = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return False
        self.parser.receive_data(received)
        return bool(received)

    @property
    def has_ended(self) -> bool:
        """Whether the client has sent all that it sends."""
        return self.parser.trailing_data[1]

    @property
    def is_reading(self) -> bool:
        """Whether a request is being read."""
        return bool(self._step)

    def is_overdue(self, now: float) -> bool:
        """Return whether the client is slow to send a request."""
        return now >= self.deadline or (
            bool(self._step) and now >= self._server.end_at
        )

    def cancel_overdue_idle(self, now: float) -> None:
        """End the connection if its client is idle for too long.

        Limits that were raised meanwhile apply too, since clients go by the
        new ones.
        """
        idle_s = self._server.limits.idle_s
        if now >= max(self.deadline, self._idle_since + idle_s):
            self.cancel_idle()

    def cancel_idle(self) -> None:
        """End the connection unless a request has just arrived on it."""
        self._idle_scope.cancel()

    def describe_lateness(self) -> BadInputError:
        """Return the refusal of a request that took too long to read."""
        if trio.current_time() >= self._server.end_at:
            return BadInputError(503, "closing")
        return BadInputError(408, f"slow-{self._step}")

    def finish_step(self) -> None:
        """Stop limiting the time."""
        self._step = ""
        self.deadline = math.inf

    async def read(self, *, ahead_bytes: int | None = None) -> Turn | None:
        """Read a request; return None at the end of the connection.

        Parameters
        ----------
        ahead_bytes
            Size of the longest body to read. Given only if earlier requests
            are not answered: other bodies wait for their turn.
        """
        turn = Turn(parser=self.parser)
        limits = self._limits = self._server.limits
        now = trio.current_time()
        self.idle = not self.parser.trailing_data[0]
        if self.idle:
            self._idle_since = now
            self.deadline = now + limits.idle_s
        else:
            self.deadline = now + limits.header_s
        self._step = "header"
        try:
            head = await self._read_head()
            if head is None:
                return None
            self._step = "body"
            request = turn.request = parse_head(
                head, limits, self._client, self._server.dialect
            )
            self._server.assign_request_id(request)
            await self._server.prepare(request)
            # A request without a body is checked when it runs.
            if request.has_body:
                turn.refusal = self._check_before_body(request)
                if turn.refusal is None and ahead_bytes is not None:
                    turn.body_pending = self._must_wait(request, ahead_bytes)
            if turn.refusal is None and not turn.body_pending:
                self.deadline = request.received_at + limits.body_s
                await self._read_body(turn, request)
        except BadInputError as error:
            turn.bad_input = error
        except h11.RemoteProtocolError as error:
            turn.bad_input = _describe(error)
        self.finish_step()
        return turn

    async def finish(self, turn: Turn) -> None:
        """Read the body of a request that waited for its turn."""
        assert turn.request is not None
        turn.body_pending = False
        self._step = "body"
        self.deadline = trio.current_time() + self._limits.body_s
        try:
            await self._read_body(turn, turn.request)
        except BadInputError as error:
            turn.bad_input = error
        except h11.RemoteProtocolError as error:
            turn.bad_input = _describe(error)
        self.finish_step()

    def release(self, turn: Turn) -> None:
        """Stop counting the body of a request that was answered."""
        self._count_body_bytes(turn, -turn.body_bytes)

    def release_all(self) -> None:
        """Stop counting all bodies when the connection ends."""
        self._server.buffered_body_bytes -= self.held_bytes
        self.held_bytes = 0

    def _count_body_bytes(self, turn: Turn, count: int) -> None:
        turn.body_bytes += count
        self.held_bytes += count
        self._server.buffered_body_bytes += count

    def _check_before_body(
        self, request: ClientRequest
    ) -> ClientResponse | None:
        if self._server.is_fleet_endpoint(request):
            return None
        return self._server.forwarder.check(request)

    def _must_wait(self, request: ClientRequest, ahead_bytes: int) -> bool:
        """Return whether a body is not to be read ahead of its turn.

        A client that expects 100 Continue gets it behind earlier responses.
        """
        if self.parser.they_are_waiting_for_100_continue:
            return True
        for name, value in request.headers:
            if name == b"content-length":
                return int(value) > ahead_bytes
        return True

    async def _read_head(self) -> h11.Request | None:
        parser = self.parser
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
            check_lines(parser.trailing_data[0], self._limits)
            event = parser.next_event()
            if event is h11.NEED_DATA:
                await self._receive_head()
            elif type(event) is h11.Request:
                self.idle = False
                return event
            else:
                return None

    async def _receive_head(self) -> None:
        data = await sockets.receive(self._sock, _READ_BYTES)
        if data and self.idle:
            self.idle = False
            self.deadline = trio.current_time() + self._limits.header_s
        self.parser.receive_data(data)

    async def _read_body(self, turn: Turn, request: ClientRequest) -> None:
        parser = turn.parser
        # A request without a body needs no 100, which could end up within the
        # response to an earlier request.
        if request.has_body and parser.they_are_waiting_for_100_continue:
            await self._writer.send_continue(parser)
        body = bytearray()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await sockets.receive(self._sock, _BODY_READ_BYTES)
                parser.receive_data(data)
            elif type(event) is h11.Data:
                body += event.data
                self._count_body_bytes(turn, len(event.data))
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


def _describe(error: h11.RemoteProtocolError) -> BadInputError:
    status = error.error_status_hint
    kind = "header-too-long" if status == 431 else "protocol"
    return BadInputError(status, kind, str(error))
