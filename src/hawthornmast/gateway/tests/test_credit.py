"""Tests of the admission of requests by the rates of their teams."""

import logging
import random

import pytest
import trio
import trio.testing

from hawthornmast.common import Outcome
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.gateway import GatewayMember
from hawthornmast.gateway.allowances import ALLOWANCE_KINDS
from hawthornmast.gateway.allowances import AllowanceExchange
from hawthornmast.gateway.allowances import name_allowance
from hawthornmast.gateway.credit import CREDIT_WAIT_S
from hawthornmast.gateway.credit import SETTLING_WAIT_S
from hawthornmast.gateway.credit import TeamCredit
from hawthornmast.gateway.datagrams import MessageKind
from hawthornmast.gateway.team_metrics import MAX_TEAMS
from hawthornmast.gateway.team_metrics import TeamCollector
from hawthornmast.gateway.tests.fleet import Fleet
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.gateway.tests.support import make_gossip
from hawthornmast.gateway.tests.support import make_request
from hawthornmast.routing import digest_key
from hawthornmast.routing import Team

KEY_DIGEST = digest_key(b"key")
TEAM = Team(name="t1", key_digests=(KEY_DIGEST,), rate_per_s=10.0, burst=10.0)
ROUTE = make_configuration().routes[0]
TIMEOUT_S = 2.0
SETTLED_S = 3.0


class Gate:
    """Credit of a member without peers, which holds the whole rate."""

    def __init__(self, *teams: Team) -> None:
        self.exchange = AllowanceExchange(
            make_gossip(),
            zones=1,
            send=lambda hosts, kind, payload: None,
            clock=trio.current_time,
        )
        self.credit = TeamCredit(self.exchange, random_source=random.Random(1))
        self.exchange.configure(teams or (TEAM,))
        self.admitted: list[int] = []

    async def run(self) -> None:
        """Make periodic steps."""
        while True:
            self.exchange.tick()
            await trio.sleep(0.05)

    def empty(self) -> None:
        """Take all tokens."""
        while self.exchange.ledger.take(name_allowance(TEAM)):
            pass

    async def admit(self, number: int = 0) -> ClientResponse | None:
        """Admit a request; note its number if it is admitted."""
        request = make_request(received_at=trio.current_time())
        refusal = await self.credit.admit(TEAM, request, ROUTE)
        if refusal is None:
            self.admitted.append(number)
        return refusal


@pytest.fixture
async def gate(
    autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
) -> Gate:
    """Return the credit of a settled member."""
    gate = Gate()
    nursery.start_soon(gate.run)
    await trio.sleep(SETTLED_S)
    return gate


class TestWaiting:
    """A request without a token waits for a short time."""

    async def test_first_come_first_served(
        self, autojump_clock: trio.testing.MockClock, gate: Gate
    ) -> None:
        # Guards against requests that overtake others and starve them.
        gate.exchange.configure([Team(name="t1", rate_per_s=50.0)])
        gate.empty()
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(gate.admit, number)
                await trio.sleep(0.001)
        assert gate.admitted == [0, 1, 2, 3]

    async def test_cancelled_request_does_not_stop_the_next(
        self, autojump_clock: trio.testing.MockClock, gate: Gate
    ) -> None:
        gate.exchange.configure([Team(name="t1", rate_per_s=50.0)])
        gate.empty()
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(0.001):
                await gate.admit(0)
            nursery.start_soon(gate.admit, 1)
        assert gate.admitted == [1]
        # The cancelled request took no token.
        await trio.sleep(0.02)
        assert gate.exchange.ledger.take(name_allowance(TEAM))

    async def test_refused_after_the_wait(
        self, autojump_clock: trio.testing.MockClock, gate: Gate
    ) -> None:
        gate.exchange.configure([Team(name="t1", rate_per_s=0.1)])
        gate.empty()
        started_at = trio.current_time()
        refusal = await gate.admit()
        waited_s = trio.current_time() - started_at
        assert waited_s == pytest.approx(CREDIT_WAIT_S)
        assert refusal is not None
        assert (refusal.status, refusal.outcome) == (429, Outcome.NOT_RUN)
        # Guards against clients that don't honour a wait that is too long.
        assert refusal.retry_after is not None
        assert 0 < refusal.retry_after <= (TIMEOUT_S - waited_s) / 4

    async def test_longer_while_the_member_settles(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
    ) -> None:
        # Guards against refusals by a member that has just started.
        gate = Gate()
        nursery.start_soon(gate.run)
        request = make_request(received_at=trio.current_time(), timeout_s=4.0)
        assert await gate.credit.admit(TEAM, request, ROUTE) is None
        assert CREDIT_WAIT_S < trio.current_time() < SETTLING_WAIT_S


class TestCheck:
    """What is decided before a body is read."""

    async def test_takes_no_token(
        self, autojump_clock: trio.testing.MockClock, gate: Gate
    ) -> None:
        before = gate.exchange.ledger.tokens_of(name_allowance(TEAM))
        request = make_request(received_at=trio.current_time())
        assert gate.credit.check(TEAM, request, ROUTE) is None
        after = gate.exchange.ledger.tokens_of(name_allowance(TEAM))
        assert before == after

    async def test_refuses_only_if_no_token_comes_soon(
        self, autojump_clock: trio.testing.MockClock, gate: Gate
    ) -> None:
        gate.empty()
        request = make_request(received_at=trio.current_time())
        assert gate.credit.check(TEAM, request, ROUTE) is None
        gate.exchange.configure([Team(name="t1", rate_per_s=0.1)])
        refusal = gate.credit.check(TEAM, request, ROUTE)
        assert refusal is not None and refusal.status == 429

    async def test_team_without_a_rate(
        self, autojump_clock: trio.testing.MockClock, gate: Gate
    ) -> None:
        request = make_request()
        for team in (None, Team(name="t2")):
            assert gate.credit.check(team, request, ROUTE) is None
            assert await gate.credit.admit(team, request, ROUTE) is None


class TestReports:
    """Guards against logs and metrics that grow with the refusals."""

    async def test_one_line_a_second(
        self,
        autojump_clock: trio.testing.MockClock,
        gate: Gate,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        caplog.set_level(logging.INFO)
        gate.exchange.configure([Team(name="t1", rate_per_s=0.1)])
        gate.empty()
        for _ in range(25):
            await gate.admit()
        lines = [m for m in caplog.messages if "event=team-refused" in m]
        assert len(lines) == 3
        assert "team=t1 route=boxes-route share=1 tokens=0" in lines[0]
        assert gate.credit.counts["t1"].refused == 25

    async def test_label_values_are_bounded(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        teams = tuple(
            Team(name=f"t{number}", rate_per_s=1.0)
            for number in range(MAX_TEAMS + 5)
        )
        gate = Gate(*teams)
        collector = TeamCollector(
            gate.exchange.ledger, gate.credit, lambda: teams
        )
        for family in collector.collect():
            labels = {sample.labels["team"] for sample in family.samples}
            assert len(labels) == MAX_TEAMS + 1
            assert "other" in labels


class TestMessages:
    """Guards against malformed messages that change the shares."""

    @pytest.mark.parametrize("kind", sorted(ALLOWANCE_KINDS))
    @pytest.mark.parametrize(
        "row",
        [
            [],
            ["team:t1", 1, 2.0, 3.0, 0.0],
            ["team:t1", 1, float("nan"), 1.0, 0.0, 0.0],
            ["team:t1", 1, 1.0, -1.0, 0.0, 0.0],
            ["team:t1", 1, 1.0, 1.0, 0.0, "x"],
        ],
    )
    async def test_are_refused(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
        kind: MessageKind,
        row: list[object],
    ) -> None:
        member = await start_member(nursery, monkeypatch)
        with pytest.raises((ValueError, TypeError)):
            member.allowances.receive(kind, [row], "10.1.0.0")


async def start_member(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> GatewayMember:
    """Return one of two members of zones that know a team."""
    fleet = Fleet(
        (1, 1), upstream_count=1, nursery=nursery, monkeypatch=monkeypatch
    )
    configuration = make_configuration()
    object.__setattr__(configuration, "teams", (TEAM,))
    fleet.platform.configuration = configuration
    await trio.sleep(SETTLED_S)
    return fleet.members["10.0.0.0"]


class Client:
    """Runs requests of a team on a member whose attempts are replaced."""

    def __init__(self, member: GatewayMember, attempts: int = 1) -> None:
        self.member = member
        self.attempts = 0

        async def attempt(context: object) -> ClientResponse | None:
            self.attempts += 1
            if self.attempts % attempts:
                return None
            return ClientResponse(status=200, outcome=Outcome.COMPLETE)

        member.forwarder.hedges._attempt = attempt
        self.scope = trio.CancelScope()
        self.trace = Trace()

    async def send(self) -> ClientResponse:
        """Run a request with the team's key."""
        request = make_request(received_at=trio.current_time())
        request.key_digest = KEY_DIGEST
        self.trace = Trace()

        def open_scope(deadline: float) -> trio.CancelScope:
            self.scope = trio.CancelScope(deadline=deadline)
            return self.scope

        async def deliver(*arguments: object) -> bool:
            return True

        return await self.member.forwarder.run(
            request, self.trace, open_scope, deliver
        )


class TestForwarder:
    """Where requests are charged."""

    async def test_over_rate_is_refused(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        client = Client(await start_member(nursery, monkeypatch))
        responses = [await client.send() for _ in range(30)]
        refused = [item for item in responses if item.status == 429]
        assert {item.status for item in responses} == {200, 429}
        assert refused[0].reason == "over-rate"
        assert client.trace.steps[-1:] in ([], ["refused:over-rate"])
        # A refused request is no reason for retries of the service.
        state = client.member.services.find("boxes")
        assert state is not None
        assert state.budget._requests == 30 - len(refused)

    async def test_only_the_first_attempt_is_charged(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        member = await start_member(nursery, monkeypatch)
        client = Client(member, attempts=3)
        name = name_allowance(TEAM)
        before = member.allowances.ledger.tokens_of(name)
        await client.send()
        assert client.attempts == 3
        after = member.allowances.ledger.tokens_of(name)
        assert after == pytest.approx(before - 1.0)

    async def test_client_that_leaves_waits_no_longer(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        # Guards against requests of gone clients that use up tokens.
        member = await start_member(nursery, monkeypatch)
        client = Client(member)

        async def leave() -> None:
            await trio.sleep(0.001)
            client.trace.client_disconnected = True
            client.scope.cancel()

        monkeypatch.setattr(
            member.allowances.ledger, "take", lambda name: False
        )
        nursery.start_soon(leave)
        response = await client.send()
        assert response.outcome is Outcome.NOT_RUN
        assert response.reason == "client-left"
        assert client.attempts == 0
        assert member.credit.count_waiting(TEAM) == 0
