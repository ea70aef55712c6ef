"""Runs seeded fault schedules under load and checks the invariants.

``chaos`` injects the faults; ``floor`` has the floor schedules on a virtual
clock, while ``run_floor`` here uses processes.
"""

from collections.abc import Iterable
from typing import Any

import trio

from tools.deployments import BRAMBLEWICK
from tools.fleet import Fleet
from tools.load import LoadGenerator
from tools.proofs import revisions
from tools.proofs.chaos import FaultInjector
from tools.proofs.chaos import FLOOR_ACTIONS
from tools.proofs.chaos import NO_FAULTS
from tools.proofs.chaos import UPSTREAM_FAULTS
from tools.proofs.sampling import Sampler
from tools.proofs.scenario import check_call_invariants
from tools.proofs.scenario import InvariantResult
from tools.proofs.scenario import open_fleet
from tools.proofs.scenario import reduce_deployment
from tools.proofs.scenario import ScenarioParameters
from tools.verification import verify_calls

DAEMONS = 6
UPSTREAMS = 5
DURATION_S = 10.0
FLOOR_DURATION_S = 45.0
PERMIT_WAIT_S = 16.0
"""Wait after the start of the fleet.

It exceeds the 15 s after a daemon's start in which no ejection permit is
usable.
"""

REQUESTS_PER_FAULT = 60
REQUESTS_PER_S = 50.0
SERVICE_MS = 40.0
KEYED_BYTES = 120_000
"""Above the 64 KiB that a daemon buffers, so that bodies are streamed."""


async def run_chaos(parameters: ScenarioParameters) -> list[InvariantResult]:
    """Run one schedule with all actions for each seed, on one fleet."""
    deployment = reduce_deployment(
        BRAMBLEWICK,
        catalogue=UPSTREAMS,
        subscriptions=UPSTREAMS,
        billing=UPSTREAMS,
    )
    results: list[InvariantResult] = []
    async with open_fleet(
        deployment,
        parameters,
        daemons=DAEMONS,
        service_ms=SERVICE_MS,
        keyed_bytes=KEYED_BYTES,
        use_relays=True,
    ) as fleet:
        for seed in range(
            parameters.seed, parameters.seed + parameters.schedules
        ):
            results += await _run_schedule(fleet, seed)
    return results


async def _run_schedule(fleet: Fleet, seed: int) -> list[InvariantResult]:
    load = LoadGenerator(
        fleet,
        rate=REQUESTS_PER_S,
        seed=seed,
        name=f"chaos-{seed}",
        timeout=6.0,
        check_bodies=True,
        single_attempt=True,
    )
    injector = FaultInjector(fleet, seed=seed)
    sampler = Sampler(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sampler.run)
        async with trio.open_nursery() as load_nursery:
            load_nursery.start_soon(load.run, int(REQUESTS_PER_S * DURATION_S))
            load_nursery.start_soon(injector.run, DURATION_S)
        # Sampling continues until the newest revision is in force, so that a
        # late return to an older one is detected.
        not_in_force, slowest = await _check_convergence(fleet)
        nursery.cancel_scope.cancel()
    await load.close()
    verified = verify_calls(load.calls, await fleet.read_executions())
    name = f"chaos seed={seed}"
    return [
        *check_call_invariants(name, verified),
        InvariantResult(
            invariant="floor",
            scenario=name,
            violations=sampler.floor_violations,
            figures={
                "samples_with_ejections": sampler.ejections,
                "largest_union": sampler.largest_union,
            },
        ),
        InvariantResult(
            invariant="configuration",
            scenario=name,
            violations=sampler.revision_regressions + not_in_force,
            figures={
                "in_force_after_heal_s": slowest,
                "lower_starts": sampler.lower_starts,
            },
        ),
        InvariantResult(
            invariant="graceful-shutdown",
            scenario=f"{name} no daemon ends by itself",
            violations=injector.daemon_failures,
            figures={"actions": sum(injector.counts.values())},
        ),
    ]


async def _check_convergence(fleet: Fleet) -> tuple[list[str], float]:
    """Publish once all faults have ended; return violations and seconds."""
    not_in_force, slowest = [], 0.0
    for service in fleet.deployment.upstreams:
        revision = await revisions.publish_valid(fleet, service)
        taken = await revisions.wait_in_force(fleet, service, revision)
        if taken is None:
            not_in_force.append(
                f"revision {revision} of {service} is not in force"
            )
        else:
            slowest = max(slowest, taken)
    return not_in_force, round(slowest, 2)


async def run_faults(
    parameters: ScenarioParameters,
    faults: Iterable[dict[str, Any]] = UPSTREAM_FAULTS,
    requests: int = REQUESTS_PER_FAULT,
) -> list[InvariantResult]:
    """Inject each fault in turn into all upstreams, under load."""
    results: list[InvariantResult] = []
    deployment = reduce_deployment(BRAMBLEWICK, billing=4, catalogue=4)
    async with open_fleet(
        deployment,
        parameters,
        daemons=3,
        service_ms=5.0,
        keyed_bytes=KEYED_BYTES,
    ) as fleet:
        for number, fault in enumerate(faults):
            for backend in fleet.backends:
                await fleet.set_faults(backend, **fault)
            load = LoadGenerator(
                fleet,
                rate=60.0,
                seed=parameters.seed + number,
                name=f"fault-{number}",
                timeout=3.0,
                check_bodies=True,
                single_attempt=True,
            )
            await load.run(requests)
            await load.close()
            for backend in fleet.backends:
                await fleet.set_faults(backend, **NO_FAULTS)
            calls = verify_calls(load.calls, await fleet.read_executions())
            results += check_call_invariants(f"all upstreams {fault}", calls)
    return results


async def run_floor(parameters: ScenarioParameters) -> list[InvariantResult]:
    """Run schedules of gray failures and faults between daemons."""
    deployment = reduce_deployment(BRAMBLEWICK, subscriptions=7, catalogue=7)
    results: list[InvariantResult] = []
    async with open_fleet(
        deployment,
        parameters,
        daemons=DAEMONS,
        service_ms=5.0,
        use_relays=True,
    ) as fleet:
        await trio.sleep(PERMIT_WAIT_S)
        for seed in range(
            parameters.seed, parameters.seed + parameters.schedules
        ):
            load = LoadGenerator(
                fleet, rate=120.0, seed=seed, name=f"floor-{seed}", timeout=4.0
            )
            injector = FaultInjector(fleet, seed=seed, actions=FLOOR_ACTIONS)
            sampler = Sampler(fleet, interval_s=0.1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sampler.run)
                async with trio.open_nursery() as load_nursery:
                    load_nursery.start_soon(
                        load.run, int(120 * FLOOR_DURATION_S)
                    )
                    load_nursery.start_soon(injector.run, FLOOR_DURATION_S)
                nursery.cancel_scope.cancel()
            await load.close()
            name = f"floor on processes seed={seed}"
            calls = verify_calls(load.calls, await fleet.read_executions())
            results += check_call_invariants(name, calls)
            results.append(
                InvariantResult(
                    invariant="floor",
                    scenario=name,
                    violations=sampler.floor_violations,
                    figures={
                        "samples": sampler.samples,
                        "samples_with_ejections": sampler.ejections,
                        "largest_union": sampler.largest_union,
                    },
                )
            )
    return results
