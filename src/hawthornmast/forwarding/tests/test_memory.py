"""Tests of the bound of the response bytes that a process holds."""

import logging

import pytest
import trio

from hawthornmast.common import Upstream
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.exchange import UpstreamRequest
from hawthornmast.forwarding.memory import ResponseMemory
from hawthornmast.forwarding.memory import SMALL_PIECE_BYTES
from standins.faults import Faults
from standins.upstream import UpstreamStandIn

BODY_BYTES = 200_000


class TestResponseMemory:
    def test_one_line_is_logged_at_reaching_and_at_leaving_the_bound(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against a line for each response around the bound.
        caplog.set_level(logging.INFO)
        memory = ResponseMemory(1000)
        memory.hold(990)
        for _ in range(50):
            memory.hold(20)
            memory.release(20)
        assert memory.is_full
        memory.release(100)
        assert not memory.is_full
        assert memory.held_bytes == 890
        assert [record.message for record in caplog.records] == [
            "event=response-memory-full held_bytes=1010 limit_bytes=1000",
            "event=response-memory-free held_bytes=890 limit_bytes=1000",
        ]


class TestExchange:
    @pytest.mark.parametrize("whole", [False, True])
    async def test_small_piece_is_read_while_the_memory_is_full(
        self, whole: bool
    ) -> None:
        # Guards against upstreams that are read while nothing can be held,
        # and against bytes that stay counted.
        standin = UpstreamStandIn(faults=Faults(body_bytes=BODY_BYTES))
        client = UpstreamClient()
        async with trio.open_nursery() as nursery:
            await standin.start(nursery)
            client.memory.hold(10**9)
            result = await client.send(
                Upstream(
                    upstream_id="u",
                    zone="a",
                    host="127.0.0.1",
                    port=standin.port,
                    slots=1,
                ),
                UpstreamRequest(
                    method=b"GET", target=b"/", headers=[(b"host", b"x")]
                ),
                Progress(),
                deadline=trio.current_time() + 2.0,
                new_connection=False,
                buffer_bytes=10**6,
                whole=whole,
            )
            exchange = result.unwrap()
            if whole:
                assert len(exchange.body) == BODY_BYTES
                assert exchange.complete
            else:
                assert len(exchange.body) < 2 * SMALL_PIECE_BYTES
                assert not exchange.complete
            held = client.memory.held_bytes - 10**9
            assert held == len(exchange.body)
            size = held
            with trio.fail_after(2.0):
                while not exchange.complete:
                    size += len(await exchange.read())
            assert size == BODY_BYTES
            exchange.release(reusable=True)
            assert client.memory.held_bytes == 10**9
            client.close()
            nursery.cancel_scope.cancel()
