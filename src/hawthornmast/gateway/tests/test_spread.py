"""Tests of the time in which a change on the platform reaches all members."""

import random

import pytest
import trio
import trio.testing

from hawthornmast.gateway.tests.fleet import Fleet
from hawthornmast.gateway.tests.fleet import NETWORK_DELAY_S

DRAIN_BOUND_S = 2.0
"""Time after which a leaving upstream must receive no new requests."""

CONFIGURATION_BOUND_S = 2.0
"""Time after which a configuration must be in force."""

STALL_S = 0.6
STALL_INTERVAL_S = 0.35

ZONES = (16, 8, 8)
SETTLE_S = 5.0
CHANGES = 6


async def measure_worst(fleet: Fleet, *, seed: int = 1) -> float:
    """Return the longest time that a leaving upstream stayed in use."""
    rng = random.Random(seed)
    worst = 0.0
    for number in range(CHANGES):
        await trio.sleep(rng.uniform(1.0, 4.0))
        fleet.platform.mark_leaving(f"u{number}")
        worst = max(worst, await fleet.measure_spread(f"u{number}"))
    return worst


@pytest.fixture
async def fleet(
    autojump_clock: trio.testing.MockClock,
    nursery: trio.Nursery,
    monkeypatch: pytest.MonkeyPatch,
) -> Fleet:
    """Return a fleet whose members know each other.

    A test has to name ``autojump_clock`` as well, since pytest-trio doesn't
    see the clocks of fixtures.
    """
    fleet = Fleet(
        ZONES, upstream_count=30, nursery=nursery, monkeypatch=monkeypatch
    )
    await trio.sleep(SETTLE_S)
    return fleet


class TestTakeover:
    """Members that can't read the platform delay a change only once."""

    @pytest.mark.parametrize("answer", ["refused", "silent"])
    async def test_list_stays_fresh_after_the_first_read(
        self,
        autojump_clock: trio.testing.MockClock,
        fleet: Fleet,
        answer: str,
    ) -> None:
        getattr(fleet.platform, answer).update(fleet.ranked()[:11])
        await trio.sleep(DRAIN_BOUND_S)
        oldest_s = 0.0
        for _ in range(200):
            await trio.sleep(0.03)
            confirmed_at = min(
                member.listing.confirmed_at
                for member in fleet.members.values()
            )
            oldest_s = max(oldest_s, trio.current_time() - confirmed_at)
        # The rest of the bound is for passing on and for requests that are
        # on their way.
        assert oldest_s <= DRAIN_BOUND_S / 2


class TestStalls:
    """Members that stall briefly don't keep old state in force on others."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_configuration_while_members_of_a_zone_stall_in_turns(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet, seed: int
    ) -> None:
        # Guards against ages that late datagrams make too small, and that
        # the whole fleet then takes over instead of reading the platform.
        rng = random.Random(seed)
        zone = sorted(host for host in fleet.members if "10.0." in host)
        others = fleet.members.keys() - set(zone)

        async def stall_in_turns() -> None:
            while True:
                fleet.nursery.start_soon(
                    fleet.stall, rng.sample(zone, 2), STALL_S
                )
                await trio.sleep(STALL_INTERVAL_S)

        fleet.nursery.start_soon(stall_in_turns)
        worst = 0.0
        for version in range(2, 2 + CHANGES):
            await trio.sleep(rng.uniform(1.0, 3.0))
            spread_s = await fleet.measure_configuration_spread(
                version, others
            )
            worst = max(worst, spread_s)
        assert worst <= CONFIGURATION_BOUND_S


class TestLeavingUpstream:
    """All members stop using a leaving upstream within the bound."""

    async def test_with_a_calm_platform(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        assert await measure_worst(fleet) <= DRAIN_BOUND_S

    @pytest.mark.parametrize("answer", ["refused", "silent"])
    @pytest.mark.parametrize("count", [3, 11])
    async def test_while_the_best_ranked_members_cannot_read(
        self,
        autojump_clock: trio.testing.MockClock,
        fleet: Fleet,
        count: int,
        answer: str,
    ) -> None:
        getattr(fleet.platform, answer).update(fleet.ranked()[:count])
        assert await measure_worst(fleet) <= DRAIN_BOUND_S

    async def test_while_each_reader_is_lost_as_it_announces(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        worst = 0.0
        for number in range(3):
            name = f"u{number}"
            await trio.sleep(2.0)
            fleet.platform.mark_leaving(name)
            started_at = trio.current_time()
            reader = await fleet.wait_until_known(name)
            # Its announcement is on its way.
            await trio.sleep(NETWORK_DELAY_S)
            fleet.dark.add(reader)
            await fleet.measure_spread(name)
            worst = max(worst, trio.current_time() - started_at)
        assert worst <= DRAIN_BOUND_S

    async def test_resumed_member_does_not_list_a_removed_one_again(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        absent = fleet.ranked()[0]
        fleet.dark.add(absent)
        fleet.platform.paused.add(absent)
        await trio.sleep(2.0)
        fleet.platform.remove("u0")
        await fleet.measure_spread("u0")
        await trio.sleep(2.0)
        fleet.dark.clear()
        fleet.platform.paused.clear()
        for _ in range(200):
            await trio.sleep(0.02)
            listing_it = [
                host
                for host, member in fleet.members.items()
                if "u0" in member.listing.entries
            ]
            assert set(listing_it) <= {absent}
        assert not listing_it
