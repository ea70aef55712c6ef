"""Tests of the response checks, the judges and the relay."""

import msgpack
import pytest
import trio

from hawthornmast.peers import codec
from standins import bodies
from standins.client import CallRecord
from standins.client import Verdict
from standins.link import LinkProxy
from tools.verification import verify_calls


def make_call(verdict, *, idempotent=False):
    return CallRecord(
        key="k",
        service="s",
        path="/p",
        idempotent=idempotent,
        verdict=verdict,
        status=200,
        seconds=0.1,
        attempts=1,
    )


class TestBodies:
    """Guards against truncated or foreign bodies accepted as complete."""

    @pytest.mark.parametrize("key", [f"key-{n}" for n in range(20)])
    def test_recognize_a_complete_body(self, key):
        body = bodies.make_body(key, 100_000)
        assert bodies.is_complete_body(body, key)
        assert not bodies.is_complete_body(body, key + "x")
        for corrupted in (
            body[:-1],
            body[1:],
            body[: len(body) // 2],
            b"",
            body * 2,
        ):
            assert not bodies.is_complete_body(corrupted, key)

    def test_make_short_and_long_bodies(self):
        sizes = [len(bodies.make_body(f"{n}", 100_000)) for n in range(100)]
        assert min(sizes) < 4096
        assert max(sizes) > 65_536


class TestJudge:
    """Guards against a judge that misses a violation."""

    @pytest.mark.parametrize(
        ("verdict", "runs", "violations"),
        [
            (Verdict.COMPLETE, 1, 0),
            (Verdict.COMPLETE, 0, 1),
            (Verdict.COMPLETE, 2, 1),
            (Verdict.NOT_RUN, 0, 0),
            (Verdict.NOT_RUN, 1, 1),
            (Verdict.UNKNOWN, 0, 0),
            (Verdict.UNKNOWN, 1, 0),
            (Verdict.UNKNOWN, 2, 1),
            (Verdict.WRONG, 1, 1),
        ],
    )
    def test_count_violations(self, verdict, runs, violations):
        logs = [{"key": "k"}] * runs
        assert (
            verify_calls([make_call(verdict)], logs).violations == violations
        )


class TestLinkProxy:
    """Guards against cuts that close a stream or block both directions."""

    async def test_block_one_direction_until_restored(self):
        proxy = LinkProxy()
        hello = msgpack.packb(["a", 1, b"n" * 16, "s"])
        frame = codec.LENGTH.pack(len(hello)) + hello
        received = []

        async def serve(stream):
            received.append(await stream.receive_some(len(frame)))
            await stream.send_all(b"welcome")
            received.append(await stream.receive_some(10))
            await stream.send_all(b"late")

        async with trio.open_nursery() as nursery:
            targets = await nursery.start(trio.serve_tcp, serve, 0)
            port = targets[0].socket.getsockname()[1]

            async def forward(stream):
                await proxy.forward("b", "127.0.0.1", port, stream)

            listeners = await nursery.start(trio.serve_tcp, forward, 0)
            with trio.fail_after(5):
                client = await trio.open_tcp_stream(
                    "127.0.0.1", listeners[0].socket.getsockname()[1]
                )
                await client.send_all(frame)
                assert await client.receive_some(10) == b"welcome"
                proxy.set_cuts({("a", "b")})
                await client.send_all(b"more")
                await trio.sleep(0.05)
                assert received == [frame]
                proxy.set_cuts({("b", "a")})
                with trio.move_on_after(0.05) as scope:
                    await client.receive_some(10)
                assert scope.cancelled_caught
                assert received == [frame, b"more"]
                proxy.set_cuts(set())
                assert await client.receive_some(10) == b"late"
                await client.aclose()
            nursery.cancel_scope.cancel()
