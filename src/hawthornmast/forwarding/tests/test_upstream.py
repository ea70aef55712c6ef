"""Tests of connections to upstreams."""

import socket

import attrs
import trio

from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.tests.support import outcome
from hawthornmast.forwarding.tests.support import run_fleet


class TestConnections:
    async def test_connect_that_hangs_moves_on_and_is_not_counted(self):
        # Guards against connections that stay counted after their connect
        # was cancelled. A full accept queue makes the kernel drop new ones.
        with socket.socket() as full, socket.socket() as one:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            port = full.getsockname()[1]
            one.connect(("127.0.0.1", port))
            async with run_fleet() as fleet:
                hanging = attrs.evolve(fleet.runtime.upstreams[0], port=port)
                fleet.runtime.upstreams[0] = hanging
                fleet.upstreams._connect_s = 0.1
                assert outcome(await fleet.charge())[:2] == (200, "complete")
                assert fleet.upstreams.open_connections() == 1
                assert fleet.runtime.evidence[0] == ("u0", "failed")

    async def test_limit_of_connections_is_kept(self):
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
            # An idle connection makes room for a fresh one.
            assert (await fleet.charge()).status == 200
            assert fleet.standins[0].accepted == 2
            assert fleet.upstreams.open_connections() == 1

    async def test_idle_connections_are_closed(self):
        async with run_fleet(1) as fleet:
            fleet.upstreams._idle_s = 0.0
            await fleet.call()
            fleet.upstreams.close_idle()
            assert fleet.upstreams.open_connections() == 0

    async def test_closed_client_keeps_nothing(self):
        client = UpstreamClient()
        client.close()
        assert client.open_connections() == 0
