"""Tests of client connections that are idle for about as long as allowed."""

import attrs
import pytest
import trio

from hawthornmast.forwarding import ClientLimits
from hawthornmast.forwarding import sockets
from hawthornmast.forwarding.tests.support import run_harness

GET = b"GET /read HTTP/1.1\r\nHost: billing\r\n\r\n"


async def send(stream: trio.SocketStream) -> bytes:
    """Send a request and return the beginning of the response."""
    await stream.send_all(GET)
    with trio.fail_after(2.0):
        return bytes(await stream.receive_some(4096))


class TestIdleConnection:
    """A request that has arrived is answered, however long the wait was."""

    async def test_request_is_not_cut_when_the_idle_time_ends_with_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with run_harness(1) as harness:
            receive = sockets.receive

            async def receive_at_expiry(sock, size):
                data = await receive(sock, size)
                # The expiry is checked after the data has arrived and before
                # the connection's task goes on.
                for connection in harness.server._connections:
                    if connection.sock is sock:
                        connection.cancel_overdue(trio.current_time() + 1e6)
                return data

            monkeypatch.setattr(sockets, "receive", receive_at_expiry)
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            assert (await send(stream)).startswith(b"HTTP/1.1 200")
            await stream.aclose()

    async def test_raised_idle_limit_applies_to_open_connections(self) -> None:
        limits = ClientLimits(idle_s=0.3)
        async with run_harness(1, limits=limits) as harness:
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            assert (await send(stream)).startswith(b"HTTP/1.1 200")
            harness.server.limits = attrs.evolve(limits, idle_s=30.0)
            await trio.sleep(0.8)
            assert (await send(stream)).startswith(b"HTTP/1.1 200")
            await stream.aclose()

    async def test_idle_connection_is_closed(self) -> None:
        async with run_harness(1, limits=ClientLimits(idle_s=0.2)) as harness:
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            assert (await send(stream)).startswith(b"HTTP/1.1 200")
            with trio.fail_after(2.0):
                assert await stream.receive_some(1) == b""
            await stream.aclose()
