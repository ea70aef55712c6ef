"""A client of the fleet that follows ``docs/client-contract.md``.

It retries ``not-run`` requests and, for idempotent ones, unknown outcomes. A
non-idempotent request is sent with a ticket, which is never replaced once the
request may have run (``docs/design.md``, section 5.4).
"""

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
from standins.bodies import is_complete_body

Address = tuple[str, int]

MAX_ATTEMPTS = 4
TICKET_BATCH_SIZE = 8
KEY_HEADER = "X-Request-Key"
_WELL_KNOWN = "/.well-known/hawthornmast"


class Verdict(enum.StrEnum):
    """Final state of a request as known to its client.

    The values of ``hawthornmast.common.Outcome``, plus ``wrong``, which only a
    client that checks responses can detect.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    """Complete, but truncated or with the key or body of another request."""


@attrs.frozen(kw_only=True)
class CallRecord:
    """Result of one request as seen by its client.

    Parameters
    ----------
    key
        Request key, unique within a run.
    service, path
        Service and path of the request.
    idempotent
        Whether the client may send it more than once.
    verdict
        Final state of the request.
    status
        Status of the last response; 0 without a response.
    seconds
        Time from the first attempt to the final state.
    attempts
        Number of attempts.
    reason
        Reason given by the fleet, or the error of the last attempt.
    request_id
        Identifier that the fleet assigned to the last attempt.
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
        Addresses of known daemons, which are asked for the addresses of a
        service.
    zone
        Zone whose daemons are preferred.
    seed
        Random seed for the choice of addresses and the retry delays.
    check_bodies
        Whether upstreams send the bodies of ``standins.bodies``, so that
        response bodies are checked against them.
    max_attempts
        Maximum number of attempts per request. With 1, each ``not-run``
        response is recorded instead of retried, so that checks can
        compare it with the upstreams' executions.
    """

    def __init__(
        self,
        seeds: list[Address],
        *,
        zone: str = "",
        seed: int = 0,
        check_bodies: bool = False,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        if not seeds:
            raise ValueError("seeds is empty, allowed: one or more addresses")
        self._seed_addresses = seeds
        self._zone = zone
        self._check_bodies = check_bodies
        self._max_attempts = max_attempts
        self._random = random.Random(seed)
        self._lookups: dict[str, _Lookup] = {}
        self._idle_connections: dict[Address, list[Client]] = {}
        self._tickets: dict[tuple[str, Address], list[tuple[str, float]]] = {}
        self._failed_until: dict[Address, float] = {}

    async def close(self) -> None:
        """Close all idle connections."""
        for clients in self._idle_connections.values():
            for client in clients:
                await client.close()
        self._idle_connections.clear()

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
        """Send a request and retry it as far as the contract allows."""
        start = trio.current_time()
        deadline = start + timeout
        verdict, status, reason, request_id = Verdict.NOT_RUN, 0, "", ""
        tried: set[Address] = set()
        attempt = 0
        may_have_run = False
        for attempt in range(1, self._max_attempts + 1):
            address = await self._choose_address(service, tried)
            if address is None:
                reason = "no address"
                # Waits before the next lookup.
                await trio.sleep(0.2)
                continue
            result = await self._attempt(
                address, method, path, service, key, idempotent, body, deadline
            )
            verdict, status, reason, request_id = result
            if verdict in (Verdict.COMPLETE, Verdict.WRONG):
                break
            if verdict is Verdict.UNKNOWN and not idempotent:
                break
            may_have_run = may_have_run or verdict is Verdict.UNKNOWN
            tried.add(address)
            remaining_s = deadline - trio.current_time()
            delay_s = self._random.uniform(0.02, 0.1) * attempt
            if remaining_s <= delay_s:
                break
            await trio.sleep(delay_s)
        if may_have_run and verdict is Verdict.NOT_RUN:
            verdict = Verdict.UNKNOWN
        return CallRecord(
            key=key,
            service=service,
            path=path,
            idempotent=idempotent,
            verdict=verdict,
            status=status,
            seconds=trio.current_time() - start,
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
        # Repeating a ticket at the daemon that issued it is safe: the daemon
        # runs the request at most once.
        for _ in range(1 if idempotent else 2):
            # At least 50 ms, so that a late attempt still has a timeout.
            remaining_s = max(deadline - trio.current_time(), 0.05)
            result = await self._exchange(
                address, method, path, tuple(headers), body, remaining_s
            )
            if result.is_ok():
                return self._classify(result.unwrap(), method, key)
            error = result.unwrap_err()
            self._mark_failed(address)
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
        idle = self._idle_connections.setdefault(address, [])
        client = idle.pop() if idle else _NoRetryClient(*address)
        result = await client.request(
            method, target, headers=headers, body=body, timeout=timeout
        )
        if result.is_ok():
            idle.append(client)
        else:
            await client.close()
        return result

    async def _take_ticket(self, service: str, address: Address) -> str | None:
        tickets = self._tickets.setdefault((service, address), [])
        now = trio.current_time()
        while tickets:
            ticket, expires = tickets.pop()
            if expires > now:
                return ticket
        target = (
            f"{_WELL_KNOWN}/tickets?service={service}"
            f"&count={TICKET_BATCH_SIZE}"
        )
        result = await self._exchange(address, "POST", target, (), b"", 2.0)
        if result.is_err() or result.unwrap().status != 200:
            if result.is_err():
                self._mark_failed(address)
            return None
        content = result.unwrap().json()
        # Only half of the lifetime is used, as a margin for the difference
        # between the clocks of client and daemon.
        expires = now + content["expires_s"] / 2
        tickets.extend((ticket, expires) for ticket in content["tickets"])
        return tickets.pop()[0] if tickets else None

    async def _choose_address(
        self, service: str, tried: set[Address]
    ) -> Address | None:
        now = trio.current_time()
        lookup = self._lookups.get(service)
        if lookup is None or lookup.expires <= now:
            found = await self._look_up(service)
            if found.is_ok():
                lookup = self._lookups[service] = found.unwrap()
        if lookup is None or not lookup.addresses:
            return None

        def sort_key(
            candidate: dict[str, Any],
        ) -> tuple[bool, bool, bool, float]:
            address = (candidate["host"], candidate["port"])
            return (
                address in tried,
                self._failed_until.get(address, 0.0) > now,
                candidate["zone"] != self._zone,
                self._random.random(),
            )

        chosen = min(lookup.addresses, key=sort_key)
        return chosen["host"], chosen["port"]

    async def _look_up(self, service: str) -> Result[_Lookup, StepError]:
        addresses = self._random.sample(
            self._seed_addresses, min(len(self._seed_addresses), 4)
        )
        error = StepError(step="look-up", detail="no daemon responded")
        for address in addresses:
            result = await self._exchange(
                address,
                "GET",
                f"{_WELL_KNOWN}/addresses?service={service}",
                (),
                b"",
                2.0,
            )
            if result.is_err():
                error = result.unwrap_err()
                continue
            response = result.unwrap()
            if response.status == 200:
                content = response.json()
                expires = trio.current_time() + content["ttl_s"]
                return Ok(
                    _Lookup(addresses=content["addresses"], expires=expires)
                )
            error = StepError(
                step="look-up",
                detail=f"status {response.status}",
                peer=f"{address[0]}:{address[1]}",
            )
        return Err(error)

    def _classify(
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
                verdict, reason = Verdict.WRONG, "key of another request"
            elif (
                self._check_bodies
                and method != "HEAD"
                and not is_complete_body(response.body, key)
            ):
                verdict, reason = (
                    Verdict.WRONG,
                    "truncated body or body of another request",
                )
        elif outcome == Outcome.NOT_RUN:
            verdict = Verdict.NOT_RUN
        return verdict, response.status, reason, request_id

    def _mark_failed(self, address: Address) -> None:
        # For 5 s, addresses that did not fail are preferred to this one.
        self._failed_until[address] = trio.current_time() + 5.0
        self._tickets = {
            key: tickets
            for key, tickets in self._tickets.items()
            if key[1] != address
        }


class _NoRetryClient(Client):
    """A client without automatic retries.

    An automatic retry on a new connection would hide that the first attempt
    may have run, and the request would be recorded as ``not-run``.
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
