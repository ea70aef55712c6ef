"""The probability that an upstream is failing."""

import pytest

from hawthornmast.health.belief import Belief
from hawthornmast.health.belief import FailureModel

MODEL = FailureModel(
    onset_per_s=0.03,
    end_per_s=0.07,
    failing_share=0.75,
    sound_share=0.01,
)


class TestBelief:
    """One failure counts at once; time and successes clear an upstream."""

    def test_starts_at_the_mean(self) -> None:
        assert Belief(0.0, model=MODEL).at(0.0) == pytest.approx(0.3)

    def test_first_failure_after_successes_counts_at_once(self) -> None:
        belief = Belief(0.0, model=MODEL)
        for step in range(20):
            belief.note(step * 0.2, failed=False)
        assert belief.at(4.0) < 0.05
        belief.note(4.2, failed=True)
        assert belief.at(4.2) > 0.3

    def test_two_failures_leave_little_doubt(self) -> None:
        belief = Belief(0.0, model=MODEL)
        belief.note(0.0, failed=True)
        belief.note(0.1, failed=True)
        assert belief.at(0.1) > 0.99

    def test_one_success_does_not_clear_a_failing_upstream(self) -> None:
        belief = Belief(0.0, model=MODEL)
        for step in range(3):
            belief.note(step * 0.1, failed=True)
        belief.note(0.4, failed=False)
        assert belief.at(0.4) > 0.5

    def test_drifts_to_the_mean_without_evidence(self) -> None:
        belief = Belief(0.0, model=MODEL)
        belief.note(0.0, failed=True)
        after = [belief.at(time) for time in (1.0, 5.0, 20.0, 1000.0)]
        assert after == sorted(after, reverse=True)
        assert after[-1] == pytest.approx(MODEL.mean)

    def test_a_clock_that_stands_still_changes_nothing(self) -> None:
        belief = Belief(5.0, model=MODEL)
        belief.note(5.0, failed=True)
        assert belief.at(4.0) == belief.at(5.0)
