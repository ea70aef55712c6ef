"""Tests of connections whose peer acknowledges nothing.

Guards against requests that wait until their deadline on a kept connection
that went silent, although another upstream could serve them.
"""

import errno
import os
import socket

import pytest
import trio

from hawthornmast.common import Upstream
from hawthornmast.forwarding import sockets
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.exchange import UpstreamRequest
from standins.upstream import UpstreamStandIn

REQUEST = UpstreamRequest(
    method=b"GET", target=b"/", headers=[(b"host", b"a")]
)


async def start_upstream(
    nursery: trio.Nursery,
) -> tuple[UpstreamStandIn, Upstream]:
    """Start a stand-in and return it with its address."""
    standin = UpstreamStandIn()
    await standin.start(nursery)
    return standin, Upstream(
        upstream_id="u0",
        zone="a",
        host="127.0.0.1",
        port=standin.port,
        slots=4,
    )


class TestUnacknowledged:
    """The limit is that of the request, and its end is told."""

    @pytest.mark.parametrize("timeout_s", [0.5, 1.5])
    async def test_limit_of_the_request_is_set(
        self,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
        timeout_s: float,
    ) -> None:
        _, upstream = await start_upstream(nursery)
        limits_ms = []
        receive = sockets.receive

        async def record(sock: socket.socket, size: int) -> bytes:
            limits_ms.append(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            )
            return await receive(sock, size)

        monkeypatch.setattr(sockets, "receive", record)
        client = UpstreamClient()
        # The second request uses the connection of the first.
        for limit_s in (3.0 - timeout_s, timeout_s):
            progress = Progress()
            result = await client.send(
                upstream,
                REQUEST,
                progress,
                deadline=trio.current_time() + 2.0,
                new_connection=False,
                buffer_bytes=1000,
                acknowledge_s=limit_s,
            )
            result.unwrap().release(reusable=True)
        assert progress.reused
        assert limits_ms[-1] == timeout_s * 1000

    async def test_timeout_is_told_from_other_failures(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        _, upstream = await start_upstream(nursery)
        for number in (errno.ETIMEDOUT, errno.ECONNRESET):

            async def fail(
                sock: socket.socket, size: int, number: int = number
            ) -> bytes:
                raise OSError(number, os.strerror(number))

            monkeypatch.setattr(sockets, "receive", fail)
            progress = Progress()
            result = await UpstreamClient().send(
                upstream,
                REQUEST,
                progress,
                deadline=trio.current_time() + 2.0,
                new_connection=True,
                buffer_bytes=1000,
            )
            assert result.is_err()
            assert progress.started
            assert progress.unacknowledged == (number == errno.ETIMEDOUT)
