"""Tests of the memory that a member takes for clients that read slowly."""

import contextlib
import pathlib
import socket

import attrs
import pytest
import trio

from hawthornmast.forwarding.pipeline import MAX_PIPELINED_REQUESTS
from standins.deployment import FRONT_PORT
from tests.test_endless_responses import MEMORY_LIMIT_KIB
from tests.test_endless_responses import PIECE_BYTES
from tests.test_endless_responses import read_peak_memory_kib
from tests.test_pipelining import make_request
from tests.test_planned_stop import run_daemon

STREAMS = 600
READ_BYTES = 100
READ_INTERVAL_S = 0.5
DURATION_S = 8.0


class SlowReaders:
    """Clients that read a little of a long response at a time.

    Parameters
    ----------
    depth
        Number of requests that each client sends at once.
    """

    def __init__(self, host: str, *, depth: int) -> None:
        self._host = host
        self._depth = depth
        self.reading = 0

    async def run(self) -> None:
        """Read for the duration of the test."""
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + DURATION_S
            for number in range(STREAMS // self._depth):
                requests = b"".join(
                    make_request(f"a{number}b{index}")
                    for index in range(self._depth)
                )
                nursery.start_soon(
                    self._read, requests.replace(b"3000", b"30000")
                )

    async def _read(self, requests: bytes) -> None:
        with trio.socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await sock.connect((self._host, FRONT_PORT))
            await sock.send(requests)
            assert await sock.recv(READ_BYTES)
            self.reading += 1
            with contextlib.suppress(ConnectionResetError):
                while await sock.recv(READ_BYTES):
                    await trio.sleep(READ_INTERVAL_S)


class TestSlowReaders:
    @pytest.mark.parametrize("depth", [1, MAX_PIPELINED_REQUESTS])
    async def test_process_stays_within_the_memory_of_its_machine(
        self, tmp_path: pathlib.Path, depth: int
    ) -> None:
        # Guards against a process that runs out of memory because it buffers
        # the beginning of each of many long responses.
        async with run_daemon(
            tmp_path,
            service_s=0.0,
            slots=STREAMS,
            connections=STREAMS,
            read_timeout="30000ms",
        ) as stop:
            stop.backend.faults = attrs.evolve(
                stop.backend.faults,
                endless="body",
                endless_piece_bytes=PIECE_BYTES,
            )
            readers = SlowReaders(stop.host, depth=depth)
            await readers.run()
            assert stop.process.poll() is None
            peak_kib = read_peak_memory_kib(stop.process.pid)
            assert peak_kib < MEMORY_LIMIT_KIB
            assert readers.reading == STREAMS // depth
            assert len(stop.backend.requests) >= STREAMS
