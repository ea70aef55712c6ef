"""HTTP client for upstreams with connection pools."""

from collections import deque
from collections.abc import Callable
import math
import re
import socket

import attrs
import h11
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.forwarding import sockets
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.serialization import read_headers
from hawthornmast.forwarding.serialization import write_request

_READ_BYTES = 65536
_MAX_HEADER_BYTES = 32768
_MAX_INFORMATIONAL_RESPONSES = 8
"""Maximum number of informational responses before the final one."""

_HEAD_TIMEOUT_S = 1.0
"""Timeout for the rest of a response head once a part of it has arrived. A
head fits into one or two packets, and a lost one is sent again within this
time."""

_BODILESS_STATUSES = frozenset({204, 304})
_TCP_USER_TIMEOUT_MS = 1500
_KEEP_ALIVE_TIMEOUT = re.compile(rb"\btimeout\s*=\s*(\d{1,6})\b", re.I)
_KEEP_ALIVE_FRACTION = 0.5
"""Fraction of the announced keep-alive timeout for which to pool a connection.

The rest covers the transit time of a request, which could otherwise cross the
upstream's close.
"""


@attrs.define
class Progress:
    """Progress of an attempt, also valid after it was cancelled.

    Parameters
    ----------
    started
        At least one byte of the request was sent.
    reused
        The attempt used a pooled connection.
    response_started
        At least one byte of a response was received.
    connect_timed_out
        Establishing the connection timed out; it was not refused.
    started_at
        Monotonic time at which sending started.
    """

    started: bool = False
    reused: bool = False
    response_started: bool = False
    connect_timed_out: bool = False
    started_at: float = 0.0


@attrs.define(kw_only=True)
class UpstreamRequest:
    """A request to an upstream, with its complete body."""

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes = b""
    has_body: bool = False


class _UpstreamConnection:
    """A pooled connection to an upstream."""

    __slots__ = (
        "closed",
        "h11_connection",
        "idle_s",
        "idle_since",
        "pool",
        "sock",
    )

    def __init__(self, sock: socket.socket, pool: "_Pool") -> None:
        self.sock = sock
        self.closed = False
        self.pool = pool
        self.idle_since = 0.0
        self.idle_s = math.inf
        self.h11_connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
        )
        pool.open += 1

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.pool.open -= 1
            self.sock.close()

    def is_expired(self, now: float) -> bool:
        """Return whether the connection exceeded its idle timeout."""
        return now - self.idle_since >= self.idle_s

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread data."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class _Pool:
    __slots__ = ("idle", "open")

    def __init__(self) -> None:
        self.idle: deque[_UpstreamConnection] = deque()
        self.open = 0


class Exchange:
    """An exchange whose response head was received.

    Parameters
    ----------
    status, headers
        Status and headers of the response.
    body
        Part of the body that was read so far.
    complete
        The body was read to its verified end.
    """

    __slots__ = (
        "_client",
        "_conn",
        "_values",
        "body",
        "complete",
        "headers",
        "status",
    )

    def __init__(
        self,
        client: "UpstreamClient",
        conn: _UpstreamConnection,
        head: h11.Response,
    ) -> None:
        self._client = client
        self._conn = conn
        self.status = head.status_code
        self.headers = read_headers(head)
        self._values = dict(self.headers)
        self.body = bytearray()
        self.complete = False

    def header(self, name: bytes) -> bytes | None:
        """Return the last value of a header, given its name in lower case."""
        return self._values.get(name)

    async def read(self) -> bytes:
        """Return the next part of the body, empty once it is complete.

        Raises OSError or ``h11.RemoteProtocolError`` for a truncated body.
        """
        h11_connection = self._conn.h11_connection
        while True:
            event = h11_connection.next_event()
            if event is h11.NEED_DATA:
                data = await sockets.receive(self._conn.sock, _READ_BYTES)
                h11_connection.receive_data(data)
            elif type(event) is h11.Data:
                return bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                self.complete = True
                return b""
            else:
                raise h11.RemoteProtocolError("connection closed early")

    async def fill_buffer(self, size: int) -> None:
        """Read the body until it is complete or exceeds ``size`` bytes."""
        while len(self.body) <= size:
            chunk = await self.read()
            if not chunk:
                return
            self.body += chunk

    def release(self, *, reusable: bool) -> None:
        """Return the connection to its pool, or close it.

        Parameters
        ----------
        reusable
            The response belongs to the request. After a response to another
            request, later ones on the connection may be mismatched as well.
        """
        if reusable and self.complete:
            self._client.return_connection(self._conn)
        else:
            self._conn.close()


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
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        idle_s: float = 15.0,
        connect_s: float = 1.0,
        max_idle_connections: int = 16,
        allow_close_delimited: bool = False,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._idle_s = idle_s
        self._connect_s = connect_s
        self._max_idle_connections = max_idle_connections
        self._allow_close_delimited = allow_close_delimited
        self._clock = clock
        self._pools: dict[str, _Pool] = {}
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
        """
        conn: _UpstreamConnection | None = None
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
                await exchange.fill_buffer(buffer_bytes)
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

    def return_connection(self, conn: _UpstreamConnection) -> None:
        """Return a connection to its pool if reusable, otherwise close it."""
        h11_connection = conn.h11_connection
        pool = conn.pool
        if (
            h11_connection.our_state is not h11.DONE
            or h11_connection.their_state is not h11.DONE
            or h11_connection.trailing_data[0]
            or len(pool.idle) >= self._max_idle_connections
            or self._closed
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
    ) -> _UpstreamConnection | None:
        # The key has both the identifier and the address, because addresses
        # are reused by other instances.
        key = f"{upstream.upstream_id} {upstream.host}:{upstream.port}"
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _Pool()
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
        self, upstream: Upstream, pool: _Pool
    ) -> _UpstreamConnection:
        family = socket.AF_INET6 if ":" in upstream.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        conn = _UpstreamConnection(sock, pool)
        connected = False
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Fail early if the peer doesn't acknowledge sent data.
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                _TCP_USER_TIMEOUT_MS,
            )
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
        conn: _UpstreamConnection,
        request: UpstreamRequest,
        progress: Progress,
    ) -> Exchange:
        h11_connection = conn.h11_connection
        # Pooled connections have no unread data, and receiving first is
        # cheaper than asking h11 for an event.
        need_data = True
        head_deadline = math.inf
        informational_count = 0
        while True:
            if need_data:
                data = await _receive_by(conn.sock, head_deadline)
                progress.response_started = progress.response_started or bool(
                    data
                )
                h11_connection.receive_data(data)
            event = h11_connection.next_event()
            need_data = event is h11.NEED_DATA
            if type(event) is h11.Response:
                break
            if type(event) is h11.InformationalResponse:
                informational_count += 1
                head_deadline = math.inf
                if informational_count > _MAX_INFORMATIONAL_RESPONSES:
                    raise h11.RemoteProtocolError(
                        "too many informational responses"
                    )
            elif not need_data:
                raise h11.RemoteProtocolError("connection closed early")
            elif head_deadline == math.inf and h11_connection.trailing_data[0]:
                head_deadline = self._clock() + _HEAD_TIMEOUT_S
        exchange = Exchange(self, conn, event)
        _check_framing(
            exchange, event, request.method, self._allow_close_delimited
        )
        _apply_keep_alive_timeout(conn, exchange)
        return exchange


async def _receive_by(sock: socket.socket, deadline: float) -> bytes:
    """Receive data, or raise TimeoutError at the deadline."""
    if deadline == math.inf:
        return await sockets.receive(sock, _READ_BYTES)
    with trio.move_on_at(deadline):
        return await sockets.receive(sock, _READ_BYTES)
    raise TimeoutError(f"response head incomplete after {_HEAD_TIMEOUT_S} s")


def _check_framing(
    exchange: Exchange,
    head: h11.Response,
    method: bytes,
    allow_close_delimited: bool,
) -> None:
    """Refuse a response whose end can't be verified."""
    content_length = exchange.header(b"content-length")
    transfer_encoding = exchange.header(b"transfer-encoding")
    if transfer_encoding is not None and content_length is not None:
        raise h11.RemoteProtocolError(
            "both Transfer-Encoding and Content-Length"
        )
    if transfer_encoding is not None and head.http_version < b"1.1":
        raise h11.RemoteProtocolError(
            "Transfer-Encoding in an HTTP/1.0 response"
        )
    if (
        transfer_encoding is None
        and content_length is None
        and method != b"HEAD"
        and exchange.status not in _BODILESS_STATUSES
        and not allow_close_delimited
    ):
        raise h11.RemoteProtocolError(
            "close-delimited body, whose end can't be verified"
        )


def _apply_keep_alive_timeout(
    conn: _UpstreamConnection, exchange: Exchange
) -> None:
    """Apply the keep-alive timeout that the upstream announced."""
    match = _KEEP_ALIVE_TIMEOUT.search(exchange.header(b"keep-alive") or b"")
    if match is not None:
        conn.idle_s = int(match[1]) * _KEEP_ALIVE_FRACTION
