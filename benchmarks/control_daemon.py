"""Measures a whole daemon and its lists in this process."""

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
    """Return the settings of the daemon d0 on loopback."""
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
    """Return the published list of daemons, each with its own address."""
    listed = []
    for item in instances:
        number = int(item.instance_id.removeprefix("d"))
        host = f"127.1.{number // 250}.{number % 250 + 1}"
        listed.append(attrs.asdict(item) | {"host": host})
    return json.dumps(listed)


def _format_zone(instances: list[Instance], zone: str) -> tuple[str, bytes]:
    """Return the key and the content of the daemon list of a zone."""
    listed = [item for item in instances if item.zone == zone]
    return f"instances/daemons/{zone}", format_list(listed).encode()


@attrs.frozen(kw_only=True)
class ListCost:
    """Cost of applying lists on a daemon of a large fleet.

    Attributes
    ----------
    first_cpu
        CPU seconds to apply all lists and documents at startup.
    restart_cpu
        Mean CPU seconds to apply the two list changes of one restart: the
        instance is removed and added again.
    longest_cpu
        Highest CPU seconds of a single list change, during which the event
        loop is blocked.
    rack_cpu
        CPU seconds when a tenth of the own zone leaves and returns.
    zone_cpu
        CPU seconds when another zone leaves and returns.
    restart_bytes
        Bytes of the documents that one restart makes the daemon fetch,
        compressed as on the peer streams.
    rss
        Resident memory added by lists and documents, in bytes.
    held_documents
        Number of documents that the daemon holds.
    owned_services
        Number of services that the daemon owns.
    """

    first_cpu: float
    restart_cpu: float
    longest_cpu: float
    rack_cpu: float
    zone_cpu: float
    restart_bytes: float
    rss: float
    held_documents: int
    owned_services: int


def measure_lists(
    *, daemons: int, services: int, zones: int = 16, rounds: int = 16
) -> ListCost:
    """Measure a running daemon that applies a fleet's lists and restarts.

    The listed peers don't exist. Dialing them isn't counted, because only the
    application of accepted documents is measured.
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
            startup_cost = _apply_initial_documents(
                daemon, daemons, services, zones
            )
            # The next tick drops the documents that a daemon keeps only
            # in a small fleet.
            await trio.sleep(5 * TICK_S)
            cost = _measure_restarts(
                daemon, startup_cost, daemons, zones, rounds
            )
            nursery.cancel_scope.cancel()
        return cost

    with _disable_logging():
        return trio.run(run)


def _apply_initial_documents(
    daemon: Daemon, daemons: int, services: int, zones: int
) -> tuple[float, int]:
    """Apply all lists and documents; return CPU seconds and memory."""
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


def _measure_restarts(
    daemon: Daemon,
    startup_cost: tuple[float, int],
    daemons: int,
    zones: int,
    rounds: int,
) -> ListCost:
    """Apply the list changes of restarts and of a rack and a zone failure."""
    instances = make_instances(daemons, zones)
    revision = daemon.store.highest_revision
    changes = []
    size = 0
    for number in range(rounds):
        restarted = instances[1 + number]
        for listed in ([i for i in instances if i != restarted], instances):
            key, content = _format_zone(listed, restarted.zone)
            size += len(Compressor().compress(content))
            revision += 1
            started = time.process_time()
            daemon.store.accept(key, revision, content, keep=True)
            changes.append(time.process_time() - started)
    own = [item for item in instances if item.zone == "z0"]
    rack = own[1 : 1 + max(1, len(own) // 10)]
    other_zone = [item for item in instances if item.zone == "z1"]
    cpu_costs = []
    for removed in (rack, other_zone):
        cpu_costs.append(0.0)
        for listed in (
            [i for i in instances if i not in removed],
            instances,
        ):
            key, content = _format_zone(listed, removed[0].zone)
            revision += 1
            started = time.process_time()
            daemon.store.accept(key, revision, content, keep=True)
            cpu_costs[-1] += time.process_time() - started
    return ListCost(
        rack_cpu=cpu_costs[0],
        zone_cpu=cpu_costs[1],
        first_cpu=startup_cost[0],
        longest_cpu=max(changes),
        restart_cpu=2 * sum(changes) / len(changes),
        restart_bytes=size / rounds,
        rss=startup_cost[1],
        held_documents=sum(
            daemon.store.document(e[0]) is not None for e in daemon.store
        ),
        owned_services=len(list(daemon.services)),
    )


@attrs.frozen(kw_only=True)
class BaseCost:
    """Cost of a daemon without peers or services."""

    cpu: float
    rss: float


def measure_base(*, seconds: float = 5.0) -> BaseCost:
    """Measure an idle daemon connected only to the platform stand-in."""

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
            elapsed_s = trio.current_time() - began
            nursery.cancel_scope.cancel()
        return BaseCost(cpu=cpu / elapsed_s, rss=read_rss())

    with _disable_logging():
        return trio.run(run)


@contextlib.contextmanager
def _disable_logging() -> Iterator[None]:
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)
