"""Sending and receiving on non-blocking sockets.

trio's sockets yield to the scheduler after each successful call. A proxy waits
for its peer after each send anyway, so these functions only yield when a call
would block.
"""

import os
import socket

import trio


async def connect(sock: socket.socket, host: str, port: int) -> None:
    """Connect to an IP address; resolving a name would block the event loop.

    If the call is cancelled, the caller must close the socket.
    """
    try:
        sock.connect((host, port))
    except BlockingIOError:
        await trio.lowlevel.wait_writable(sock)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise OSError(error_number, os.strerror(error_number)) from None


async def receive(sock: socket.socket, size: int) -> bytes:
    """Return the next bytes, or no bytes at the end of the connection."""
    while True:
        await trio.lowlevel.wait_readable(sock)
        try:
            return sock.recv(size)
        except BlockingIOError:
            continue


async def send_some(sock: socket.socket, data: bytes | memoryview) -> int:
    """Send at least one byte; if the call is cancelled, none was sent."""
    while True:
        try:
            return sock.send(data)
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
