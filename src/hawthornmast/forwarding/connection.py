"""Server side of one client connection."""

import functools
import socket

import h11
import trio

from hawthornmast.forwarding.context import ServerContext
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.pipeline import Pipeline
from hawthornmast.forwarding.reader import RequestReader
from hawthornmast.forwarding.turns import Turn
from hawthornmast.forwarding.writer import ResponseWriter


class ClientConnection:
    """Answers the requests of one connection in their order.

    One task reads a request, runs it and writes the response. Only if further
    requests arrive while one runs, and the server reads ahead, a ``Pipeline``
    reads and runs them in tasks of the server.
    """

    def __init__(
        self, server: ServerContext, sock: socket.socket, client: str
    ) -> None:
        self.sock = sock
        # The server polls the deadlines of the reader and the writer and
        # cancels this scope after them.
        self.io_scope = trio.CancelScope()
        self._server = server
        self._writer = ResponseWriter(server, sock)
        self._reader = RequestReader(server, sock, client, self._writer)
        self._turn: Turn | None = None
        self._pipeline: Pipeline | None = None
        self._read_overdue = False

    @property
    def idle(self) -> bool:
        """Whether the connection waits for a request."""
        return self._reader.idle

    async def serve(self) -> None:
        """Serve requests until the connection ends, then close it."""
        try:
            with self.io_scope:
                while await self._serve_request():
                    pass
            if self._read_overdue and self._reader.is_reading:
                with trio.move_on_after(self._server.limits.write_s):
                    await self._refuse(
                        Turn(parser=self._reader.parser),
                        self._reader.describe_lateness(),
                    )
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            if self._pipeline is not None:
                await self._pipeline.close()
            self._reader.release_all()
            self.sock.close()

    def cancel_overdue(self, now: float) -> None:
        """End the connection if its client is idle or slow for too long."""
        reader = self._reader
        if reader.idle:
            reader.cancel_overdue_idle(now)
            return
        if now >= self._writer.deadline:
            self.io_scope.cancel()
        elif reader.is_overdue(now):
            if self._pipeline is not None and self._pipeline.is_reading:
                self._pipeline.cancel_reading()
            else:
                self._read_overdue = True
                self.io_scope.cancel()

    def cancel_idle(self) -> None:
        """End the connection unless a request has just arrived on it."""
        self._reader.cancel_idle()

    def cancel_requests(self) -> None:
        """Cancel all requests because the client has disconnected."""
        if self._turn is not None:
            self._turn.cancel()
        if self._pipeline is not None:
            self._pipeline.cancel_requests()

    def limit_request_time(self) -> None:
        """End the requests in flight by the end of a draining server."""
        if self._turn is not None:
            self._turn.limit_time(self._server.end_at)
        if self._pipeline is not None:
            self._pipeline.limit_request_time(self._server.end_at)

    def read_ahead(self) -> None:
        """Read further requests, which have arrived."""
        if self._turn is None or not self._server.reads_ahead:
            return
        if self._pipeline is None:
            self._pipeline = Pipeline(
                self._server,
                self._reader,
                self.sock.fileno(),
                run=self._run,
            )
        self._pipeline.read_ahead(self._turn)

    async def _serve_request(self) -> bool:
        """Answer the next request; return whether to keep the connection."""
        turn = None
        if self._pipeline is not None:
            turn = await self._pipeline.take()
        if turn is None:
            turn = await self._reader.read()
            if turn is None:
                return False
        self._turn = turn
        if turn.body_pending:
            await self._reader.finish(turn)
        if turn.bad_input is not None:
            await self._refuse(turn, turn.bad_input)
            return False
        if not await self._answer(turn):
            return False
        self._reader.release(turn)
        if self._reader.parser is turn.parser:
            turn.parser.start_next_cycle()
        return True

    async def _answer(self, turn: Turn) -> bool:
        """Answer a request; return whether to keep the connection."""
        response = await self._find_response(turn)
        if response is None or turn.trace.client_disconnected:
            return False
        if response.truncated or (
            turn.parser.our_state is not h11.SEND_RESPONSE
        ):
            if not response.streamed or response.truncated:
                return False
        elif not await self._writer.write(
            turn, response, close=self._must_close(turn)
        ):
            return False
        if turn.parser.their_state is not h11.DONE:
            # Input may be unread, so closing now would reset the connection
            # and might discard the response.
            await self._linger()
            return False
        return turn.parser.our_state is h11.DONE

    async def _find_response(self, turn: Turn) -> ClientResponse | None:
        """Return the response to a request; None if running it failed."""
        server, request = self._server, turn.request
        assert request is not None
        if turn.refusal is not None:
            server.report(request, turn.trace, turn.refusal)
            return turn.refusal
        if server.is_fleet_endpoint(request):
            response = server.handle_fleet_endpoint(request)
            server.report(request, turn.trace, response)
            return response
        fileno = self.sock.fileno()
        server.watch(fileno, self)
        try:
            if self._pipeline is not None or turn.parser.trailing_data[0]:
                self.read_ahead()
            if turn.early is None:
                return await self._run(turn)
            await turn.early.ended.wait()
            return turn.early.response
        finally:
            server.unwatch(fileno)

    async def _run(self, turn: Turn) -> ClientResponse:
        """Run a request and report it."""
        request = turn.request
        assert request is not None
        response = await self._server.forwarder.run(
            request,
            turn.trace,
            functools.partial(self._open_scope, turn),
            functools.partial(self._deliver, turn),
        )
        self._server.report(request, turn.trace, response)
        return response

    def _open_scope(self, turn: Turn, deadline: float) -> trio.CancelScope:
        return turn.open_scope(min(deadline, self._server.end_at))

    async def _deliver(
        self, turn: Turn, response: ClientResponse, exchange: Exchange
    ) -> bool:
        """Stream a response in its turn; return whether it was completed."""
        turn.trace.awaiting_client = True
        exchange.discard_body()
        if self._pipeline is not None:
            await self._pipeline.wait_turn(turn, len(response.body))
        return await self._writer.stream(
            turn, response, exchange, close=self._must_close(turn)
        )

    def _must_close(self, turn: Turn) -> bool:
        """Return whether the response is the last one on the connection."""
        if turn.is_last:
            return True
        return self._server.closing and (
            self._pipeline is None or self._pipeline.seal()
        )

    async def _refuse(self, turn: Turn, bad_input: BadInputError) -> None:
        if await self._writer.refuse(turn, bad_input):
            await self._linger()

    async def _linger(self) -> None:
        if self._pipeline is not None:
            await self._pipeline.close()
        await self._writer.linger()
