"""Tests of the counts behind the coverage of a service."""

from hawthornmast.limits.coverage import COVERAGE_BURST
from hawthornmast.limits.coverage import CoverageAllowance
from hawthornmast.limits.coverage import MAX_COVERAGE_FRACTION
from hawthornmast.limits.coverage import OutcomeWindow
from hawthornmast.limits.coverage import RECOVERY_S
from standins.clock import ManualClock


class TestOutcomeWindow:
    """Only outcomes within the window are kept."""

    def test_expired_outcomes_are_not_counted(self) -> None:
        clock = ManualClock()
        window = OutcomeWindow(clock)
        window.record(succeeded=False)
        window.record(succeeded=True)
        assert window.count() == (1, 2)
        clock.now += RECOVERY_S + 0.1
        assert window.count() == (0, 0)

    def test_outcomes_that_nobody_counts_expire(self) -> None:
        # Guards against memory that grows in members that aren't advertised:
        # they record outcomes and never counted them.
        clock = ManualClock()
        window = OutcomeWindow(clock)
        for _ in range(100):
            window.record(succeeded=True)
            clock.now += 0.5 * RECOVERY_S
        assert len(window._outcomes) <= 3


class TestCoverageAllowance:
    """Requests that cover upstreams are bounded by the other ones."""

    def test_burst_and_fraction(self) -> None:
        allowance = CoverageAllowance()
        spent = 0
        for _ in range(200):
            allowance.count_request()
            if allowance.is_available():
                allowance.spend()
                spent += 1
        assert spent <= COVERAGE_BURST + MAX_COVERAGE_FRACTION * 200
        assert spent >= MAX_COVERAGE_FRACTION * 200
