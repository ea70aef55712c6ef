"""Measures the control cost of daemons that run as processes.

One fleet grows through all sizes, so that each daemon starts only once.
Services have no upstreams, and no client sends requests.
"""

from collections.abc import Collection
import json
import os
import pathlib
import statistics
import tempfile
import time

import attrs
import trio

from hawthornmast.http import fetch
from tools.deployments import BRAMBLEWICK
from tools.fleet import Fleet
from tools.processes import choose_ports
from tools.processes import HOST
from tools.processes import ProcessGroup
from tools.processes import ROOT

FLEET_SIZES = (8, 16, 32, 64, 128)
SETTLE_S = 6.0
SAMPLE_S = 6.0
CHANGES_PER_S = 3
"""About ten times the rate of ``capacity_target.CHANGES_PER_S``, which is
23,000 changes per day."""

PROPAGATION_RUNS = 3
SERVICE_KEY = "catalogue/services/billing"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGESIZE")


@attrs.frozen(kw_only=True)
class FleetCost:
    """Costs at one fleet size, per daemon and second unless stated otherwise.

    Attributes
    ----------
    peers
        Mean number of reachable peers.
    idle_cpu, busy_cpu
        CPU seconds without and with configuration changes.
    highest_cpu
        Highest CPU seconds of a daemon, with configuration changes.
    rss
        Largest resident memory of a daemon in bytes.
    idle_sent, busy_sent
        Bytes sent to peers without and with configuration changes.
    idle_calls, busy_calls
        Platform calls of the whole fleet without and with configuration
        changes.
    in_force_s
        Longest time in seconds until a change was in force on all daemons.
    list_cpu
        CPU seconds per daemon for one change of the list of daemons.
    """

    daemons: int
    peers: float
    idle_cpu: float
    busy_cpu: float
    highest_cpu: float
    rss: int
    idle_sent: float
    busy_sent: float
    idle_calls: float
    busy_calls: float
    in_force_s: float
    list_cpu: float


@attrs.frozen(kw_only=True)
class _Counters:
    """Counters of the whole fleet at one point in time."""

    time_s: float
    cpu: list[float]
    sent: float
    calls: int


class GrowingFleet(Fleet):
    """A fleet without upstreams to which daemons are added."""

    def __init__(self, *, group: ProcessGroup, folder: pathlib.Path) -> None:
        deployment = attrs.evolve(
            BRAMBLEWICK, upstreams=dict.fromkeys(BRAMBLEWICK.upstreams, 0)
        )
        super().__init__(deployment, group=group, folder=folder, daemons=0)
        # Reserves all ports in one call, so that none is chosen twice.
        self._ports = iter(choose_ports(2 + 3 * max(FLEET_SIZES)))
        self._changes = 0
        self._published: dict[str, str] = {}

    async def start(self) -> None:
        """Start the platform stand-in and publish the catalogue."""
        self.platform_port = next(self._ports)
        self._platform_control_port = next(self._ports)
        self._group.start(
            "capacity-platform",
            "standins.platform",
            "--port",
            str(self.platform_port),
            "--control-port",
            str(self._platform_control_port),
        )
        await self.publish_all()

    async def grow(self, count: int) -> None:
        """Add daemons up to ``count`` and wait until all are serving."""
        new = range(len(self.members), count)
        for number in new:
            ports = [next(self._ports) for _ in range(3)]
            self._add_member(number, *ports)
        await self.publish_daemons()
        for number in new:
            self.start_member(self.members[number])
        for number in new:
            await self.wait_until_serving(self.members[number])

    async def publish_daemons(self, *, gone: Collection[str] = ()) -> None:
        """Publish the daemon lists of the zones that changed."""
        for zone in self.deployment.zones:
            listed = [
                attrs.asdict(member.instance)
                for member in self.members
                if member.instance.zone == zone
                and member.instance.instance_id not in gone
            ]
            text = json.dumps(listed)
            if self._published.get(zone) != text:
                self._published[zone] = text
                await self.publish(f"instances/daemons/{zone}", text)

    async def publish_change(self) -> int:
        """Publish a change of the service document; return its revision."""
        self._changes += 1
        document = ROOT / "examples" / self.deployment.name / "billing.toml"
        text = document.read_text(encoding="utf-8")
        return await self.publish(SERVICE_KEY, f"{text}# {self._changes}\n")

    async def read_counters(self) -> _Counters:
        """Read the counters of all daemons and of the platform stand-in."""
        sent = [await self._read_sent(m.admin_port) for m in self.members]
        calls = (await self.control_platform("calls")).json()
        return _Counters(
            time_s=time.monotonic(),
            cpu=[read_cpu(self._pid(n)) for n in range(len(self.members))],
            sent=sum(sent),
            calls=calls["changes"] + calls["values"],
        )

    async def _read_sent(self, port: int) -> float:
        done = await fetch(HOST, port, "GET", "/metrics", timeout=20)
        for line in done.unwrap().body.decode().splitlines():
            if line.startswith(
                'hawthornmast_peer_bytes_total{direction="sent"}'
            ):
                return float(line.split()[-1])
        return 0.0

    def _pid(self, number: int) -> int:
        process = self.members[number].process
        assert process is not None
        return process.popen.pid

    def read_rss(self) -> int:
        """Return the largest resident memory of a daemon in bytes."""
        return max(
            int(
                pathlib.Path(f"/proc/{self._pid(n)}/statm")
                .read_text(encoding="ascii")
                .split()[1]
            )
            * _PAGE_BYTES
            for n in range(len(self.members))
        )

    async def count_peers(self) -> float:
        """Return the mean number of reachable peers."""
        counts = []
        for member in self.members:
            status = (await self.query_admin(member, "/v1/status")).unwrap()
            counts.append(len(status["reachable"]))
        return statistics.fmean(counts)

    async def measure_propagation(self) -> float:
        """Return the time until a change is in force on all daemons."""
        started = trio.current_time()
        revision = await self.publish_change()
        pending = list(self.members)
        while pending:
            outdated = []
            for member in pending:
                done = await self.query_admin(member, "/v1/status")
                if (
                    done.is_err()
                    or done.unwrap()["configuration"]["highest_revision"]
                    < revision
                ):
                    outdated.append(member)
            pending = outdated
        return trio.current_time() - started


def read_cpu(pid: int) -> float:
    """Return the CPU seconds used by a process."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


async def _measure_size(fleet: GrowingFleet, count: int) -> FleetCost:
    await fleet.grow(count)
    await trio.sleep(SETTLE_S)
    peers = await fleet.count_peers()
    start = await fleet.read_counters()
    await trio.sleep(SAMPLE_S)
    idle = await fleet.read_counters()
    for _ in range(round(SAMPLE_S * CHANGES_PER_S)):
        await fleet.publish_change()
        await trio.sleep(1 / CHANGES_PER_S)
    busy = await fleet.read_counters()
    times = [
        await fleet.measure_propagation() for _ in range(PROPAGATION_RUNS)
    ]
    # Removes up to eight daemons from the lists and adds them again, like the
    # failure and recovery of a rack.
    gone = tuple(
        m.instance.instance_id for m in fleet.members[:: max(2, count // 8)]
    )
    before_removal = await fleet.read_counters()
    await fleet.publish_daemons(gone=gone)
    await trio.sleep(2)
    await fleet.publish_daemons()
    await trio.sleep(2)
    after_return = await fleet.read_counters()
    base = sum(_compute_cpu_deltas(start, idle)) / (idle.time_s - start.time_s)
    list_cpu = sum(
        _compute_cpu_deltas(before_removal, after_return)
    ) - base * (after_return.time_s - before_removal.time_s)
    return FleetCost(
        daemons=count,
        peers=peers,
        idle_cpu=base / count,
        busy_cpu=sum(_compute_cpu_deltas(idle, busy))
        / (busy.time_s - idle.time_s)
        / count,
        highest_cpu=max(_compute_cpu_deltas(idle, busy))
        / (busy.time_s - idle.time_s),
        rss=fleet.read_rss(),
        idle_sent=(idle.sent - start.sent)
        / (idle.time_s - start.time_s)
        / count,
        busy_sent=(busy.sent - idle.sent)
        / (busy.time_s - idle.time_s)
        / count,
        idle_calls=(idle.calls - start.calls) / (idle.time_s - start.time_s),
        busy_calls=(busy.calls - idle.calls) / (busy.time_s - idle.time_s),
        in_force_s=max(times),
        list_cpu=list_cpu / count / 2,
    )


def _compute_cpu_deltas(start: _Counters, last: _Counters) -> list[float]:
    return [b - a for a, b in zip(start.cpu, last.cpu, strict=True)]


async def measure_fleet(
    sizes: tuple[int, ...] = FLEET_SIZES,
) -> list[FleetCost]:
    """Measure and print the costs at each fleet size."""
    costs = []
    with tempfile.TemporaryDirectory(prefix="hawthornmast-") as name:
        folder = pathlib.Path(name)
        group = ProcessGroup(folder)
        try:
            fleet = GrowingFleet(group=group, folder=folder)
            await fleet.start()
            for count in sizes:
                cost = await _measure_size(fleet, count)
                costs.append(cost)
                print(
                    " ".join(
                        f"{key}={value:.6g}"
                        for key, value in attrs.asdict(cost).items()
                    ),
                    flush=True,
                )
        finally:
            with trio.CancelScope(shield=True):
                await group.close()
    return costs
