"""The accepted list of upstreams."""

import attrs
import pytest

from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.membership.listing import GAP_S
from hawthornmast.membership.listing import ListedUpstream
from hawthornmast.membership.listing import Reading
from hawthornmast.membership.listing import RETURN_S
from hawthornmast.membership.listing import UpstreamListing
from standins.clock import Clock


def make_entry(name: str, **changes: object) -> ListedUpstream:
    """Return an upstream of the service ``boxes``."""
    upstream = Upstream(
        upstream_id=name, zone="a", host="127.0.0.1", port=1, slots=4
    )
    return ListedUpstream(
        service="boxes", upstream=attrs.evolve(upstream, **changes)
    )


def read(revision: int, *entries: ListedUpstream) -> Reading:
    """Return a reading."""
    return Reading(revision=revision, entries=entries)


@pytest.fixture
def clock() -> Clock:
    """Return a clock at 100 s."""
    return Clock()


@pytest.fixture
def listing(clock: Clock) -> UpstreamListing:
    """Return a listing with two upstreams at revision 5."""
    listing = UpstreamListing(clock=clock)
    assert listing.accept(read(5, make_entry("u1"), make_entry("u2")))
    return listing


class TestAccept:
    """Readings replace the list unless they are old."""

    def test_same_entries_change_nothing(
        self, listing: UpstreamListing
    ) -> None:
        assert not listing.accept(read(6, make_entry("u2"), make_entry("u1")))
        assert listing.revision == 6

    def test_older_reading_is_ignored(self, listing: UpstreamListing) -> None:
        assert not listing.accept(read(4, make_entry("u3")))
        assert set(listing.entries) == {"u1", "u2"}

    def test_removed_entry_is_gone_at_once(
        self, listing: UpstreamListing
    ) -> None:
        assert listing.accept(read(6, make_entry("u1")))
        assert set(listing.entries) == {"u1"}

    def test_leaving_is_seen(self, listing: UpstreamListing) -> None:
        leaving = make_entry("u1", state=State.LEAVING)
        assert listing.accept(read(6, leaving, make_entry("u2")))
        assert listing.entries["u1"].upstream.state is State.LEAVING


class TestGap:
    """Entries lapse while the platform is away though upstreams live."""

    def test_missing_entries_are_kept_until_they_had_time_to_return(
        self, listing: UpstreamListing, clock: Clock
    ) -> None:
        clock.now += GAP_S + 0.1
        listing.accept(read(6))
        assert set(listing.entries) == {"u1", "u2"}
        clock.now += RETURN_S - 0.2
        listing.accept(read(7, make_entry("u1")))
        assert set(listing.entries) == {"u1", "u2"}
        clock.now += 0.3
        listing.accept(read(8, make_entry("u1")))
        assert set(listing.entries) == {"u1"}

    def test_entry_that_returned_is_gone_at_its_next_absence(
        self, listing: UpstreamListing, clock: Clock
    ) -> None:
        clock.now += GAP_S + 0.1
        listing.accept(read(6))
        clock.now += 0.4
        listing.accept(read(7, make_entry("u1"), make_entry("u2")))
        clock.now += 0.4
        listing.accept(read(8, make_entry("u1")))
        assert set(listing.entries) == {"u1"}


class TestOtherMembers:
    """Lists pass between members unchanged."""

    def test_round_trip(self, listing: UpstreamListing, clock: Clock) -> None:
        other = UpstreamListing(clock=clock)
        assert other.adopt(listing.encode())
        assert other.entries == listing.entries
        assert other.digest == listing.digest

    def test_older_list_is_ignored(
        self, listing: UpstreamListing, clock: Clock
    ) -> None:
        other = UpstreamListing(clock=clock)
        other.accept(read(4, make_entry("u9")))
        assert not listing.adopt(other.encode())

    def test_confirm_takes_the_same_list_only(
        self, listing: UpstreamListing, clock: Clock
    ) -> None:
        clock.now += 1.0
        assert not listing.confirm(9, b"another")
        assert listing.confirm(9, listing.digest)
        assert (listing.revision, listing.confirmed_at) == (9, clock.now)

    @pytest.mark.parametrize("value", [None, [1], [1, [[1, 2]]], ["x", []]])
    def test_refuses_other_values(
        self, listing: UpstreamListing, value: object
    ) -> None:
        with pytest.raises((ValueError, TypeError, IndexError)):
            listing.adopt(value)
