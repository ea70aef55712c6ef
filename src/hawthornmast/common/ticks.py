"""Points in time at which the periodic tasks of a process wake together.

A wakeup of the event loop costs several times what a short task does in it,
and so does a timeout of trio, which is a cancellation. Tasks that sleep until
common points in time share both. The points of different processes differ,
since the clock of each starts at a random time.
"""

import math

import trio

_TOLERANCE = 0.001
"""Part of an interval by which a task may be ahead of a tick, as by rounding,
and still sleep until the one after it."""

_ROUNDING_S = 1e-6
"""Time by which the multiples of different intervals may differ and still be
the same tick."""


class _Ticker:
    """Wakes the tasks of one event loop at their ticks."""

    def __init__(self) -> None:
        self._ticks: dict[float, trio.Event] = {}
        self._scope = trio.CancelScope()

    async def wait(self, at: float) -> None:
        """Wait until a time."""
        event = self._ticks.get(at)
        if event is None:
            event = self._ticks[at] = trio.Event()
            self._scope.deadline = min(self._scope.deadline, at)
        await event.wait()

    async def run(self) -> None:
        """Wake the tasks until cancelled."""
        while True:
            self._scope = trio.CancelScope(
                deadline=min(self._ticks, default=math.inf)
            )
            with self._scope:
                await trio.sleep_forever()
            now = trio.current_time() + _ROUNDING_S
            for at in [at for at in self._ticks if at <= now]:
                self._ticks.pop(at).set()


_TICKER: trio.lowlevel.RunVar[_Ticker] = trio.lowlevel.RunVar("ticker")


def next_tick_at(now: float, interval_s: float) -> float:
    """Return the first multiple of an interval after a time."""
    return (math.floor(now / interval_s + _TOLERANCE) + 1) * interval_s


async def sleep_until_tick(interval_s: float) -> None:
    """Sleep until the next multiple of an interval on trio's clock."""
    try:
        ticker = _TICKER.get()
    except LookupError:
        ticker = _Ticker()
        _TICKER.set(ticker)
        trio.lowlevel.spawn_system_task(ticker.run)
    await ticker.wait(next_tick_at(trio.current_time(), interval_s))
