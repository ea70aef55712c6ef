"""Tests of the order of configurations."""

import pytest

from hawthornmast.common import EraRevision
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.gateway.versions import ConfigurationState
from hawthornmast.membership.eras import EraTracker
from hawthornmast.membership.eras import ROLLBACK_SETTLE_S
from hawthornmast.routing import Configuration
from hawthornmast.routing import PublishedConfiguration
from standins.clock import ManualClock

COPY_REVISION = 40


class Member:
    """The configuration of one member."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.eras = EraTracker()
        self.state = ConfigurationState(self.eras, clock=self.clock)

    def read(
        self,
        configuration: Configuration,
        *,
        era: int,
        revision: int = COPY_REVISION,
        written: int = 30,
    ) -> int:
        """Offer what the platform has; return the version in force."""
        position = EraRevision(era, revision)
        published = PublishedConfiguration(
            configuration=configuration, position=position, written=written
        )
        self.eras.observe(position)
        order = self.state.order_published(published)
        self.state.offer(configuration, order, EraRevision(era, written))
        return self.state.version


@pytest.fixture
def member() -> Member:
    """Return a member with version 5, written in era 1."""
    member = Member()
    member.read(make_configuration(4), era=1)
    member.read(make_configuration(5), era=1, revision=60, written=50)
    assert member.state.order == EraRevision(1, 5)
    return member


class TestWithoutEras:
    """The version alone decides."""

    def test_only_a_higher_version_is_newer(self) -> None:
        # Guards against any change for platforms without eras.
        member = Member()
        assert member.read(make_configuration(5), era=0) == 5
        assert member.read(make_configuration(4), era=0, written=90) == 5
        member.clock.now += 100.0
        assert member.read(make_configuration(4), era=0, written=90) == 5
        other = make_configuration(5, services=())
        assert member.read(other, era=0, written=91) == 5
        assert member.state.configuration == make_configuration(5)
        assert member.state.order == EraRevision(0, 5)


class TestLowerVersion:
    """An older copy has an earlier version for a moment."""

    def test_not_taken_from_the_copy(self, member: Member) -> None:
        assert member.read(make_configuration(4), era=2) == 5
        member.clock.now += ROLLBACK_SETTLE_S - 0.1
        assert member.read(make_configuration(4), era=2) == 5

    def test_taken_if_the_platform_keeps_it(self, member: Member) -> None:
        member.read(make_configuration(4), era=2)
        member.clock.now += ROLLBACK_SETTLE_S
        assert member.read(make_configuration(4), era=2, revision=70) == 4

    def test_time_begins_again_with_an_era(self, member: Member) -> None:
        # Guards against two returns to a copy in a row.
        member.read(make_configuration(4), era=2)
        member.clock.now += ROLLBACK_SETTLE_S - 1.0
        member.read(make_configuration(4), era=3)
        member.clock.now += ROLLBACK_SETTLE_S - 1.0
        assert member.read(make_configuration(4), era=3) == 5

    def test_taken_if_written_in_the_era(self, member: Member) -> None:
        member.read(make_configuration(3), era=2)
        written = COPY_REVISION + 1
        latest = make_configuration(4)
        assert member.read(latest, era=2, revision=45, written=written) == 4

    def test_not_taken_within_the_era(self, member: Member) -> None:
        configuration = make_configuration(4)
        assert member.read(configuration, era=1, revision=71, written=71) == 5

    def test_stale_answer_of_the_era_is_no_evidence(
        self, member: Member
    ) -> None:
        # Guards against an answer that is older than one received before.
        member.read(make_configuration(4), era=2)
        member.read(make_configuration(5), era=2, revision=55, written=48)
        earlier = make_configuration(4)
        assert member.read(earlier, era=2, revision=47, written=44) == 5


class TestOtherContent:
    """A new era may give a version to another configuration."""

    def test_is_taken_if_written_in_the_era(self, member: Member) -> None:
        member.read(make_configuration(4), era=2)
        other = make_configuration(5, services=())
        member.read(other, era=2, revision=41, written=41)
        assert member.state.configuration == other

    def test_is_taken_if_written_before_the_first_read(
        self, member: Member
    ) -> None:
        other = make_configuration(5, services=())
        member.read(other, era=2, revision=41, written=41)
        assert member.state.configuration == other
        assert member.state.order == EraRevision(2, 5)

    def test_replaced_configuration_of_a_copy_is_not_taken(
        self, member: Member
    ) -> None:
        # Guards against a second return, to a copy of before the first.
        other = make_configuration(5, services=())
        member.read(other, era=2)
        assert member.state.configuration == other
        member.read(make_configuration(5), era=3)
        assert member.state.configuration == other

    def test_lower_version_with_other_content_is_taken_after_a_time(
        self, member: Member
    ) -> None:
        # Guards against a return to a configuration that was replaced before
        # any member read it, and against one that is never taken.
        other = make_configuration(4, services=())
        member.read(other, era=2)
        assert member.state.version == 5
        member.clock.now += ROLLBACK_SETTLE_S
        member.read(other, era=2)
        assert member.state.configuration == other

    def test_replaced_configuration_that_was_never_read_is_not_taken(
        self, member: Member
    ) -> None:
        # Guards against a fleet that goes back at a second return: version 5
        # was written anew and replaced by 6 between two reads.
        member.read(make_configuration(4), era=2)
        latest = make_configuration(6)
        member.read(latest, era=2, revision=44, written=44)
        member.read(
            make_configuration(5, services=()), era=3, revision=42, written=41
        )
        assert member.state.configuration == latest

    def test_replaced_configuration_of_a_higher_version_is_not_taken(
        self, member: Member
    ) -> None:
        member.read(make_configuration(3), era=2)
        latest = make_configuration(4, services=())
        member.read(latest, era=2, revision=41, written=41)
        member.read(make_configuration(5), era=3)
        assert member.state.configuration == latest


class TestWithoutMemory:
    """A new process may have read an older copy."""

    def test_copy_replaces_nothing_on_others(self, member: Member) -> None:
        fresh = Member()
        fresh.read(make_configuration(4), era=2)
        assert fresh.state.order < member.state.order
        member.state.offer(make_configuration(4), fresh.state.order)
        assert member.state.version == 5
        configuration = member.state.configuration
        assert configuration is not None
        assert fresh.state.offer(configuration, member.state.order)

    def test_same_configuration_is_promoted_by_its_digest(
        self, member: Member
    ) -> None:
        # Guards against pulls of a configuration that a member has.
        fresh = Member()
        fresh.read(make_configuration(5), era=1)
        assert fresh.state.order == EraRevision(0, 5)
        fresh.state.promote(member.state.order, b"other")
        assert fresh.state.order == EraRevision(0, 5)
        fresh.state.promote(member.state.order, member.state.digest())
        assert fresh.state.order == EraRevision(1, 5)

    def test_evidence_that_is_learned_later_counts(
        self, member: Member
    ) -> None:
        # Guards against a new process that goes back to its peers' earlier
        # configuration, because it first read the era after the write.
        fresh = Member()
        fresh.read(make_configuration(6), era=1, revision=80, written=70)
        assert fresh.state.order < member.state.order
        fresh.eras.learn_first_revision(COPY_REVISION)
        fresh.state.reconsider()
        assert fresh.state.order > member.state.order
        assert member.state.rank(
            EraRevision(0, 6), fresh.state.written
        ) == EraRevision(1, 6)
