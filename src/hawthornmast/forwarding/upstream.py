"""HTTP client for upstreams with connection pools."""

from collections.abc import Callable
import math
import socket

import h11
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.forwarding import sockets
from hawthornmast.forwarding.connections import ConnectionPool
from hawthornmast.forwarding.connections import UpstreamConnection
from hawthornmast.forwarding.exchange import apply_keep_alive_timeout
from hawthornmast.forwarding.exchange import check_framing
from hawthornmast.forwarding.exchange import check_head
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.exchange import read_head
from hawthornmast.forwarding.exchange import UpstreamRequest
from hawthornmast.forwarding.memory import ResponseMemory
from hawthornmast.forwarding.serialization import write_request

MAX_SHORT_REQUEST_BYTES = 8192
"""Size up to which a request fits into the receive window of its connection,
whether or not its upstream reads."""


class UpstreamClient:
    """Sends requests to upstreams over limited connection pools.

    Parameters
    ----------
    idle_s
        Seconds after which an idle connection is closed; less if its
        upstream announced a shorter keep-alive timeout.
    connect_s
        Timeout in seconds for establishing a connection.
    max_idle_connections
        Maximum number of idle connections per upstream.
    allow_close_delimited
        Accept responses without a length, which end when the connection is
        closed.
    singleton_headers
        Names in lower case of headers that a response has at most once.
    clock
        Monotonic time in seconds.

    Attributes
    ----------
    memory
        Counts the response bytes that the process holds.
    """

    def __init__(
        self,
        *,
        idle_s: float = 15.0,
        connect_s: float = 1.0,
        max_idle_connections: int = 16,
        allow_close_delimited: bool = False,
        singleton_headers: frozenset[bytes] = frozenset(),
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.memory = ResponseMemory()
        self._idle_s = idle_s
        self._connect_s = connect_s
        self._max_idle_connections = max_idle_connections
        self._allow_close_delimited = allow_close_delimited
        self._singleton_headers = singleton_headers
        self._clock = clock
        self._pools: dict[str, ConnectionPool] = {}
        self._closed = False

    def open_connections(self) -> int:
        """Return the number of open connections to all upstreams."""
        return sum(pool.open for pool in self._pools.values())

    async def send(
        self,
        upstream: Upstream,
        request: UpstreamRequest,
        progress: Progress,
        *,
        deadline: float,
        new_connection: bool,
        buffer_bytes: int,
        max_idle_s: float = math.inf,
        accepts_head: Callable[[Exchange], bool] = lambda exchange: True,
        whole: bool = False,
    ) -> Result[Exchange, StepError]:
        """Send a request and read its response up to ``buffer_bytes``.

        Cancelling the call closes the connection; ``progress`` then shows
        whether the upstream may have run the request.

        Parameters
        ----------
        deadline
            Checked immediately before the first byte is sent.
        new_connection
            Don't use a pooled connection.
        max_idle_s
            Don't use a connection that was idle for longer.
        accepts_head
            Returns whether the head is one of a response to the request. If
            not, its body is not read, because it may never end.
        whole
            Fill the buffer also while the memory for responses is full,
            because the response can't be streamed.
        """
        conn: UpstreamConnection | None = None
        exchange: Exchange | None = None
        succeeded = False
        step = "connect"
        try:
            conn = await self._acquire(
                upstream, progress, new_connection, max_idle_s
            )
            if conn is None:
                detail = f"all {upstream.connections} connections are in use"
                return Err(StepError(step=step, detail=detail))
            step = "write"
            data = write_request(
                conn.h11_connection,
                request.method,
                request.target,
                request.headers,
                request.body,
                has_body=request.has_body,
            )
            if len(data) > MAX_SHORT_REQUEST_BYTES:
                conn.await_slow_reader()
            now = self._clock()
            if now >= deadline:
                return Err(
                    StepError(
                        step="deadline",
                        detail="passed before the request was sent",
                    )
                )
            # The call returns once bytes were sent. If it raises, also when
            # cancelled, the upstream has received nothing.
            sent = await sockets.send_some(conn.sock, data)
            progress.started = True
            progress.started_at = now
            while sent < len(data):
                sent += await sockets.send_some(conn.sock, data[sent:])
            step = "read"
            exchange = await self._read_head(conn, request, progress)
            if accepts_head(exchange):
                await exchange.fill_buffer(buffer_bytes, whole=whole)
            succeeded = True
            return Ok(exchange)
        except (OSError, h11.RemoteProtocolError) as error:
            progress.connect_timed_out = step == "connect" and isinstance(
                error, TimeoutError
            )
            detail = f"{type(error).__name__}: {error}"
            return Err(
                StepError(step=step, detail=detail, peer=upstream.address)
            )
        finally:
            if conn is not None and not succeeded:
                conn.close()
                if exchange is not None:
                    exchange.discard_body()

    def return_connection(self, conn: UpstreamConnection) -> None:
        """Return a connection to its pool if reusable, otherwise close it."""
        h11_connection = conn.h11_connection
        pool = conn.pool
        if (
            h11_connection.our_state is not h11.DONE
            or h11_connection.their_state is not h11.DONE
            or h11_connection.trailing_data[0]
            or len(pool.idle) >= self._max_idle_connections
            or self._closed
            or not conn.finish_request()
        ):
            conn.close()
            return
        h11_connection.start_next_cycle()
        conn.idle_since = self._clock()
        conn.idle_s = min(conn.idle_s, self._idle_s)
        pool.idle.append(conn)

    def close_idle(self) -> None:
        """Close connections that exceeded their idle timeout."""
        now = self._clock()
        for key, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].is_expired(now):
                pool.idle.popleft().close()
            if not pool.open:
                del self._pools[key]

    def close(self) -> None:
        """Close all idle connections and stop pooling."""
        self._closed = True
        for pool in self._pools.values():
            while pool.idle:
                pool.idle.pop().close()

    async def _acquire(
        self,
        upstream: Upstream,
        progress: Progress,
        new_connection: bool,
        max_idle_s: float,
    ) -> UpstreamConnection | None:
        # The key has both the identifier and the address, because addresses
        # are reused by other instances.
        key = f"{upstream.upstream_id} {upstream.host}:{upstream.port}"
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = ConnectionPool()
        if not new_connection:
            now = self._clock()
            while pool.idle:
                # The newest is last; if it is too old, all are.
                if now - pool.idle[-1].idle_since > max_idle_s:
                    break
                conn = pool.idle.pop()
                if not conn.is_expired(now) and conn.is_reusable():
                    progress.reused = True
                    return conn
                conn.close()
        elif pool.open >= upstream.connections and pool.idle:
            pool.idle.popleft().close()
        if pool.open >= upstream.connections:
            return None
        return await self._connect(upstream, pool)

    async def _connect(
        self, upstream: Upstream, pool: ConnectionPool
    ) -> UpstreamConnection:
        family = socket.AF_INET6 if ":" in upstream.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        conn = UpstreamConnection(sock, pool)
        connected = False
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn.detect_lost_path()
            with trio.move_on_after(self._connect_s):
                await sockets.connect(sock, upstream.host, upstream.port)
                connected = True
            if not connected:
                raise TimeoutError(f"no connection in {self._connect_s} s")
        finally:
            if not connected:
                conn.close()
        return conn

    async def _read_head(
        self,
        conn: UpstreamConnection,
        request: UpstreamRequest,
        progress: Progress,
    ) -> Exchange:
        head = await read_head(conn, progress, self.memory)
        exchange = Exchange(self.return_connection, conn, head, self.memory)
        check_head(head, exchange.headers, self._singleton_headers)
        check_framing(
            exchange, head, request.method, self._allow_close_delimited
        )
        apply_keep_alive_timeout(conn, exchange)
        return exchange
