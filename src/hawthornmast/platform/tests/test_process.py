"""Tests of startup, reload and shutdown of a daemon process."""

import pathlib
import signal
import subprocess
import sys

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


class TestProcess:
    """A daemon serves, reloads and stops, and logs each step."""

    @pytest.mark.filterwarnings("ignore::ResourceWarning")
    async def test_start_reload_and_stop(
        self, nursery: trio.Nursery, tmp_path: pathlib.Path
    ) -> None:
        host = f"{allocate_loopback_prefix()}.1"
        store = StoreStandIn()
        await store.start(nursery)
        backend = BackendStandIn("boxes-0")
        await backend.start(nursery)
        store.put("op/config", make_configuration())
        store.put_upstream("boxes-0", "boxes", f"127.0.0.1:{backend.port}")
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
