"""Tests of startup, reload and shutdown of a daemon process."""

from collections.abc import AsyncIterator
import contextlib
import pathlib
import signal
import subprocess
import sys

import attrs
import pytest
import trio

from hawthornmast import http
from standins.deployment import allocate_loopback_prefix
from standins.deployment import BackendStandIn
from standins.deployment import DIRECTORY_PORT
from standins.deployment import FRONT_PORT
from standins.deployment import make_configuration
from standins.deployment import READY_PORT
from standins.deployment import StoreStandIn
from standins.deployment import write_settings


def write_daemon_settings(
    folder: pathlib.Path, host: str, store: int
) -> pathlib.Path:
    """Write the settings file of a daemon and return its path."""
    path = folder / "settings.conf"
    write_settings(
        path,
        name="member-1",
        host=host,
        zone="zone-a",
        store_port=store,
        seeds=f"{host}:8382",
    )
    return path


async def start_platform(nursery: trio.Nursery) -> StoreStandIn:
    """Start a store with a configuration and one back end."""
    store = StoreStandIn()
    await store.start(nursery)
    backend = BackendStandIn("boxes-0")
    await backend.start(nursery)
    store.put("op/config", make_configuration())
    store.put_upstream("boxes-0", "boxes", f"127.0.0.1:{backend.port}")
    return store


def start(path: pathlib.Path) -> subprocess.Popen[str]:
    """Start a daemon."""
    return subprocess.Popen(
        [sys.executable, "-m", "hawthornmast.platform"],
        env={"HAWTHORNMAST_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )


async def fetch(host: str, port: int, target: str) -> http.Response | None:
    """Return the response, or None if the request failed."""
    done = await http.fetch(
        host,
        port,
        "GET",
        target,
        headers=(
            ("Host", "boxes.example"),
            ("Hawthornmast-Attempt-Id", "9c41"),
        ),
    )
    return done.unwrap() if done.is_ok() else None


async def wait_ready(host: str) -> None:
    """Wait until the readiness endpoint of a daemon returns 200."""
    with trio.fail_after(10):
        while True:
            response = await fetch(host, READY_PORT, "/hawthornmast/ready")
            if response is not None and response.status == 200:
                return
            await trio.sleep(0.05)


@attrs.frozen(kw_only=True)
class StartingDaemon:
    """A daemon process that has just opened its client port.

    It imports most of its modules after that.
    """

    host: str
    process: subprocess.Popen[str]
    client: trio.SocketStream

    async def wait_end(self) -> int:
        """Return the exit status."""
        with trio.fail_after(10):
            return await trio.to_thread.run_sync(self.process.wait)


@contextlib.asynccontextmanager
async def open_starting_daemon(
    nursery: trio.Nursery, folder: pathlib.Path
) -> AsyncIterator[StartingDaemon]:
    """Start a daemon with one back end; return as its client port opens."""
    host = f"{allocate_loopback_prefix()}.1"
    store = await start_platform(nursery)
    with start(write_daemon_settings(folder, host, store.port)) as process:
        try:
            client = await connect_early(host)
            async with client:
                yield StartingDaemon(host=host, process=process, client=client)
        finally:
            process.kill()


async def connect_early(host: str) -> trio.SocketStream:
    """Return a connection to the client port, as soon as it is open."""
    with trio.fail_after(10):
        while True:
            try:
                return await trio.open_tcp_stream(host, FRONT_PORT)
            except OSError:
                await trio.sleep(0.001)


class TestSignalsDuringStart:
    """Signals that arrive before the process handles them wait for it."""

    async def test_sighup_does_not_end_the_process(
        self, nursery: trio.Nursery, tmp_path: pathlib.Path
    ) -> None:
        # Guards against a member that ends by itself because its settings
        # change while it starts.
        async with open_starting_daemon(nursery, tmp_path) as daemon:
            daemon.process.send_signal(signal.SIGHUP)
            await wait_ready(daemon.host)
            assert daemon.process.poll() is None
            daemon.process.send_signal(signal.SIGTERM)
            assert await daemon.wait_end() == 0
            assert daemon.process.stdout is not None
            assert "event=reloaded" in daemon.process.stdout.read()

    async def test_sigterm_answers_connected_clients(
        self, nursery: trio.Nursery, tmp_path: pathlib.Path
    ) -> None:
        # Guards against a stop that resets the connections which clients
        # have opened while the member starts.
        async with open_starting_daemon(nursery, tmp_path) as daemon:
            await daemon.client.send_all(
                b"GET /read/1 HTTP/1.1\r\nHost: boxes.example\r\n"
                b"Hawthornmast-Attempt-Id: 9c41\r\n\r\n"
            )
            daemon.process.send_signal(signal.SIGTERM)
            with trio.fail_after(10):
                answer = await daemon.client.receive_some()
            assert answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 "))
            assert await daemon.wait_end() == 0


class TestProcess:
    """A daemon serves, reloads and stops, and logs each step."""

    @pytest.mark.filterwarnings("ignore::ResourceWarning")
    async def test_start_reload_and_stop(
        self, nursery: trio.Nursery, tmp_path: pathlib.Path
    ) -> None:
        host = f"{allocate_loopback_prefix()}.1"
        store = await start_platform(nursery)
        path = write_daemon_settings(tmp_path, host, store.port)
        process = start(path)
        try:
            await wait_ready(host)
            found = await fetch(
                host,
                DIRECTORY_PORT,
                "/hawthornmast/resolve?Name=boxes.example&Zone=zone-a",
            )
            assert found is not None
            assert found.json() == {
                "Addresses": [f"{host}:{FRONT_PORT}"],
                "Ttl": "1000ms",
            }
            response = await fetch(host, FRONT_PORT, "/read/1")
            assert response is not None and response.status == 200
            metrics = await fetch(host, 9464, "/metrics")
            assert metrics is not None
            assert b'hawthornmast_requests_total{outcome="complete"' in (
                metrics.body
            )
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.2)
            process.send_signal(signal.SIGTERM)
            with trio.fail_after(4):
                status = await trio.to_thread.run_sync(process.wait)
        finally:
            process.kill()
        assert status == 0
        log = process.stdout.read() if process.stdout else ""
        events = [
            word.removeprefix("event=")
            for line in log.splitlines()
            for word in line.split()
            if word.startswith("event=")
        ]
        for event in (
            "started",
            "configuration-in-force",
            "upstreams-in-force",
            "members-changed",
            "request",
            "reloaded",
            "draining",
            "stopped",
        ):
            assert event in events
        (line,) = (line for line in log.splitlines() if "id=9c41" in line)
        assert "status=200 outcome=complete" in line
        assert "steps=boxes-0:200:" in line

    def test_invalid_settings(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "settings.conf"
        path.write_text("Node=member-1\n")
        process = start(path)
        log, _ = process.communicate(timeout=10)
        assert process.returncode == 2
        assert "event=start-failed step=parse-settings" in log
        assert "Listen.Front is missing" in log

    def test_port_in_use(self, tmp_path: pathlib.Path) -> None:
        host = f"{allocate_loopback_prefix()}.1"
        path = write_daemon_settings(tmp_path, host, 9)
        with subprocess.Popen(
            [
                sys.executable,
                "-c",
                "import socket, sys\n"
                "s = socket.socket()\n"
                f"s.bind(({host!r}, {READY_PORT}))\n"
                "s.listen()\n"
                "print('open', flush=True)\n"
                "sys.stdin.read()\n",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as port_holder:
            assert port_holder.stdout is not None
            port_holder.stdout.readline()
            process = start(path)
            log, _ = process.communicate(timeout=10)
            port_holder.kill()
        assert process.returncode == 1
        assert "event=start-failed step=open-ports" in log
