"""Tests of the process of a daemon."""

import signal

import pytest
import trio

from hawthornmast.daemon import process


class _SlowDaemon:
    def __init__(self):
        self.steps = []

    async def drain(self):
        await trio.sleep(0.2)
        self.steps.append("drain")

    async def close(self):
        self.steps.append("close")


class TestStopOnSignal:
    @pytest.mark.parametrize("second", [signal.SIGTERM, signal.SIGINT])
    async def test_second_signal_is_ignored(self, second):
        # Guards against a graceful shutdown that exits with the status of a
        # killed process: a supervisor that signals twice would count it as a
        # failure.
        leaked = []
        previous = {
            number: signal.signal(number, lambda n, _: leaked.append(n))
            for number in (signal.SIGTERM, signal.SIGINT)
        }
        daemon = _SlowDaemon()
        try:
            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        process._stop_on_signal, daemon, nursery.cancel_scope
                    )
                    await trio.sleep(0.05)
                    signal.raise_signal(signal.SIGTERM)
                    await trio.sleep(0.05)
                    signal.raise_signal(second)
        finally:
            for number, handler in previous.items():
                signal.signal(number, handler)
        assert daemon.steps == ["drain", "close"]
        assert leaked == []
