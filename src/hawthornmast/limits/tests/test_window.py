"""Tests of the retry budget over a sliding window."""

import pytest

from hawthornmast.limits import FleetRetryBudget
from standins.clock import ManualClock


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock at 100 s."""
    return ManualClock()


class TestFleetRetryBudget:
    """No window contains more retries than its requests and slack allow."""

    def make(
        self, clock: ManualClock, *, slack: float = 2.0
    ) -> FleetRetryBudget:
        return FleetRetryBudget(
            ratio=0.2, slack=slack, window_s=10.0, clock=clock
        )

    def test_slack_alone(self, clock: ManualClock) -> None:
        budget = self.make(clock)
        assert [budget.take() for _ in range(3)] == [True, True, False]

    def test_requests_add_their_ratio(self, clock: ManualClock) -> None:
        budget = self.make(clock, slack=0.0)
        for _ in range(100):
            budget.count_request()
        taken = sum(budget.take() for _ in range(100))
        assert 10 <= taken <= 20

    def test_any_window_keeps_the_bound(self, clock: ManualClock) -> None:
        budget = self.make(clock)
        requests: list[float] = []
        retries: list[float] = []
        for step in range(2000):
            clock.now += 0.05
            # Requests arrive in bursts; a retry is attempted at every step.
            if step // 100 % 2 == 0:
                budget.count_request()
                requests.append(clock.now)
            if budget.take():
                retries.append(clock.now)
        for end in retries:
            spent = sum(end - 10.0 < at <= end for at in retries)
            counted = sum(end - 20.0 < at <= end for at in requests)
            assert spent <= 0.2 * counted + 2.0

    def test_remaining_fraction_of_an_empty_budget(
        self, clock: ManualClock
    ) -> None:
        assert self.make(clock, slack=0.0).remaining_fraction() == 0.0

    @pytest.mark.parametrize(
        "changes",
        [{"ratio": -0.1}, {"slack": -1.0}, {"window_s": 0.0}],
    )
    def test_rejects_invalid_limits(
        self, clock: ManualClock, changes: dict[str, float]
    ) -> None:
        values = {"ratio": 0.2, "slack": 1.0, "window_s": 10.0, **changes}
        with pytest.raises(ValueError, match="must be"):
            FleetRetryBudget(clock=clock, **values)
