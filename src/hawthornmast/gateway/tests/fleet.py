"""A simulated fleet of members, on trio's mock clock."""

from collections.abc import Callable
from collections.abc import Iterable
import functools
from typing import Any

import attrs
import msgpack
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import EraRevision
from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.common import StepError
from hawthornmast.common.ticks import sleep_until_tick
from hawthornmast.gateway import GatewayMember
from hawthornmast.gateway import member as member_module
from hawthornmast.gateway.datagrams import IDLE_RECEIVE_INTERVAL_S
from hawthornmast.gateway.datagrams import MessageKind
from hawthornmast.gateway.options import GatewayOptions
from hawthornmast.gateway.snapshots import PULL_TIMEOUT_S
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.gateway.tests.support import make_listed_upstream
from hawthornmast.membership.entries import UpstreamSnapshot
from hawthornmast.membership.placement import zone_rank_key
from hawthornmast.platform.headers import PlatformClientDialect
from hawthornmast.platform.headers import PlatformUpstreamDialect
from hawthornmast.routing import Configuration
from hawthornmast.routing import PublishedConfiguration

NETWORK_DELAY_S = 0.002
READ_DELAY_S = 0.008

STARTED_MS = 1_787_203_747_216
"""Start time of all upstreams."""


class Platform:
    """The platform of a simulated fleet.

    Attributes
    ----------
    refused
        Members that are turned away at once.
    silent
        Members whose reads aren't answered.
    paused
        Members that go on with their reads only when they are removed here.
    read_delay_s
        Time of a read; the state is that at half of it.
    """

    def __init__(self, upstream_count: int) -> None:
        self.revision = 1
        self.configuration = make_configuration()
        self.entries = {
            f"u{number}": make_listed_upstream(
                f"u{number}", started_ms=STARTED_MS
            )
            for number in range(upstream_count)
        }
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.paused: set[str] = set()
        self.read_delay_s = READ_DELAY_S
        self.calls = 0
        self.era = 0
        self.written = 1

    def mark_leaving(self, name: str) -> None:
        """Apply an upstream's announcement that it leaves."""
        entry = self.entries[name]
        self.entries[name] = attrs.evolve(
            entry, upstream=attrs.evolve(entry.upstream, state=State.LEAVING)
        )
        self.revision += 1

    def remove(self, name: str) -> None:
        """Remove the entry of an upstream."""
        del self.entries[name]
        self.revision += 1

    def put_upstream(self, name: str) -> None:
        """Write the entry of a live upstream, also again."""
        self.revision += 1
        self.entries[name] = attrs.evolve(
            make_listed_upstream(name, started_ms=STARTED_MS),
            revision=self.revision,
            sequence=self.revision,
        )

    def put_configuration(self, configuration: Configuration) -> None:
        """Write a configuration."""
        self.revision += 1
        self.configuration = configuration
        self.written = self.revision

    def take_copy(self) -> dict[str, Any]:
        """Return a copy of what the platform stores."""
        return {
            "revision": self.revision,
            "configuration": self.configuration,
            "written": self.written,
            "entries": dict(self.entries),
        }

    def restore(self, copy: dict[str, Any]) -> None:
        """Return to a copy in a new era."""
        vars(self).update(copy, entries=dict(copy["entries"]))
        self.era += 1


class PlatformReader:
    """Reads of one member."""

    def __init__(self, platform: Platform, name: str) -> None:
        self._platform = platform
        self._name = name

    async def read_listing(
        self, *, timeout_s: float
    ) -> Result[UpstreamSnapshot, StepError]:
        """Return the list of upstreams."""
        return await self._read(
            lambda: UpstreamSnapshot(
                revision=self._platform.revision,
                entries=tuple(self._platform.entries.values()),
                era=self._platform.era,
            ),
            timeout_s,
        )

    async def read_configuration(
        self, *, timeout_s: float
    ) -> Result[PublishedConfiguration | None, StepError]:
        """Return the configuration."""
        platform = self._platform
        return await self._read(
            lambda: PublishedConfiguration(
                configuration=platform.configuration,
                position=EraRevision(platform.era, platform.revision),
                written=platform.written,
            ),
            timeout_s,
        )

    async def _read(
        self, get: Any, timeout_s: float
    ) -> Result[Any, StepError]:
        platform = self._platform
        platform.calls += 1
        if self._name in platform.silent:
            await trio.sleep(timeout_s)
            return Err(StepError(step="read", detail="no answer"))
        while self._name in platform.paused:
            await trio.sleep(0.01)
        await trio.sleep(platform.read_delay_s / 2)
        value = get()
        await trio.sleep(platform.read_delay_s / 2)
        if self._name in platform.refused:
            return Err(StepError(step="read", detail="status 429"))
        return Ok(value)


class SimulatedTransport:
    """Delivers datagrams within a fleet."""

    fleet: "Fleet"

    def __init__(
        self, host: str, port: int, *, handle: Any, is_idle: Any
    ) -> None:
        self._host = host
        self.handle = handle
        self.is_idle = is_idle
        self.sent_bytes = 0
        self.refused = 0

    def send(
        self, hosts: Iterable[str], kind: MessageKind, payload: Any
    ) -> None:
        """Send a message to each host."""
        payload = msgpack.unpackb(msgpack.packb(payload))
        for host in hosts:
            if self._host in self.fleet.stalled:
                continue
            self.fleet.nursery.start_soon(
                self.fleet.deliver, self._host, host, kind, payload
            )


class Fleet:
    """Members of a simulated fleet that share one platform.

    Parameters
    ----------
    zones
        Number of members in each zone.
    upstream_count
        Number of upstreams, named ``u0``, ``u1`` and so on.
    nursery
        Runs the members.
    monkeypatch
        Replaces the transport of datagrams.

    Attributes
    ----------
    dark
        Members that neither send nor receive.
    stalled
        Members that stand still. Datagrams to them wait in their sockets.
    pulls
        Number of snapshots that members asked for.
    """

    def __init__(
        self,
        zones: Iterable[int],
        *,
        upstream_count: int,
        nursery: trio.Nursery,
        monkeypatch: Any,
    ) -> None:
        self.nursery = nursery
        self.platform = Platform(upstream_count)
        self.dark: set[str] = set()
        self.stalled: set[str] = set()
        self.pulls = 0
        self._waiting: dict[str, list[Callable[[], None]]] = {}
        self._scopes: dict[str, list[trio.CancelScope]] = {}
        self.members: dict[str, GatewayMember] = {}
        transport = type("Transport", (SimulatedTransport,), {"fleet": self})
        monkeypatch.setattr(member_module, "DatagramTransport", transport)
        monkeypatch.setattr(member_module, "read_boot_time", trio.current_time)
        zones = tuple(zones)
        self._zone_count = len(zones)
        hosts = [
            (f"10.{zone}.0.{number}", f"zone-{zone}")
            for zone, count in enumerate(zones)
            for number in range(count)
        ]
        for host, zone in hosts:
            self._start(host, zone, seeds=tuple(h for h, _ in hosts[:3]))

    def ranked(self) -> list[str]:
        """Return the hosts of all members in their order of reading.

        The representatives come first, then the seconds of the zones.
        """
        zones: dict[str, list[Instance]] = {}
        for member in self.members.values():
            instance = member.options.instance
            zones.setdefault(instance.zone, []).append(instance)
        for items in zones.values():
            items.sort(key=zone_rank_key)
        keyed = [
            (position, instance.host)
            for items in zones.values()
            for position, instance in enumerate(items)
        ]
        return [host for _, host in sorted(keyed)]

    def restart(self, host: str) -> None:
        """End the process of a member and start one with no memory."""
        options = self.members[host].options
        for scope in self._scopes[host]:
            scope.cancel()
        self._start(host, options.instance.zone, seeds=options.seeds)

    async def deliver(
        self, sender: str, host: str, kind: MessageKind, payload: Any
    ) -> None:
        """Deliver a datagram unless either side is dark."""
        await trio.sleep(NETWORK_DELAY_S)
        if host not in self.members or {sender, host} & self.dark:
            return
        waited_s = 0.0
        if self.members[host].datagrams.is_idle():
            arrived_at = trio.current_time()
            await sleep_until_tick(IDLE_RECEIVE_INTERVAL_S)
            waited_s = trio.current_time() - arrived_at
        handle = functools.partial(
            self.members[host].datagrams.handle,
            kind,
            payload,
            sender,
            waited_s,
        )
        if host in self.stalled:
            self._waiting.setdefault(host, []).append(handle)
        else:
            handle()

    async def stall(self, hosts: Iterable[str], duration_s: float) -> None:
        """Let members stand still for some seconds."""
        hosts = set(hosts) - self.stalled
        self.stalled |= hosts
        self.platform.paused |= hosts
        await trio.sleep(duration_s)
        self.stalled -= hosts
        self.platform.paused -= hosts
        for host in sorted(hosts):
            for handle in self._waiting.pop(host, []):
                handle()

    async def measure_configuration_spread(
        self, version: int, hosts: Iterable[str]
    ) -> float:
        """Publish a configuration; return the seconds until it is in force.

        Parameters
        ----------
        hosts
            Members that are waited for.
        """
        started_at = trio.current_time()
        self.platform.put_configuration(make_configuration(version))
        while any(
            self.members[host].synchronizer.version < version for host in hosts
        ):
            await trio.sleep(0.01)
        return trio.current_time() - started_at

    async def measure_spread(self, name: str) -> float:
        """Return the seconds until no member uses an upstream any more."""
        started_at = trio.current_time()
        while any(
            self._uses(member, name)
            for host, member in self.members.items()
            if host not in self.dark
        ):
            await trio.sleep(0.01)
        return trio.current_time() - started_at

    async def wait_until_known(self, name: str) -> str:
        """Return the first host that knows that an upstream leaves."""
        while True:
            for host, member in self.members.items():
                if not self._uses(member, name):
                    return host
            await trio.sleep(0.001)

    @staticmethod
    def _uses(member: GatewayMember, name: str) -> bool:
        entry = member.listing.entries.get(name)
        return entry is not None and entry.upstream.state is State.LIVE

    def _start(self, host: str, zone: str, *, seeds: tuple[str, ...]) -> None:
        instance = Instance(
            instance_id=f"m-{host}",
            zone=zone,
            host=host,
            port=1,
            peer_port=2,
        )
        member = GatewayMember(
            GatewayOptions(
                instance=instance, seeds=seeds, zones=self._zone_count
            ),
            PlatformReader(self.platform, host),
            client_dialect=PlatformClientDialect(),
            upstream_dialect=PlatformUpstreamDialect(),
        )
        member._random.seed(len(self.members))
        member._nursery = self.nursery
        member.synchronizer._fetch_snapshot = self._make_fetcher(host)
        member.synchronizer._start_due_tasks = self._skip_while_stalled(
            host, member.synchronizer._start_due_tasks
        )
        member._run_periodic_step = self._skip_while_stalled(
            host, member._run_periodic_step
        )
        self.members[host] = member
        self._scopes[host] = []
        for task in (member.synchronizer.run, member._run_periodic_tasks):
            scope = trio.CancelScope()
            self._scopes[host].append(scope)
            self.nursery.start_soon(self._run_task, scope, task)

    @staticmethod
    async def _run_task(scope: trio.CancelScope, task: Any) -> None:
        with scope:
            await task()

    def _skip_while_stalled(self, host: str, step: Any) -> Any:
        def run(*arguments: Any) -> None:
            if host not in self.stalled:
                step(*arguments)

        return run

    def _make_fetcher(self, receiver: str) -> Any:
        async def fetch(
            peer: Instance, version: int
        ) -> Result[bytes, StepError]:
            self.pulls += 1
            if {peer.host, receiver} & self.dark:
                await trio.sleep(PULL_TIMEOUT_S)
                return Err(StepError(step="connect", detail="no answer"))
            # A connection is opened, then the snapshot is fetched.
            await trio.sleep(2 * NETWORK_DELAY_S)
            body = self.members[peer.host].synchronizer.encode_state_snapshot(
                version
            )
            await trio.sleep(NETWORK_DELAY_S)
            return Ok(body)

        return fetch
