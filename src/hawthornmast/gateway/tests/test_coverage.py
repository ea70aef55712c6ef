"""Tests of the log of services below their floor."""

import logging

import pytest

from hawthornmast.gateway.coverage import CHECK_INTERVAL_S
from hawthornmast.gateway.coverage import CoverageLog
from hawthornmast.gateway.coverage import REPEAT_INTERVAL_S
from hawthornmast.limits import Coverage
from standins.clock import ManualClock

LOW = Coverage(healthy=11, receiving=6, avoided=2, failed=3, finished=90)
ENOUGH = Coverage(healthy=11, receiving=8, avoided=1, failed=0, finished=80)


class CoverageHarness:
    """A coverage log whose lines are collected."""

    def __init__(self, caplog: pytest.LogCaptureFixture) -> None:
        caplog.set_level(logging.INFO)
        self.clock = ManualClock()
        self._caplog = caplog
        self._log = CoverageLog("boxes", floor_share=0.7, clock=self.clock)

    def update(self, coverage: Coverage) -> list[str]:
        """Return the lines that the next measurement logs."""
        self._caplog.clear()
        self.clock.now += CHECK_INTERVAL_S
        self._log.tick(lambda: coverage)
        return [record.getMessage() for record in self._caplog.records]


class TestCoverageLog:
    """Lines tell when a service is below its floor, and why."""

    def test_line_has_the_counts(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against a floor that was broken without any trace in a log.
        lines = CoverageHarness(caplog).update(LOW)
        assert lines == [
            "event=coverage-low service=boxes healthy=11 receiving=6"
            " avoided=2 failed=3 finished=90 floor=0.7"
        ]

    def test_lines_are_bounded(self, caplog: pytest.LogCaptureFixture) -> None:
        # Guards against a line with each tick while the coverage is low.
        harness = CoverageHarness(caplog)
        assert harness.update(LOW)
        assert not harness.update(LOW)
        harness.clock.now += REPEAT_INTERVAL_S
        assert harness.update(LOW)

    def test_recovery_is_logged_once(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        harness = CoverageHarness(caplog)
        assert not harness.update(ENOUGH)
        harness.update(LOW)
        (line,) = harness.update(ENOUGH)
        assert line.startswith("event=coverage-regained")
        assert not harness.update(ENOUGH)

    def test_service_without_requests_is_not_low(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        idle = Coverage(healthy=11)
        assert not CoverageHarness(caplog).update(idle)
