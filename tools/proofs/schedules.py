"""Runs seeded schedules of faults under load and judges each."""

from collections.abc import Iterable
from typing import Any

import trio

from tools.deployments import BRAMBLEWICK
from tools.fleet import Fleet
from tools.judge import judge_calls
from tools.load import Load
from tools.proofs import revisions
from tools.proofs.chaos import Chaos
from tools.proofs.chaos import FLOOR_ACTIONS
from tools.proofs.chaos import NO_FAULTS
from tools.proofs.chaos import UPSTREAM_FAULTS
from tools.proofs.findings import Finding
from tools.proofs.findings import judge_promises
from tools.proofs.findings import open_fleet
from tools.proofs.findings import shrink
from tools.proofs.findings import Trial
from tools.proofs.sampling import Sampler

DAEMONS = 6
UPSTREAMS = 5
LENGTH_S = 10.0
FLOOR_LENGTH_S = 45.0
HOLD_S = 16.0
"""No ejection permit is usable for 15 s after a daemon's start."""

FAULT_REQUESTS = 60
RATE = 50.0
SERVICE_MS = 40.0
KEYED_BYTES = 120_000
"""Longer bodies than the 64 KiB that a daemon holds are streamed."""


async def run_chaos(trial: Trial) -> list[Finding]:
    """Run schedules with all actions on one fleet after another seed."""
    deployment = shrink(
        BRAMBLEWICK,
        catalogue=UPSTREAMS,
        subscriptions=UPSTREAMS,
        billing=UPSTREAMS,
    )
    found: list[Finding] = []
    async with open_fleet(
        deployment,
        trial,
        daemons=DAEMONS,
        service_ms=SERVICE_MS,
        keyed_bytes=KEYED_BYTES,
        linked=True,
    ) as fleet:
        for seed in range(trial.seed, trial.seed + trial.schedules):
            found += await _run_schedule(fleet, seed)
    return found


async def _run_schedule(fleet: Fleet, seed: int) -> list[Finding]:
    load = Load(
        fleet,
        rate=RATE,
        seed=seed,
        name=f"chaos-{seed}",
        timeout=6.0,
        keyed=True,
        single=True,
    )
    chaos = Chaos(fleet, seed=seed)
    sampler = Sampler(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sampler.run)
        async with trio.open_nursery() as both:
            both.start_soon(load.run, int(RATE * LENGTH_S))
            both.start_soon(chaos.run, LENGTH_S)
        # The daemons run on under watch until the newest revision is in
        # force, so that a late return to an older one is seen.
        late, slowest = await _check_convergence(fleet)
        nursery.cancel_scope.cancel()
    await load.close()
    findings = judge_calls(load.calls, await fleet.read_runs())
    name = f"chaos seed={seed}"
    return [
        *judge_promises(name, findings),
        Finding(
            promise="floor",
            scenario=name,
            violations=sampler.floor,
            figures={
                "samples_with_ejections": sampler.ejections,
                "largest_union": sampler.largest_union,
            },
        ),
        Finding(
            promise="configuration",
            scenario=name,
            violations=sampler.reverted + late,
            figures={
                "in_force_after_heal_s": slowest,
                "lower_starts": sampler.lower_starts,
            },
        ),
        Finding(
            promise="graceful-shutdown",
            scenario=f"{name} no daemon ends by itself",
            violations=chaos.ended,
            figures={"actions": sum(chaos.counts.values())},
        ),
    ]


async def _check_convergence(fleet: Fleet) -> tuple[list[str], float]:
    """Publish after all faults ended; return violations and the time."""
    late, slowest = [], 0.0
    for service in fleet.deployment.upstreams:
        revision = await revisions.publish_valid(fleet, service)
        taken = await revisions.wait_in_force(fleet, service, revision)
        if taken is None:
            late.append(f"revision {revision} of {service} is not in force")
        else:
            slowest = max(slowest, taken)
    return late, round(slowest, 2)


async def run_faults(
    trial: Trial,
    faults: Iterable[dict[str, Any]] = UPSTREAM_FAULTS,
    requests: int = FAULT_REQUESTS,
) -> list[Finding]:
    """Put each upstream fault into all upstreams in turn, under load."""
    found: list[Finding] = []
    deployment = shrink(BRAMBLEWICK, billing=4, catalogue=4)
    async with open_fleet(
        deployment,
        trial,
        daemons=3,
        service_ms=5.0,
        keyed_bytes=KEYED_BYTES,
    ) as fleet:
        for number, fault in enumerate(faults):
            for backend in fleet.backends:
                await fleet.set_faults(backend, **fault)
            load = Load(
                fleet,
                rate=60.0,
                seed=trial.seed + number,
                name=f"fault-{number}",
                timeout=3.0,
                keyed=True,
                single=True,
            )
            await load.run(requests)
            await load.close()
            for backend in fleet.backends:
                await fleet.set_faults(backend, **NO_FAULTS)
            calls = judge_calls(load.calls, await fleet.read_runs())
            found += judge_promises(f"all upstreams {fault}", calls)
    return found


async def run_floor(trial: Trial) -> list[Finding]:
    """Run schedules of gray upstreams and faults between daemons."""
    deployment = shrink(BRAMBLEWICK, subscriptions=7, catalogue=7)
    found: list[Finding] = []
    async with open_fleet(
        deployment,
        trial,
        daemons=DAEMONS,
        service_ms=5.0,
        linked=True,
    ) as fleet:
        await trio.sleep(HOLD_S)
        for seed in range(trial.seed, trial.seed + trial.schedules):
            load = Load(
                fleet, rate=120.0, seed=seed, name=f"floor-{seed}", timeout=4.0
            )
            chaos = Chaos(fleet, seed=seed, actions=FLOOR_ACTIONS)
            sampler = Sampler(fleet, interval_s=0.1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sampler.run)
                async with trio.open_nursery() as both:
                    both.start_soon(load.run, int(120 * FLOOR_LENGTH_S))
                    both.start_soon(chaos.run, FLOOR_LENGTH_S)
                nursery.cancel_scope.cancel()
            await load.close()
            name = f"floor on processes seed={seed}"
            calls = judge_calls(load.calls, await fleet.read_runs())
            found += judge_promises(name, calls)
            found.append(
                Finding(
                    promise="floor",
                    scenario=name,
                    violations=sampler.floor,
                    figures={
                        "samples": sampler.samples,
                        "samples_with_ejections": sampler.ejections,
                        "largest_union": sampler.largest_union,
                    },
                )
            )
    return found
