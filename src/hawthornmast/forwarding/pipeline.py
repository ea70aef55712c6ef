"""Requests of one client connection that were read ahead of their turn."""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
import functools

import trio

from hawthornmast.audit import log_failures
from hawthornmast.forwarding.context import ServerContext
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.reader import RequestReader
from hawthornmast.forwarding.turns import EarlyRun
from hawthornmast.forwarding.turns import Turn

MAX_PIPELINED_REQUESTS = 8
"""Maximum number of requests of a connection that were read and are not
answered, the first one included."""

PIPELINE_BYTES = 524_288
"""Size of request bodies and of responses waiting for their turn from which no
further request of a connection is read."""


class Pipeline:
    """Reads requests ahead, starts them and keeps their order.

    A task of the server reads while there is input and room for it. It ends
    with the first request that can't run early, so that all requests read
    before the last one are running. The connection answers the first request
    itself and takes the others in their order.

    Parameters
    ----------
    server
        The server of the connection.
    reader
        Reads the requests.
    fileno
        Descriptor of the connection's socket.
    run
        Runs a request and returns its response.

    Attributes
    ----------
    is_reading
        A task reads a request.
    """

    def __init__(
        self,
        server: ServerContext,
        reader: RequestReader,
        fileno: int,
        *,
        run: Callable[[Turn], Awaitable[ClientResponse]],
    ) -> None:
        self._server = server
        self._reader = reader
        self._fileno = fileno
        self._run = run
        self._current: Turn | None = None
        self._turns: deque[Turn] = deque()
        self._held_bytes = 0
        self._closed = False
        self._scope = trio.CancelScope()
        self._running = 0
        self._changed = trio.Event()
        self.is_reading = False

    def read_ahead(self, current: Turn) -> None:
        """Read further requests if there is input and room for it.

        Parameters
        ----------
        current
            The request that is to be answered next.
        """
        self._current = current
        if not self.is_reading and self._has_room() and self._has_input():
            self.is_reading = True
            self._server.start_task(self._read)

    async def take(self) -> Turn | None:
        """Return the next request; None if no part of one was read."""
        while not self._turns and self.is_reading:
            await self._changed.wait()
        if not self._turns:
            return None
        turn = self._current = self._turns.popleft()
        self._hold(turn, 0)
        if turn.early is not None:
            turn.early.its_turn.set()
        return turn

    async def wait_turn(self, turn: Turn, held_bytes: int) -> None:
        """Hold back a response that is to be streamed until its turn."""
        if turn.early is not None and not turn.early.its_turn.is_set():
            self._hold(turn, held_bytes)
            await turn.early.its_turn.wait()

    def seal(self) -> bool:
        """Return whether the current request is the last to be answered.

        If so, no other one is read or run any more.
        """
        if any(turn.early is not None for turn in self._turns):
            return False
        self._stop_reading()
        return True

    def cancel_requests(self) -> None:
        """Cancel the requests that are running."""
        for turn in self._turns:
            turn.cancel()

    def limit_request_time(self, end_at: float) -> None:
        """End the requests that are running by a time."""
        for turn in self._turns:
            turn.limit_time(end_at)

    def cancel_reading(self) -> None:
        """Refuse the request that is being read because it takes too long."""
        self._scope.cancel()

    async def close(self) -> None:
        """Cancel everything and wait until no task uses the socket.

        Further calls have no effect.
        """
        self._stop_reading()
        self.cancel_requests()
        if self._current is not None and self._current.early is not None:
            self._current.cancel()
        with trio.CancelScope(shield=True):
            while self.is_reading or self._running:
                await self._changed.wait()
        for turn in self._turns:
            self._hold(turn, 0)

    def _stop_reading(self) -> None:
        self._closed = True
        self._scope.cancel()

    def _has_room(self) -> bool:
        if self._closed or self._server.closing or self._current is None:
            return False
        if self._turns:
            last = self._turns[-1]
            passable = last.early is not None or last.refusal is not None
        else:
            last = self._current
            passable = last.early is not None or self._may_run_early(last)
        return (
            passable
            and not last.is_last
            and len(self._turns) + 1 < MAX_PIPELINED_REQUESTS
            and self._count_bytes() < PIPELINE_BYTES
        )

    def _count_bytes(self) -> int:
        return self._held_bytes + self._reader.held_bytes

    def _may_run_early(self, turn: Turn) -> bool:
        return (
            turn.request is not None
            and turn.bad_input is None
            and turn.refusal is None
            and not turn.body_pending
            and not self._server.is_fleet_endpoint(turn.request)
            and self._server.forwarder.may_run_early(turn.request)
        )

    def _has_input(self) -> bool:
        try:
            if self._reader.has_input():
                return True
        except OSError:
            # The task that answers the current request finds it as well.
            return False
        if not self._reader.has_ended:
            self._server.await_input(self._fileno)
        return False

    async def _read(self) -> None:
        try:
            with log_failures("read-ahead"):
                await self._read_requests()
        finally:
            self.is_reading = False
            self._notify()

    async def _read_requests(self) -> None:
        reader = self._reader
        with trio.CancelScope() as self._scope:
            while self._has_room() and self._has_input():
                last = self._turns[-1] if self._turns else self._current
                if last is not None and reader.parser is last.parser:
                    reader.split()
                turn = await reader.read(
                    ahead_bytes=PIPELINE_BYTES - self._count_bytes()
                )
                if turn is None:
                    return
                self._append(turn)
        if self._scope.cancelled_caught and not self._closed:
            bad_input = reader.describe_lateness()
            reader.finish_step()
            self._append(Turn(parser=reader.parser, bad_input=bad_input))

    def _append(self, turn: Turn) -> None:
        if self._closed:
            return
        self._turns.append(turn)
        if not self._server.closing and self._may_run_early(turn):
            turn.early = EarlyRun()
            self._running += 1
            self._server.start_task(functools.partial(self._run_early, turn))
        self._notify()

    async def _run_early(self, turn: Turn) -> None:
        early = turn.early
        assert early is not None
        try:
            with log_failures("pipelined-request"):
                early.response = await self._run(turn)
            if early.response is not None and not early.its_turn.is_set():
                self._hold(turn, len(early.response.body))
        finally:
            early.ended.set()
            self._running -= 1
            self._notify()

    def _hold(self, turn: Turn, size: int) -> None:
        """Count a response that waits for its turn."""
        memory = self._server.response_memory
        if size >= turn.held_bytes:
            memory.hold(size - turn.held_bytes)
        else:
            memory.release(turn.held_bytes - size)
        self._held_bytes += size - turn.held_bytes
        turn.held_bytes = size

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
