"""Tests of the common wakeups of periodic tasks."""

import pytest
import trio
import trio.testing

from hawthornmast.common.ticks import next_tick_at
from hawthornmast.common.ticks import sleep_until_tick


class TestNextTick:
    @pytest.mark.parametrize("interval_s", [0.03, 0.05, 0.1, 0.2, 1.0])
    def test_each_tick_follows_the_one_before(self, interval_s: float) -> None:
        # Guards against ticks that rounding doubles or leaves out.
        now = 512_345.6789
        for _ in range(2000):
            at = next_tick_at(now, interval_s)
            assert 0 < at - now <= 1.01 * interval_s
            now = at
        assert now - 512_345.6789 == pytest.approx(
            2000 * interval_s, abs=interval_s
        )


class TestSleepUntilTick:
    async def test_tasks_wake_at_common_times(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        # Guards against a wakeup for each task, which costs more than most
        # tasks do in it.
        times: set[float] = set()

        async def run(interval_s: float, offset_s: float) -> None:
            await trio.sleep(offset_s)
            while True:
                await sleep_until_tick(interval_s)
                times.add(round(trio.current_time(), 6))

        with trio.move_on_after(10.01):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run, 0.1, 0.0)
                nursery.start_soon(run, 0.1, 0.033)
                nursery.start_soon(run, 0.2, 0.017)
                nursery.start_soon(run, 1.0, 0.5)
        assert len(times) == 100

    async def test_earlier_tick_wakes_first(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        # Guards against a task that waits for the later tick of another.
        woken: list[float] = []

        async def wait(interval_s: float) -> None:
            await sleep_until_tick(interval_s)
            woken.append(interval_s)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait, 1.0)
            await trio.sleep(0.01)
            nursery.start_soon(wait, 0.05)
        assert woken == [0.05, 1.0]
        assert trio.current_time() == pytest.approx(1.0)

    async def test_cancelled_task_leaves_others_waiting(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        # Guards against a cancelled sleep that takes the tick of others.
        async def cancelled() -> None:
            with trio.move_on_after(0.02):
                await sleep_until_tick(0.1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancelled)
            await sleep_until_tick(0.1)
        assert trio.current_time() == pytest.approx(0.1)
