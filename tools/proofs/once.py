"""Cases in which a non-idempotent request might run twice."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any

from result import Err
import trio

from hawthornmast.http import Client
from hawthornmast.http import Response
from standins.client import KEY_HEADER
from tools.deployments import BRAMBLEWICK
from tools.fleet import Fleet
from tools.fleet import Member
from tools.proofs.findings import Finding
from tools.proofs.findings import open_fleet
from tools.proofs.findings import shrink
from tools.proofs.findings import Trial

SERVICE = "billing"
PATH = "/renewals"
DEADLINE_S = 2.0
"""Deadline of the catalogue entry for PATH."""

WORK_S = 0.4
ROUNDS = 6
_TICKETS = f"/.well-known/hawthornmast/tickets?service={SERVICE}&count=1"


class Caller:
    """Sends single requests to chosen daemons and notes their ends."""

    def __init__(self, fleet: Fleet, prefix: str) -> None:
        self.fleet = fleet
        self.prefix = prefix
        self.ends: dict[str, list[str]] = {}

    async def take_ticket(self, member: Member) -> str:
        """Return a ticket of a daemon."""
        with trio.fail_after(10):
            while True:
                response = await self._exchange(
                    member, "POST", _TICKETS, (), b"", 3.0
                )
                if response is not None and response.status == 200:
                    return str(response.json()["tickets"][0])
                await trio.sleep(0.1)

    async def send(
        self, member: Member, key: str, ticket: str, timeout: float = 8.0
    ) -> Response | None:
        """Send a request with a ticket; None without a whole answer."""
        response = await self._exchange(
            member,
            "POST",
            f"{PATH}/{key}",
            (
                ("Host", SERVICE),
                (KEY_HEADER, key),
                ("Hawthornmast-Ticket", ticket),
            ),
            b"charge",
            timeout,
        )
        outcome = "unknown"
        if response is not None:
            outcome = response.header("Hawthornmast-Outcome") or "unknown"
            if outcome == "complete" and response.header(KEY_HEADER) != key:
                outcome = "wrong"
            if response.status == 421:
                # Only the daemon that answers did not run it.
                outcome = "elsewhere"
        self.ends.setdefault(key, []).append(outcome)
        return response

    async def _exchange(
        self,
        member: Member,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout: float,
    ) -> Response | None:
        client = Client(member.instance.host, member.instance.port)
        try:
            done = await client.request(
                method, target, headers=headers, body=body, timeout=timeout
            )
        finally:
            with trio.CancelScope(shield=True):
                await client.close()
        return None if isinstance(done, Err) else done.ok_value

    async def wait_running(self, key: str) -> None:
        """Wait until an upstream's log shows the request."""
        with trio.fail_after(10):
            while not [r for r in await self.read_runs() if r["key"] == key]:
                await trio.sleep(0.01)

    async def read_runs(self) -> list[dict[str, Any]]:
        """Return the executions of this caller's requests."""
        runs = await self.fleet.read_runs()
        return [r for r in runs if r["key"].startswith(self.prefix)]

    async def judge(self) -> list[Finding]:
        """Compare the ends that were reported with the executions."""
        # An execution that starts late would be missed right away.
        await trio.sleep(0.5)
        runs = [run["key"] for run in await self.read_runs()]
        doubled, refused, wrong = [], [], []
        unknown = 0
        for key, ends in self.ends.items():
            count = runs.count(key)
            if count > 1:
                doubled.append(f"{key} ran {count} times, ends: {ends}")
            if count and "not-run" in ends:
                refused.append(f"{key} ran though refused, ends: {ends}")
            if "wrong" in ends or ("complete" in ends and not count):
                wrong.append(f"{key} ran {count} times, ends: {ends}")
            unknown += "complete" not in ends and "unknown" in ends
        make = functools.partial(
            Finding, scenario=self.prefix, schedules=len(self.ends)
        )
        figures = {
            "unknown_share": round(unknown / max(1, len(self.ends)), 3),
            "executions": len(runs),
        }
        return [
            make(promise="at-most-once", violations=doubled, figures=figures),
            make(promise="not-run", violations=refused),
            make(promise="own-answer", violations=wrong),
        ]


async def send_to_two(caller: Caller, number: int) -> None:
    """Send one ticket to two daemons at once."""
    first, second = _choose(caller, number, 2)
    key = f"{caller.prefix}-{number}"
    ticket = await caller.take_ticket(first)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send, first, key, ticket)
        nursery.start_soon(caller.send, second, key, ticket)


async def send_twice(caller: Caller, number: int) -> None:
    """Send one ticket twice at once to its daemon."""
    (member,) = _choose(caller, number, 1)
    key = f"{caller.prefix}-{number}"
    ticket = await caller.take_ticket(member)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send, member, key, ticket)
        nursery.start_soon(caller.send, member, key, ticket)


async def retry_after_timeout(caller: Caller, number: int) -> None:
    """Give up while the request runs, then send the ticket again."""
    (member,) = _choose(caller, number, 1)
    key = f"{caller.prefix}-{number}"
    ticket = await caller.take_ticket(member)
    await caller.send(member, key, ticket, WORK_S * (0.2 + 0.15 * number))
    for _ in range(2):
        await caller.send(member, key, ticket)


async def kill_while_running(caller: Caller, number: int) -> None:
    """Kill the daemon between write and answer, then send again."""
    member = _choose(caller, number, 1)[0]
    key = f"{caller.prefix}-{number}"
    ticket = await caller.take_ticket(member)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send, member, key, ticket)
        await caller.wait_running(key)
        await _restart(caller.fleet, member)
    for other in _choose(caller, number, 2):
        await caller.send(other, key, ticket)


async def kill_before_write(caller: Caller, number: int) -> None:
    """Kill the daemon while the request waits for a slot."""
    member = _choose(caller, number, 1)[0]
    key = f"{caller.prefix}-{number}"
    ticket = await caller.take_ticket(member)
    fillers = [
        (f"{key}-filler-{n}", await caller.take_ticket(member))
        for n in range(24)
    ]
    async with trio.open_nursery() as nursery:
        for name, other in fillers:
            nursery.start_soon(caller.send, member, name, other)
        await trio.sleep(0.15)
        nursery.start_soon(caller.send, member, key, ticket)
        await trio.sleep(0.1)
        await _restart(caller.fleet, member)
    for other_member in _choose(caller, number, 2):
        await caller.send(other_member, key, ticket)


async def stop_while_running(caller: Caller, number: int) -> None:
    """Stop the daemon past the deadline while the request runs."""
    await _stop_daemon(caller, number, wait_running=True)


async def stop_before_write(caller: Caller, number: int) -> None:
    """Stop the daemon past the deadline as the request arrives."""
    await _stop_daemon(caller, number, wait_running=False)


async def _stop_daemon(
    caller: Caller, number: int, *, wait_running: bool
) -> None:
    member = _choose(caller, number, 1)[0]
    key = f"{caller.prefix}-{number}"
    ticket = await caller.take_ticket(member)
    async with trio.open_nursery() as nursery:
        if not wait_running:
            caller.fleet.pause(member)
        nursery.start_soon(caller.send, member, key, ticket)
        if wait_running:
            await caller.wait_running(key)
            caller.fleet.pause(member)
        await trio.sleep(DEADLINE_S + 0.5)
        caller.fleet.resume(member)
    await caller.send(member, key, ticket)


async def close_kept(caller: Caller, number: int) -> None:
    """Let upstreams close kept connections as a request is written."""
    member = _choose(caller, number, 1)[0]
    for backend in caller.fleet.backends:
        await caller.fleet.set_faults(backend, refuse_reused=True)
    for step in range(4):
        key = f"{caller.prefix}-{number}-{step}"
        ticket = await caller.take_ticket(member)
        await caller.send(member, key, ticket)
    for backend in caller.fleet.backends:
        await caller.fleet.set_faults(backend, refuse_reused=False)


async def leave_early(caller: Caller, number: int) -> None:
    """Let answers arrive after the client left, then send again."""
    member = _choose(caller, number, 1)[0]
    for backend in caller.fleet.backends:
        await caller.fleet.set_faults(backend, late_s=0.3)
    key = f"{caller.prefix}-{number}"
    ticket = await caller.take_ticket(member)
    await caller.send(member, key, ticket, WORK_S + 0.1)
    await caller.send(member, key, ticket)
    # The next request must not receive the late answer.
    key = f"{caller.prefix}-{number}-next"
    await caller.send(member, key, await caller.take_ticket(member))
    for backend in caller.fleet.backends:
        await caller.fleet.set_faults(backend, late_s=0.0)


async def cut_answer(caller: Caller, number: int) -> None:
    """Let upstreams run the request and cut the answer in each way."""
    member = _choose(caller, number, 1)[0]
    for cut in ("short", "chunked", "close", "head", "none"):
        for backend in caller.fleet.backends:
            await caller.fleet.set_faults(backend, cut=cut)
        key = f"{caller.prefix}-{number}-{cut}"
        ticket = await caller.take_ticket(member)
        await caller.send(member, key, ticket)
        await caller.send(member, key, ticket)
    for backend in caller.fleet.backends:
        await caller.fleet.set_faults(backend, cut="")


CASES: dict[str, Callable[[Caller, int], Awaitable[None]]] = {
    "ticket-to-two-daemons": send_to_two,
    "ticket-twice-at-once": send_twice,
    "retry-after-timeout": retry_after_timeout,
    "killed-before-write": kill_before_write,
    "killed-while-running": kill_while_running,
    "stopped-before-write": stop_before_write,
    "stopped-while-running": stop_while_running,
    "kept-connection-closed": close_kept,
    "client-left-early": leave_early,
    "answer-cut": cut_answer,
}


def _choose(caller: Caller, number: int, count: int) -> list[Member]:
    members = caller.fleet.members
    return [members[(number + i) % len(members)] for i in range(count)]


async def _restart(fleet: Fleet, member: Member) -> None:
    fleet.kill(member)
    assert member.process is not None
    await trio.to_thread.run_sync(member.process.popen.wait)
    fleet.start_member(member)
    await fleet.wait_serving(member)


async def run_case(name: str, trial: Trial) -> list[Finding]:
    """Run one case several times on a fleet of its own."""
    deployment = shrink(BRAMBLEWICK, billing=3)
    async with open_fleet(
        deployment, trial, daemons=3, service_ms=WORK_S * 1000
    ) as fleet:
        caller = Caller(fleet, name)
        for number in range(min(ROUNDS, trial.schedules)):
            await CASES[name](caller, number)
        return await caller.judge()
