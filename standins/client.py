"""A client of the fleet that keeps the contract of design section 5.4."""

import enum
import random
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import Outcome
from hawthornmast.common import StepError
from hawthornmast.http import Client
from hawthornmast.http import Response
from hawthornmast.http.messages import Headers
from standins.bodies import is_whole

Address = tuple[str, int]

ATTEMPTS = 4
TICKETS_PER_CALL = 8
KEY_HEADER = "X-Request-Key"
_WELL_KNOWN = "/.well-known/hawthornmast"


class Verdict(enum.StrEnum):
    """What the client knows about one request at its end."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    """The answer carries another request's key or a part of its body."""


@attrs.frozen(kw_only=True)
class CallRecord:
    """One request as its client saw it.

    Parameters
    ----------
    key
        Request key, unique in the run.
    service, path
        Where the request went.
    idempotent
        Whether the client may send it more than once.
    verdict
        How it ended.
    status
        Status of the last response; 0 when there was none.
    seconds
        Time from the first attempt to the end.
    attempts
        Number of attempts.
    reason
        The fleet's reason or the error of the last attempt.
    request_id
        The fleet's name for the last attempt.
    """

    key: str
    service: str
    path: str
    idempotent: bool
    verdict: Verdict
    status: int
    seconds: float
    attempts: int
    reason: str = ""
    request_id: str = ""


@attrs.define(kw_only=True)
class _Lookup:
    addresses: list[dict[str, Any]]
    expires: float


class FleetClient:
    """Sends requests of one client to a fleet.

    Parameters
    ----------
    seeds
        Addresses of some daemons, to ask for the addresses of a service.
    zone
        Zone whose daemons are preferred.
    seed
        Seed of the choice between addresses.
    keyed
        Whether upstreams send the bodies of ``standins.bodies``, which are
        then checked.
    attempts
        Most attempts for one request. With one attempt the client reports
        each refusal of the fleet, so that it can be judged.
    """

    def __init__(
        self,
        seeds: list[Address],
        *,
        zone: str = "",
        seed: int = 0,
        keyed: bool = False,
        attempts: int = ATTEMPTS,
    ) -> None:
        if not seeds:
            raise ValueError("seeds is empty, allowed: one or more addresses")
        self._seeds = seeds
        self._zone = zone
        self._keyed = keyed
        self._attempts = attempts
        self._random = random.Random(seed)
        self._lookups: dict[str, _Lookup] = {}
        self._idle: dict[Address, list[Client]] = {}
        self._tickets: dict[tuple[str, Address], list[tuple[str, float]]] = {}
        self._suspects: dict[Address, float] = {}

    async def close(self) -> None:
        """Close all kept connections."""
        for clients in self._idle.values():
            for client in clients:
                await client.close()
        self._idle.clear()

    async def send(
        self,
        method: str,
        path: str,
        *,
        service: str,
        key: str,
        idempotent: bool,
        body: bytes = b"",
        timeout: float = 10.0,
    ) -> CallRecord:
        """Send one request and retry within the contract."""
        started = trio.current_time()
        deadline = started + timeout
        verdict, status, reason, request_id = Verdict.NOT_RUN, 0, "", ""
        avoid: set[Address] = set()
        attempt = 0
        may_have_run = False
        for attempt in range(1, self._attempts + 1):
            address = await self._choose(service, avoid)
            if address is None:
                reason = "no address"
                await trio.sleep(0.2)
                continue
            done = await self._attempt(
                address, method, path, service, key, idempotent, body, deadline
            )
            verdict, status, reason, request_id = done
            if verdict in (Verdict.COMPLETE, Verdict.WRONG):
                break
            if verdict is Verdict.UNKNOWN and not idempotent:
                break
            may_have_run = may_have_run or verdict is Verdict.UNKNOWN
            avoid.add(address)
            left = deadline - trio.current_time()
            pause = self._random.uniform(0.02, 0.1) * attempt
            if left <= pause:
                break
            await trio.sleep(pause)
        if may_have_run and verdict is Verdict.NOT_RUN:
            verdict = Verdict.UNKNOWN
        return CallRecord(
            key=key,
            service=service,
            path=path,
            idempotent=idempotent,
            verdict=verdict,
            status=status,
            seconds=trio.current_time() - started,
            attempts=attempt,
            reason=reason,
            request_id=request_id,
        )

    async def _attempt(
        self,
        address: Address,
        method: str,
        path: str,
        service: str,
        key: str,
        idempotent: bool,
        body: bytes,
        deadline: float,
    ) -> tuple[Verdict, int, str, str]:
        headers = [("Host", service), (KEY_HEADER, key)]
        if not idempotent:
            ticket = await self._take_ticket(service, address)
            if ticket is None:
                return Verdict.NOT_RUN, 0, "no ticket", ""
            headers.append(("Hawthornmast-Ticket", ticket))
        verdict = (Verdict.NOT_RUN, 0, "", "")
        # A ticket may be sent again to its own daemon: it runs once.
        for _ in range(1 if idempotent else 2):
            left = max(deadline - trio.current_time(), 0.05)
            done = await self._exchange(
                address, method, path, tuple(headers), body, left
            )
            if done.is_ok():
                return self._judge(done.unwrap(), method, key)
            error = done.unwrap_err()
            self._suspect(address)
            if error.step == "connect" and verdict[0] is Verdict.NOT_RUN:
                return Verdict.NOT_RUN, 0, str(error), ""
            verdict = (Verdict.UNKNOWN, 0, str(error), "")
        return verdict

    async def _exchange(
        self,
        address: Address,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout: float,
    ) -> Result[Response, StepError]:
        idle = self._idle.setdefault(address, [])
        client = idle.pop() if idle else _SingleTryClient(*address)
        done = await client.request(
            method, target, headers=headers, body=body, timeout=timeout
        )
        if done.is_ok():
            idle.append(client)
        else:
            await client.close()
        return done

    async def _take_ticket(self, service: str, address: Address) -> str | None:
        held = self._tickets.setdefault((service, address), [])
        now = trio.current_time()
        while held:
            ticket, expires = held.pop()
            if expires > now:
                return ticket
        target = (
            f"{_WELL_KNOWN}/tickets?service={service}&count={TICKETS_PER_CALL}"
        )
        done = await self._exchange(address, "POST", target, (), b"", 2.0)
        if done.is_err() or done.unwrap().status != 200:
            if done.is_err():
                self._suspect(address)
            return None
        answer = done.unwrap().json()
        # Half of the lifetime leaves room for the daemon's own clock.
        expires = now + answer["expires_s"] / 2
        held.extend((ticket, expires) for ticket in answer["tickets"])
        return held.pop()[0] if held else None

    async def _choose(
        self, service: str, avoid: set[Address]
    ) -> Address | None:
        now = trio.current_time()
        lookup = self._lookups.get(service)
        if lookup is None or lookup.expires <= now:
            found = await self._look_up(service)
            if found.is_ok():
                lookup = self._lookups[service] = found.unwrap()
        if lookup is None or not lookup.addresses:
            return None

        def order(item: dict[str, Any]) -> tuple[bool, bool, bool, float]:
            address = (item["host"], item["port"])
            return (
                address in avoid,
                self._suspects.get(address, 0.0) > now,
                item["zone"] != self._zone,
                self._random.random(),
            )

        best = min(lookup.addresses, key=order)
        return best["host"], best["port"]

    async def _look_up(self, service: str) -> Result[_Lookup, StepError]:
        seeds = self._random.sample(self._seeds, min(len(self._seeds), 4))
        error = StepError(step="look-up", detail="no daemon answered")
        for seed in seeds:
            done = await self._exchange(
                seed,
                "GET",
                f"{_WELL_KNOWN}/addresses?service={service}",
                (),
                b"",
                2.0,
            )
            if done.is_err():
                error = done.unwrap_err()
                continue
            response = done.unwrap()
            if response.status == 200:
                answer = response.json()
                expires = trio.current_time() + answer["ttl_s"]
                return Ok(
                    _Lookup(addresses=answer["addresses"], expires=expires)
                )
            error = StepError(
                step="look-up",
                detail=f"status {response.status}",
                peer=f"{seed[0]}:{seed[1]}",
            )
        return Err(error)

    def _judge(
        self, response: Response, method: str, key: str
    ) -> tuple[Verdict, int, str, str]:
        """Return verdict, status, reason and request id of a response."""
        outcome = response.header("Hawthornmast-Outcome")
        reason = response.header("Hawthornmast-Reason") or ""
        request_id = response.header("Hawthornmast-Request-Id") or ""
        verdict = Verdict.UNKNOWN
        if outcome == Outcome.COMPLETE:
            verdict = Verdict.COMPLETE
            if response.header(KEY_HEADER) != key:
                verdict, reason = Verdict.WRONG, "other key"
            elif (
                self._keyed
                and method != "HEAD"
                and not is_whole(response.body, key)
            ):
                verdict, reason = Verdict.WRONG, "cut or foreign body"
        elif outcome == Outcome.NOT_RUN:
            verdict = Verdict.NOT_RUN
        return verdict, response.status, reason, request_id

    def _suspect(self, address: Address) -> None:
        self._suspects[address] = trio.current_time() + 5.0
        self._tickets = {
            place: held
            for place, held in self._tickets.items()
            if place[1] != address
        }


class _SingleTryClient(Client):
    """A client that never repeats a request by itself.

    A silent repeat on a new connection would hide that the first try may
    have run, and the end would look like ``not-run``.
    """

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout: float = 5.0,
    ) -> Result[Response, StepError]:
        return await self._attempt(method, target, headers, body, timeout)
