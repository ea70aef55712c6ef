"""Tests of the connection pools for upstreams."""

import socket

import attrs
import trio

from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.tests.support import run_fleet
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
            async with run_fleet() as fleet:
                hanging = attrs.evolve(fleet.runtime.upstreams[0], port=port)
                fleet.runtime.upstreams[0] = hanging
                fleet.upstreams._connect_s = 0.1
                assert summarize(await fleet.charge())[:2] == (200, "complete")
                assert fleet.upstreams.open_connections() == 1
                assert fleet.runtime.evidence[0] == ("u0", "failed")

    async def test_connection_limit_is_enforced(self):
        async with run_fleet(1) as fleet:
            limited = attrs.evolve(fleet.runtime.upstreams[0], connections=1)
            fleet.runtime.upstreams[0] = limited
            fleet.set_faults(service_s=0.1)
            responses = []

            async def call():
                responses.append((await fleet.call()).status)

            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(call)
            assert sorted(responses) == [200, 503]
            # An idle connection is closed to open a new one.
            assert (await fleet.charge()).status == 200
            assert fleet.standins[0].accepted_connections == 2
            assert fleet.upstreams.open_connections() == 1

    async def test_idle_connections_are_closed(self):
        async with run_fleet(1) as fleet:
            fleet.upstreams._idle_s = 0.0
            await fleet.call()
            fleet.upstreams.close_idle()
            assert fleet.upstreams.open_connections() == 0

    async def test_closed_client_has_no_connections(self):
        client = UpstreamClient()
        client.close()
        assert client.open_connections() == 0
