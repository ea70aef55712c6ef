"""Admission of requests by the rates of their teams.

A request takes a token of its team when it is admitted. Without one it waits
for a short time, first come, first served within a team, and is then refused.
"""

import collections
from collections.abc import Callable
import logging
import math
import random

import attrs
import trio

from hawthornmast.audit import log_event
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.gateway.allowances import AllowanceExchange
from hawthornmast.gateway.allowances import name_allowance
from hawthornmast.gateway.outcomes import MIN_RETRY_AFTER_S
from hawthornmast.gateway.outcomes import RETRY_AFTER_FRACTION
from hawthornmast.routing import Route
from hawthornmast.routing import Team

_LOG = logging.getLogger("hawthornmast.gateway.credit")

CREDIT_WAIT_S = 0.1
"""Maximum time in seconds that a request waits for a token."""

SETTLING_WAIT_S = 0.6
"""The same while it isn't decided whether this member is a holder."""

WAIT_FRACTION = 0.25
"""Maximum fraction of a client's remaining time that its request waits."""

BORROW_INTERVAL_S = 0.05
"""Interval at which the first waiting request asks for loans again."""

MIN_SLEEP_S = 0.001
"""Minimum time between two looks for a token."""

MIN_WAITING = 8
"""Requests of a team that may wait, even if its whole rate can't serve as many
in the time."""

MAX_RETRY_AFTER_S = 2.0
"""Maximum time in seconds that a client without a timeout is asked to wait."""

RETRY_SPREAD = 1.0
"""Maximum random addition to the time that a client is asked to wait, as a
fraction of it, so that refused clients don't return together."""

LOG_INTERVAL_S = 1.0
"""Minimum time in seconds between two log lines about a team."""

REASON = "over-rate"


class _Waiter:
    """A request that waits for a token."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def wake(self) -> None:
        """Let the request look for a token."""
        self._event.set()

    async def sleep(self, seconds: float) -> None:
        """Wait for a time, or until it is woken."""
        with trio.move_on_after(seconds):
            await self._event.wait()
        self._event = trio.Event()


@attrs.define
class TeamCounts:
    """Requests of one team since the start of the process.

    ``unlogged`` is the number of refusals since the last log line.
    """

    admitted: int = 0
    refused: int = 0
    unlogged: int = 0
    logged_at: float = -math.inf


class TeamCredit:
    """Admits requests at the rates of their teams.

    Parameters
    ----------
    exchange
        Shares of the rates.
    random_source
        Random source for the times that clients are asked to wait.
    clock
        Monotonic time in seconds, as in ``received_at`` of requests.

    Attributes
    ----------
    counts
        Requests by the name of their team.
    """

    def __init__(
        self,
        exchange: AllowanceExchange,
        *,
        random_source: random.Random,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._exchange = exchange
        self._ledger = exchange.ledger
        self._random = random_source
        self._clock = clock
        # A dictionary as an ordered set, from which any item can be removed.
        self._queues: dict[str, dict[_Waiter, None]] = {}
        self.counts: collections.defaultdict[str, TeamCounts] = (
            collections.defaultdict(TeamCounts)
        )
        exchange.on_credit = self._wake_first

    def check(
        self, team: Team | None, request: ClientRequest, route: Route
    ) -> ClientResponse | None:
        """Refuse a request whose team has no token and gets none soon.

        No token is taken.
        """
        if team is None or team.rate_per_s is None:
            return None
        name = name_allowance(team)
        waiting = len(self._queues.get(name, ()))
        if (
            self._ledger.is_settling
            or self._ledger.wait_s(name, waiting) <= self._limit_wait(request)
            or self._ledger.may_borrow(name)
        ):
            return None
        self._ledger.count_demand(name)
        return self._refuse(team, request, route)

    async def admit(
        self, team: Team | None, request: ClientRequest, route: Route
    ) -> ClientResponse | None:
        """Take a token, or return the refusal of a request without one."""
        if team is None or team.rate_per_s is None:
            return None
        name = name_allowance(team)
        self._ledger.count_demand(name)
        queue = self._queues.get(name)
        if queue is None and self._ledger.take(name):
            self.counts[team.name].admitted += 1
            return None
        wait_s = self._limit_wait(request)
        # In the time, the fleet's whole rate and burst serve no more.
        limit = max(
            MIN_WAITING, math.ceil(team.burst + team.rate_per_s * wait_s)
        )
        if queue is not None and len(queue) >= limit:
            return self._refuse(team, request, route)
        if await self._wait(name, wait_s):
            self.counts[team.name].admitted += 1
            return None
        return self._refuse(team, request, route)

    def count_waiting(self, team: Team) -> int:
        """Return how many requests of a team wait for a token."""
        return len(self._queues.get(name_allowance(team), ()))

    async def _wait(self, name: str, wait_s: float) -> bool:
        """Wait for a token; return whether one was taken."""
        queue = self._queues.setdefault(name, {})
        waiter = _Waiter()
        queue[waiter] = None
        try:
            with trio.move_on_after(wait_s):
                while True:
                    if next(iter(queue)) is not waiter:
                        await waiter.sleep(math.inf)
                        continue
                    if self._ledger.take(name):
                        return True
                    self._exchange.borrow(name, len(queue))
                    next_s = self._ledger.wait_s(name)
                    await waiter.sleep(
                        min(max(next_s, MIN_SLEEP_S), BORROW_INTERVAL_S)
                    )
            return False
        finally:
            del queue[waiter]
            if queue:
                next(iter(queue)).wake()
            else:
                del self._queues[name]

    def _wake_first(self, name: str) -> None:
        queue = self._queues.get(name)
        if queue:
            next(iter(queue)).wake()

    def _limit_wait(self, request: ClientRequest) -> float:
        wait_s = SETTLING_WAIT_S if self._ledger.is_settling else CREDIT_WAIT_S
        return min(wait_s, self._find_time_left(request) * WAIT_FRACTION)

    def _find_time_left(self, request: ClientRequest) -> float:
        if request.timeout_s is None:
            return math.inf
        left_s = request.received_at + request.timeout_s - self._clock()
        return max(0.0, left_s)

    def _refuse(
        self, team: Team, request: ClientRequest, route: Route
    ) -> ClientResponse:
        name = name_allowance(team)
        self._log_refusal(team, request, route)
        waiting = len(self._queues.get(name, ()))
        wait_s = self._ledger.wait_s(name, waiting)
        wait_s = max(MIN_RETRY_AFTER_S, min(wait_s, MAX_RETRY_AFTER_S))
        wait_s *= 1.0 + self._random.uniform(0.0, RETRY_SPREAD)
        limit_s = self._find_time_left(request) * RETRY_AFTER_FRACTION
        return build_error_response(
            429, REASON, retry_after=min(wait_s, limit_s)
        )

    def _log_refusal(
        self, team: Team, request: ClientRequest, route: Route
    ) -> None:
        counts = self.counts[team.name]
        counts.refused += 1
        counts.unlogged += 1
        now = self._clock()
        if now - counts.logged_at < LOG_INTERVAL_S:
            return
        name = name_allowance(team)
        log_event(
            _LOG,
            "team-refused",
            team=team.name,
            route=route.name,
            share=round(self._ledger.share_of(name), 3),
            tokens=round(self._ledger.tokens_of(name), 2),
            rate=team.rate_per_s,
            waiting=len(self._queues.get(name, ())),
            settling=self._ledger.is_settling,
            age_ms=round((now - request.received_at) * 1000),
            count=counts.unlogged,
        )
        counts.unlogged = 0
        counts.logged_at = now
