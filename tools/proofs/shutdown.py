"""SIGTERM of daemons under load with long requests in flight."""

import random
import signal

import trio

from standins.client import Verdict
from tools.deployments import BRAMBLEWICK
from tools.fleet import Fleet
from tools.fleet import Member
from tools.judge import judge_calls
from tools.load import Load
from tools.proofs.findings import Finding
from tools.proofs.findings import judge_promises
from tools.proofs.findings import open_fleet
from tools.proofs.findings import shrink
from tools.proofs.findings import Trial
from tools.proofs.once import Caller

LENGTH_S = 9.0
RATE = 40.0
SERVICE_MS = 600.0
END_S = 20.0


async def run_shutdown(trial: Trial) -> list[Finding]:
    """End one and two daemons gracefully; no request may be cut."""
    deployment = shrink(BRAMBLEWICK, billing=8, catalogue=8)
    found = []
    async with open_fleet(
        deployment,
        trial,
        service_ms=SERVICE_MS,
        keyed_bytes=100_000,
        linked=True,
    ) as fleet:
        for number in range(trial.schedules):
            seed = trial.seed + number
            count = 1 + number % 2
            found += await _run_schedule(fleet, seed, count)
    return found


async def _run_schedule(fleet: Fleet, seed: int, count: int) -> list[Finding]:
    rng = random.Random(seed)
    leaving = rng.sample(fleet.members, count)
    load = Load(
        fleet,
        rate=RATE,
        seed=seed,
        name=f"shutdown-{seed}",
        keyed=True,
        single=True,
    )
    in_flight = 0
    late: list[str] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run, int(RATE * LENGTH_S))
        await trio.sleep(rng.uniform(1.5, 2.5))
        in_flight = await _count_in_flight(fleet, leaving)
        for member in leaving:
            assert member.process is not None
            member.process.signal(signal.SIGTERM)
        late = await _wait_ended(leaving)
    await load.close()
    # Not under load: a ticket of the former process that a client still
    # holds ends unknown, which would look like a cut request.
    for member in leaving:
        fleet.start_member(member)
    for member in leaving:
        await fleet.wait_serving(member)
    name = f"shutdown of {count} seed={seed}"
    cut = [
        f"{call.key} ended {call.verdict}: {call.reason}"
        for call in load.calls
        # No other fault is put in, so an unknown end is a cut request.
        if call.verdict in (Verdict.UNKNOWN, Verdict.WRONG)
    ]
    return [
        *judge_promises(
            name, judge_calls(load.calls, await fleet.read_runs())
        ),
        Finding(
            promise="graceful-shutdown",
            scenario=name,
            violations=cut + late,
            figures={
                "in_flight_at_signal": in_flight,
                "requests": len(load.calls),
            },
        ),
    ]


async def run_in_flight(trial: Trial) -> list[Finding]:
    """End all daemons of a fleet at once while each runs requests."""
    deployment = shrink(BRAMBLEWICK, billing=4)
    async with open_fleet(
        deployment, trial, daemons=3, service_ms=700.0, drain_grace_ms=200
    ) as fleet:
        caller = Caller(fleet, "in-flight")
        tickets = [
            (member, f"in-flight-{number}-{member.instance.zone}", ticket)
            for member in fleet.members
            for number in range(3)
            for ticket in [await caller.take_ticket(member)]
        ]
        async with trio.open_nursery() as nursery:
            for member, key, ticket in tickets:
                nursery.start_soon(caller.send, member, key, ticket)
            for _, key, _ in tickets:
                await caller.wait_running(key)
            for member in fleet.members:
                assert member.process is not None
                member.process.signal(signal.SIGTERM)
        late = await _wait_ended(fleet.members)
        cut = [
            f"{key} ended {ends}"
            for key, ends in caller.ends.items()
            if ends != ["complete"]
        ]
        return [
            *await caller.judge(),
            Finding(
                promise="graceful-shutdown",
                scenario="all daemons at once with requests in flight",
                violations=cut + late,
                figures={"in_flight_at_signal": len(tickets)},
            ),
        ]


async def _count_in_flight(fleet: Fleet, members: list[Member]) -> int:
    count = 0
    for member in members:
        status = (await fleet.ask_admin(member, "/v1/status")).unwrap()
        count += sum(s["slots_in_use"] for s in status["services"])
    return count


async def _wait_ended(members: list[Member]) -> list[str]:
    """Wait for the ends of processes; return what was wrong with them."""
    with trio.move_on_after(END_S):
        while any(m.process and m.process.running for m in members):
            await trio.sleep(0.05)
    problems = []
    for member in members:
        assert member.process is not None
        name = member.instance.instance_id
        if member.process.running:
            problems.append(f"{name} did not end within {END_S} s")
            member.process.kill()
        code = await trio.to_thread.run_sync(member.process.popen.wait)
        if code != 0:
            problems.append(f"{name} ended with status {code}")
    return problems
