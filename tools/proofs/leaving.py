"""Upstreams that announce that they leave, in each of three ways."""

import functools
import time

import trio

from hawthornmast.common import State
from tools.deployments import BRAMBLEWICK
from tools.fleet import Backend
from tools.fleet import Fleet
from tools.judge import judge_calls
from tools.load import Load
from tools.proofs.findings import Finding
from tools.proofs.findings import judge_promises
from tools.proofs.findings import open_fleet
from tools.proofs.findings import shrink
from tools.proofs.findings import Trial

LIMIT_S = 2.0
WATCH_S = 4.0
RATE = 150.0
WAYS = ("header", "list", "health")


async def run_way(way: str, trial: Trial) -> list[Finding]:
    """Let upstreams leave under load; find the last new execution."""
    found = []
    deployment = shrink(BRAMBLEWICK, billing=5, catalogue=5)
    async with open_fleet(deployment, trial, service_ms=15.0) as fleet:
        for number in range(trial.schedules):
            name = f"leaving by {way} seed={trial.seed + number}"
            load = Load(
                fleet,
                rate=RATE,
                seed=trial.seed + number,
                name=f"leaving-{way}-{number}",
            )
            # Another upstream leaves in each round.
            backend = fleet.backends[(3 * number) % len(fleet.backends)]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, int(RATE * (WATCH_S + 1.0)))
                await trio.sleep(1.0)
                sign, last = await _watch(fleet, backend, way)
            await load.close()
            found.append(_judge(name, sign, last))
            calls = judge_calls(load.calls, await fleet.read_runs())
            found += judge_promises(name, calls)
            await _bring_back(fleet, backend)
    return found


async def _watch(
    fleet: Fleet, backend: Backend, way: str
) -> tuple[float, float | None]:
    """Return the times of the first sign and of the last execution."""
    name = backend.upstream.upstream_id
    sign = time.monotonic()
    await _announce(fleet, backend, way)
    await trio.sleep(WATCH_S)
    starts = [
        run["start"]
        for run in await fleet.read_runs()
        if run["upstream"] == name and run["start"] > sign
    ]
    if way == "header":
        # Nobody can know before the first answer that carries the header.
        sign = min(starts, default=sign)
        starts.remove(sign) if starts else None
    return sign, max(starts, default=None)


async def _announce(fleet: Fleet, backend: Backend, way: str) -> None:
    name = backend.upstream.upstream_id
    if way == "list":
        await fleet.publish_upstreams(backend.service, leaving=(name,))
    elif way == "header":
        await fleet.set_faults(backend, leaving=True)
    else:
        await fleet.set_faults(backend, leaving_health=True)


async def check_stopped(way: str, trial: Trial, limit_s: float) -> list[str]:
    """Return what is wrong after all owners know that an upstream leaves.

    Unlike ``run_way`` it needs no bound that a busy machine could break.
    """
    deployment = shrink(BRAMBLEWICK, catalogue=4)
    async with open_fleet(deployment, trial, daemons=3) as fleet:
        backend = fleet.backends[0]
        name = backend.upstream.upstream_id
        load = Load(fleet, rate=RATE, seed=trial.seed, name=way)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, 100_000)
            await _announce(fleet, backend, way)
            with trio.move_on_after(limit_s) as scope:
                while not await _all_know(fleet, backend):
                    await trio.sleep(0.05)
            # A request that was written before may still arrive.
            await trio.sleep(0.2)
            before = await _count_runs(fleet, name)
            await trio.sleep(1.0)
            after = await _count_runs(fleet, name)
            nursery.cancel_scope.cancel()
        await load.close()
    problems = []
    if scope.cancelled_caught:
        problems.append(f"not every owner knows of it after {limit_s} s")
    if after > before:
        problems.append(f"{after - before} new requests in the next second")
    return problems


async def _all_know(fleet: Fleet, backend: Backend) -> bool:
    path = f"{backend.service}/{backend.upstream.upstream_id}"
    for member in fleet.members:
        done = await fleet.ask_admin(member, f"/v1/explain/upstreams/{path}")
        state = done.unwrap()["upstream"]["upstream"]["state"]
        if state != State.LEAVING:
            return False
    return True


async def _count_runs(fleet: Fleet, name: str) -> int:
    return sum(run["upstream"] == name for run in await fleet.read_runs())


def _judge(name: str, sign: float, last: float | None) -> Finding:
    seconds = 0.0 if last is None else last - sign
    return Finding(
        promise="leaving-upstream",
        scenario=name,
        violations=(
            [f"a new request {seconds:.2f} s after the first sign"]
            if seconds > LIMIT_S
            else []
        ),
        figures={"last_new_request_s": round(seconds, 3)},
    )


async def _bring_back(fleet: Fleet, backend: Backend) -> None:
    name = backend.upstream.upstream_id
    await fleet.set_faults(backend, leaving=False, leaving_health=False)
    await fleet.publish_upstreams(backend.service, gone=(name,))
    await trio.sleep(1.0)
    await fleet.publish_upstreams(backend.service)
    await trio.sleep(1.0)


SCENARIOS = {
    f"leaving-by-{way}": functools.partial(run_way, way) for way in WAYS
}
