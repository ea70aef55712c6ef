"""Tests of a platform that returns to an older copy, on a simulated fleet."""

from collections.abc import Iterable

import pytest
import trio
import trio.testing

from hawthornmast.common import State
from hawthornmast.gateway.tests.fleet import Fleet
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.routing import digest_key
from hawthornmast.routing import Team

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


def find_key_holders(fleet: Fleet, digest: bytes) -> set[str]:
    """Return the members on which a key is valid."""
    return {
        host
        for host, member in fleet.members.items()
        if member.configuration is not None
        and member.configuration.find_team(digest) is not None
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

    async def test_withdrawn_key_stays_withdrawn(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against a copy whose teams still hold a key that was
        # withdrawn.
        key = digest_key(b"withdrawn")

        def make_teams(*digests: bytes) -> tuple[Team, ...]:
            return (Team(name="team", key_digests=digests),)

        fleet.platform.put_configuration(
            make_configuration(2, teams=make_teams(key))
        )
        await trio.sleep(BOUND_S)
        copy = fleet.platform.take_copy()
        withdrawal = make_configuration(3, teams=make_teams())
        fleet.platform.put_configuration(withdrawal)
        await trio.sleep(BOUND_S)
        assert not find_key_holders(fleet, key)
        fleet.platform.restore(copy)
        for step in range(80):
            if step == 20:
                fleet.platform.put_configuration(withdrawal)
            await trio.sleep(0.1)
            assert not find_key_holders(fleet, key)

    async def test_key_withdrawn_by_the_same_version(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against a number that is assigned again to the configuration
        # that withdraws a key.
        key = digest_key(b"withdrawn")
        copy = fleet.platform.take_copy()
        team = Team(name="team", key_digests=(key,))
        fleet.platform.put_configuration(make_configuration(2, teams=(team,)))
        await trio.sleep(BOUND_S)
        assert find_key_holders(fleet, key) == set(fleet.members)
        fleet.platform.restore(copy)
        fleet.platform.put_configuration(make_configuration(2, teams=()))
        await trio.sleep(BOUND_S)
        assert not find_key_holders(fleet, key)


class TestTrouble:
    """A return to a copy beside other faults."""

    @pytest.mark.parametrize("answer", ["refused", "silent"])
    async def test_while_members_cannot_read(
        self,
        autojump_clock: trio.testing.MockClock,
        fleet: Fleet,
        answer: str,
    ) -> None:
        # Guards against members without access that keep the state of the
        # old era in force, or give it to those that have read.
        getattr(fleet.platform, answer).update(fleet.ranked()[:6])
        copy = fleet.platform.take_copy()
        fleet.platform.remove("u0")
        fleet.platform.put_upstream("u8")
        fleet.platform.put_configuration(make_configuration(7))
        await trio.sleep(2 * BOUND_S)
        fleet.platform.restore(copy)
        await trio.sleep(1.0)
        fleet.platform.put_upstream("u9")
        fleet.platform.put_configuration(make_configuration(5))
        await trio.sleep(BOUND_S)
        assert find_users(fleet, "u9") == set(fleet.members)
        assert not find_users(fleet, "u0")
        assert get_versions(fleet) == {5}

    async def test_while_a_zone_is_cut_off(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against a zone that returns with the state of the old era.
        zone = {host for host in fleet.members if "10.1." in host}
        copy = fleet.platform.take_copy()
        fleet.platform.put_configuration(make_configuration(7))
        await trio.sleep(BOUND_S)
        fleet.dark |= zone
        fleet.platform.silent |= zone
        fleet.platform.restore(copy)
        fleet.platform.revision += 1
        await trio.sleep(2.0)
        fleet.platform.put_configuration(make_configuration(5))
        await trio.sleep(BOUND_S)
        others = set(fleet.members) - zone
        assert get_versions(fleet, others) == {5}
        fleet.dark.clear()
        for _ in range(25):
            await trio.sleep(0.1)
            assert get_versions(fleet, others) == {5}
        assert get_versions(fleet) == {5}

    async def test_twice_in_a_row(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against state of the first return that counts in the second.
        copy = fleet.platform.take_copy()
        fleet.platform.mark_leaving("u0")
        fleet.platform.remove("u1")
        fleet.platform.put_configuration(make_configuration(7))
        await trio.sleep(BOUND_S)
        for _ in range(2):
            fleet.platform.restore(copy)
            for _ in range(40):
                await trio.sleep(0.1)
                assert get_versions(fleet) == {7}
                assert not find_users(fleet, "u0")
                assert not find_users(fleet, "u1")
        fleet.platform.put_configuration(make_configuration(7))
        fleet.platform.mark_leaving("u0")
        fleet.platform.remove("u1")
        await trio.sleep(3 * BOUND_S)
        assert get_versions(fleet) == {7}
        assert not find_users(fleet, "u0")
        assert not find_users(fleet, "u1")

    async def test_live_upstream_that_was_removed_returns_soon(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against a live upstream that is held back on members that
        # have the list from a peer.
        copy = fleet.platform.take_copy()
        fleet.platform.remove("u0")
        await trio.sleep(BOUND_S)
        fleet.platform.restore(copy)
        await trio.sleep(1.0)
        assert not find_users(fleet, "u0")
        fleet.platform.put_upstream("u0")
        await trio.sleep(BOUND_S)
        assert find_users(fleet, "u0") == set(fleet.members)

    @pytest.mark.parametrize("after_s", [0.05, 0.5])
    async def test_upstream_that_drains_in_the_new_era(
        self,
        autojump_clock: trio.testing.MockClock,
        fleet: Fleet,
        after_s: float,
    ) -> None:
        # Guards against an announcement that counts as an older state.
        copy = fleet.platform.take_copy()
        fleet.platform.revision += 50
        await trio.sleep(1.5)
        fleet.platform.restore(copy)
        await trio.sleep(after_s)
        fleet.platform.mark_leaving("u0")
        assert await fleet.measure_spread("u0") <= BOUND_S

    @pytest.mark.parametrize("alone", [False, True])
    async def test_restarted_member_takes_the_state_of_its_peers(
        self,
        autojump_clock: trio.testing.MockClock,
        fleet: Fleet,
        alone: bool,
    ) -> None:
        # Guards against a member without memory that reads the old copy
        # first, and keeps it or gives it to others.
        copy = fleet.platform.take_copy()
        fleet.platform.mark_leaving("u0")
        fleet.platform.remove("u1")
        fleet.platform.put_configuration(make_configuration(7))
        await trio.sleep(BOUND_S)
        fleet.platform.restore(copy)
        for host in fleet.ranked()[:2]:
            if alone:
                fleet.dark.add(host)
            fleet.restart(host)
            await trio.sleep(1.0)
            others = set(fleet.members) - {host}
            assert get_versions(fleet, others) == {7}
            if alone:
                assert get_versions(fleet, [host]) == {1}
                fleet.dark.clear()
                await trio.sleep(1.5)
            assert get_versions(fleet) == {7}
            assert not find_users(fleet, "u0")
            assert not find_users(fleet, "u1")

    async def test_all_members_restart_on_the_copy(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against members that wait for state that nobody has.
        copy = fleet.platform.take_copy()
        fleet.platform.put_configuration(make_configuration(7))
        await trio.sleep(BOUND_S)
        fleet.platform.restore(copy)
        for host in list(fleet.members):
            fleet.restart(host)
        await trio.sleep(BOUND_S)
        assert get_versions(fleet) == {1}
        fleet.platform.put_configuration(make_configuration(2))
        await trio.sleep(BOUND_S)
        assert get_versions(fleet) == {2}

    async def test_calls_and_pulls_end(
        self, autojump_clock: trio.testing.MockClock, fleet: Fleet
    ) -> None:
        # Guards against members that read or pull for as long as the copy
        # differs from what they have in force.
        copy = fleet.platform.take_copy()
        fleet.platform.mark_leaving("u0")
        fleet.platform.remove("u1")
        fleet.platform.put_configuration(make_configuration(7))
        await trio.sleep(BOUND_S)
        fleet.platform.restore(copy)
        await trio.sleep(1.0)
        calls, pulls = fleet.platform.calls, fleet.pulls
        await trio.sleep(4.0)
        assert fleet.platform.calls - calls <= 24
        assert fleet.pulls - pulls <= len(fleet.members)
