"""Tests of the teams' rates over several members."""

import bisect
from collections.abc import Callable
import random

import attrs
import pytest
import trio
import trio.testing

from hawthornmast.gateway.datagrams import MessageKind
from hawthornmast.gateway.options import Bounds
from hawthornmast.gateway.tests.fleet import Fleet
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.gateway.tests.support import make_request
from hawthornmast.routing import Team

RATE_PER_S = 40.0
BURST = 40.0
TEAM = Team(name="t1", rate_per_s=RATE_PER_S, burst=BURST)
USUAL_PER_S = RATE_PER_S / 1.6

SETTLE_S = 3.0
LENGTH_S = 12.0

MOVE_INTERVAL_S = 4.0


def stay_everywhere(elapsed_s: float, number: int) -> int:
    """Spread the requests over all members."""
    del elapsed_s
    return number % 3


def stay_on_one(elapsed_s: float, number: int) -> int:
    """Send all requests to one member."""
    del elapsed_s, number
    return 0


def move(elapsed_s: float, number: int) -> int:
    """Move all clients to the next zone within a second, again and again."""
    moved, since_s = divmod(elapsed_s, MOVE_INTERVAL_S)
    has_moved = since_s >= random.Random(number).random()
    return (int(moved) + has_moved) % 3


class Load:
    """Requests of one team at random times; counts the admitted ones."""

    def __init__(self, fleet: Fleet, choose: Callable[[float, int], int]):
        self._hosts = sorted(fleet.members)[:3]
        self._fleet = fleet
        self._choose = choose
        self.sent = 0
        self.times: list[float] = []

    async def run(self, rate_per_s: float) -> None:
        """Send requests for ``LENGTH_S``."""
        rng = random.Random(1)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            at = started_at
            while at < started_at + LENGTH_S:
                await trio.sleep_until(at)
                host = self._hosts[self._choose(at - started_at, self.sent)]
                self.sent += 1
                nursery.start_soon(self._send, host)
                at += rng.expovariate(rate_per_s)

    async def _send(self, host: str) -> None:
        member = self._fleet.members[host]
        request = make_request(received_at=trio.current_time())
        route = make_configuration().routes[0]
        refusal = await member.credit.admit(TEAM, request, route)
        if refusal is None:
            self.times.append(trio.current_time())

    def most_in_a_window(self, window_s: float) -> int:
        """Return the most requests admitted in any window."""
        return max(
            index + 1 - bisect.bisect_right(self.times, at - window_s)
            for index, at in enumerate(self.times)
        )


@pytest.fixture
async def fleet(
    autojump_clock: trio.testing.MockClock,
    nursery: trio.Nursery,
    monkeypatch: pytest.MonkeyPatch,
) -> Fleet:
    """Return three members in three zones that know a team and each other."""
    fleet = Fleet(
        (1, 1, 1), upstream_count=1, nursery=nursery, monkeypatch=monkeypatch
    )
    fleet.platform.configuration = attrs.evolve(
        make_configuration(), teams=(TEAM,)
    )
    await trio.sleep(SETTLE_S)
    return fleet


class TestOverload:
    """Guards against more than the rate, and against much less of it."""

    @pytest.mark.parametrize("choose", [stay_everywhere, stay_on_one, move])
    async def test_at_seven_and_a_half_times_the_rate(
        self,
        autojump_clock: trio.testing.MockClock,
        fleet: Fleet,
        choose: Callable[[float, int], int],
    ) -> None:
        load = Load(fleet, choose)
        await load.run(7.5 * RATE_PER_S)
        bounds = Bounds()
        limit = RATE_PER_S * bounds.quota_window_s + BURST
        most = load.most_in_a_window(bounds.quota_window_s)
        # Members agree on the holders, so that only a token each is added.
        assert most <= limit + len(fleet.members)
        assert most <= limit * (1 + bounds.quota_overshoot) + (
            bounds.quota_slack
        )
        assert len(load.times) >= 0.95 * RATE_PER_S * LENGTH_S


class TestUsualLoad:
    """Guards against refusals of a team that is below its rate."""

    @pytest.mark.parametrize("choose", [stay_everywhere, stay_on_one, move])
    async def test_nothing_is_refused(
        self,
        autojump_clock: trio.testing.MockClock,
        fleet: Fleet,
        choose: Callable[[float, int], int],
    ) -> None:
        load = Load(fleet, choose)
        await load.run(USUAL_PER_S)
        assert len(load.times) == load.sent


class TestWithoutRates:
    """Guards against a cost for deployments without teams."""

    async def test_no_messages_and_no_state(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        kinds = set()

        class Recorder(Fleet):
            async def deliver(self, sender, host, kind, payload):
                kinds.add(kind)
                await super().deliver(sender, host, kind, payload)

        fleet = Recorder(
            (2, 1), upstream_count=1, nursery=nursery, monkeypatch=monkeypatch
        )
        await trio.sleep(SETTLE_S)
        for member in fleet.members.values():
            assert member.allowances.ledger.names() == []
            assert member.allowances.ledger.is_settling
        assert kinds == {MessageKind.HEARTBEAT}
