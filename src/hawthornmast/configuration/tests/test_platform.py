"""Tests for the platform client against the stand-in platform."""

import pytest
from result import Ok
import trio
import trio.testing

from hawthornmast import configuration
from hawthornmast.http import Response
from hawthornmast.http import serve_connection
from standins.platform import Platform


async def serve(platform, nursery):
    async def accept(stream):
        await serve_connection(stream, platform.handle)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, accept, listeners)
    return listeners[0].socket.getsockname()[1]


class TestPlatformClient:
    async def test_watch_and_read(self, nursery):
        platform = Platform()
        client = configuration.PlatformClient.connect(
            "127.0.0.1", await serve(platform, nursery)
        )
        seen = []
        nursery.start_soon(client.watch, seen.extend)
        await trio.sleep(0.05)
        key = "catalogue/services/b c"
        revision = platform.put(key, "x" * 1_000_000)
        with trio.fail_after(5):
            while not seen:
                await trio.sleep(0.01)
        content = b"x" * 1_000_000
        assert seen == [(key, 1, configuration.compute_digest(content))]
        assert (await client.read(key)).unwrap() == (revision, content)
        assert (await client.read("other")).is_err()
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        "body",
        [
            b"{",
            b"[]",
            b'{"revision": 1, "changes": [["k", "1", null]], "more": false}',
            b'{"revision": 1, "changes": [["k", 1, "00"]], "more": false}',
            b'{"revision": true, "changes": [], "more": false}',
        ],
    )
    async def test_malformed_changes_are_rejected(self, body):
        async def request(target, timeout):
            return Ok(Response(status=200, body=body))

        client = configuration.PlatformClient(request)
        assert (await client.changes(0)).is_err()

    async def test_rate_limit(self, autojump_clock):
        # Guards against a client that does not recover after the platform has
        # rejected its calls for their rate.
        platform = Platform(reads_per_s=10)
        client = configuration.PlatformClient(platform.request)
        done = [await client.changes(0) for _ in range(12)]
        assert [answer.is_ok() for answer in done] == [True] * 10 + [False] * 2
        await trio.sleep(1)
        assert (await client.changes(0)).is_ok()
