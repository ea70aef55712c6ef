"""One exchange of a request and a response with an upstream."""

from collections.abc import Callable
import math
import re
import socket

import attrs
import h11
import trio

from hawthornmast.forwarding import sockets
from hawthornmast.forwarding.connections import UpstreamConnection
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.memory import ResponseMemory
from hawthornmast.forwarding.memory import SMALL_PIECE_BYTES
from hawthornmast.forwarding.serialization import read_headers
from hawthornmast.http import check_status

_MAX_INFORMATIONAL_RESPONSES = 8
"""Maximum number of informational responses before the final one."""

_HEAD_TIMEOUT_S = 1.0
"""Timeout for the rest of a response head once a part of it has arrived. A
head fits into one or two packets, and a lost one is sent again within this
time."""

_CHUNKS_PER_TURN = 8
"""Number of chunks of a body that are parsed before other tasks run."""

_SHORT_PART_BYTES = 1024
_MAX_SHORT_PARTS = 64
"""Number of parts in a row below ``_SHORT_PART_BYTES`` after which reading
pauses, so that many upstreams that send single bytes don't take all time."""

_SHORT_PART_PAUSE_S = 0.005

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


class Exchange:
    """An exchange whose response head was received.

    Parameters
    ----------
    return_connection
        Returns the connection to its pool.
    memory
        Counts the part of the body that is held.

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
        "_memory",
        "_return_connection",
        "_short_parts",
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
        memory: ResponseMemory,
    ) -> None:
        self._memory = memory
        self._return_connection = return_connection
        self._conn = conn
        self.status = head.status_code
        self.headers = read_headers(head)
        self._values = dict(self.headers)
        self.body = bytearray()
        self.complete = False
        self._short_parts = 0

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

        Chunks that were received together are returned as one part. Raises
        OSError or ``h11.RemoteProtocolError`` for a truncated body.
        """
        h11_connection = self._conn.h11_connection
        parts: list[bytes] = []
        while not self.complete:
            event = h11_connection.next_event()
            if event is h11.NEED_DATA:
                if parts:
                    break
                await self._pause_after_short_parts()
                data = await sockets.receive(
                    self._conn.sock, self._memory.piece_bytes
                )
                h11_connection.receive_data(data)
            elif type(event) is h11.Data:
                parts.append(event.data)
                if len(parts) % _CHUNKS_PER_TURN == 0:
                    await trio.lowlevel.checkpoint()
            elif type(event) is h11.EndOfMessage:
                self.complete = True
            else:
                raise h11.RemoteProtocolError("connection closed early")
        part = b"".join(parts)
        if len(part) < _SHORT_PART_BYTES:
            self._short_parts += 1
        else:
            self._short_parts = 0
        return part

    async def _pause_after_short_parts(self) -> None:
        """Let more of the body arrive if it comes in many short parts."""
        if self._short_parts > _MAX_SHORT_PARTS:
            await trio.sleep(_SHORT_PART_PAUSE_S)

    async def fill_buffer(self, size: int, *, whole: bool = False) -> None:
        """Read the body until it is complete or exceeds ``size`` bytes.

        While the memory for responses is full, a small piece is read only.

        Parameters
        ----------
        whole
            Read up to ``size`` bytes also then, for a client to which the
            body can't be streamed.
        """
        while len(self.body) <= size:
            chunk = await self.read()
            if not chunk:
                return
            self.body += chunk
            self._memory.hold(len(chunk))
            if (
                self._memory.is_full
                and not whole
                and len(self.body) >= SMALL_PIECE_BYTES
            ):
                return

    def discard_body(self) -> None:
        """Free the part of the body that was read so far."""
        if self.body:
            self._memory.release(len(self.body))
            self.body = bytearray()

    def release(self, *, reusable: bool) -> None:
        """Return the connection to its pool, or close it.

        Parameters
        ----------
        reusable
            The response belongs to the request. After a response to another
            request, later ones on the connection may be mismatched as well.
        """
        self.discard_body()
        if reusable and self.complete:
            self._return_connection(self._conn)
        else:
            self._conn.close()


async def read_head(
    conn: UpstreamConnection, progress: Progress, memory: ResponseMemory
) -> h11.Response:
    """Read the head of the final response, with the beginning of its body.

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
            data = await _receive_by(
                conn.sock, memory.piece_bytes, head_deadline
            )
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


async def _receive_by(
    sock: socket.socket, size: int, deadline: float
) -> bytes:
    """Receive data, or raise TimeoutError at the deadline."""
    if deadline == math.inf:
        return await sockets.receive(sock, size)
    with trio.move_on_at(deadline):
        return await sockets.receive(sock, size)
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
