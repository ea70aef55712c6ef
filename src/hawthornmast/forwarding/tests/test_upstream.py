"""Tests of the connection pools for upstreams."""

import contextlib
import socket

import attrs
import h11
import pytest
from result import Err
import trio

from hawthornmast.common import Upstream
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.exchange import check_head
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.exchange import UpstreamRequest
from hawthornmast.forwarding.serialization import read_headers
from hawthornmast.forwarding.tests.support import run_harness
from hawthornmast.forwarding.tests.support import summarize


class TestConnections:
    async def test_hanging_connect_is_retried_and_not_counted(self):
        # Guards against connections that stay counted after their connect
        # timed out. With a full accept queue the kernel drops new ones.
        with socket.socket() as full, socket.socket() as one:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            port = full.getsockname()[1]
            one.connect(("127.0.0.1", port))
            async with run_harness() as harness:
                hanging = attrs.evolve(harness.runtime.upstreams[0], port=port)
                harness.runtime.upstreams[0] = hanging
                harness.upstreams._connect_s = 0.1
                assert summarize(await harness.charge())[:2] == (
                    200,
                    "complete",
                )
                assert harness.upstreams.open_connections() == 1
                assert harness.runtime.evidence[0] == ("u0", "failed")

    async def test_connection_limit_is_enforced(self):
        async with run_harness(1) as harness:
            limited = attrs.evolve(harness.runtime.upstreams[0], connections=1)
            harness.runtime.upstreams[0] = limited
            harness.set_faults(service_s=0.1)
            responses = []

            async def call():
                responses.append((await harness.call()).status)

            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(call)
            assert sorted(responses) == [200, 503]
            # An idle connection is closed to open a new one.
            assert (await harness.charge()).status == 200
            assert harness.standins[0].accepted_connections == 2
            assert harness.upstreams.open_connections() == 1

    async def test_idle_connections_are_closed(self):
        async with run_harness(1) as harness:
            harness.upstreams._idle_s = 0.0
            await harness.call()
            harness.upstreams.close_idle()
            assert harness.upstreams.open_connections() == 0

    async def test_closed_client_has_no_connections(self):
        client = UpstreamClient()
        client.close()
        assert client.open_connections() == 0


class TestCheckHead:
    """A merged head is refused, and one that only looks like it is not."""

    @pytest.mark.parametrize(
        ("headers", "reason"),
        [
            ([("Via", "HTTP/1.1 proxy")], b"OK"),
            ([("X-Note", "spoke HTTP/1.1 today")], b""),
            ([("Set-Cookie", "a=1"), ("Set-Cookie", "b=2")], b"OK"),
        ],
    )
    def test_single_head(self, headers, reason):
        head = h11.Response(status_code=200, headers=headers, reason=reason)
        check_head(head, read_headers(head), frozenset({b"x-id"}))

    @pytest.mark.parametrize(
        ("headers", "reason"),
        [
            ([("X-Id", "aHTTP/1.1 500 Failed")], b"OK"),
            ([("Via", "HTTP/1.1 500")], b"OK"),
            ([], b"HTTP/1.1 500 Failed"),
            ([("X-Id", "a"), ("X-Id", "a")], b"OK"),
        ],
    )
    def test_merged_head(self, headers, reason):
        head = h11.Response(status_code=200, headers=headers, reason=reason)
        with pytest.raises(h11.RemoteProtocolError):
            check_head(head, read_headers(head), frozenset({b"x-id"}))


LONG_BODY = b"b" * 1_000_000

PAUSE_S = 2.0
"""Time for which an upstream doesn't read; a path may be silent for less."""


class SlowReader:
    """An upstream with a small receive window that reads late.

    Parameters
    ----------
    pause_s
        Seconds between the first bytes of a request and the rest.
    answers_first
        Answer before the pause rather than after the rest.
    """

    def __init__(self, *, pause_s: float, answers_first: bool = False):
        self.pause_s = pause_s
        self.answers_first = answers_first
        self.body_bytes: list[int] = []
        self.connections = 0

    async def start(self, nursery: trio.Nursery) -> None:
        sock = trio.socket.socket()
        # Inherited by accepted connections.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        await sock.bind(("127.0.0.1", 0))
        sock.listen()
        self.port = sock.getsockname()[1]
        nursery.start_soon(
            trio.serve_listeners, self._serve, [trio.SocketListener(sock)]
        )

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        received = b""
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some(2048):
                received += data
                head, separator, body = received.partition(b"\r\n\r\n")
                if not separator:
                    continue
                length = int(head.lower().partition(b"content-length: ")[2])
                if self.answers_first:
                    await stream.send_all(answer)
                await trio.sleep(self.pause_s)
                while len(body) < length:
                    data = await stream.receive_some(length - len(body))
                    if not data:
                        break
                    body += data
                self.body_bytes.append(len(body))
                received = b""
                if not self.answers_first:
                    await stream.send_all(answer)


async def post(client: UpstreamClient, port: int, body: bytes):
    """Send a request with a body; return the status or the error."""
    result = await client.send(
        Upstream(
            upstream_id="u", zone="a", host="127.0.0.1", port=port, slots=1
        ),
        UpstreamRequest(
            method=b"POST",
            target=b"/",
            headers=[(b"host", b"x")],
            body=body,
            has_body=True,
        ),
        Progress(),
        deadline=trio.current_time() + 2 * PAUSE_S,
        new_connection=False,
        buffer_bytes=1000,
    )
    if isinstance(result, Err):
        return result.err_value
    result.ok_value.release(reusable=True)
    return result.ok_value.status


class TestLongBody:
    """An upstream reads a long body at its own pace."""

    async def test_pause_does_not_cut_the_request(self, nursery):
        # Guards against a request that is cut at a sound upstream, because
        # a closed receive window is taken for a lost path.
        upstream = SlowReader(pause_s=PAUSE_S)
        await upstream.start(nursery)
        client = UpstreamClient()
        assert await post(client, upstream.port, LONG_BODY) == 200
        assert upstream.body_bytes == [len(LONG_BODY)]
        client.close()

    async def test_connection_is_used_again_once_the_body_is_read(
        self, nursery
    ):
        upstream = SlowReader(pause_s=0.0)
        await upstream.start(nursery)
        client = UpstreamClient()
        for body in (LONG_BODY, b"short", LONG_BODY):
            assert await post(client, upstream.port, body) == 200
        assert upstream.connections == 1
        client.close()

    async def test_connection_with_an_unread_body_is_not_used_again(
        self, nursery
    ):
        # Guards against a request that waits behind the body of an earlier
        # one. Its upstream has answered that one before it reads on.
        upstream = SlowReader(pause_s=PAUSE_S, answers_first=True)
        await upstream.start(nursery)
        client = UpstreamClient()
        for _ in range(2):
            with trio.fail_after(PAUSE_S / 2):
                assert await post(client, upstream.port, b"b" * 200_000) == 200
        assert upstream.connections == 2
        client.close()
