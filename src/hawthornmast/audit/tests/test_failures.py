"""Tests that unexpected errors are logged and don't end the process."""

import pytest
import trio

from hawthornmast.audit import log_failures


class TestLogFailures:
    """An error ends one step and leaves one bounded line."""

    def test_error_is_logged_with_its_place(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        with log_failures("step-1"):
            raise OverflowError("x" * 10_000)
        (record,) = caplog.records
        line = record.getMessage()
        assert line.startswith("event=task-failed step=step-1")
        assert "OverflowError" in line
        assert "test_failures:" in line
        assert len(line) < 500

    async def test_cancellation_passes(self) -> None:
        with trio.CancelScope() as scope:
            scope.cancel()
            with log_failures("step-1"):
                await trio.sleep_forever()
        assert scope.cancelled_caught

    def test_interrupt_passes(self) -> None:
        with pytest.raises(KeyboardInterrupt):
            with log_failures("step-1"):
                raise KeyboardInterrupt
