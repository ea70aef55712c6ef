"""Starts, signals and stops the processes of a demonstration."""

from collections.abc import Mapping
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

import attrs
import trio

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
STOP_S = 10.0
PORTS = (10_000, 32_000)
PORT_BLOCK = 100
_spare_ports: list[int] = []
_block_locks: list[socket.socket] = []


def choose_ports(count: int) -> list[int]:
    """Return ports that are free and that no other fleet is given.

    They lie below the range from which the system takes the ports of
    outgoing connections: such a connection could take the port of a process
    that is about to start, or of a killed one before it starts again. The
    first port of each block stays bound in this process, so that runs at the
    same time take different blocks.
    """
    ports: list[int] = []
    while len(ports) < count:
        if not _spare_ports:
            _spare_ports.extend(_take_block())
        port = _spare_ports.pop()
        with socket.socket() as opened:
            try:
                opened.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def _take_block() -> range:
    starts = list(range(*PORTS, PORT_BLOCK))
    random.shuffle(starts)
    for start in starts:
        lock = socket.socket()
        try:
            lock.bind((HOST, start))
        except OSError:
            lock.close()
            continue
        _block_locks.append(lock)
        return range(start + 1, start + PORT_BLOCK)
    raise OSError(f"no block of ports is free in {PORTS}")


@attrs.define(kw_only=True, eq=False)
class Process:
    """One child process with its log file."""

    name: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path

    def signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def read_log(self) -> str:
        """Return what the process has written."""
        return self.log.read_text(encoding="utf-8", errors="replace")


class ProcessGroup:
    """The child processes of one run; all are stopped at its end.

    Parameters
    ----------
    folder
        Where log files go.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._processes: list[Process] = []

    def start(
        self,
        name: str,
        *arguments: str,
        variables: Mapping[str, str] | None = None,
    ) -> Process:
        """Start ``python -m`` with these arguments.

        Parameters
        ----------
        variables
            Environment variables besides those of this process.
        """
        log = self._folder / f"{name}.log"
        environment = dict(
            os.environ, PYTHONUNBUFFERED="1", **(variables or {})
        )
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        process = Process(name=name, popen=popen, log=log)
        self._processes.append(process)
        return process

    async def stop(self, processes: list[Process]) -> list[Process]:
        """Ask processes to end; kill and return those that don't in time."""
        for process in processes:
            # A stopped process would not see the request to end.
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        late = []
        with trio.move_on_after(STOP_S):
            while any(process.running for process in processes):
                await trio.sleep(0.05)
        for process in processes:
            if process.running:
                late.append(process)
                process.kill()
            process.popen.wait()
        return late

    async def close(self) -> None:
        """End all processes that still run."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            await trio.to_thread.run_sync(process.popen.wait)
