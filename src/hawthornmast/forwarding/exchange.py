"""One exchange of a request and a response with an upstream."""

from collections import deque
from collections.abc import Callable
import fcntl
import math
import re
import socket
import struct
import termios

import attrs
import h11
import trio

from hawthornmast.forwarding import sockets
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.serialization import read_headers
from hawthornmast.http import check_status

_TCP_USER_TIMEOUT_MS = 1500
_READ_BYTES = 65536
_MAX_HEADER_BYTES = 32768
_MAX_INFORMATIONAL_RESPONSES = 8
"""Maximum number of informational responses before the final one."""

_HEAD_TIMEOUT_S = 1.0
"""Timeout for the rest of a response head once a part of it has arrived. A
head fits into one or two packets, and a lost one is sent again within this
time."""

_BODILESS_STATUSES = frozenset({204, 304})
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?: |$)")
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


class UpstreamConnection:
    """A pooled connection to an upstream."""

    __slots__ = (
        "_awaits_slow_reader",
        "closed",
        "h11_connection",
        "has_identifiers",
        "idle_s",
        "idle_since",
        "pool",
        "sock",
    )

    def __init__(self, sock: socket.socket, pool: "ConnectionPool") -> None:
        self.sock = sock
        self.closed = False
        self._awaits_slow_reader = False
        self.pool = pool
        self.idle_since = 0.0
        self.idle_s = math.inf
        # Whether a response on it carried the identifier of its request.
        self.has_identifiers = False
        self.h11_connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
        )
        pool.open += 1

    def close(self) -> None:
        """Close the connection; further calls have no effect."""
        if not self.closed:
            self.closed = True
            self.pool.open -= 1
            self.sock.close()

    def detect_lost_path(self) -> None:
        """Let the connection fail early when the peer acknowledges no data."""
        self._set_user_timeout(_TCP_USER_TIMEOUT_MS)
        self._awaits_slow_reader = False

    def await_slow_reader(self) -> None:
        """Let the peer take its time to read what is sent next.

        The early failure must not apply then: Linux applies the timeout also
        to a peer that acknowledges each probe, but whose receive window is
        closed because it reads slowly.
        """
        self._set_user_timeout(0)
        self._awaits_slow_reader = True

    def finish_request(self) -> bool:
        """Return whether the peer has acknowledged the request.

        If so, the connection can be used again, and fails early.
        """
        if self._awaits_slow_reader:
            try:
                unacknowledged = count_unacknowledged(self.sock)
            except OSError:
                # Unknown, so the connection is not used again.
                return False
            if unacknowledged:
                return False
            self.detect_lost_path()
        return True

    def _set_user_timeout(self, timeout_ms: int) -> None:
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )

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


def count_unacknowledged(sock: socket.socket) -> int:
    """Return the number of bytes that the peer has not acknowledged yet."""
    buffer = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    (count,) = struct.unpack("i", buffer)
    return int(count)


class ConnectionPool:
    """Open connections to one upstream."""

    __slots__ = ("idle", "open")

    def __init__(self) -> None:
        self.idle: deque[UpstreamConnection] = deque()
        self.open = 0


class Exchange:
    """An exchange whose response head was received.

    Parameters
    ----------
    return_connection
        Returns the connection to its pool.

    Attributes
    ----------
    status, headers
        Status and headers of the response.
    body
        Part of the body that was read so far.
    complete
        The body was read to its verified end.
    """

    __slots__ = (
        "_conn",
        "_return_connection",
        "_values",
        "body",
        "complete",
        "headers",
        "status",
    )

    def __init__(
        self,
        return_connection: Callable[[UpstreamConnection], None],
        conn: UpstreamConnection,
        head: h11.Response,
    ) -> None:
        self._return_connection = return_connection
        self._conn = conn
        self.status = head.status_code
        self.headers = read_headers(head)
        self._values = dict(self.headers)
        self.body = bytearray()
        self.complete = False

    @property
    def connection_has_identifiers(self) -> bool:
        """Whether a response on the connection named its request."""
        return self._conn.has_identifiers

    @connection_has_identifiers.setter
    def connection_has_identifiers(self, value: bool) -> None:
        self._conn.has_identifiers = value

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
            self._return_connection(self._conn)
        else:
            self._conn.close()


async def read_head(
    conn: UpstreamConnection, progress: Progress
) -> h11.Response:
    """Read the head of the final response.

    Raises OSError or ``h11.RemoteProtocolError`` if none comes, also when what
    comes has no end.
    """
    h11_connection = conn.h11_connection
    # Pooled connections have no unread data, and receiving first is
    # cheaper than asking h11 for an event.
    need_data = True
    head_deadline = math.inf
    informational_count = 0
    while True:
        if need_data:
            data = await _receive_by(conn.sock, head_deadline)
            progress.response_started = progress.response_started or bool(data)
            h11_connection.receive_data(data)
        event = h11_connection.next_event()
        need_data = event is h11.NEED_DATA
        if type(event) is h11.Response:
            check_status(event)
            return event
        if type(event) is h11.InformationalResponse:
            check_status(event)
            informational_count += 1
            head_deadline = math.inf
            if informational_count > _MAX_INFORMATIONAL_RESPONSES:
                raise h11.RemoteProtocolError(
                    "too many informational responses"
                )
        elif not need_data:
            raise h11.RemoteProtocolError("connection closed early")
        elif head_deadline == math.inf and h11_connection.trailing_data[0]:
            head_deadline = trio.current_time() + _HEAD_TIMEOUT_S


async def _receive_by(sock: socket.socket, deadline: float) -> bytes:
    """Receive data, or raise TimeoutError at the deadline."""
    if deadline == math.inf:
        return await sockets.receive(sock, _READ_BYTES)
    with trio.move_on_at(deadline):
        return await sockets.receive(sock, _READ_BYTES)
    raise TimeoutError(f"response head incomplete after {_HEAD_TIMEOUT_S} s")


def check_head(
    head: h11.Response,
    headers: RawHeaders,
    singleton_headers: frozenset[bytes],
) -> None:
    """Refuse a head that was merged from those of two responses.

    A response that breaks off within a line of its head, such as a second copy
    of an earlier one, may be followed by the response to the request. The
    status line of the latter then ends that line, and its headers go on the
    head of the former, under the wrong status.

    Parameters
    ----------
    singleton_headers
        Names of headers that a response has at most once.

    Raises
    ------
    h11.RemoteProtocolError
        If the head has the signs of a merged one.
    """
    for text in (head.reason, *(value for _, value in headers)):
        if b"HTTP/" in text and _STATUS_LINE.search(text):
            raise h11.RemoteProtocolError("status line within a head")
    names = [name for name, _ in headers if name in singleton_headers]
    if len(set(names)) < len(names):
        raise h11.RemoteProtocolError(f"repeated header among {names}")


def check_framing(
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


def apply_keep_alive_timeout(
    conn: UpstreamConnection, exchange: Exchange
) -> None:
    """Apply the keep-alive timeout that the upstream announced."""
    match = _KEEP_ALIVE_TIMEOUT.search(exchange.header(b"keep-alive") or b"")
    if match is not None:
        conn.idle_s = int(match[1]) * _KEEP_ALIVE_FRACTION
