"""Tests of upstreams that close the connection within a response."""

import contextlib
import socket
import struct

import pytest
from result import Err
import trio

from hawthornmast.common import Upstream
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.exchange import UpstreamRequest

BODY = b"0123456789"
HEADS = {
    "length": b"Content-Length: 10\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "close": b"Connection: close\r\n",
}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def make_response(framing: str) -> tuple[bytes, bytes]:
    """Return head and body of a response."""
    head = (
        b"HTTP/1.1 200 OK\r\nServer-Name: a\r\n" + HEADS[framing] + b"X: y\r\n"
    )
    body = BODY
    if framing == "chunked":
        body = b"a\r\n" + BODY + b"\r\n0\r\n\r\n"
    return head + b"\r\n", body


@contextlib.asynccontextmanager
async def run_cutting_upstream(data: bytes, *, reset: bool):
    """Run an upstream that sends some bytes and closes the connection."""

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(4096)
        if data:
            await stream.send_all(data)
        if reset:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        yield listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


async def send_request(port: int):
    """Send a request and return the result of reading its response."""
    client = UpstreamClient(allow_close_delimited=True)
    try:
        return await client.send(
            Upstream(
                upstream_id="u", zone="a", host="127.0.0.1", port=port, slots=1
            ),
            UpstreamRequest(
                method=b"GET", target=b"/", headers=[(b"host", b"x")]
            ),
            Progress(),
            deadline=trio.current_time() + 2.0,
            new_connection=False,
            buffer_bytes=1000,
        )
    finally:
        client.close()


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("framing", HEADS)
class TestCutResponse:
    """A response that ends within its head or body is never complete."""

    async def test_cut_within_the_head(
        self, framing: str, reset: bool
    ) -> None:
        head, _ = make_response(framing)
        for size in range(len(head)):
            async with run_cutting_upstream(head[:size], reset=reset) as port:
                result = await send_request(port)
            assert isinstance(result, Err), head[:size]

    async def test_cut_within_the_body(
        self, framing: str, reset: bool
    ) -> None:
        head, body = make_response(framing)
        for size in range(len(body)):
            async with run_cutting_upstream(
                head + body[:size], reset=reset
            ) as port:
                result = await send_request(port)
            if framing == "close" and not reset:
                # Its end is the end of the connection.
                assert bytes(result.unwrap().body) == body[:size]
            else:
                assert isinstance(result, Err), body[:size]
