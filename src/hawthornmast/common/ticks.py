"""Points in time at which the periodic tasks of a process wake together.

A wakeup of the event loop costs several times what a short task does in it.
Tasks that sleep until common points in time share the wakeups. The points of
different processes differ, since the clock of each starts at a random time.
"""

import math

import trio

_TOLERANCE = 0.1
"""Part of an interval by which a task may be ahead of a tick, as by rounding,
and still sleep until the one after it."""


def next_tick_at(now: float, interval_s: float) -> float:
    """Return the first multiple of an interval after a time."""
    return (math.floor(now / interval_s + _TOLERANCE) + 1) * interval_s


async def sleep_until_tick(interval_s: float) -> None:
    """Sleep until the next multiple of an interval on trio's clock."""
    await trio.sleep_until(next_tick_at(trio.current_time(), interval_s))
