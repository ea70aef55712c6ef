"""Catalogue revisions under load, faults of the platform and partitions."""

import itertools

import trio

from tools.deployments import BRAMBLEWICK
from tools.fleet import Fleet
from tools.fleet import PLATFORM
from tools.judge import judge_calls
from tools.load import Load
from tools.proofs import revisions
from tools.proofs.findings import Finding
from tools.proofs.findings import judge_promises
from tools.proofs.findings import open_fleet
from tools.proofs.findings import shrink
from tools.proofs.findings import Trial
from tools.proofs.sampling import Sampler

SERVICE = "billing"
RATE = 40.0
WITHIN_S = 5.0
"""What "within seconds" is judged by; the aim of 1 s is printed only, since
this machine runs the whole fleet and other work."""


async def run_size(trial: Trial, *, daemons: int) -> list[Finding]:
    """Run all steps on a fleet of this size."""
    deployment = shrink(BRAMBLEWICK, billing=3)
    name = f"configuration of {daemons} daemons"
    violations: list[str] = []
    figures: dict[str, float] = {}
    async with open_fleet(
        deployment, trial, daemons=daemons, service_ms=5.0, linked=True
    ) as fleet:
        load = Load(fleet, rate=RATE, seed=trial.seed, name=f"conf-{daemons}")
        # The same number of samples a second, whatever the size.
        sampler = Sampler(fleet, interval_s=0.02 * daemons)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sampler.run)
            nursery.start_soon(load.run, 100_000)
            for step in (
                publish_sequence,
                lose_platform,
                start_with_stale_platform,
                cut_halves,
            ):
                await step(fleet, violations, figures)
            nursery.cancel_scope.cancel()
        await load.close()
        violations += sampler.reverted
        calls = judge_calls(load.calls, await fleet.read_runs())
    return [
        Finding(
            promise="configuration",
            scenario=name,
            schedules=4,
            violations=violations,
            figures=figures,
        ),
        *judge_promises(name, calls),
    ]


async def publish_sequence(
    fleet: Fleet, violations: list[str], figures: dict[str, float]
) -> None:
    """Publish valid revisions with an invalid one among them."""
    times: list[float] = []
    for number in range(8):
        if number == 4:
            invalid = await revisions.publish_invalid(fleet, SERVICE)
            await trio.sleep(1.0)
            for member in fleet.members:
                seen = await revisions.read_revision(fleet, member, SERVICE)
                if seen >= invalid:
                    violations.append(f"invalid {invalid} is in force")
        revision = await revisions.publish_valid(fleet, SERVICE)
        await _expect(fleet, revision, violations, times)
    figures["in_force_worst_s"] = round(max(times), 3)
    figures["in_force_median_s"] = round(sorted(times)[len(times) // 2], 3)


async def lose_platform(
    fleet: Fleet, violations: list[str], figures: dict[str, float]
) -> None:
    """Keep the revision while the platform is down, then stale."""
    for fault in ("down", "stale"):
        before = await revisions.publish_valid(fleet, SERVICE)
        await _expect(fleet, before, violations, [])
        await fleet.control_platform(f"{fault}?on=1")
        newer = await revisions.publish_valid(fleet, SERVICE)
        await trio.sleep(2.5)
        for member in fleet.members:
            seen = await revisions.read_revision(fleet, member, SERVICE)
            if seen != before:
                violations.append(
                    f"{seen} is in force while the platform is {fault}, "
                    f"published before: {before}"
                )
        await fleet.control_platform(f"{fault}?on=0")
        times: list[float] = []
        await _expect(fleet, newer, violations, times, limit_s=15.0)
        figures[f"in_force_after_{fault}_s"] = round(max(times), 3)


async def start_with_stale_platform(
    fleet: Fleet, violations: list[str], figures: dict[str, float]
) -> None:
    """Start a fresh daemon while only its peers know the newest revision."""
    member = fleet.members[0]
    await fleet.control_platform("save")
    newest = await revisions.publish_valid(fleet, SERVICE)
    await _expect(fleet, newest, violations, [])
    await fleet.control_platform("stale?on=1&saved=1")
    fleet.kill(member)
    assert member.process is not None
    await trio.to_thread.run_sync(member.process.popen.wait)
    fleet.start_member(member)
    await fleet.wait_serving(member)
    lowest = newest
    for _ in range(20):
        lowest = min([lowest, *await _read_all(fleet)])
        await trio.sleep(0.1)
    if lowest < newest:
        violations.append(
            f"{lowest} is in force beside a stale platform, "
            f"before its failure: {newest}"
        )
    await fleet.control_platform("stale?on=0")
    figures["lowest_beside_stale_platform"] = lowest - newest


async def cut_halves(
    fleet: Fleet, violations: list[str], figures: dict[str, float]
) -> None:
    """Publish while one half reaches neither the other nor the platform."""
    names = [m.instance.instance_id for m in fleet.members]
    half = set(names[: len(names) // 2])
    sides = {name: name in half for name in names} | {PLATFORM: False}
    await fleet.cut(
        (a, b)
        for a, b in itertools.permutations(sides, 2)
        if sides[a] != sides[b]
    )
    revision = await revisions.publish_valid(fleet, SERVICE)
    await trio.sleep(3.0)
    seen = await _read_all(fleet)
    figures["knew_while_cut"] = sum(r >= revision for r in seen)
    await fleet.cut(())
    times: list[float] = []
    await _expect(fleet, revision, violations, times, limit_s=15.0)
    figures["in_force_after_heal_s"] = round(max(times), 3)


async def _expect(
    fleet: Fleet,
    revision: int,
    violations: list[str],
    times: list[float],
    *,
    limit_s: float = WITHIN_S,
) -> None:
    taken = await revisions.wait_in_force(
        fleet, SERVICE, revision, limit_s=limit_s
    )
    if taken is None:
        violations.append(f"{revision} is not in force after {limit_s} s")
    times.append(limit_s if taken is None else taken)


async def _read_all(fleet: Fleet) -> list[int]:
    return [
        await revisions.read_revision(fleet, member, SERVICE)
        for member in fleet.members
    ]
