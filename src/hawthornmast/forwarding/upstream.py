"""Connections to upstreams and exchanges on them."""

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
from hawthornmast.forwarding.writing import read_headers
from hawthornmast.forwarding.writing import write_request

_READ_BYTES = 65536
_MAX_HEADER_BYTES = 32768
_NO_BODY = frozenset({204, 304})
_UNSENT_MS = 1500
_TIMEOUT = re.compile(rb"\btimeout\s*=\s*(\d{1,6})\b", re.I)
_IDLE_SHARE = 0.5
"""Part of the announced idle time after which a connection isn't used.

The rest covers the way of a request that crosses the upstream's close.
"""


@attrs.define
class Progress:
    """How far an attempt got, also when it was cancelled.

    Parameters
    ----------
    started
        A byte of the request was handed to the upstream.
    reused
        The attempt used a kept connection.
    answered
        A byte of a response arrived.
    unreachable
        No connection was established in time.
    started_at
        Time of the first byte.
    """

    started: bool = False
    reused: bool = False
    answered: bool = False
    unreachable: bool = False
    started_at: float = 0.0


@attrs.define(kw_only=True)
class UpstreamRequest:
    """A request with its whole body, ready to be sent."""

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes = b""
    framed: bool = False


class _Link:
    """One connection to an upstream."""

    __slots__ = (
        "closed",
        "connection",
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
        self.connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
        )
        pool.open += 1

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.pool.open -= 1
            self.sock.close()

    def is_expired(self, now: float) -> bool:
        """Return whether the connection was idle for too long."""
        return now - self.idle_since >= self.idle_s

    def is_quiet(self) -> bool:
        """Return whether the connection is open with nothing to read."""
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
        self.idle: deque[_Link] = deque()
        self.open = 0


class Exchange:
    """A response whose head has arrived.

    Parameters
    ----------
    status, headers
        Of the response.
    body
        What was read of the body so far.
    complete
        The whole body was read and its end was proved.
    """

    __slots__ = (
        "_client",
        "_found",
        "_link",
        "body",
        "complete",
        "headers",
        "status",
    )

    def __init__(
        self, client: "UpstreamClient", link: _Link, head: h11.Response
    ) -> None:
        self._client = client
        self._link = link
        self.status = head.status_code
        self.headers = read_headers(head)
        self._found = dict(self.headers)
        self.body = bytearray()
        self.complete = False

    def header(self, name: bytes) -> bytes | None:
        """Return the last value of a header; names are in lower case."""
        return self._found.get(name)

    async def read(self) -> bytes:
        """Return the next part of the body; empty when it is complete.

        Raises OSError or ``h11.RemoteProtocolError`` when the body is cut.
        """
        connection = self._link.connection
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await sockets.receive(self._link.sock, _READ_BYTES)
                connection.receive_data(data)
            elif type(event) is h11.Data:
                return bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                self.complete = True
                return b""
            else:
                raise h11.RemoteProtocolError("connection closed early")

    def release(self, *, own: bool) -> None:
        """Keep the connection for other requests, or close it.

        Parameters
        ----------
        own
            The response belongs to the request. After a response to another
            request, all later ones on the connection may be shifted.
        """
        if own and self.complete:
            self._client.keep(self._link)
        else:
            self._link.close()


class UpstreamClient:
    """Sends requests to upstreams over bounded pools of connections.

    Parameters
    ----------
    idle_s
        Seconds after which an idle connection is closed; sooner when its
        upstream announced less.
    connect_s
        Seconds within which a connection must be established.
    max_idle
        Idle connections kept for each upstream.
    ends_with_close
        Accept responses without a length, which end with the connection.
    clock
        Monotonic time.
    """

    def __init__(
        self,
        *,
        idle_s: float = 15.0,
        connect_s: float = 1.0,
        max_idle: int = 16,
        ends_with_close: bool = False,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._idle_s = idle_s
        self._connect_s = connect_s
        self._max_idle = max_idle
        self._ends_with_close = ends_with_close
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
        fresh: bool,
        buffer_bytes: int,
        max_idle_s: float = math.inf,
    ) -> Result[Exchange, StepError]:
        """Send a request and read its response up to ``buffer_bytes``.

        A cancelled call closes the connection; ``progress`` then tells
        whether the upstream may have run the request.

        Parameters
        ----------
        deadline
            Checked directly before the first byte is written.
        fresh
            Use a new connection.
        max_idle_s
            Use no connection that was idle for longer.
        """
        link: _Link | None = None
        done = False
        step = "connect"
        try:
            link = await self._take(upstream, progress, fresh, max_idle_s)
            if link is None:
                detail = f"all {upstream.connections} connections are in use"
                return Err(StepError(step=step, detail=detail))
            step = "write"
            data = write_request(
                link.connection,
                request.method,
                request.target,
                request.headers,
                request.body,
                framed=request.framed,
            )
            now = self._clock()
            if now >= deadline:
                return Err(StepError(step="deadline", detail="it passed"))
            # Either bytes are handed over and the call returns, or it
            # raises, also when cancelled, and the upstream got nothing.
            sent = await sockets.send_some(link.sock, data)
            progress.started = True
            progress.started_at = now
            while sent < len(data):
                sent += await sockets.send_some(link.sock, data[sent:])
            step = "read"
            exchange = await self._read_head(link, request, progress)
            while len(exchange.body) <= buffer_bytes:
                part = await exchange.read()
                if not part:
                    break
                exchange.body += part
            done = True
            return Ok(exchange)
        except (OSError, h11.RemoteProtocolError) as error:
            progress.unreachable = step == "connect" and isinstance(
                error, TimeoutError
            )
            detail = f"{type(error).__name__}: {error}"
            return Err(
                StepError(step=step, detail=detail, peer=upstream.address)
            )
        finally:
            if link is not None and not done:
                link.close()

    def keep(self, link: _Link) -> None:
        """Keep a connection whose exchange ended cleanly, else close it."""
        connection = link.connection
        pool = link.pool
        if (
            connection.our_state is not h11.DONE
            or connection.their_state is not h11.DONE
            or connection.trailing_data[0]
            or len(pool.idle) >= self._max_idle
            or self._closed
        ):
            link.close()
            return
        connection.start_next_cycle()
        link.idle_since = self._clock()
        link.idle_s = min(link.idle_s, self._idle_s)
        pool.idle.append(link)

    def close_idle(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock()
        for upstream_id, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].is_expired(now):
                pool.idle.popleft().close()
            if not pool.open:
                del self._pools[upstream_id]

    def close(self) -> None:
        """Close all idle connections and keep none from now on."""
        self._closed = True
        for pool in self._pools.values():
            while pool.idle:
                pool.idle.pop().close()

    async def _take(
        self,
        upstream: Upstream,
        progress: Progress,
        fresh: bool,
        max_idle_s: float,
    ) -> _Link | None:
        # Addresses are reused by other instances, so they are in the key.
        key = f"{upstream.upstream_id} {upstream.host}:{upstream.port}"
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _Pool()
        if not fresh:
            now = self._clock()
            while pool.idle:
                # The newest is tried; when it is too old, all are.
                if now - pool.idle[-1].idle_since > max_idle_s:
                    break
                link = pool.idle.pop()
                if not link.is_expired(now) and link.is_quiet():
                    progress.reused = True
                    return link
                link.close()
        elif pool.open >= upstream.connections and pool.idle:
            pool.idle.popleft().close()
        if pool.open >= upstream.connections:
            return None
        return await self._connect(upstream, pool)

    async def _connect(self, upstream: Upstream, pool: _Pool) -> _Link:
        family = socket.AF_INET6 if ":" in upstream.host else socket.AF_INET
        raw = socket.socket(family, socket.SOCK_STREAM)
        raw.setblocking(False)
        link = _Link(raw, pool)
        connected = False
        try:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Bytes that a silent connection never acknowledges fail soon.
            raw.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNSENT_MS
            )
            with trio.move_on_after(self._connect_s):
                await sockets.connect(raw, upstream.host, upstream.port)
                connected = True
            if not connected:
                raise TimeoutError(f"no connection in {self._connect_s} s")
        finally:
            if not connected:
                link.close()
        return link

    async def _read_head(
        self, link: _Link, request: UpstreamRequest, progress: Progress
    ) -> Exchange:
        connection = link.connection
        # A connection is kept only without unread data, so that h11 needs
        # data first; asking it costs more than receiving.
        needed = True
        while True:
            if needed:
                data = await sockets.receive(link.sock, _READ_BYTES)
                progress.answered = progress.answered or bool(data)
                connection.receive_data(data)
            event = connection.next_event()
            needed = event is h11.NEED_DATA
            if type(event) is h11.Response:
                break
            if not needed and type(event) is not h11.InformationalResponse:
                raise h11.RemoteProtocolError("connection closed early")
        exchange = Exchange(self, link, event)
        _check_framing(exchange, event, request.method, self._ends_with_close)
        _note_idle_time(link, exchange)
        return exchange


def _check_framing(
    exchange: Exchange,
    head: h11.Response,
    method: bytes,
    ends_with_close: bool,
) -> None:
    """Refuse a response whose end cannot be proved."""
    length = exchange.header(b"content-length")
    coding = exchange.header(b"transfer-encoding")
    if coding is not None and length is not None:
        raise h11.RemoteProtocolError("two kinds of body length")
    if coding is not None and head.http_version < b"1.1":
        raise h11.RemoteProtocolError("transfer-encoding in HTTP/1.0")
    if (
        coding is None
        and length is None
        and method != b"HEAD"
        and exchange.status not in _NO_BODY
        and not ends_with_close
    ):
        raise h11.RemoteProtocolError(
            "the body ends with the connection, so its end is not provable"
        )


def _note_idle_time(link: _Link, exchange: Exchange) -> None:
    """Remember how long the upstream keeps an idle connection."""
    found = _TIMEOUT.search(exchange.header(b"keep-alive") or b"")
    if found is not None:
        link.idle_s = int(found[1]) * _IDLE_SHARE
