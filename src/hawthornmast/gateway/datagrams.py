"""Datagrams between members: beats with news, and evidence."""

from collections.abc import Callable
import enum
import errno
import logging
from typing import Any

import msgpack
import trio

from hawthornmast.audit import log_event

_LOG = logging.getLogger("hawthornmast.gateway.datagrams")

MAX_BYTES = 60_000


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
        self._socket: trio.socket.SocketType | None = None
        self.sent_bytes = 0
        self.refused = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the port and receive in the nursery."""
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await sock.bind((self._host, self._port))
        self._socket = sock
        nursery.start_soon(self._receive)

    def close(self) -> None:
        """Close the port."""
        if self._socket is not None:
            self._socket.close()

    async def send(self, host: str, kind: Kind, content: Any) -> None:
        """Send one message; what the network refuses is lost."""
        if self._socket is None:
            return
        data = msgpack.packb([int(kind), content])
        if len(data) > MAX_BYTES:
            log_event(_LOG, "datagram-too-long", bytes=len(data), peer=host)
            return
        try:
            await self._socket.sendto(data, (host, self._port))
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
            return
        self.sent_bytes += len(data)

    async def _receive(self) -> None:
        sock = self._socket
        assert sock is not None
        while True:
            try:
                data, address = await sock.recvfrom(65_536)
            except trio.ClosedResourceError:
                return
            except OSError as error:
                log_event(_LOG, "datagram-failed", detail=error.strerror or "")
                continue
            try:
                kind, content = msgpack.unpackb(data)
                self._handle(Kind(kind), content, address[0])
            except (
                ValueError,
                TypeError,
                IndexError,
                msgpack.UnpackException,
            ):
                self.refused += 1
                log_event(
                    _LOG,
                    "datagram-refused",
                    level=logging.WARNING,
                    peer=address[0],
                    bytes=len(data),
                )
