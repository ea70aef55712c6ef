"""At most once: scenarios that might execute a request twice.

The requests are non-idempotent.
"""

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
from tools.proofs.scenario import InvariantResult
from tools.proofs.scenario import open_fleet
from tools.proofs.scenario import reduce_deployment
from tools.proofs.scenario import ScenarioParameters

SERVICE = "billing"
PATH = "/renewals"
ENTRY_DEADLINE_S = 2.0
"""Deadline of the catalogue entry for PATH."""

SERVICE_TIME_S = 0.4
ROUNDS = 6
_TICKET_TARGET = f"/.well-known/hawthornmast/tickets?service={SERVICE}&count=1"


class TicketClient:
    """Sends single requests to given daemons and records their outcomes."""

    def __init__(self, fleet: Fleet, prefix: str) -> None:
        self.fleet = fleet
        self.prefix = prefix
        self.outcomes: dict[str, list[str]] = {}

    async def fetch_ticket(self, member: Member) -> str:
        """Request a ticket from a daemon, retrying until it issues one."""
        with trio.fail_after(10):
            while True:
                response = await self._exchange(
                    member, "POST", _TICKET_TARGET, (), b"", 3.0
                )
                if response is not None and response.status == 200:
                    return str(response.json()["tickets"][0])
                await trio.sleep(0.1)

    async def send(
        self, member: Member, key: str, ticket: str, timeout: float = 8.0
    ) -> Response | None:
        """Send a request with a ticket; None without a complete response."""
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
                # A 421 covers only the responding daemon; another one may
                # have executed the request.
                outcome = "elsewhere"
        self.outcomes.setdefault(key, []).append(outcome)
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
            result = await client.request(
                method, target, headers=headers, body=body, timeout=timeout
            )
        finally:
            with trio.CancelScope(shield=True):
                await client.close()
        return None if isinstance(result, Err) else result.ok_value

    async def wait_until_executing(self, key: str) -> None:
        """Wait until an upstream has logged the execution of the request."""
        with trio.fail_after(10):
            while not [
                r for r in await self.read_executions() if r["key"] == key
            ]:
                await trio.sleep(0.01)

    async def read_executions(self) -> list[dict[str, Any]]:
        """Return the executions of this client's requests."""
        runs = await self.fleet.read_executions()
        return [r for r in runs if r["key"].startswith(self.prefix)]

    async def verify(self) -> list[InvariantResult]:
        """Check the reported outcomes against the executions."""
        # Waits for executions that start after the last response.
        await trio.sleep(0.5)
        runs = [run["key"] for run in await self.read_executions()]
        doubled, refused, wrong = [], [], []
        unknown = 0
        for key, outcomes in self.outcomes.items():
            count = runs.count(key)
            if count > 1:
                doubled.append(
                    f"{key} was executed {count} times, outcomes: {outcomes}"
                )
            if count and "not-run" in outcomes:
                refused.append(
                    f"{key} was executed although refused, "
                    f"outcomes: {outcomes}"
                )
            if "wrong" in outcomes or ("complete" in outcomes and not count):
                wrong.append(
                    f"{key} was executed {count} times, outcomes: {outcomes}"
                )
            unknown += "complete" not in outcomes and "unknown" in outcomes
        make = functools.partial(
            InvariantResult, scenario=self.prefix, schedules=len(self.outcomes)
        )
        figures = {
            "unknown_share": round(unknown / max(1, len(self.outcomes)), 3),
            "executions": len(runs),
        }
        return [
            make(
                invariant="at-most-once", violations=doubled, figures=figures
            ),
            make(invariant="not-run", violations=refused),
            make(invariant="own-answer", violations=wrong),
        ]


async def send_to_two(client: TicketClient, number: int) -> None:
    """Send one ticket to two daemons concurrently."""
    first, second = _choose_members(client, number, 2)
    key = f"{client.prefix}-{number}"
    ticket = await client.fetch_ticket(first)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(client.send, first, key, ticket)
        nursery.start_soon(client.send, second, key, ticket)


async def send_twice(client: TicketClient, number: int) -> None:
    """Send one ticket twice concurrently to the daemon that issued it."""
    (member,) = _choose_members(client, number, 1)
    key = f"{client.prefix}-{number}"
    ticket = await client.fetch_ticket(member)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(client.send, member, key, ticket)
        nursery.start_soon(client.send, member, key, ticket)


async def retry_after_timeout(client: TicketClient, number: int) -> None:
    """Time out while the request is executed, then resend the ticket."""
    (member,) = _choose_members(client, number, 1)
    key = f"{client.prefix}-{number}"
    ticket = await client.fetch_ticket(member)
    await client.send(
        member, key, ticket, SERVICE_TIME_S * (0.2 + 0.15 * number)
    )
    for _ in range(2):
        await client.send(member, key, ticket)


async def kill_while_running(client: TicketClient, number: int) -> None:
    """Kill the daemon between write and response, then resend."""
    member = _choose_members(client, number, 1)[0]
    key = f"{client.prefix}-{number}"
    ticket = await client.fetch_ticket(member)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(client.send, member, key, ticket)
        await client.wait_until_executing(key)
        await _restart(client.fleet, member)
    for other in _choose_members(client, number, 2):
        await client.send(other, key, ticket)


async def kill_before_write(client: TicketClient, number: int) -> None:
    """Kill the daemon while the request is queued for a slot."""
    member = _choose_members(client, number, 1)[0]
    key = f"{client.prefix}-{number}"
    ticket = await client.fetch_ticket(member)
    queued = [
        (f"{key}-filler-{n}", await client.fetch_ticket(member))
        for n in range(24)
    ]
    async with trio.open_nursery() as nursery:
        for queued_key, queued_ticket in queued:
            nursery.start_soon(client.send, member, queued_key, queued_ticket)
        await trio.sleep(0.15)
        nursery.start_soon(client.send, member, key, ticket)
        await trio.sleep(0.1)
        await _restart(client.fleet, member)
    for other in _choose_members(client, number, 2):
        await client.send(other, key, ticket)


async def pause_while_running(client: TicketClient, number: int) -> None:
    """Pause the daemon past the deadline while the request is executed."""
    await _pause_daemon(client, number, while_running=True)


async def pause_before_write(client: TicketClient, number: int) -> None:
    """Pause the daemon past the deadline as the request arrives."""
    await _pause_daemon(client, number, while_running=False)


async def _pause_daemon(
    client: TicketClient, number: int, *, while_running: bool
) -> None:
    member = _choose_members(client, number, 1)[0]
    key = f"{client.prefix}-{number}"
    ticket = await client.fetch_ticket(member)
    async with trio.open_nursery() as nursery:
        if not while_running:
            client.fleet.pause(member)
        nursery.start_soon(client.send, member, key, ticket)
        if while_running:
            await client.wait_until_executing(key)
            client.fleet.pause(member)
        await trio.sleep(ENTRY_DEADLINE_S + 0.5)
        client.fleet.resume(member)
    await client.send(member, key, ticket)


async def close_idle_connection(client: TicketClient, number: int) -> None:
    """Let upstreams close idle connections as a request is written."""
    member = _choose_members(client, number, 1)[0]
    for backend in client.fleet.backends:
        await client.fleet.set_faults(backend, refuse_reused=True)
    for step in range(4):
        key = f"{client.prefix}-{number}-{step}"
        ticket = await client.fetch_ticket(member)
        await client.send(member, key, ticket)
    for backend in client.fleet.backends:
        await client.fleet.set_faults(backend, refuse_reused=False)


async def disconnect_early(client: TicketClient, number: int) -> None:
    """Delay responses until the client has disconnected, then resend."""
    member = _choose_members(client, number, 1)[0]
    for backend in client.fleet.backends:
        await client.fleet.set_faults(backend, late_s=0.3)
    key = f"{client.prefix}-{number}"
    ticket = await client.fetch_ticket(member)
    await client.send(member, key, ticket, SERVICE_TIME_S + 0.1)
    await client.send(member, key, ticket)
    # The next request must not receive the delayed response.
    key = f"{client.prefix}-{number}-next"
    await client.send(member, key, await client.fetch_ticket(member))
    for backend in client.fleet.backends:
        await client.fleet.set_faults(backend, late_s=0.0)


async def truncate_response(client: TicketClient, number: int) -> None:
    """Execute requests and truncate their responses in each way."""
    member = _choose_members(client, number, 1)[0]
    for cut in ("short", "chunked", "close", "head", "none"):
        for backend in client.fleet.backends:
            await client.fleet.set_faults(backend, cut=cut)
        key = f"{client.prefix}-{number}-{cut}"
        ticket = await client.fetch_ticket(member)
        await client.send(member, key, ticket)
        await client.send(member, key, ticket)
    for backend in client.fleet.backends:
        await client.fleet.set_faults(backend, cut="")


SCENARIOS: dict[str, Callable[[TicketClient, int], Awaitable[None]]] = {
    "ticket-to-two-daemons": send_to_two,
    "ticket-twice-at-once": send_twice,
    "retry-after-timeout": retry_after_timeout,
    "killed-before-write": kill_before_write,
    "killed-while-running": kill_while_running,
    "stopped-before-write": pause_before_write,
    "stopped-while-running": pause_while_running,
    "kept-connection-closed": close_idle_connection,
    "client-left-early": disconnect_early,
    "answer-cut": truncate_response,
}
"""Scenarios by name; "stopped" is a suspended process (SIGSTOP) and "cut" a
truncated response."""


def _choose_members(
    client: TicketClient, number: int, count: int
) -> list[Member]:
    members = client.fleet.members
    return [members[(number + i) % len(members)] for i in range(count)]


async def _restart(fleet: Fleet, member: Member) -> None:
    fleet.kill(member)
    assert member.process is not None
    await trio.to_thread.run_sync(member.process.popen.wait)
    fleet.start_member(member)
    await fleet.wait_until_serving(member)


async def run_scenario(
    name: str, parameters: ScenarioParameters
) -> list[InvariantResult]:
    """Run one scenario several times on its own fleet."""
    deployment = reduce_deployment(BRAMBLEWICK, billing=3)
    async with open_fleet(
        deployment, parameters, daemons=3, service_ms=SERVICE_TIME_S * 1000
    ) as fleet:
        client = TicketClient(fleet, name)
        for number in range(min(ROUNDS, parameters.schedules)):
            await SCENARIOS[name](client, number)
        return await client.verify()
