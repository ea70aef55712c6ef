"""Tests of clients that send requests before earlier ones are answered."""

import contextlib
import re
import socket
import struct

import pytest
import trio

from standins.deployment import FRONT_PORT
from tests.deployment import Deployment
from tests.test_platform_path import run_deployment
from tests.test_platform_path import set_faults

SERVICE_S = 0.2

ATTEMPT = re.compile(rb"hawthornmast-attempt-id: (\w+)", re.IGNORECASE)


def make_request(
    name: str, target: str = "/read/1", host: str = "boxes.example"
) -> bytes:
    """Return a serialized request."""
    method = "GET" if target.startswith("/read") else "POST"
    return (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
        f"Hawthornmast-Attempt-Id: {name}\r\nContent-Length: 0\r\n"
        "Hawthornmast-Request-Deadline: 3000\r\n\r\n"
    ).encode()


async def connect(deployment: Deployment) -> trio.SocketStream:
    """Connect to the first member."""
    host = deployment.members[0].options.instance.host
    return await trio.open_tcp_stream(host, FRONT_PORT)


async def read_responses(stream: trio.SocketStream, count: int) -> bytes:
    """Read until a number of responses has begun and a pause follows."""
    received = b""
    with trio.fail_after(5.0):
        while received.count(b"HTTP/1.1 ") < count:
            part = await stream.receive_some(65_536)
            assert part, received
            received += part
    return received


class TestPipelining:
    @pytest.mark.parametrize("pause_s", [0.0, 0.005])
    async def test_requests_sent_together_take_the_time_of_one(
        self, pause_s: float
    ) -> None:
        # Guards against pipelined requests that wait for each other, and
        # against responses in the order in which upstreams answer.
        async with run_deployment(boxes=2) as deployment:
            set_faults(deployment, service_s=SERVICE_S)
            stream = await connect(deployment)
            names = ["a", "b", "c", "d"]
            started_at = trio.current_time()
            if pause_s:
                for name in names:
                    await stream.send_all(make_request(name))
                    await trio.sleep(pause_s)
            else:
                await stream.send_all(b"".join(map(make_request, names)))
            received = await read_responses(stream, len(names))
            elapsed_s = trio.current_time() - started_at
            assert received.count(b"HTTP/1.1 200") == len(names)
            assert [item.decode() for item in ATTEMPT.findall(received)] == (
                names
            )
            assert elapsed_s < 2 * SERVICE_S
            assert [deployment.count_runs(name) for name in names] == (
                [1] * len(names)
            )
            await stream.aclose()

    async def test_charge_runs_once_in_its_turn(self) -> None:
        # Guards against a request that must not be repeated and runs behind a
        # response that may end the connection.
        async with run_deployment(boxes=1, billing=1) as deployment:
            set_faults(deployment, service_s=SERVICE_S)
            stream = await connect(deployment)
            await stream.send_all(
                make_request("a")
                + make_request("b", "/charge/1", host="pay.example")
                + make_request("c")
            )
            await trio.sleep(SERVICE_S / 2)
            assert deployment.count_runs("b") == 0
            received = await read_responses(stream, 3)
            assert [item.decode() for item in ATTEMPT.findall(received)] == (
                ["a", "b", "c"]
            )
            assert deployment.count_runs("b") == 1
            await stream.aclose()

    @pytest.mark.parametrize("reset", [False, True])
    async def test_client_that_leaves_frees_all_upstream_connections(
        self, reset: bool
    ) -> None:
        # Guards against slots that requests of a lost client keep.
        async with run_deployment(boxes=1) as deployment:
            set_faults(deployment, service_s=2.0)
            stream = await connect(deployment)
            await stream.send_all(b"".join(map(make_request, "abc")))
            backend = deployment.backends["boxes-0"]
            with trio.fail_after(1.0):
                while backend.open_connections < 3:
                    await trio.sleep(0.01)
            if reset:
                stream.socket.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
            await stream.aclose()
            with trio.fail_after(1.0):
                while backend.open_connections:
                    await trio.sleep(0.01)
            assert not deployment.members[0].server.busy

    async def test_stopping_member_answers_what_it_forwarded(self) -> None:
        # Guards against a close between the responses to requests that were
        # all forwarded.
        async with run_deployment(boxes=1) as deployment:
            set_faults(deployment, service_s=SERVICE_S)
            stream = await connect(deployment)
            await stream.send_all(b"".join(map(make_request, "abc")))
            await trio.sleep(SERVICE_S / 2)
            deployment.nursery.start_soon(deployment.members[0].drain)
            received = b""
            with (
                trio.fail_after(3.0),
                contextlib.suppress(trio.BrokenResourceError),
            ):
                while part := await stream.receive_some(65_536):
                    received += part
            assert received.count(b"HTTP/1.1 200") == 3
            assert received.lower().count(b"connection: close") == 1
            last = received[received.rindex(b"HTTP/1.1 ") :]
            assert b"connection: close" in last.lower()
            await stream.aclose()
