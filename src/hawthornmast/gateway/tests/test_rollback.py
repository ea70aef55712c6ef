"""Tests of a platform that returns to an older copy, on a simulated fleet."""

from collections.abc import Iterable

import pytest
import trio
import trio.testing

from hawthornmast.common import State
from hawthornmast.gateway.tests.fleet import Fleet
from hawthornmast.gateway.tests.support import make_configuration

ZONES = (6, 3)
SETTLE_S = 5.0

BOUND_S = 2.5
"""Time within which a change on the platform is in force."""


@pytest.fixture
async def fleet(
    autojump_clock: trio.testing.MockClock,
    nursery: trio.Nursery,
    monkeypatch: pytest.MonkeyPatch,
) -> Fleet:
    """Return a fleet whose members know each other, on era 1."""
    fleet = Fleet(
        ZONES, upstream_count=6, nursery=nursery, monkeypatch=monkeypatch
    )
    fleet.platform.era = 1
    await trio.sleep(SETTLE_S)
    return fleet


def find_users(fleet: Fleet, name: str) -> set[str]:
    """Return the members that send new requests to an upstream."""
    return {
        host
        for host, member in fleet.members.items()
        if (entry := member.listing.entries.get(name)) is not None
        and entry.upstream.state is State.LIVE
    }


def get_versions(fleet: Fleet, hosts: Iterable[str] = ()) -> set[int]:
    """Return the versions in force on members, on all by default."""
    return {
        fleet.members[host].synchronizer.version
        for host in hosts or fleet.members
    }


class TestList:
    """The list of the new era is taken, and nothing that left returns."""

    async def test_list_is_taken_although_its_revision_is_lower(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against members that wait until the counter of the new era
        # has passed that of the old one.
        copy = fleet.platform.take_copy()
        fleet.platform.revision += 50
        await trio.sleep(1.5)
        fleet.platform.restore(copy)
        fleet.platform.put_upstream("u9")
        await trio.sleep(BOUND_S)
        assert find_users(fleet, "u9") == set(fleet.members)

    async def test_same_revision_of_another_era_is_another_list(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against a list that counts as the known one because the
        # store has assigned its number again.
        copy = fleet.platform.take_copy()
        fleet.platform.put_upstream("u8")
        await trio.sleep(1.5)
        fleet.platform.restore(copy)
        fleet.platform.put_upstream("u9")
        await trio.sleep(2 * BOUND_S)
        assert find_users(fleet, "u9") == set(fleet.members)
        assert not find_users(fleet, "u8")

    async def test_entries_missing_in_the_copy_stay_in_use(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against the loss of upstreams that registered after the copy
        # and haven't written again yet.
        copy = fleet.platform.take_copy()
        fleet.platform.put_upstream("u8")
        await trio.sleep(1.5)
        fleet.platform.restore(copy)
        for _ in range(15):
            await trio.sleep(0.1)
            assert find_users(fleet, "u8") == set(fleet.members)
        fleet.platform.put_upstream("u8")
        for _ in range(60):
            await trio.sleep(0.1)
            assert find_users(fleet, "u8") == set(fleet.members)

    @pytest.mark.parametrize("change", ["remove", "mark_leaving"])
    async def test_upstream_that_left_does_not_return(
        self,
        autojump_clock: trio.testing.MockClock,
        fleet: Fleet,
        change: str,
    ) -> None:
        # Guards against requests to an upstream that has ended, which the
        # copy lists as ready.
        copy = fleet.platform.take_copy()
        getattr(fleet.platform, change)("u0")
        await trio.sleep(2.0)
        assert not find_users(fleet, "u0")
        fleet.platform.restore(copy)
        for _ in range(50):
            await trio.sleep(0.1)
            assert not find_users(fleet, "u0")


class TestConfiguration:
    """Members take the operator's newest configuration and no older one."""

    async def test_lower_version_of_the_copy_is_not_taken(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against a return to an earlier configuration.
        copy = fleet.platform.take_copy()
        fleet.platform.put_configuration(make_configuration(2))
        await trio.sleep(BOUND_S)
        fleet.platform.restore(copy)
        for _ in range(40):
            await trio.sleep(0.1)
            assert get_versions(fleet) == {2}

    async def test_lower_version_written_in_the_new_era_is_taken(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against a configuration that is in force until the
        # operator's versions have passed it.
        copy = fleet.platform.take_copy()
        fleet.platform.put_configuration(make_configuration(9))
        await trio.sleep(BOUND_S)
        fleet.platform.restore(copy)
        await trio.sleep(1.0)
        fleet.platform.put_configuration(make_configuration(2))
        await trio.sleep(BOUND_S)
        assert get_versions(fleet) == {2}

    async def test_lower_version_that_stays_is_taken(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against a configuration that is kept for good when the
        # operator doesn't write it again.
        copy = fleet.platform.take_copy()
        fleet.platform.put_configuration(make_configuration(2))
        await trio.sleep(BOUND_S)
        fleet.platform.restore(copy)
        await trio.sleep(6.0 + BOUND_S)
        assert get_versions(fleet) == {1}

    async def test_same_version_with_other_content_is_taken(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against a number that was assigned again and counts as the
        # configuration that had it before.
        copy = fleet.platform.take_copy()
        fleet.platform.put_configuration(make_configuration(2))
        await trio.sleep(BOUND_S)
        fleet.platform.restore(copy)
        other = make_configuration(2, services=())
        fleet.platform.put_configuration(other)
        await trio.sleep(BOUND_S)
        assert {
            member.synchronizer.configuration
            for member in fleet.members.values()
        } == {other}
