"""Tests of the list when the platform has returned to an older copy."""

import pytest

from hawthornmast.common import EraRevision
from hawthornmast.common import State
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.membership.entries import UpstreamSnapshot
from hawthornmast.membership.eras import ROLLBACK_SETTLE_S
from hawthornmast.membership.listing import REGISTRATION_GRACE_S
from hawthornmast.membership.listing import UpstreamListing
from hawthornmast.membership.tests.test_listing import make_entry
from standins.clock import ManualClock

STARTED_MS = 1000
COPY_REVISION = 40


def make_upstream(
    name: str, *, revision: int = 30, sequence: int = 3, **changes: object
) -> ListedUpstream:
    """Return an upstream whose entry was written at a revision."""
    changes = {"started_ms": STARTED_MS, **changes}
    entry = make_entry(name, **changes)
    return ListedUpstream(
        service=entry.service,
        upstream=entry.upstream,
        revision=revision,
        sequence=sequence,
    )


def apply(
    listing: UpstreamListing, era: int, revision: int, *entries: ListedUpstream
) -> None:
    """Apply a list that was read in an era."""
    listing.apply_snapshot(
        UpstreamSnapshot(revision=revision, entries=entries, era=era)
    )


def find_live(listing: UpstreamListing) -> set[str]:
    """Return the upstreams that may get new requests."""
    return {
        name
        for name, item in listing.entries.items()
        if item.upstream.state is State.LIVE
    }


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock at 100 s."""
    return ManualClock()


@pytest.fixture
def listing(clock: ManualClock) -> UpstreamListing:
    """Return a list from which ``gone`` is removed and ``drains`` leaves."""
    listing = UpstreamListing(clock=clock)
    names = ("stays", "gone", "drains")
    apply(listing, 1, 50, *map(make_upstream, names))
    drains = make_upstream("drains", sequence=5, state=State.LEAVING)
    apply(listing, 1, 60, make_upstream("stays"), drains)
    assert find_live(listing) == {"stays"}
    return listing


def return_to_copy(listing: UpstreamListing, era: int = 2) -> None:
    """Apply the list of a copy that has all upstreams as ready."""
    names = ("stays", "gone", "drains")
    apply(listing, era, COPY_REVISION, *map(make_upstream, names))


class TestHeldBack:
    """Upstreams that left aren't used because an older copy lists them."""

    def test_lower_revision_of_a_new_era_is_newer(
        self, listing: UpstreamListing
    ) -> None:
        return_to_copy(listing)
        assert listing.position == EraRevision(2, COPY_REVISION)
        assert find_live(listing) == {"stays"}

    def test_list_of_an_earlier_era_is_ignored(
        self, listing: UpstreamListing
    ) -> None:
        # Guards against a stale copy, or a peer that has heard of nothing.
        return_to_copy(listing)
        apply(listing, 1, 900)
        assert not listing.apply_peer_list([901, []], era=1)
        assert not listing.confirm(902, listing.digest, era=1)
        assert "stays" in listing.entries

    @pytest.mark.parametrize("name", ["gone", "drains"])
    def test_written_again_in_the_new_era_is_used(
        self, listing: UpstreamListing, name: str
    ) -> None:
        # Guards against a live upstream that never gets requests again.
        return_to_copy(listing)
        written = make_upstream(name, revision=41, sequence=6)
        apply(listing, 2, 41, make_upstream("stays"), written)
        assert find_live(listing) == {"stays", name}

    def test_written_before_the_first_read_is_no_evidence(
        self, listing: UpstreamListing
    ) -> None:
        return_to_copy(listing)
        known = make_upstream("gone", revision=COPY_REVISION, sequence=9)
        apply(listing, 2, 45, make_upstream("stays"), known)
        assert find_live(listing) == {"stays"}

    def test_late_write_of_an_upstream_that_drains_is_no_evidence(
        self, listing: UpstreamListing
    ) -> None:
        # Guards against requests to an upstream that has announced that it
        # leaves, whose earlier write the store gets once more.
        return_to_copy(listing)
        late = make_upstream("drains", revision=41, sequence=4)
        apply(listing, 2, 41, make_upstream("stays"), late)
        assert find_live(listing) == {"stays"}

    def test_new_start_is_used_at_once(self, listing: UpstreamListing) -> None:
        return_to_copy(listing)
        started = make_upstream("drains", started_ms=STARTED_MS + 1)
        apply(listing, 2, 41, make_upstream("stays"), started)
        assert find_live(listing) == {"stays", "drains"}

    def test_removed_one_that_stays_listed_is_used_after_a_time(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        # Guards against an upstream whose entry had expired although it is
        # live, and which doesn't write it again.
        return_to_copy(listing)
        clock.now += ROLLBACK_SETTLE_S
        assert not listing.drop_expired()
        listing.confirm(COPY_REVISION, listing.digest, era=2)
        assert listing.drop_expired()
        assert find_live(listing) == {"stays", "gone"}

    def test_time_begins_again_with_each_era(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        return_to_copy(listing)
        clock.now += ROLLBACK_SETTLE_S - 1.0
        return_to_copy(listing, era=3)
        clock.now += ROLLBACK_SETTLE_S - 1.0
        return_to_copy(listing, era=3)
        assert find_live(listing) == {"stays"}

    def test_time_begins_again_with_an_era_that_a_peer_confirms(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        return_to_copy(listing)
        clock.now += ROLLBACK_SETTLE_S - 1.0
        assert listing.confirm(COPY_REVISION, listing.digest, era=3)
        clock.now += ROLLBACK_SETTLE_S - 1.0
        assert listing.confirm(COPY_REVISION, listing.digest, era=3)
        assert not listing.drop_expired()
        assert find_live(listing) == {"stays"}

    def test_return_within_an_era_is_used(
        self, listing: UpstreamListing
    ) -> None:
        # Guards against a change for platforms that return to no copy.
        apply(listing, 1, 70, *map(make_upstream, ("gone", "drains")))
        assert find_live(listing) == {"gone", "drains"}


class TestMissing:
    """Entries missing in a copy are kept until upstreams write again."""

    def test_kept_for_the_registration_grace(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        apply(listing, 2, COPY_REVISION)
        clock.now += REGISTRATION_GRACE_S - 0.1
        listing.confirm(COPY_REVISION, listing.digest, era=2)
        assert not listing.drop_expired()
        assert find_live(listing) == {"stays"}
        clock.now += 0.2
        assert listing.drop_expired()
        assert not listing.entries

    def test_expiry_soon_after_the_first_list_is_kept_no_longer(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        # Guards against an upstream that is removed in the new era and kept
        # for longer than the bound.
        return_to_copy(listing)
        clock.now += REGISTRATION_GRACE_S - 0.5
        listing.confirm(COPY_REVISION, listing.digest, era=2)
        apply(listing, 2, 41)
        assert find_live(listing) == {"stays"}
        clock.now += 0.6
        assert listing.drop_expired()
        assert not find_live(listing)

    def test_earlier_process_does_not_replace_the_one_in_force(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        # Guards against requests to the address of a process that ended.
        successor = make_upstream("stays", port=2, started_ms=STARTED_MS + 1)
        apply(listing, 1, 70, successor)
        return_to_copy(listing)
        assert listing.entries["stays"] == successor
        clock.now += REGISTRATION_GRACE_S + 0.1
        listing.drop_expired()
        return_to_copy(listing)
        assert not find_live(listing)


class TestRevisionsOfAnEarlierEra:
    """They are no evidence of a write in the present one."""

    @pytest.mark.parametrize("how", ["confirmed", "listed"])
    def test_upstream_that_left_stays_out_of_use(
        self, clock: ManualClock, how: str
    ) -> None:
        # Guards against a member that was away while an upstream left, and
        # that brings it back for the whole fleet.
        away, reader = (
            UpstreamListing(clock=clock),
            UpstreamListing(clock=clock),
        )
        for item in (away, reader):
            apply(
                item,
                2,
                155,
                make_upstream("p", revision=150),
                make_upstream("q"),
            )
        apply(reader, 2, 160, make_upstream("q"))
        more = [] if how == "confirmed" else [make_upstream("r")]
        apply(
            reader,
            3,
            148,
            make_upstream("p", revision=145),
            make_upstream("q"),
            *more,
        )
        assert "p" not in find_live(reader)
        away.eras.learn(3, origin="reader")
        away.eras.learn_first_revision(148)
        if how == "confirmed":
            assert away.confirm(148, reader.digest, era=3)
        away.departures.merge(reader.departures.encode())
        away.apply_peer_list(reader.encode(), era=3)
        away.refresh()
        assert "p" not in find_live(away)
        reader.departures.merge(away.departures.encode())
        reader.refresh()
        assert "p" not in find_live(reader)


class TestExchange:
    """Members tell each other what they hold back and release."""

    def test_member_without_memory_learns_what_left(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        # Guards against a restarted member that uses what has ended.
        fresh = UpstreamListing(clock=clock)
        return_to_copy(fresh)
        return_to_copy(listing)
        assert find_live(fresh) == {"stays", "gone", "drains"}
        fresh.departures.merge(listing.departures.encode())
        assert fresh.refresh()
        assert find_live(fresh) == {"stays"}
        assert fresh.departures.digest == listing.departures.digest

    def test_release_is_learned(
        self, listing: UpstreamListing, clock: ManualClock
    ) -> None:
        # Guards against members that have the list from a peer, and so never
        # see that an upstream wrote again.
        other = UpstreamListing(clock=clock)
        return_to_copy(other)
        other.departures.merge(listing.departures.encode())
        return_to_copy(listing)
        other.departures.merge(listing.departures.encode())
        other.refresh()
        written = make_upstream("gone", revision=41, sequence=6)
        apply(
            listing, 2, 41, *map(make_upstream, ("stays", "drains")), written
        )
        assert listing.departures.digest != other.departures.digest
        other.departures.merge(listing.departures.encode())
        other.refresh()
        assert find_live(other) == {"stays", "gone"}
        # What was released isn't held back again by a peer that is behind.
        assert listing.departures.digest == other.departures.digest

    @pytest.mark.parametrize(
        "value", [None, [], [[]], [[["a"]], []], [[], [["a", "x"]]]]
    )
    def test_malformed_value_is_refused(
        self, listing: UpstreamListing, value: object
    ) -> None:
        with pytest.raises((ValueError, TypeError)):
            listing.departures.merge(value)
