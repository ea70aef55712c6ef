"""Tests of the failure probability of an upstream."""

import pytest

from hawthornmast.health.belief import Belief
from hawthornmast.health.belief import FailureModel
from hawthornmast.health.belief import Observation

MODEL = FailureModel(
    onset_per_s=0.03,
    recovery_per_s=0.07,
    failing_early_probability=0.75,
    healthy_early_probability=0.01,
    failing_late_probability=0.06,
    healthy_late_probability=0.012,
)


class TestBelief:
    """A failure takes effect immediately; time and successes clear it."""

    def test_starts_at_the_stationary_probability(self) -> None:
        assert Belief(0.0, model=MODEL).probability_at(0.0) == pytest.approx(
            0.3
        )

    def test_first_failure_after_successes_takes_effect_immediately(
        self,
    ) -> None:
        belief = Belief(0.0, model=MODEL)
        for step in range(20):
            belief.observe(
                step * 0.2, Observation.SUCCEEDED, sent_at=step * 0.2
            )
        assert belief.probability_at(4.0) < 0.05
        belief.observe(4.2, Observation.FAILED, sent_at=4.2)
        assert belief.probability_at(4.2) > 0.3

    def test_two_failures_give_a_high_probability(self) -> None:
        belief = Belief(0.0, model=MODEL)
        belief.observe(0.0, Observation.FAILED, sent_at=0.0)
        belief.observe(0.1, Observation.FAILED, sent_at=0.1)
        assert belief.probability_at(0.1) > 0.99

    def test_one_success_does_not_clear_a_failing_upstream(self) -> None:
        belief = Belief(0.0, model=MODEL)
        for step in range(3):
            belief.observe(step * 0.1, Observation.FAILED, sent_at=step * 0.1)
        belief.observe(0.4, Observation.SUCCEEDED, sent_at=0.4)
        assert belief.probability_at(0.4) > 0.5

    def test_decays_to_the_stationary_probability(self) -> None:
        belief = Belief(0.0, model=MODEL)
        belief.observe(0.0, Observation.FAILED, sent_at=0.0)
        after = [
            belief.probability_at(time) for time in (1.0, 5.0, 20.0, 1000.0)
        ]
        assert after == sorted(after, reverse=True)
        assert after[-1] == pytest.approx(MODEL.stationary_probability)

    def test_clock_that_does_not_advance_changes_nothing(self) -> None:
        belief = Belief(5.0, model=MODEL)
        belief.observe(5.0, Observation.FAILED, sent_at=5.0)
        assert belief.probability_at(4.0) == belief.probability_at(5.0)

    def test_late_failures_count_less(self) -> None:
        # Invalid requests fail after the usual response time, on healthy
        # upstreams too.
        sooner, later = (Belief(0.0, model=MODEL) for _ in range(2))
        for belief in (sooner, later):
            for step in range(20):
                belief.observe(
                    step * 0.1, Observation.SUCCEEDED, sent_at=step * 0.1
                )
        sooner.observe(2.0, Observation.FAILED, sent_at=2.0)
        later.observe(2.0, Observation.FAILED_LATE, sent_at=2.0)
        assert later.probability_at(2.0) < 0.2 < sooner.probability_at(2.0)

    def test_success_sent_before_a_failure_is_ignored(self) -> None:
        # Guards against clearing an upstream by requests that were in flight
        # when it began to fail and then succeeded.
        belief = Belief(0.0, model=MODEL)
        belief.observe(1.0, Observation.FAILED, sent_at=0.99)
        before = belief.probability_at(1.2)
        for _ in range(4):
            belief.observe(1.2, Observation.SUCCEEDED, sent_at=0.9)
        assert belief.probability_at(1.2) == before
        belief.observe(1.2, Observation.SUCCEEDED, sent_at=1.1)
        assert belief.probability_at(1.2) < before
