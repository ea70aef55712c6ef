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

_LOG = logging.getLogger("hawthornmast.gateway.datagrams")

MAX_DATAGRAM_BYTES = 60_000

MAX_DATAGRAMS_PER_WAKEUP = 64
"""Datagrams handled for each wakeup before other tasks may run."""


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
        Called with the kind, the payload and the sender's IP address. The
        message is counted as refused if it raises ValueError, TypeError or
        IndexError.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        handle: Callable[[MessageKind, Any, str], None],
    ) -> None:
        self._host = host
        self._port = port
        self._handle = handle
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
            for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
                try:
                    data, address = sock.recvfrom(65_536)
                except BlockingIOError:
                    break
                except OSError as error:
                    log_event(
                        _LOG, "datagram-failed", detail=error.strerror or ""
                    )
                    break
                with log_failures("receive-datagram"):
                    self._dispatch(data, address[0])

    def _dispatch(self, data: bytes, sender_host: str) -> None:
        try:
            kind, payload = msgpack.unpackb(data)
            self._handle(MessageKind(kind), payload, sender_host)
        except (ValueError, TypeError, IndexError, msgpack.UnpackException):
            self.refused += 1
            log_event(
                _LOG,
                "datagram-refused",
                level=logging.WARNING,
                peer=sender_host,
                bytes=len(data),
            )
