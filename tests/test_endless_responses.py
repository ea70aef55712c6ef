"""Tests of upstreams that send bytes without end in place of a response."""

import contextlib
import pathlib

import attrs
import pytest
from result import UnwrapError
import trio

from hawthornmast import http
from hawthornmast.health.belief import DEFAULT_MODEL
from standins.deployment import BackendStandIn
from standins.deployment import FRONT_PORT
from tests.test_planned_stop import run_daemon
from tests.test_platform_path import run_deployment
from tests.test_platform_path import set_faults

NO_RESPONSE = ("header", "informational", "unsigned")
"""Endless bytes that show by their head that they are no response."""

TIMEOUT_S = 3.0

FAST_PAUSE_S = 0.002
"""Pause between pieces, so that the client reads faster than they come."""

STREAMED_BYTES = 1_000_000
"""Size of a body that a member streams rather than buffers."""

TRUNCATED = "closed|without sending complete|response is too long"
"""What the client says of a truncated response; it reads at most 8 MiB."""

SLOW_PAUSE_S = 0.2
"""Pause between pieces, so that size limits are not reached within
``TIMEOUT_S``."""


async def wait_until_closed(backend: BackendStandIn) -> None:
    """Wait until a back end has no open connections."""
    with trio.fail_after(TIMEOUT_S):
        while backend.open_connections:
            await trio.sleep(0.02)


@pytest.mark.parametrize("pause_s", [0.0, SLOW_PAUSE_S])
@pytest.mark.parametrize("endless", NO_RESPONSE)
class TestEndlessBytes:
    """Bytes that are no response end the attempt, not the request's time."""

    async def test_idempotent_request_is_served_by_another_upstream(
        self, endless: str, pause_s: float
    ) -> None:
        async with run_deployment(boxes=2) as deployment:
            bad = deployment.backends["boxes-0"]
            bad.faults.endless = endless
            bad.faults.endless_pause_s = pause_s
            for _ in range(4):
                response = await deployment.send("GET", "/read/1")
                assert response.status == 200
            assert bad.requests

    async def test_other_request_ends_as_unknown_before_its_deadline(
        self, endless: str, pause_s: float
    ) -> None:
        async with run_deployment() as deployment:
            set_faults(deployment, endless=endless, endless_pause_s=pause_s)
            with trio.fail_after(0.7 * TIMEOUT_S):
                response = await deployment.send(
                    "POST", "/charge/1", host="pay.example"
                )
            assert response.status == 502
            assert deployment.count_runs() == 1

    async def test_connection_is_closed(
        self, endless: str, pause_s: float
    ) -> None:
        # Guards against a peer that sends to this daemon until it restarts.
        async with run_deployment(boxes=1) as deployment:
            set_faults(deployment, endless=endless, endless_pause_s=pause_s)
            await deployment.send("GET", "/read/1")
            await wait_until_closed(deployment.backends["boxes-0"])


class TestEndlessBody:
    """A body without end is cut at the deadline and never looks complete."""

    async def test_client_sees_a_truncated_response(self) -> None:
        async with run_deployment(boxes=1) as deployment:
            set_faults(deployment, endless="body")
            with pytest.raises(UnwrapError, match=TRUNCATED):
                await deployment.send("GET", "/read/1", timeout_ms=800)
            await wait_until_closed(deployment.backends["boxes-0"])

    async def test_upstream_counts_as_failing(self) -> None:
        # Guards against requests that keep going to such an upstream because
        # the head of its response counts as a success.
        async with run_deployment(boxes=1) as deployment:
            set_faults(
                deployment, endless="body", endless_pause_s=FAST_PAUSE_S
            )
            with pytest.raises(UnwrapError, match=TRUNCATED):
                await deployment.send("GET", "/read/1")
            state = deployment.members[0].services.find("boxes")
            assert state is not None
            assert (
                state.pool.failure_probability("boxes-0")
                > DEFAULT_MODEL.stationary_probability
            )

    async def test_head_alone_is_no_success(self) -> None:
        # Guards against a success that is recorded at the head of a response
        # that never ends.
        async with run_deployment(boxes=1) as deployment:
            set_faults(deployment, endless="body")
            with pytest.raises(UnwrapError, match=TRUNCATED):
                await deployment.send("GET", "/read/1", timeout_ms=800)
            state = deployment.members[0].services.find("boxes")
            assert state is not None
            assert (
                state.pool.failure_probability("boxes-0")
                >= DEFAULT_MODEL.stationary_probability
            )

    async def test_stream_that_breaks_off_is_a_failure(self) -> None:
        # Guards against a success that is recorded before the upstream
        # closes the connection in the middle of a streamed body.
        async with run_deployment(boxes=1) as deployment:
            set_faults(deployment, cut="short", body_bytes=STREAMED_BYTES)
            with pytest.raises(UnwrapError, match=TRUNCATED):
                await deployment.send("GET", "/read/1")
            state = deployment.members[0].services.find("boxes")
            assert state is not None
            assert (
                state.pool.failure_probability("boxes-0")
                > DEFAULT_MODEL.stationary_probability
            )

    async def test_http10_client_gets_no_part_of_it(self) -> None:
        # Such a client takes the end of the connection as the end of a body.
        async with run_deployment(boxes=1) as deployment:
            set_faults(deployment, endless="body")
            host = deployment.members[0].options.instance.host
            stream = await trio.open_tcp_stream(host, FRONT_PORT)
            await stream.send_all(
                b"GET /read/1 HTTP/1.0\r\nHost: boxes.example\r\n"
                b"Hawthornmast-Attempt-Id: a\r\n"
                b"Hawthornmast-Request-Deadline: 800\r\n\r\n"
            )
            received = b"".join([chunk async for chunk in stream])
            assert received.startswith(b"HTTP/1.1 502 ")


MEMORY_LIMIT_KIB = 200 * 1024
"""Memory of the smallest machines."""

PIECE_BYTES = 65_536
"""Size of a piece where an upstream sends as fast as it can."""

REQUESTS = 32
"""Requests at one time."""


def read_peak_memory_kib(process_id: int) -> int:
    """Return the largest resident memory that a process has had."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    (line,) = (
        line for line in status.splitlines() if line.startswith("VmHWM:")
    )
    return int(line.split()[1])


async def send_and_read_nothing(host: str, target: str) -> None:
    """Send a request and wait until its time is over."""
    stream = await trio.open_tcp_stream(host, FRONT_PORT)
    async with stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(
                f"POST {target} HTTP/1.1\r\nHost: pay.example\r\n"
                f"Hawthornmast-Attempt-Id: {target}\r\n"
                "Hawthornmast-Request-Deadline: 2000\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            await trio.sleep(2.5)


class TestMemory:
    """A member doesn't keep what an upstream sends without end.

    Guards against a process that runs out of memory and ends the requests of
    other clients with it.
    """

    @pytest.mark.parametrize(
        "endless", [*NO_RESPONSE, "body", "chunk-size", "trailer"]
    )
    async def test_process_stays_within_the_memory_of_its_machine(
        self, tmp_path: pathlib.Path, endless: str
    ) -> None:
        async with run_daemon(tmp_path, service_s=0.0) as stop:
            stop.backend.faults = attrs.evolve(
                stop.backend.faults,
                endless=endless,
                endless_piece_bytes=PIECE_BYTES,
            )
            async with trio.open_nursery() as nursery:
                for number in range(REQUESTS):
                    nursery.start_soon(
                        send_and_read_nothing, stop.host, f"/charge/{number}"
                    )
            assert stop.backend.requests
            assert stop.process.poll() is None
            assert read_peak_memory_kib(stop.process.pid) < MEMORY_LIMIT_KIB


SMALL_CHUNK_STREAMS = 120

SERVED_WITHIN_S = 0.25
"""Time in which a request is served beside the streams."""


async def read_stream(host: str, number: int) -> None:
    """Read a response as long as it comes."""
    stream = await trio.open_tcp_stream(host, FRONT_PORT)
    async with stream:
        await stream.send_all(
            f"GET /read/1 HTTP/1.1\r\nHost: boxes.example\r\n"
            f"Hawthornmast-Attempt-Id: s{number}\r\n"
            "Hawthornmast-Request-Deadline: 60000\r\n\r\n".encode()
        )
        while await stream.receive_some(PIECE_BYTES):
            pass


class TestSmallChunks:
    """Bodies in chunks of one byte don't keep other requests waiting."""

    @pytest.mark.parametrize(
        ("piece_bytes", "pause_s"), [(PIECE_BYTES, 0.0), (6, 0.002)]
    )
    async def test_other_requests_are_served(
        self, tmp_path: pathlib.Path, piece_bytes: int, pause_s: float
    ) -> None:
        # Guards against a loop that parses whatever one upstream has sent
        # before it turns to another task.
        async with run_daemon(
            tmp_path, service_s=0.0, slots=200, read_timeout="60000ms"
        ) as stop:
            faults = stop.backend.faults
            stop.backend.faults = attrs.evolve(
                faults,
                endless="small-chunks",
                endless_piece_bytes=piece_bytes,
                endless_pause_s=pause_s,
            )
            async with trio.open_nursery() as nursery:
                for number in range(SMALL_CHUNK_STREAMS):
                    nursery.start_soon(read_stream, stop.host, number)
                with trio.fail_after(15.0):
                    while len(stop.backend.requests) < SMALL_CHUNK_STREAMS:
                        await trio.sleep(0.05)
                await trio.sleep(1.0)
                stop.backend.faults = faults
                latencies_s = []
                for number in range(10):
                    started_at = trio.current_time()
                    result = await http.fetch(
                        stop.host,
                        FRONT_PORT,
                        "GET",
                        "/read/1",
                        headers=(
                            ("Host", "boxes.example"),
                            ("Hawthornmast-Attempt-Id", f"r{number}"),
                            ("Hawthornmast-Request-Deadline", "5000"),
                        ),
                        timeout=5.0,
                    )
                    assert result.unwrap().status == 200
                    latencies_s.append(trio.current_time() - started_at)
                assert max(latencies_s) < SERVED_WITHIN_S
                nursery.cancel_scope.cancel()
