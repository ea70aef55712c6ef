"""Upstreams that announce their removal by header, list or health check."""

import functools
import time

import trio

from hawthornmast.common import State
from tools.deployments import BRAMBLEWICK
from tools.fleet import Backend
from tools.fleet import Fleet
from tools.load import LoadGenerator
from tools.proofs.scenario import check_call_invariants
from tools.proofs.scenario import InvariantResult
from tools.proofs.scenario import open_fleet
from tools.proofs.scenario import reduce_deployment
from tools.proofs.scenario import ScenarioParameters
from tools.verification import verify_calls

NEW_REQUEST_LIMIT_S = 2.0
OBSERVATION_S = 4.0
REQUESTS_PER_S = 150.0
ANNOUNCEMENT_CHANNELS = ("header", "list", "health")


async def run_channel(
    channel: str, parameters: ScenarioParameters
) -> list[InvariantResult]:
    """Let upstreams leave under load and find the last execution started."""
    results = []
    deployment = reduce_deployment(BRAMBLEWICK, billing=5, catalogue=5)
    async with open_fleet(deployment, parameters, service_ms=15.0) as fleet:
        for number in range(parameters.schedules):
            name = f"leaving by {channel} seed={parameters.seed + number}"
            load = LoadGenerator(
                fleet,
                rate=REQUESTS_PER_S,
                seed=parameters.seed + number,
                name=f"leaving-{channel}-{number}",
            )
            # A different upstream leaves in each round.
            backend = fleet.backends[(3 * number) % len(fleet.backends)]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    load.run, int(REQUESTS_PER_S * (OBSERVATION_S + 1.0))
                )
                await trio.sleep(1.0)
                announced_at, last_start = await _observe_executions(
                    fleet, backend, channel
                )
            await load.close()
            results.append(_check_last_start(name, announced_at, last_start))
            calls = verify_calls(load.calls, await fleet.read_executions())
            results += check_call_invariants(name, calls)
            await _restore_upstream(fleet, backend)
    return results


async def _observe_executions(
    fleet: Fleet, backend: Backend, channel: str
) -> tuple[float, float | None]:
    """Return the times of the announcement and of the last execution."""
    name = backend.upstream.upstream_id
    announced_at = time.monotonic()
    await _announce(fleet, backend, channel)
    await trio.sleep(OBSERVATION_S)
    starts = [
        run["start"]
        for run in await fleet.read_executions()
        if run["upstream"] == name and run["start"] > announced_at
    ]
    if channel == "header":
        # The first response with the header is the earliest announcement.
        announced_at = min(starts, default=announced_at)
        starts.remove(announced_at) if starts else None
    return announced_at, max(starts, default=None)


async def _announce(fleet: Fleet, backend: Backend, channel: str) -> None:
    name = backend.upstream.upstream_id
    if channel == "list":
        await fleet.publish_upstreams(backend.service, leaving=(name,))
    elif channel == "header":
        await fleet.set_faults(backend, leaving=True)
    else:
        await fleet.set_faults(backend, leaving_health=True)


async def check_no_new_requests(
    channel: str, parameters: ScenarioParameters, limit_s: float
) -> list[str]:
    """Return problems seen once all owners know that an upstream leaves.

    Unlike ``run_channel``, it has no time bound that a loaded machine could
    exceed.
    """
    deployment = reduce_deployment(BRAMBLEWICK, catalogue=4)
    async with open_fleet(deployment, parameters, daemons=3) as fleet:
        backend = fleet.backends[0]
        name = backend.upstream.upstream_id
        load = LoadGenerator(
            fleet, rate=REQUESTS_PER_S, seed=parameters.seed, name=channel
        )
        async with trio.open_nursery() as nursery:
            # More requests than are sent until the nursery is cancelled.
            nursery.start_soon(load.run, 100_000)
            await _announce(fleet, backend, channel)
            with trio.move_on_after(limit_s) as scope:
                while not await _is_known_to_all(fleet, backend):
                    await trio.sleep(0.05)
            # Requests written earlier may still arrive.
            await trio.sleep(0.2)
            before = await _count_executions(fleet, name)
            await trio.sleep(1.0)
            after = await _count_executions(fleet, name)
            nursery.cancel_scope.cancel()
        await load.close()
    problems = []
    if scope.cancelled_caught:
        problems.append(
            f"not every owner knows that it leaves after {limit_s} s"
        )
    if after > before:
        problems.append(f"{after - before} new requests in the next second")
    return problems


async def _is_known_to_all(fleet: Fleet, backend: Backend) -> bool:
    path = f"{backend.service}/{backend.upstream.upstream_id}"
    for member in fleet.members:
        result = await fleet.query_admin(
            member, f"/v1/explain/upstreams/{path}"
        )
        state = result.unwrap()["upstream"]["upstream"]["state"]
        if state != State.LEAVING:
            return False
    return True


async def _count_executions(fleet: Fleet, name: str) -> int:
    return sum(
        run["upstream"] == name for run in await fleet.read_executions()
    )


def _check_last_start(
    name: str, announced_at: float, last_start: float | None
) -> InvariantResult:
    seconds = 0.0 if last_start is None else last_start - announced_at
    return InvariantResult(
        invariant="leaving-upstream",
        scenario=name,
        violations=(
            [f"a new request {seconds:.2f} s after the announcement"]
            if seconds > NEW_REQUEST_LIMIT_S
            else []
        ),
        figures={"last_new_request_s": round(seconds, 3)},
    )


async def _restore_upstream(fleet: Fleet, backend: Backend) -> None:
    name = backend.upstream.upstream_id
    await fleet.set_faults(backend, leaving=False, leaving_health=False)
    await fleet.publish_upstreams(backend.service, gone=(name,))
    await trio.sleep(1.0)
    await fleet.publish_upstreams(backend.service)
    await trio.sleep(1.0)


SCENARIOS = {
    f"leaving-by-{channel}": functools.partial(run_channel, channel)
    for channel in ANNOUNCEMENT_CHANNELS
}
