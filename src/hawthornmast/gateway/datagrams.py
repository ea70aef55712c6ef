"""UDP messages between members.

They are heartbeats, evidence, notices of leaving upstreams, and requests and
loans of allowances.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import errno
import logging
import socket
from typing import Any

import msgpack
import trio

from hawthornmast.audit import log_event
from hawthornmast.audit import log_failures
from hawthornmast.common.ticks import sleep_until_tick

_LOG = logging.getLogger("hawthornmast.gateway.datagrams")

MAX_DATAGRAM_BYTES = 60_000

MAX_DATAGRAMS_PER_WAKEUP = 64
"""Datagrams handled for each wakeup before other tasks may run."""

IDLE_RECEIVE_INTERVAL_S = 0.05
"""Interval at which an idle member handles the datagrams that have arrived,
instead of waking for each: a quarter of what a heartbeat may be late, and half
of what a request waits for an allowance of another member."""

MAX_EMPTY_RECEIVES = 8
"""Intervals without a datagram after which an idle member waits for one."""


class MessageKind(enum.IntEnum):
    """Kinds of messages; the values are part of the datagram format."""

    HEARTBEAT = 1
    EVIDENCE = 2
    LEAVING_UPSTREAM = 3
    ALLOWANCE_REQUEST = 4
    ALLOWANCE_LOAN = 5


class DatagramTransport:
    """Sends and receives small messages without retransmission.

    Parameters
    ----------
    host, port
        Address to receive on.
    handle
        Called with the kind, the payload, the sender's IP address and the
        seconds that the message may have waited for an idle member. The
        message is counted as refused if it raises ValueError, TypeError or
        IndexError.
    is_idle
        Whether messages may wait for up to ``IDLE_RECEIVE_INTERVAL_S``.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        handle: Callable[[MessageKind, Any, str, float], None],
        is_idle: Callable[[], bool] = lambda: False,
    ) -> None:
        self._host = host
        self._port = port
        self._handle = handle
        self._is_idle = is_idle
        self._socket: socket.socket | None = None
        self.sent_bytes = 0
        self.refused = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the port and start receiving in the nursery."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((self._host, self._port))
        self._socket = sock
        nursery.start_soon(self._receive)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._socket is not None:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def send(
        self, hosts: Iterable[str], kind: MessageKind, payload: Any
    ) -> None:
        """Send one message to each host without blocking.

        Datagrams that the kernel rejects, or has no buffer space for, are
        dropped.
        """
        if self._socket is None:
            return
        data = msgpack.packb([int(kind), payload])
        if len(data) > MAX_DATAGRAM_BYTES:
            log_event(_LOG, "datagram-too-long", bytes=len(data))
            return
        for host in hosts:
            try:
                self._socket.sendto(data, (host, self._port))
            except OSError as error:
                if error.errno == errno.EBADF:
                    raise
                log_event(
                    _LOG,
                    "datagram-failed",
                    level=logging.DEBUG,
                    peer=host,
                    detail=error.strerror,
                )
            else:
                self.sent_bytes += len(data)

    async def _receive(self) -> None:
        sock = self._socket
        assert sock is not None
        while True:
            try:
                await trio.lowlevel.wait_readable(sock)
            except trio.ClosedResourceError:
                return
            count = self._drain(sock, waited_s=0.0)
            empty = 0
            while (
                count < MAX_DATAGRAMS_PER_WAKEUP
                and empty < MAX_EMPTY_RECEIVES
                and self._is_idle()
            ):
                drained_at = trio.current_time()
                await sleep_until_tick(IDLE_RECEIVE_INTERVAL_S)
                if sock.fileno() < 0:
                    return
                # A stall of the process doesn't make messages older.
                waited_s = min(
                    trio.current_time() - drained_at, IDLE_RECEIVE_INTERVAL_S
                )
                count = self._drain(sock, waited_s=waited_s)
                empty = 0 if count else empty + 1

    def _drain(self, sock: socket.socket, *, waited_s: float) -> int:
        """Handle the datagrams that have arrived; return their number."""
        for count in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, address = sock.recvfrom(65_536)
            except BlockingIOError:
                return count
            except OSError as error:
                log_event(_LOG, "datagram-failed", detail=error.strerror or "")
                return count
            with log_failures("receive-datagram"):
                self._dispatch(data, address[0], waited_s)
        return MAX_DATAGRAMS_PER_WAKEUP

    def _dispatch(
        self, data: bytes, sender_host: str, waited_s: float
    ) -> None:
        try:
            kind, payload = msgpack.unpackb(data)
            self._handle(MessageKind(kind), payload, sender_host, waited_s)
        except (ValueError, TypeError, IndexError, msgpack.UnpackException):
            self.refused += 1
            log_event(
                _LOG,
                "datagram-refused",
                level=logging.WARNING,
                peer=sender_host,
                bytes=len(data),
            )
