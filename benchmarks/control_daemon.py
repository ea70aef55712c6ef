"""Cost of a whole daemon and of its lists, measured in this process."""

from collections.abc import Iterator
import contextlib
import hashlib
import json
import logging
import time

import attrs
import trio
import trio.testing

from benchmarks.control import format_service
from benchmarks.control import make_upstreams
from benchmarks.control import read_rss
from benchmarks.control import SECRET
from benchmarks.control import TICK_S
from hawthornmast.common import Instance
from hawthornmast.daemon import Daemon
from hawthornmast.peers import Compressor
from hawthornmast.settings import parse_settings
from standins.fleet import make_instances
from standins.platform import Platform
from standins.platform import serve
from tools.processes import choose_ports
from tools.processes import HOST


def make_daemon_settings(
    ports: list[int], *, zone: str, platform_port: int
) -> str:
    """Return the settings of daemon d0 on loopback."""
    return f"""\
[instance]
id = "d0"
zone = "{zone}"
host = "{HOST}"
port = {ports[0]}
peer_port = {ports[1]}
admin_port = {ports[2]}

[platform]
host = "{HOST}"
port = {platform_port}

[peers]
secrets = ["{SECRET}"]
"""


def format_list(instances: list[Instance]) -> str:
    """Return a published list of daemons with an address for each."""
    listed = []
    for item in instances:
        number = int(item.instance_id.removeprefix("d"))
        host = f"127.1.{number // 250}.{number % 250 + 1}"
        listed.append(attrs.asdict(item) | {"host": host})
    return json.dumps(listed)


def _format_zone(instances: list[Instance], zone: str) -> tuple[str, bytes]:
    """Return the key and the content of the list of a zone."""
    listed = [item for item in instances if item.zone == zone]
    return f"instances/daemons/{zone}", format_list(listed).encode()


@attrs.frozen(kw_only=True)
class ListCost:
    """Cost of the lists on a daemon of a large fleet.

    Attributes
    ----------
    first_cpu
        CPU seconds to apply the lists and documents at start-up.
    change_cpu
        CPU seconds for one restart in the list, mean over ``rounds``.
    longest_cpu
        CPU seconds of the costliest single change, which nothing interrupts.
    rack_cpu
        CPU seconds when a tenth of the own zone goes and returns.
    zone_cpu
        CPU seconds when another zone goes and returns.
    change_bytes
        Bytes of the documents that one restart makes the daemon fetch,
        compressed as on the peer streams.
    rss
        Resident memory that lists and documents added.
    held
        Documents held.
    owned
        Services owned.
    """

    first_cpu: float
    change_cpu: float
    longest_cpu: float
    rack_cpu: float
    zone_cpu: float
    change_bytes: float
    rss: float
    held: int
    owned: int


def measure_lists(
    *, daemons: int, services: int, zones: int = 16, rounds: int = 16
) -> ListCost:
    """Measure a started daemon that learns a fleet and its restarts.

    The peers in the list don't exist; dialing them isn't counted, because
    only the application of the accepted documents is.
    """

    async def run() -> ListCost:
        ports = choose_ports(4)
        text = make_daemon_settings(
            ports[:3], zone="z0", platform_port=ports[3]
        )
        daemon = Daemon(parse_settings(text, source="-").unwrap())
        platform = Platform()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, platform, HOST, ports[3], None)
            await daemon.start(nursery)
            first = _apply_first(daemon, daemons, services, zones)
            # The next tick drops what only a small fleet keeps.
            await trio.sleep(5 * TICK_S)
            cost = _restart(daemon, first, daemons, zones, rounds)
            nursery.cancel_scope.cancel()
        return cost

    with _quiet_logs():
        return trio.run(run)


def _apply_first(
    daemon: Daemon, daemons: int, services: int, zones: int
) -> tuple[float, int]:
    """Apply a fleet's lists and documents; return CPU seconds and memory."""
    instances = make_instances(daemons, zones)
    before = read_rss()
    started = time.process_time()
    revision = 0
    for zone in range(zones):
        revision += 1
        key, content = _format_zone(instances, f"z{zone}")
        daemon.store.accept(key, revision, content, keep=True)
    for number in range(services):
        name = f"service-{number}"
        revision += 2
        documents = {
            f"catalogue/services/{name}": format_service(
                name,
                routes=3,
                zones=[f"z{(number + n) % zones}" for n in range(3)],
            ),
            f"instances/upstreams/{name}": json.dumps(
                [attrs.asdict(item) for item in make_upstreams(19)]
            ),
        }
        for key, text in documents.items():
            revision += 1
            keep = daemon.retention.is_needed(key)
            digest = hashlib.md5(text.encode()).digest()
            if keep:
                daemon.store.accept(key, revision, text.encode(), keep=True)
            else:
                daemon.store.record_entry(key, revision, digest)
    return time.process_time() - started, read_rss() - before


def _restart(
    daemon: Daemon,
    first: tuple[float, int],
    daemons: int,
    zones: int,
    rounds: int,
) -> ListCost:
    """Restart one instance after another, as the lists show it."""
    instances = make_instances(daemons, zones)
    revision = daemon.store.highest_revision
    changes = []
    size = 0
    for number in range(rounds):
        gone = instances[1 + number]
        for listed in ([i for i in instances if i != gone], instances):
            key, content = _format_zone(listed, gone.zone)
            size += len(Compressor().compress(content))
            revision += 1
            started = time.process_time()
            daemon.store.accept(key, revision, content, keep=True)
            changes.append(time.process_time() - started)
    own = [item for item in instances if item.zone == "z0"]
    rack = own[1 : 1 + max(1, len(own) // 10)]
    away = [item for item in instances if item.zone == "z1"]
    lost = []
    for gone_together in (rack, away):
        lost.append(0.0)
        for listed in (
            [i for i in instances if i not in gone_together],
            instances,
        ):
            key, content = _format_zone(listed, gone_together[0].zone)
            revision += 1
            started = time.process_time()
            daemon.store.accept(key, revision, content, keep=True)
            lost[-1] += time.process_time() - started
    return ListCost(
        rack_cpu=lost[0],
        zone_cpu=lost[1],
        first_cpu=first[0],
        longest_cpu=max(changes),
        change_cpu=2 * sum(changes) / len(changes),
        change_bytes=size / rounds,
        rss=first[1],
        held=sum(
            daemon.store.document(e[0]) is not None for e in daemon.store
        ),
        owned=len(list(daemon.services)),
    )


@attrs.frozen(kw_only=True)
class BaseCost:
    """Cost of a daemon without peers and services."""

    cpu: float
    rss: float


def measure_base(*, seconds: float = 5.0) -> BaseCost:
    """Measure an idle daemon that runs alone with the platform."""

    async def run() -> BaseCost:
        ports = choose_ports(4)
        text = make_daemon_settings(
            ports[:3], zone="z0", platform_port=ports[3]
        )
        daemon = Daemon(parse_settings(text, source="-").unwrap())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, Platform(), HOST, ports[3], None)
            await daemon.start(nursery)
            await trio.sleep(1)
            started = time.process_time()
            began = trio.current_time()
            await trio.sleep(seconds)
            cpu = time.process_time() - started
            passed = trio.current_time() - began
            nursery.cancel_scope.cancel()
        return BaseCost(cpu=cpu / passed, rss=read_rss())

    with _quiet_logs():
        return trio.run(run)


@contextlib.contextmanager
def _quiet_logs() -> Iterator[None]:
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)
