"""Graceful shutdown of daemons under load with long requests in flight."""

import random
import signal

import trio

from standins.client import Verdict
from tools.deployments import BRAMBLEWICK
from tools.fleet import Fleet
from tools.fleet import Member
from tools.load import LoadGenerator
from tools.proofs.once import TicketClient
from tools.proofs.scenario import check_call_invariants
from tools.proofs.scenario import InvariantResult
from tools.proofs.scenario import open_fleet
from tools.proofs.scenario import reduce_deployment
from tools.proofs.scenario import ScenarioParameters
from tools.verification import verify_calls

LOAD_DURATION_S = 9.0
REQUESTS_PER_S = 40.0
SERVICE_MS = 600.0
EXIT_TIMEOUT_S = 20.0


async def run_shutdown(
    parameters: ScenarioParameters,
) -> list[InvariantResult]:
    """Stop one or two daemons with SIGTERM; no request may be interrupted."""
    deployment = reduce_deployment(BRAMBLEWICK, billing=8, catalogue=8)
    found = []
    async with open_fleet(
        deployment,
        parameters,
        service_ms=SERVICE_MS,
        keyed_bytes=100_000,
        use_relays=True,
    ) as fleet:
        for number in range(parameters.schedules):
            seed = parameters.seed + number
            count = 1 + number % 2
            found += await _run_schedule(fleet, seed, count)
    return found


async def _run_schedule(
    fleet: Fleet, seed: int, count: int
) -> list[InvariantResult]:
    rng = random.Random(seed)
    stopping = rng.sample(fleet.members, count)
    load = LoadGenerator(
        fleet,
        rate=REQUESTS_PER_S,
        seed=seed,
        name=f"shutdown-{seed}",
        check_bodies=True,
        single_attempt=True,
    )
    in_flight = 0
    exit_problems: list[str] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run, int(REQUESTS_PER_S * LOAD_DURATION_S))
        await trio.sleep(rng.uniform(1.5, 2.5))
        in_flight = await _count_in_flight(fleet, stopping)
        for member in stopping:
            assert member.process is not None
            member.process.signal(signal.SIGTERM)
        exit_problems = await _wait_for_exit(stopping)
    await load.close()
    # Restarted without load: a ticket of the previous process that a client
    # still holds has an unknown outcome, which would look like an interrupted
    # request.
    for member in stopping:
        fleet.start_member(member)
    for member in stopping:
        await fleet.wait_until_serving(member)
    name = f"shutdown of {count} seed={seed}"
    interrupted = [
        f"{call.key} ended {call.verdict}: {call.reason}"
        for call in load.calls
        # No other fault is injected, so an unknown outcome means that the
        # request was interrupted.
        if call.verdict in (Verdict.UNKNOWN, Verdict.WRONG)
    ]
    return [
        *check_call_invariants(
            name, verify_calls(load.calls, await fleet.read_executions())
        ),
        InvariantResult(
            invariant="graceful-shutdown",
            scenario=name,
            violations=interrupted + exit_problems,
            figures={
                "in_flight_at_signal": in_flight,
                "requests": len(load.calls),
            },
        ),
    ]


async def run_shutdown_of_all(
    parameters: ScenarioParameters,
) -> list[InvariantResult]:
    """Stop all daemons of a fleet at once with requests in flight."""
    deployment = reduce_deployment(BRAMBLEWICK, billing=4)
    async with open_fleet(
        deployment, parameters, daemons=3, service_ms=700.0, drain_grace_ms=200
    ) as fleet:
        client = TicketClient(fleet, "in-flight")
        tickets = [
            (member, f"in-flight-{number}-{member.instance.zone}", ticket)
            for member in fleet.members
            for number in range(3)
            for ticket in [await client.fetch_ticket(member)]
        ]
        async with trio.open_nursery() as nursery:
            for member, key, ticket in tickets:
                nursery.start_soon(client.send, member, key, ticket)
            for _, key, _ in tickets:
                await client.wait_until_executing(key)
            for member in fleet.members:
                assert member.process is not None
                member.process.signal(signal.SIGTERM)
        exit_problems = await _wait_for_exit(fleet.members)
        interrupted = [
            f"{key} ended {outcomes}"
            for key, outcomes in client.outcomes.items()
            if outcomes != ["complete"]
        ]
        return [
            *await client.verify(),
            InvariantResult(
                invariant="graceful-shutdown",
                scenario="all daemons at once with requests in flight",
                violations=interrupted + exit_problems,
                figures={"in_flight_at_signal": len(tickets)},
            ),
        ]


async def _count_in_flight(fleet: Fleet, members: list[Member]) -> int:
    count = 0
    for member in members:
        status = (await fleet.query_admin(member, "/v1/status")).unwrap()
        count += sum(s["slots_in_use"] for s in status["services"])
    return count


async def _wait_for_exit(members: list[Member]) -> list[str]:
    """Wait for the processes to exit; return the problems found."""
    with trio.move_on_after(EXIT_TIMEOUT_S):
        while any(m.process and m.process.running for m in members):
            await trio.sleep(0.05)
    problems = []
    for member in members:
        assert member.process is not None
        name = member.instance.instance_id
        if member.process.running:
            problems.append(f"{name} did not exit within {EXIT_TIMEOUT_S} s")
            member.process.kill()
        code = await trio.to_thread.run_sync(member.process.popen.wait)
        if code != 0:
            problems.append(f"{name} exited with status {code}")
    return problems
