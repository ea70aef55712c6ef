"""Tests of the accepted list of upstreams."""

import attrs
import pytest

from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.membership.entries import UpstreamSnapshot
from hawthornmast.membership.listing import MAX_CONFIRMATION_GAP_S
from hawthornmast.membership.listing import REGISTRATION_GRACE_S
from hawthornmast.membership.listing import UpstreamListing
from standins.clock import ManualClock


def make_entry(name: str, **changes: object) -> ListedUpstream:
    """Return an upstream of the service ``boxes``."""
    upstream = Upstream(
        upstream_id=name, zone="a", host="127.0.0.1", port=1, slots=4
    )
    return ListedUpstream(
        service="boxes", upstream=attrs.evolve(upstream, **changes)
    )


def make_snapshot(revision: int, *entries: ListedUpstream) -> UpstreamSnapshot:
    """Return a snapshot of the platform."""
    return UpstreamSnapshot(revision=revision, entries=entries)


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock at 100 s."""
    return ManualClock()


@pytest.fixture
def listing(clock: ManualClock) -> UpstreamListing:
    """Return a listing with two upstreams at revision 5."""
    listing = UpstreamListing(clock=clock)
    assert listing.apply_snapshot(
        make_snapshot(5, make_entry("u1"), make_entry("u2"))
    )
    return listing


class TestAccept:
    """A snapshot replaces the list unless it is older."""

    def test_same_entries_change_nothing(
        self, listing: UpstreamListing
    ) -> None:
        assert not listing.apply_snapshot(
            make_snapshot(6, make_entry("u2"), make_entry("u1"))
        )
        assert listing.revision == 6

    def test_older_snapshot_is_ignored(self, listing: UpstreamListing) -> None:
        assert not listing.apply_snapshot(make_snapshot(4, make_entry("u3")))
        assert set(listing.entries) == {"u1", "u2"}

    def test_removed_entry_is_dropped_at_once(
        self, listing: UpstreamListing
    ) -> None:
        assert listing.apply_snapshot(make_snapshot(6, make_entry("u1")))
        assert set(listing.entries) == {"u1"}

    def test_leaving_state_is_applied(self, listing: UpstreamListing) -> None:
        leaving = make_entry("u1", state=State.LEAVING)
        assert listing.apply_snapshot(
            make_snapshot(6, leaving, make_entry("u2"))
        )
        assert listing.entries["u1"].upstream.state is State.LEAVING


class TestUnseenChange:
    """Logs tell how long a change may have been on the platform unseen."""

    def test_gap_is_the_time_since_the_last_confirmation(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        assert listing.gap_s == 0.0
        clock.now += 1.0
        listing.confirm(6, listing.digest)
        clock.now += 0.4
        listing.apply_snapshot(make_snapshot(7, make_entry("u1")))
        assert listing.gap_s == pytest.approx(0.4)


class TestGap:
    """Entries of live upstreams expire while the platform is unavailable."""

    def test_missing_entries_are_retained_for_the_registration_grace(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        clock.now += MAX_CONFIRMATION_GAP_S + 0.1
        listing.apply_snapshot(make_snapshot(6))
        assert set(listing.entries) == {"u1", "u2"}
        clock.now += REGISTRATION_GRACE_S - 0.2
        listing.apply_snapshot(make_snapshot(7, make_entry("u1")))
        assert set(listing.entries) == {"u1", "u2"}
        clock.now += 0.3
        listing.apply_snapshot(make_snapshot(8, make_entry("u1")))
        assert set(listing.entries) == {"u1"}

    def test_entry_that_returned_is_dropped_when_missing_again(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        clock.now += MAX_CONFIRMATION_GAP_S + 0.1
        listing.apply_snapshot(make_snapshot(6))
        clock.now += 0.4
        listing.apply_snapshot(
            make_snapshot(7, make_entry("u1"), make_entry("u2"))
        )
        clock.now += 0.4
        listing.apply_snapshot(make_snapshot(8, make_entry("u1")))
        assert set(listing.entries) == {"u1"}


class TestOtherMembers:
    """Encoding lists for other daemons."""

    def test_round_trip(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        other = UpstreamListing(clock=clock)
        assert other.apply_peer_list(listing.encode())
        assert other.entries == listing.entries
        assert other.digest == listing.digest

    def test_older_list_is_ignored(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        other = UpstreamListing(clock=clock)
        other.apply_snapshot(make_snapshot(4, make_entry("u9")))
        assert not listing.apply_peer_list(other.encode())

    def test_confirm_requires_the_same_list(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        clock.now += 1.0
        assert not listing.confirm(9, b"another")
        assert listing.confirm(9, listing.digest)
        assert (listing.revision, listing.confirmed_at) == (9, clock.now)

    @pytest.mark.parametrize("value", [None, [1], [1, [[1, 2]]], ["x", []]])
    def test_malformed_value_is_rejected(
        self, listing: UpstreamListing, value: object
    ) -> None:
        with pytest.raises((ValueError, TypeError, IndexError)):
            listing.apply_peer_list(value)
