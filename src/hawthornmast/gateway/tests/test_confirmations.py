"""Tests of the times of confirmations."""

import attrs

from hawthornmast.gateway.confirmations import ConfirmationTracker
from hawthornmast.gateway.confirmations import MAX_READERS
from hawthornmast.gateway.confirmations import NEVER
from hawthornmast.gateway.confirmations import ReadId


@attrs.define
class FakeClock:
    now: float = 100.0

    def __call__(self) -> float:
        return self.now


def make_tracker() -> ConfirmationTracker:
    return ConfirmationTracker(b"own", clock=FakeClock())


class TestConfirmationTracker:
    def test_latest_read_counts(self) -> None:
        tracker = make_tracker()
        assert tracker.confirmed_at == NEVER
        tracker.record_read(90.0)
        assert (tracker.read_id, tracker.age_s()) == (ReadId(b"own", 1), 10.0)
        tracker.learn(ReadId(b"a", 7), 95.0)
        tracker.learn(ReadId(b"b", 3), 93.0)
        assert (tracker.read_id, tracker.age_s()) == (ReadId(b"a", 7), 5.0)

    def test_age_of_a_read_is_the_largest_stated(self) -> None:
        # Guards against a read that seems younger, since what states its age
        # waited in a socket, or comes from a member whose clock stood still.
        tracker = make_tracker()
        tracker.learn(ReadId(b"a", 7), 95.0)
        tracker.learn(ReadId(b"a", 7), 99.0)
        assert tracker.confirmed_at == 95.0
        tracker.learn(ReadId(b"a", 7), 92.0)
        assert tracker.confirmed_at == 92.0

    def test_own_read_is_corrected_by_others(self) -> None:
        # The clock of this member stood still after its read.
        tracker = make_tracker()
        tracker.record_read(95.0)
        tracker.learn(ReadId(b"own", 1), 92.0)
        assert tracker.confirmed_at == 92.0

    def test_earlier_read_of_a_reader_is_ignored(self) -> None:
        tracker = make_tracker()
        tracker.learn(ReadId(b"a", 7), 95.0)
        tracker.learn(ReadId(b"a", 6), 99.0)
        assert tracker.confirmed_at == 95.0

    def test_read_without_identifier(self) -> None:
        tracker = make_tracker()
        tracker.learn(None, 95.0)
        tracker.learn(None, 93.0)
        assert (tracker.read_id, tracker.confirmed_at) == (None, 95.0)

    def test_number_of_readers_is_bounded(self) -> None:
        tracker = make_tracker()
        for number in range(3 * MAX_READERS):
            tracker.learn(ReadId(b"%d" % number, 1), float(number))
        assert len(tracker._last_reads) == MAX_READERS
        assert tracker.confirmed_at == 3 * MAX_READERS - 1
