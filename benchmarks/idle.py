"""Measures the CPU time of a member of the gateway that carries no traffic.

One member runs as a process, as the platform starts it. Its representative
runs in this process and reads a stand-in of the store, sends heartbeats and
summaries, and serves snapshots. All other members of the fleet are senders of
heartbeats. Only the measured process is charged, by its CPU clock. With
``--source DIR`` it runs another version, which is then measured in turn with
this one, since the load of the machine changes the CPU time of a wakeup.

Usage: ``python -m benchmarks.idle [--zones 13 41 59] [--requests 0 20]``, or
with ``--profile FILE`` to write a profile of the measured member.
"""

import argparse
import contextlib
import functools
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import attrs
import msgpack
import trio

from hawthornmast import http
from hawthornmast.common import Instance
from hawthornmast.gateway import GatewayMember
from hawthornmast.gateway import GatewayOptions
from hawthornmast.gateway.datagrams import MessageKind
from hawthornmast.membership.gossip import HEARTBEAT_S
from hawthornmast.membership.gossip import MAX_HEARTBEATS_PER_S
from hawthornmast.membership.gossip import REPORTED_PER_ZONE
from hawthornmast.membership.heartbeats import encode_row
from hawthornmast.platform.headers import PlatformClientDialect
from hawthornmast.platform.headers import PlatformUpstreamDialect
from hawthornmast.platform.store import PlatformStore
from standins.deployment import allocate_loopback_prefix
from standins.deployment import BackendStandIn
from standins.deployment import FRONT_PORT
from standins.deployment import make_configuration
from standins.deployment import PEER_PORT
from standins.deployment import StoreStandIn
from standins.deployment import write_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent

FLEET_SIZES = {13: 51, 41: 124, 59: 293}
"""Members of the whole fleet by the size of the measured member's zone."""

UPSTREAMS = 200
"""Listed upstreams; they never get a request."""

SETTLING_S = 4.0
"""Time from the start of the member to the begin of the measurement. The
representative must be known and the start-up over."""

CHANGE_INTERVAL_S = 2.0
"""Interval at which the list of upstreams changes."""

SEND_STEP_S = 0.02
START_TIMEOUT_S = 30.0


@attrs.frozen(kw_only=True)
class _Peer:
    """A member that only sends heartbeats."""

    instance: Instance
    sock: socket.socket
    next_at: float
    others: tuple[Instance, ...] = ()


def _read_cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    # The identifier of a process's CPU clock, as clock_getcpuclockid returns.
    return time.clock_gettime(~pid << 3 | 2)


def _make_environment(path: pathlib.Path, source: str) -> dict[str, str]:
    packages = [item for item in sys.path if item.endswith("site-packages")]
    return {
        "HAWTHORNMAST_CONFIG": str(path),
        "PATH": os.environ.get("PATH", ""),
        "PYTHONPATH": os.pathsep.join([source, *packages]),
    }


def _start_process(
    path: pathlib.Path, source: str, *, profile: str = ""
) -> subprocess.Popen[bytes]:
    """Start a member as the platform does, optionally with a profile."""
    profiler = ["-m", "cProfile", "-o", profile] if profile else []
    return subprocess.Popen(
        [sys.executable, "-S", *profiler, "-m", "hawthornmast.platform"],
        env=_make_environment(path, source),
        stdout=subprocess.PIPE,
        stdin=subprocess.DEVNULL,
    )


def measure_start(source: str) -> float:
    """Return the CPU seconds of a member until it listens on all ports."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.conf"
        host = f"{allocate_loopback_prefix()}.1"
        write_settings(
            path, name="m", host=host, zone="z", store_port=1, seeds=""
        )
        process = _start_process(path, source)
        try:
            assert process.stdout is not None
            for line in process.stdout:
                if b"event=started " in line:
                    return _read_cpu_s(process.pid)
            raise RuntimeError("the member has not started")
        finally:
            process.kill()
            process.communicate()


def _make_peers(zone_size: int, fleet_size: int) -> list[_Peer]:
    """Return the representative and the members that send to its zone.

    Of each other zone these are the highest-ranked, of which only the first
    sends. Peer 0 is the representative, peer 1 the measured member.
    """
    prefix = allocate_loopback_prefix()
    zones = ["z0"] * zone_size
    remote = round(fleet_size / zone_size) - 1
    zones += [
        f"z{number + 1}"
        for number in range(remote)
        for _ in range(REPORTED_PER_ZONE)
    ]
    instances = [
        Instance(
            instance_id=f"member-{number}",
            zone=zone,
            host=f"{prefix}.{number + 1}",
            port=FRONT_PORT,
            peer_port=PEER_PORT,
            capacity=1.0 + (number == 0) if zone == "z0" else 1.0 / number,
        )
        for number, zone in enumerate(zones)
    ]
    peers = []
    for number, instance in enumerate(instances):
        if number < 2:
            continue
        others = tuple(i for i in instances if i.zone == instance.zone)
        if instance.zone != "z0" and instance != others[0]:
            continue
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((instance.host, PEER_PORT))
        peers.append(
            _Peer(
                instance=instance,
                sock=sock,
                next_at=random.random() * HEARTBEAT_S,
                others=others[1:] if instance.zone != "z0" else (),
            )
        )
    return peers


def _send_heartbeat(peer: _Peer, hosts: list[str], summary: Any) -> None:
    rows = [
        encode_row(item, ready=True, incarnation=1, age_s=0.1)
        for item in (peer.instance, *peer.others)
    ]
    data = msgpack.packb([int(MessageKind.HEARTBEAT), [rows, summary]])
    for host in hosts:
        with contextlib.suppress(OSError):
            peer.sock.sendto(data, (host, PEER_PORT))


async def _send_heartbeats(
    peers: list[_Peer], representative: GatewayMember, measured_host: str
) -> None:
    """Send what the members other than the two processes would send."""
    own_host = representative.options.instance.host
    zone = representative.options.instance.zone
    zone_size = 1 + sum(item.instance.zone == zone for item in peers)
    period_s = max(HEARTBEAT_S, zone_size / MAX_HEARTBEATS_PER_S)
    next_at = {
        peer.instance.instance_id: trio.current_time() + peer.next_at
        for peer in peers
    }
    while True:
        await trio.sleep(SEND_STEP_S)
        now = trio.current_time()
        summary = representative._encode_summary()
        for peer in peers:
            if next_at[peer.instance.instance_id] > now:
                continue
            next_at[peer.instance.instance_id] += period_s
            hosts = [own_host]
            if peer.instance.zone == zone:
                hosts.append(measured_host)
            _send_heartbeat(peer, hosts, summary)


async def _change_listing(store: StoreStandIn) -> None:
    for sequence in range(1_000_000):
        await trio.sleep(CHANGE_INTERVAL_S)
        store.put_upstream(
            "u-0", "boxes", "127.0.0.1:1", Sequence=sequence, Slots=3
        )
        state = "draining" if sequence % 2 else "ready"
        store.put_upstream("u-1", "billing", "127.0.0.1:1", State=state)


async def _send_requests(host: str, rate_per_s: float) -> None:
    async def send(number: int) -> None:
        await http.fetch(
            host,
            FRONT_PORT,
            "GET",
            "/read/1",
            headers=(
                ("Host", "boxes.example"),
                ("Hawthornmast-Attempt-Id", f"attempt-{number}"),
                ("Hawthornmast-Request-Deadline", "3000"),
            ),
            timeout=3.0,
        )

    async with trio.open_nursery() as nursery:
        for number in range(1_000_000):
            await trio.sleep(1.0 / rate_per_s)
            nursery.start_soon(send, number)


async def _discard_output(process: subprocess.Popen[bytes]) -> None:
    assert process.stdout is not None
    os.set_blocking(process.stdout.fileno(), False)
    while True:
        await trio.lowlevel.wait_readable(process.stdout)
        if not os.read(process.stdout.fileno(), 65536):
            return


async def _fill_store(store: StoreStandIn, nursery: trio.Nursery) -> None:
    await store.start(nursery)
    store.put("op/config", make_configuration())
    for number in range(UPSTREAMS):
        service = "billing" if number % 2 else "boxes"
        store.put_upstream(f"u-{number}", service, "127.0.0.1:1")
    backend = BackendStandIn("backend")
    await backend.start(nursery)
    for number in range(UPSTREAMS, UPSTREAMS + 4):
        store.put_upstream(f"u-{number}", "boxes", f"127.0.0.1:{backend.port}")


async def _measure(
    zone_size: int,
    *,
    source: str,
    requests_per_s: float,
    seconds: float,
    profile: str,
) -> dict[str, Any]:
    peers = _make_peers(zone_size, FLEET_SIZES[zone_size])
    prefix = peers[0].instance.host.rpartition(".")[0]
    host, measured_host = f"{prefix}.1", f"{prefix}.2"
    store = StoreStandIn()
    async with trio.open_nursery() as nursery:
        await _fill_store(store, nursery)
        representative = GatewayMember(
            GatewayOptions(
                instance=Instance(
                    instance_id="member-0",
                    zone="z0",
                    host=host,
                    port=FRONT_PORT,
                    peer_port=PEER_PORT,
                    capacity=2.0,
                ),
                seeds=(host,),
            ),
            PlatformStore("127.0.0.1", store.port),
            client_dialect=PlatformClientDialect(),
            upstream_dialect=PlatformUpstreamDialect(),
        )
        await representative.start(nursery)
        for peer in peers:
            # The sending members have the state of the representative.
            await http.open_server(
                nursery,
                representative._answer_peer,
                host=peer.instance.host,
                port=PEER_PORT,
            )
        nursery.start_soon(
            _send_heartbeats, peers, representative, measured_host
        )
        nursery.start_soon(_change_listing, store)
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "settings.conf"
            write_settings(
                path,
                name="member-1",
                host=measured_host,
                zone="z0",
                store_port=store.port,
                seeds=f"{host}:{PEER_PORT}",
            )
            process = _start_process(path, source, profile=profile)
            try:
                nursery.start_soon(_discard_output, process)
                await trio.sleep(SETTLING_S)
                if requests_per_s:
                    nursery.start_soon(
                        _send_requests, measured_host, requests_per_s
                    )
                calls = len(store.calls)
                started_at = trio.current_time()
                cpu_s = _read_cpu_s(process.pid)
                await trio.sleep(seconds)
                cpu_s = _read_cpu_s(process.pid) - cpu_s
                elapsed_s = trio.current_time() - started_at
                known = len(representative.gossip.zone_peers()) + 1
                if profile:
                    process.send_signal(signal.SIGTERM)
                    await trio.to_thread.run_sync(process.wait)
            finally:
                process.kill()
                process.wait()
        calls = len(store.calls) - calls
        nursery.cancel_scope.cancel()
    for peer in peers:
        peer.sock.close()
    return {
        "fleet": FLEET_SIZES[zone_size],
        "zone": zone_size,
        "known_in_zone": known,
        "requests_per_s": requests_per_s,
        "core_share": round(cpu_s / elapsed_s, 5),
        "store_calls_per_s": round(calls / elapsed_s, 2),
    }


def main() -> None:
    """Print one JSON line for each figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--zones", type=int, nargs="*", default=list(FLEET_SIZES)
    )
    parser.add_argument("--requests", type=float, nargs="*", default=[0.0])
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--starts", type=int, default=0)
    parser.add_argument("--profile", default="")
    parser.add_argument("--source", nargs="*", default=[])
    arguments = parser.parse_args()
    sources = [str(ROOT / "src"), *arguments.source]
    if arguments.starts:
        starts_s: dict[str, list[float]] = {item: [] for item in sources}
        for number in range(arguments.starts + 1):
            for source in sources:
                cpu_s = measure_start(source)
                if number:  # The first start compiles the modules.
                    starts_s[source].append(cpu_s)
        for source, values in starts_s.items():
            row = {
                "source": source,
                "start_cpu_s": round(statistics.median(values), 4),
                "least": round(min(values), 4),
                "most": round(max(values), 4),
            }
            print(json.dumps(row), flush=True)
    for size, rate, source in itertools.product(
        arguments.zones, arguments.requests, sources
    ):
        measure = functools.partial(
            _measure,
            size,
            source=source,
            requests_per_s=rate,
            seconds=arguments.seconds,
            profile=arguments.profile,
        )
        row = {"source": source, **trio.run(measure)}
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
