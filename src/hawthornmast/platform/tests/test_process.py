"""One process: start, reload and end."""

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


def prepare(folder: pathlib.Path, host: str, store: int) -> pathlib.Path:
    """Write the settings file of one member and return its path."""
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
    """Start a member."""
    return subprocess.Popen(
        [sys.executable, "-m", "hawthornmast.platform"],
        env={"HAWTHORNMAST_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )


async def fetch(host: str, port: int, target: str) -> http.Response | None:
    """Return an answer, or None when there is none."""
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
    """Wait until a member says that it is ready."""
    with trio.fail_after(10):
        while True:
            answer = await fetch(host, READY_PORT, "/hawthornmast/ready")
            if answer is not None and answer.status == 200:
                return
            await trio.sleep(0.05)


class TestProcess:
    """A member serves, reloads and ends; its log tells each step."""

    @pytest.mark.filterwarnings("ignore::ResourceWarning")
    async def test_whole_life(
        self, nursery: trio.Nursery, tmp_path: pathlib.Path
    ) -> None:
        host = f"{allocate_loopback_prefix()}.1"
        store = StoreStandIn()
        await store.start(nursery)
        backend = BackendStandIn("boxes-0")
        await backend.start(nursery)
        store.put("op/config", make_configuration())
        store.put_upstream("boxes-0", "boxes", f"127.0.0.1:{backend.port}")
        path = prepare(tmp_path, host, store.port)
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
            answer = await fetch(host, FRONT_PORT, "/read/1")
            assert answer is not None and answer.status == 200
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

    def test_settings_that_cannot_be_used(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "settings.conf"
        path.write_text("Node=member-1\n")
        process = start(path)
        log, _ = process.communicate(timeout=10)
        assert process.returncode == 2
        assert "event=start-failed step=parse-settings" in log
        assert "Listen.Front is missing" in log

    def test_port_in_use(self, tmp_path: pathlib.Path) -> None:
        host = f"{allocate_loopback_prefix()}.1"
        path = prepare(tmp_path, host, 9)
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
        ) as other:
            assert other.stdout is not None
            other.stdout.readline()
            process = start(path)
            log, _ = process.communicate(timeout=10)
            other.kill()
        assert process.returncode == 1
        assert "event=start-failed step=open-ports" in log
