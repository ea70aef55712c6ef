"""Measures parts of the control cost of a daemon in this process.

Each function measures one size and returns CPU seconds by
``time.process_time``, bytes of resident memory, or bytes sent. No cost is a
wall time, so that other load on the machine has little effect.
"""

import gc
import hashlib
import json
import pathlib
import random
import time
from typing import Any

import attrs
import trio
import trio.testing

from hawthornmast.audit import AuditTrail
from hawthornmast.catalogue import parse_service
from hawthornmast.common import Instance
from hawthornmast.common import Upstream
from hawthornmast.configuration import ConfigurationStore
from hawthornmast.configuration.messages import Announce
from hawthornmast.daemon.runtime import Runtime
from hawthornmast.daemon.runtime import RuntimeContext
from hawthornmast.health import Evidence
from hawthornmast.health import MESSAGE_TYPES as HEALTH_MESSAGES
from hawthornmast.limits import SlotDemand
from hawthornmast.limits import SlotGrant
from hawthornmast.peers import Compressor
from hawthornmast.peers import Decompressor
from hawthornmast.peers import MessageCodec
from hawthornmast.peers import PeerNetwork
from standins.fleet import make_instances
from tools.processes import choose_ports
from tools.processes import HOST

SECRET = "capacity-secret-on-loopback"
FRAME_OVERHEAD_BYTES = 20
"""Length prefix and authentication code of each message."""

TICK_S = 0.1
_PAGE_BYTES = 4096


def read_rss() -> int:
    """Return the resident memory of this process in bytes."""
    gc.collect()
    text = pathlib.Path("/proc/self/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * _PAGE_BYTES


def format_service(name: str, *, routes: int = 30, **keys: Any) -> str:
    """Return a catalogue document with one entry per route."""
    lines = [f'name = "{name}"', 'owner = "team"', "floor = 0.7"]
    lines += [f"{key} = {json.dumps(value)}" for key, value in keys.items()]
    for number in range(routes):
        lines += [
            "[[entry]]",
            f'name = "entry-{number}"',
            f'owner = "team-{number}"',
            'rank = "standard"',
            'methods = ["GET"]',
            f'path = "/entry-{number}"',
            f"share = {1 / max(routes, 1):.4f}",
            "queue_limit = 64",
            "deadline_ms = 2000",
        ]
    return "\n".join(lines) + "\n"


def make_upstreams(count: int) -> list[Upstream]:
    """Return upstreams with 4 slots each, spread over three zones."""
    return [
        Upstream(
            upstream_id=f"upstream-{number}",
            zone=f"z{number % 3}",
            host=HOST,
            port=1,
            slots=4,
        )
        for number in range(count)
    ]


class _RuntimeGroup:
    """The members of one owner group, connected within this process."""

    def __init__(
        self, name: str, members: int, upstreams: int, routes: int
    ) -> None:
        self.bytes = 0
        self.messages = 0
        # One pair of streams per service; production streams are shared by
        # all services.
        self._streams: dict[
            tuple[str, str], tuple[Compressor, Decompressor]
        ] = {}
        self._codec = MessageCodec(SlotDemand, SlotGrant, *HEALTH_MESSAGES)
        text = format_service(name, routes=routes)
        service = parse_service(text, source=name).unwrap()
        instances = make_instances(members, 3)
        self.runtimes = {
            item.instance_id: Runtime(
                service, context=self._make_context(item)
            )
            for item in instances
        }
        listed = make_upstreams(upstreams)
        for runtime in self.runtimes.values():
            runtime.update_lists(listed, list(self.runtimes), view="1")

    def _make_context(self, instance: Instance) -> RuntimeContext:
        def post(peer: str, message: Any) -> bool:
            # Encodes and decodes each message, as production members do.
            pair = (instance.instance_id, peer)
            if pair not in self._streams:
                self._streams[pair] = Compressor(), Decompressor()
            compressor, decompressor = self._streams[pair]
            body = compressor.compress(self._codec.encode(message))
            self.bytes += len(body) + FRAME_OVERHEAD_BYTES
            self.messages += 1
            received = self._codec.decode(
                decompressor.decompress(body)
            ).unwrap()
            runtime = self.runtimes[peer]
            if isinstance(received, SlotDemand | SlotGrant):
                runtime.allocator.handle(received, instance.instance_id)
            else:
                runtime.monitor.handle(received, instance.instance_id)
            return True

        return RuntimeContext(
            instance=instance,
            post=post,
            reachable=lambda peer: True,
            audit=AuditTrail(capacity=100),
            random=random.Random(instance.instance_id),
        )


@attrs.frozen(kw_only=True)
class RuntimeCost:
    """Cost of one member for all its services, per second."""

    cpu: float
    rss: float
    sent: float
    messages: float


def measure_runtimes(
    *,
    services: int = 2,
    upstreams: int = 19,
    routes: int = 30,
    members: int = 3,
    requests_per_s: float = 0.0,
    seconds: float = 5.0,
    seed: int = 1,
) -> RuntimeCost:
    """Measure health monitoring and slot allocation of owned services."""

    async def run() -> RuntimeCost:
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        before = read_rss()
        groups = [
            _RuntimeGroup(f"service-{n}", members, upstreams, routes)
            for n in range(services)
        ]
        rss = read_rss() - before
        _run_ticks(groups, clock, 30, 0, seed)
        for group in groups:
            group.bytes = group.messages = 0
        started = time.process_time()
        ticks = round(seconds / TICK_S)
        _run_ticks(groups, clock, ticks, requests_per_s, seed)
        cpu = time.process_time() - started
        return RuntimeCost(
            cpu=cpu / members / seconds,
            rss=rss / members,
            sent=sum(group.bytes for group in groups) / members / seconds,
            messages=sum(g.messages for g in groups) / members / seconds,
        )

    clock = trio.testing.MockClock()
    return trio.run(run, clock=clock)


def _run_ticks(
    groups: list[_RuntimeGroup],
    clock: trio.testing.MockClock,
    ticks: int,
    requests_per_s: float,
    seed: int,
) -> None:
    rng = random.Random(seed)
    per_tick = requests_per_s * TICK_S
    for _ in range(ticks):
        clock.jump(TICK_S)
        for group in groups:
            for runtime in group.runtimes.values():
                for _ in range(int(per_tick + rng.random())):
                    upstream = rng.choice(runtime.upstreams)
                    attempt = runtime.begin(upstream.upstream_id, "entry-0")
                    runtime.finish(attempt, Evidence.OK)
                runtime.tick()


def _make_networks(count: int) -> tuple[list[Instance], list[PeerNetwork]]:
    """Return daemons of one zone and their peer networks, not started."""
    ports = choose_ports(count)
    instances = [
        Instance(
            instance_id=f"d{number}",
            zone="z0",
            host=HOST,
            port=1,
            peer_port=port,
        )
        for number, port in enumerate(ports)
    ]
    networks = [
        PeerNetwork(instance=item, incarnation=n, secrets=(SECRET,))
        for n, item in enumerate(instances)
    ]
    return instances, networks


@attrs.frozen(kw_only=True)
class LinkCost:
    """Cost of an idle peer connection on one side, per second."""

    cpu: float
    rss: float
    sent: float


def measure_links(
    *, peers: int, same_group: bool = True, seconds: float = 4.0
) -> LinkCost:
    """Measure a daemon with idle connections to a number of peers.

    With ``same_group`` the peers are members of an owner group, which use fast
    failure detection. Both ends run in this process; each is charged half of
    the cost.
    """

    async def run() -> LinkCost:
        instances, networks = _make_networks(peers + 1)
        fast_detection_ids = [
            item.instance_id for item in instances if same_group
        ]
        before = read_rss()
        async with trio.open_nursery() as nursery:
            for network in networks:
                await network.start(nursery)
            for network in networks[1:]:
                # Each end dials the other, as group members do.
                network.set_neighbours(
                    instances[:1], fast_detection=fast_detection_ids
                )
                networks[0].set_neighbours(
                    instances[1:], fast_detection=fast_detection_ids
                )
            with trio.fail_after(30):
                while len(networks[0].reachable_peers()) < peers:
                    await trio.sleep(0.1)
            await trio.sleep(2)
            rss = read_rss() - before
            sent = networks[0].count_bytes()[0]
            started = time.process_time()
            start_time = trio.current_time()
            await trio.sleep(seconds)
            elapsed_s = trio.current_time() - start_time
            cpu = time.process_time() - started
            sent = networks[0].count_bytes()[0] - sent
            nursery.cancel_scope.cancel()
        return LinkCost(
            cpu=cpu / 2 / elapsed_s, rss=rss / 2, sent=sent / elapsed_s
        )

    return trio.run(run)


@attrs.frozen(kw_only=True)
class AnnounceCost:
    """Cost of sending or receiving one announcement on one connection."""

    cpu: float
    sent: float


def measure_announce(*, peers: int, rounds: int = 50) -> AnnounceCost:
    """Measure announcements of one index entry to a number of peers."""

    async def run() -> AnnounceCost:
        instances, networks = _make_networks(peers + 1)
        received = []
        for network in networks:
            network.register(Announce, lambda m, sender: received.append(m))
        async with trio.open_nursery() as nursery:
            for network in networks:
                await network.start(nursery)
            networks[0].set_neighbours(instances[1:], fast_detection=())
            with trio.fail_after(30):
                while len(networks[0].reachable_peers()) < peers:
                    await trio.sleep(0.1)
            await trio.sleep(0.5)
            sent = networks[0].count_bytes()[0]
            started = time.process_time()
            for number in range(rounds):
                key = f"catalogue/services/service-{number * 97 % 5000}"
                digest = hashlib.md5(key.encode()).digest()
                message = Announce(entries=[(key, 123_456 + number, digest)])
                for item in instances[1:]:
                    assert networks[0].post(item.instance_id, message)
                await trio.sleep(0.01)
            cpu = time.process_time() - started
            sent = networks[0].count_bytes()[0] - sent
            assert len(received) == rounds * peers
            nursery.cancel_scope.cancel()
        frames = rounds * peers
        return AnnounceCost(cpu=cpu / frames / 2, sent=sent / frames)

    return trio.run(run)


@attrs.frozen(kw_only=True)
class IndexCost:
    """Cost of a configuration index."""

    rss: float
    update_cpu: float
    digest_cpu: float


def measure_index(*, keys: int, rounds: int = 20) -> IndexCost:
    """Measure the index: memory, one entry update, one digest.

    Peers compare digests of the index to find and fetch missing entries.
    """
    before = read_rss()
    store = ConfigurationStore(
        validate=lambda key, text: parse_service("", source=key),
        on_accepted=lambda key, revision, text: None,
        audit=AuditTrail(capacity=100, clock=time.monotonic),
    )
    for number in range(keys):
        digest = hashlib.md5(str(number).encode()).digest()
        store.record_entry(
            f"catalogue/services/service-{number}", number + 1, digest
        )
    rss = read_rss() - before
    started = time.process_time()
    for number in range(rounds):
        revision = keys + number + 1
        store.record_entry("catalogue/services/service-0", revision, b"0" * 16)
        assert store.highest_revision == revision
    update_cpu = (time.process_time() - started) / rounds
    started = time.process_time()
    for _ in range(rounds):
        assert store.digest
    digest_cpu = (time.process_time() - started) / rounds
    return IndexCost(rss=rss, update_cpu=update_cpu, digest_cpu=digest_cpu)
