"""The probability that an upstream is failing."""

import pytest

from hawthornmast.health.belief import Belief
from hawthornmast.health.belief import FailureModel
from hawthornmast.health.belief import Sign

MODEL = FailureModel(
    onset_per_s=0.03,
    end_per_s=0.07,
    failing_share=0.75,
    sound_share=0.01,
    failing_late_share=0.06,
    sound_late_share=0.012,
)


class TestBelief:
    """One failure counts at once; time and successes clear an upstream."""

    def test_starts_at_the_mean(self) -> None:
        assert Belief(0.0, model=MODEL).at(0.0) == pytest.approx(0.3)

    def test_first_failure_after_successes_counts_at_once(self) -> None:
        belief = Belief(0.0, model=MODEL)
        for step in range(20):
            belief.note(step * 0.2, Sign.SUCCEEDED, sent_at=step * 0.2)
        assert belief.at(4.0) < 0.05
        belief.note(4.2, Sign.FAILED, sent_at=4.2)
        assert belief.at(4.2) > 0.3

    def test_two_failures_leave_little_doubt(self) -> None:
        belief = Belief(0.0, model=MODEL)
        belief.note(0.0, Sign.FAILED, sent_at=0.0)
        belief.note(0.1, Sign.FAILED, sent_at=0.1)
        assert belief.at(0.1) > 0.99

    def test_one_success_does_not_clear_a_failing_upstream(self) -> None:
        belief = Belief(0.0, model=MODEL)
        for step in range(3):
            belief.note(step * 0.1, Sign.FAILED, sent_at=step * 0.1)
        belief.note(0.4, Sign.SUCCEEDED, sent_at=0.4)
        assert belief.at(0.4) > 0.5

    def test_drifts_to_the_mean_without_evidence(self) -> None:
        belief = Belief(0.0, model=MODEL)
        belief.note(0.0, Sign.FAILED, sent_at=0.0)
        after = [belief.at(time) for time in (1.0, 5.0, 20.0, 1000.0)]
        assert after == sorted(after, reverse=True)
        assert after[-1] == pytest.approx(MODEL.mean)

    def test_a_clock_that_stands_still_changes_nothing(self) -> None:
        belief = Belief(5.0, model=MODEL)
        belief.note(5.0, Sign.FAILED, sent_at=5.0)
        assert belief.at(4.0) == belief.at(5.0)

    def test_late_failures_count_less(self) -> None:
        # Requests that are bad themselves fail after their whole work.
        sooner, later = (Belief(0.0, model=MODEL) for _ in range(2))
        for belief in (sooner, later):
            for step in range(20):
                belief.note(step * 0.1, Sign.SUCCEEDED, sent_at=step * 0.1)
        sooner.note(2.0, Sign.FAILED, sent_at=2.0)
        later.note(2.0, Sign.FAILED_LATE, sent_at=2.0)
        assert later.at(2.0) < 0.2 < sooner.at(2.0)

    def test_success_of_work_that_began_before_a_failure(self) -> None:
        # Work in flight at the onset ends well and says nothing of what
        # the upstream does since.
        belief = Belief(0.0, model=MODEL)
        belief.note(1.0, Sign.FAILED, sent_at=0.99)
        before = belief.at(1.2)
        for _ in range(4):
            belief.note(1.2, Sign.SUCCEEDED, sent_at=0.9)
        assert belief.at(1.2) == before
        belief.note(1.2, Sign.SUCCEEDED, sent_at=1.1)
        assert belief.at(1.2) < before
