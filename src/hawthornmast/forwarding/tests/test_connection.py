"""Tests of client connections and malformed input."""

import hypothesis
from hypothesis import strategies
import pytest
import trio

from hawthornmast.forwarding import ClientLimits
from hawthornmast.forwarding.tests.support import run_harness
from hawthornmast.forwarding.tests.support import summarize

_POST = b"POST /read HTTP/1.1\r\nHost: billing\r\n"
_GET = b"GET /read HTTP/1.1\r\nHost: billing\r\n"
_CHUNKED = _POST + b"Transfer-Encoding: chunked\r\n"

# Input, status and kind by name. The kind None stands for any kind.
_BAD_INPUTS = {
    "bytes": (b"\x00\x01\x02\r\n\r\n", 400, "protocol"),
    "tls": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03", 400, "protocol"),
    "two-lengths": (
        _POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        400,
        "protocol",
    ),
    "both-lengths": (
        _CHUNKED + b"Content-Length: 4\r\n\r\n0\r\n\r\n",
        400,
        "two-body-lengths",
    ),
    "folded": (_GET + b"X: a\r\n b\r\n\r\n", 400, "folded-header"),
    "folded-coding": (
        _POST + b"Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
        400,
        "folded-header",
    ),
    "line-feeds": (_GET.replace(b"\r", b"") + b"\n", 400, "bare-line-feed"),
    "chunk-size": (_CHUNKED + b"\r\n0x5\r\nabcde\r\n0\r\n\r\n", 400, None),
    "chunk-sign": (_CHUNKED + b"\r\n-5\r\nabcde\r\n0\r\n\r\n", 400, None),
    "chunk-huge": (_CHUNKED + b"\r\n" + b"f" * 30 + b"\r\n", 400, None),
    "chunk-long": (_CHUNKED + b"\r\nff\r\n" + b"a" * 255, 413, None),
    "coding": (
        _POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        501,
        "protocol",
    ),
    "old-chunked": (
        b"POST /read HTTP/1.0\r\nHost: billing\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
        "chunked-in-1.0",
    ),
    "length": (_POST + b"Content-Length: +5\r\n\r\nabcde", 400, "protocol"),
    "long-body": (
        _POST + b"Content-Length: 101\r\n\r\n",
        413,
        "body-too-long",
    ),
    "long-number": (
        _POST + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n",
        400,
        "protocol",
    ),
    "no-host": (b"GET / HTTP/1.1\r\n\r\n", 400, "protocol"),
    "two-hosts": (_GET + b"Host: other\r\n\r\n", 400, "protocol"),
    "upgrade": (
        _GET + b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n",
        501,
        "upgrade",
    ),
    "many-headers": (_GET + b"A: b\r\n" * 101 + b"\r\n", 431, None),
    "timeout": (
        _GET + b"Hawthornmast-Timeout-Ms: 1e3\r\n\r\n",
        400,
        "bad-timeout",
    ),
    "two-tickets": (
        _GET + b"Hawthornmast-Ticket: a\r\n" * 2 + b"\r\n",
        400,
        "repeated-header",
    ),
    "slow-header": (_GET, 408, "slow-header"),
    "slow-body": (_POST + b"Content-Length: 9\r\n\r\na", 408, "slow-body"),
}
_LIMITS = ClientLimits(body_bytes=100, header_s=0.2, body_s=0.2)


class TestBadInput:
    @pytest.mark.parametrize(
        ("data", "status", "kind"), _BAD_INPUTS.values(), ids=_BAD_INPUTS
    )
    async def test_bad_input_is_refused_and_counted(self, data, status, kind):
        async with run_harness(limits=_LIMITS) as harness:
            response = await harness.send_raw(data)
            assert int(response.split()[1]) == status
            assert b"hawthornmast-outcome: not-run" in response.lower()
            assert response.count(b"HTTP/1.1 ") == 1
            # With None as the kind, this checks that one input was counted.
            assert harness.bad_inputs == [kind or harness.bad_inputs[0]]
            assert harness.runs() == 0

    async def test_header_of_100_megabytes_is_refused(self):
        # Guards against memory use that grows with the size of the header.
        async with run_harness() as harness:
            response = await harness.send_raw(
                _GET + b"X: " + b"a" * 100_000_000, timeout=20
            )
            assert response[:12] in (b"HTTP/1.1 431", b"")
            assert harness.bad_inputs == ["header-too-long"]

    async def test_slow_sender_occupies_no_slot(self):
        async with run_harness(limits=_LIMITS) as harness:
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            await stream.send_all(_POST + b"Content-Length: 9\r\n\r\n")
            await trio.sleep(0.05)
            assert harness.runtime.slots_in_use == 0
            assert (await harness.call()).status == 200
            await stream.aclose()

    async def test_total_size_of_bodies_is_limited(self):
        limits = ClientLimits(total_body_bytes=1000, body_s=1)
        async with run_harness(limits=limits) as harness:
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            half = _POST + b"Content-Length: 900\r\n\r\n" + b"a" * 800
            await stream.send_all(half)
            await trio.sleep(0.05)
            response = await harness.call("POST", body=b"b" * 300)
            assert summarize(response) == (503, "not-run", "bodies-too-long")
            await stream.aclose()

    async def test_connections_beyond_the_limit_are_refused(self):
        async with run_harness(limits=ClientLimits(connections=1)) as harness:
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            await trio.sleep(0.05)
            assert b"503" in await harness.send_raw(b"")
            await stream.aclose()
            await trio.sleep(0.05)
            assert (await harness.call()).status == 200

    async def test_continue_is_sent_only_when_the_request_may_run(self):
        expect = b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n"
        async with run_harness() as harness:
            refused = await harness.send_raw(
                b"POST /renewals HTTP/1.1\r\nHost: billing\r\n" + expect
            )
            assert refused.split()[1] == b"428"
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            await stream.send_all(_POST + expect)
            assert (await stream.receive_some(99)).split()[1] == b"100"
            await stream.send_all(b"x")
            assert b"length=1" in await stream.receive_some(9999)
            await stream.aclose()

    async def test_pipelined_requests_get_matching_responses(self):
        async with run_harness() as harness:
            keys = [b"a", b"b", b"c"]
            data = b"".join(
                _GET + b"X-Request-Key: " + key + b"\r\n\r\n" for key in keys
            )
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            await stream.send_all(data)
            received = b""
            with trio.fail_after(5):
                while received.count(b"length=0\n") < 3:
                    received += await stream.receive_some(9999)
            found = [part[:1] for part in received.split(b"key=")[1:]]
            assert found == keys
            await stream.aclose()


_PIECES = strategies.lists(
    strategies.one_of(
        strategies.binary(max_size=40),
        strategies.sampled_from(
            [
                _GET,
                _POST,
                _CHUNKED,
                b"\r\n",
                b"\r\n\r\n",
                b"Content-Length: 5\r\n",
                b"Expect: 100-continue\r\n",
                b"Connection: close\r\n",
                b"5\r\nabcde\r\n",
                b"0\r\n\r\n",
                b"OPTIONS * HTTP/1.1\r\n",
                b"GET http://billing/read HTTP/1.0\r\n",
            ]
        ),
    ),
    max_size=8,
)


class TestFuzzing:
    @hypothesis.settings(
        max_examples=150, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(pieces=_PIECES)
    def test_random_bytes_neither_stop_the_server_nor_leak_tasks(self, pieces):
        async def run():
            limits = ClientLimits(
                header_s=0.02, body_s=0.02, idle_s=0.02, body_bytes=1000
            )
            async with run_harness(1, limits=limits) as harness:
                await harness.send_raw(b"".join(pieces))
                assert (await harness.call()).status == 200

        trio.run(run)
