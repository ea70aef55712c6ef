"""Tests of the connection pools for upstreams."""

import socket

import attrs
import h11
import pytest
import trio

from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.exchange import check_head
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
