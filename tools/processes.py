"""Starts, signals and stops child processes and reserves their ports."""

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
STOP_TIMEOUT_S = 10.0
PORT_RANGE = (10_000, 32_000)
PORT_BLOCK_SIZE = 100
_unused_ports: list[int] = []
_block_locks: list[socket.socket] = []


def choose_ports(count: int) -> list[int]:
    """Return free ports that no other fleet uses.

    They lie below the ephemeral port range: an outgoing connection could
    otherwise take the port of a process that is about to start, or of a
    killed one before its restart. The first port of each block stays bound
    in this process, so that concurrent runs use different blocks.
    """
    ports: list[int] = []
    while len(ports) < count:
        if not _unused_ports:
            _unused_ports.extend(_reserve_block())
        port = _unused_ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def _reserve_block() -> range:
    starts = list(range(*PORT_RANGE, PORT_BLOCK_SIZE))
    random.shuffle(starts)
    for start in starts:
        lock = socket.socket()
        try:
            lock.bind((HOST, start))
        except OSError:
            lock.close()
            continue
        _block_locks.append(lock)
        return range(start + 1, start + PORT_BLOCK_SIZE)
    raise OSError(f"no free block of ports in {PORT_RANGE}")


@attrs.define(kw_only=True, eq=False)
class Process:
    """One child process with its log file."""

    name: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.signal(signal.SIGKILL)

    @property
    def running(self) -> bool:
        """Whether the process is still running."""
        return self.popen.poll() is None

    def read_log(self) -> str:
        """Return the output of the process so far."""
        return self.log.read_text(encoding="utf-8", errors="replace")


class ProcessGroup:
    """The child processes of one run.

    Parameters
    ----------
    folder
        Folder for log files.
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
            Environment variables added to those of this process.
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
        """Stop processes with SIGTERM; kill and return those that time out."""
        for process in processes:
            # A paused process would not handle SIGTERM.
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        unresponsive = []
        with trio.move_on_after(STOP_TIMEOUT_S):
            while any(process.running for process in processes):
                await trio.sleep(0.05)
        for process in processes:
            if process.running:
                unresponsive.append(process)
                process.kill()
            process.popen.wait()
        return unresponsive

    async def close(self) -> None:
        """Kill all processes that are still running."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            await trio.to_thread.run_sync(process.popen.wait)
