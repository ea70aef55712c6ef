"""Control cost of daemons that run as real processes.

One fleet grows through all sizes, so that each daemon starts only once. The
services have no upstreams and no client sends requests.
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

SIZES = (8, 16, 32, 64, 128)
SETTLE_S = 6.0
SAMPLE_S = 6.0
CHANGES_PER_S = 3
"""About ten times the target's 23,000 changes a day."""

PROPAGATIONS = 3
KEY = "catalogue/services/billing"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGESIZE")


@attrs.frozen(kw_only=True)
class FleetCost:
    """Costs of one size; per daemon and second where not said otherwise.

    Attributes
    ----------
    peers
        Reachable peers, the mean of the daemons.
    idle_cpu, busy_cpu
        CPU seconds without and with configuration changes.
    highest_cpu
        CPU seconds of the costliest daemon with configuration changes.
    rss
        Resident memory, the largest of the daemons.
    idle_sent, busy_sent
        Bytes to peers.
    idle_calls, busy_calls
        Platform calls of the whole fleet.
    in_force_s
        Largest time until a change was in force on all daemons.
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
class _Reading:
    """Counters of the whole fleet at one time."""

    at: float
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
        # All at once, so that no port is chosen twice.
        self._ports = iter(choose_ports(2 + 3 * max(SIZES)))
        self._changes = 0
        self._published: dict[str, str] = {}

    async def start(self) -> None:
        """Start the platform and publish the catalogue."""
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
        """Add daemons until there are ``count`` and wait for all."""
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
        """Publish the lists of the zones that changed."""
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

    async def change(self) -> int:
        """Publish a new revision of a service; return the revision."""
        self._changes += 1
        document = ROOT / "examples" / self.deployment.name / "billing.toml"
        text = document.read_text(encoding="utf-8")
        return await self.publish(KEY, f"{text}# {self._changes}\n")

    async def read(self) -> _Reading:
        """Read the counters of all processes."""
        sent = [await self._read_sent(m.admin_port) for m in self.members]
        calls = (await self.control_platform("calls")).json()
        return _Reading(
            at=time.monotonic(),
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

    async def measure_in_force(self) -> float:
        """Return the time until a change is in force on all daemons."""
        started = trio.current_time()
        revision = await self.change()
        waiting = list(self.members)
        while waiting:
            late = []
            for member in waiting:
                done = await self.query_admin(member, "/v1/status")
                if (
                    done.is_err()
                    or done.unwrap()["configuration"]["highest_revision"]
                    < revision
                ):
                    late.append(member)
            waiting = late
        return trio.current_time() - started


def read_cpu(pid: int) -> float:
    """Return the CPU seconds of a process so far."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


async def _measure_size(fleet: GrowingFleet, count: int) -> FleetCost:
    await fleet.grow(count)
    await trio.sleep(SETTLE_S)
    peers = await fleet.count_peers()
    first = await fleet.read()
    await trio.sleep(SAMPLE_S)
    idle = await fleet.read()
    for _ in range(round(SAMPLE_S * CHANGES_PER_S)):
        await fleet.change()
        await trio.sleep(1 / CHANGES_PER_S)
    busy = await fleet.read()
    times = [await fleet.measure_in_force() for _ in range(PROPAGATIONS)]
    # A tenth of the fleet goes and comes back, as with a rack.
    gone = tuple(
        m.instance.instance_id for m in fleet.members[:: max(2, count // 8)]
    )
    quiet = await fleet.read()
    await fleet.publish_daemons(gone=gone)
    await trio.sleep(2)
    await fleet.publish_daemons()
    await trio.sleep(2)
    listed = await fleet.read()
    base = sum(_spent(first, idle)) / (idle.at - first.at)
    list_cpu = sum(_spent(quiet, listed)) - base * (listed.at - quiet.at)
    return FleetCost(
        daemons=count,
        peers=peers,
        idle_cpu=base / count,
        busy_cpu=sum(_spent(idle, busy)) / (busy.at - idle.at) / count,
        highest_cpu=max(_spent(idle, busy)) / (busy.at - idle.at),
        rss=fleet.read_rss(),
        idle_sent=(idle.sent - first.sent) / (idle.at - first.at) / count,
        busy_sent=(busy.sent - idle.sent) / (busy.at - idle.at) / count,
        idle_calls=(idle.calls - first.calls) / (idle.at - first.at),
        busy_calls=(busy.calls - idle.calls) / (busy.at - idle.at),
        in_force_s=max(times),
        list_cpu=list_cpu / count / 2,
    )


def _spent(first: _Reading, last: _Reading) -> list[float]:
    return [b - a for a, b in zip(first.cpu, last.cpu, strict=True)]


async def measure_fleet(
    sizes: tuple[int, ...] = SIZES,
) -> list[FleetCost]:
    """Measure each size and print it."""
    found = []
    with tempfile.TemporaryDirectory(prefix="hawthornmast-") as name:
        folder = pathlib.Path(name)
        group = ProcessGroup(folder)
        try:
            fleet = GrowingFleet(group=group, folder=folder)
            await fleet.start()
            for count in sizes:
                cost = await _measure_size(fleet, count)
                found.append(cost)
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
    return found
