"""Connections to upstreams and the pools that keep them."""

from collections import deque
import fcntl
import math
import socket
import struct
import termios

import h11

_TCP_USER_TIMEOUT_MS = 1500
_MAX_HEADER_BYTES = 32768


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
