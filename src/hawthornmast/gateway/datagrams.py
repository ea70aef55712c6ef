"""Datagrams between members: beats with news, and evidence."""

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

_LOG = logging.getLogger("hawthornmast.gateway.datagrams")

MAX_BYTES = 60_000

MOST_AT_ONCE = 64
"""Datagrams that are handled before other work gets its turn."""


class Kind(enum.IntEnum):
    """Kinds of datagrams."""

    BEAT = 1
    EVIDENCE = 2


class Datagrams:
    """Sends and receives small messages; lost ones are not repeated.

    Parameters
    ----------
    host, port
        Address to receive on.
    handle
        Called with the kind, the content and the sender's IP address; a
        ValueError, TypeError or IndexError refuses the message.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        handle: Callable[[Kind, Any, str], None],
    ) -> None:
        self._host = host
        self._port = port
        self._handle = handle
        self._socket: socket.socket | None = None
        self.sent_bytes = 0
        self.refused = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the port and receive in the nursery."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((self._host, self._port))
        self._socket = sock
        nursery.start_soon(self._receive)

    def close(self) -> None:
        """Close the port."""
        if self._socket is not None:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def send(self, hosts: Iterable[str], kind: Kind, content: Any) -> None:
        """Send one message to each host, without waiting.

        What the network refuses, or has no room for, is lost.
        """
        if self._socket is None:
            return
        data = msgpack.packb([int(kind), content])
        if len(data) > MAX_BYTES:
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
            for _ in range(MOST_AT_ONCE):
                try:
                    data, address = sock.recvfrom(65_536)
                except BlockingIOError:
                    break
                except OSError as error:
                    log_event(
                        _LOG, "datagram-failed", detail=error.strerror or ""
                    )
                    break
                self._accept(data, address[0])

    def _accept(self, data: bytes, sender: str) -> None:
        try:
            kind, content = msgpack.unpackb(data)
            self._handle(Kind(kind), content, sender)
        except (ValueError, TypeError, IndexError, msgpack.UnpackException):
            self.refused += 1
            log_event(
                _LOG,
                "datagram-refused",
                level=logging.WARNING,
                peer=sender,
                bytes=len(data),
            )
