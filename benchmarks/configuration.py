"""Distribution of one change in a simulated fleet.

Prints for each size the time until a change is in force on all daemons, the
messages and bytes per daemon and change, and the platform's calls per second.
Links take 1 ms, and one change of 2 kB is published each 5 s. Run it as
``python -m benchmarks.configuration [--seed N] [--zone]``.
"""

import argparse
import json
import statistics
import sys
import time
import tracemalloc
from typing import Any

import trio
import trio.testing

from benchmarks.rows import check
from benchmarks.rows import is_missed
from hawthornmast.audit import AuditTrail
from hawthornmast.configuration import ConfigurationStore
from standins import fleet as simulation

KEY = "catalogue/services/billing"
AIM_DAEMONS = 44
AIM_SECONDS = 1.0
TARGET_DAEMONS = 7200
TARGET_SECONDS = 10.0
TARGET_CALLS = 200.0
"""A tenth of the platform's 2,000 calls per second."""

CHANGES = 20
KEYS = 10_000
SIZES = (8, 16, 32, AIM_DAEMONS, 64, 128)


async def _measure(
    count: int, zones: int, seed: int, changes: int
) -> dict[str, Any]:
    async with trio.open_nursery() as nursery:
        fleet = simulation.SimulatedFleet(
            nursery, count=count, zones=zones, seed=seed
        )
        fleet.platform.put(KEY, "first")
        await fleet.start()
        await trio.sleep(5)
        started = trio.current_time()
        calls = sum(fleet.platform.calls.values())
        fleet.sent_messages = fleet.sent_bytes = 0
        times = []
        idle_messages = idle_bytes = 0
        for number in range(changes):
            before = trio.current_time()
            sent, size = fleet.sent_messages, fleet.sent_bytes
            revision = fleet.platform.put(KEY, f"{number:02000d}")
            while fleet.lowest_revision(KEY) < revision:
                await trio.sleep(0.001)
            times.append(trio.current_time() - before)
            await trio.sleep(0.05)
            idle_messages += fleet.sent_messages - sent
            idle_bytes += fleet.sent_bytes - size
            await trio.sleep(5)
        passed = trio.current_time() - started
        rate = (sum(fleet.platform.calls.values()) - calls) / passed
        share = count * changes
        nursery.cancel_scope.cancel()
    in_force_s = round(max(times), 4)
    return {
        "row": f"configuration {count} daemons",
        "daemons": count,
        "zones": zones,
        "seed": seed,
        "changes": changes,
        "in_force_s": in_force_s,
        "messages_per_change": round(idle_messages / share, 2),
        "bytes_per_change": round(idle_bytes / share),
        "bytes_per_s": round(fleet.sent_bytes / count / passed),
        "calls_per_s": round(rate, 3),
        "checks": [
            check(
                "seconds until in effect on all",
                in_force_s,
                at_most=AIM_SECONDS if count == AIM_DAEMONS else None,
            ),
            check("platform calls/s", round(rate, 3)),
        ],
    }


def run_size(
    count: int, *, zones: int = 3, seed: int = 1, changes: int = CHANGES
) -> dict[str, Any]:
    """Return the row of one size."""
    simulation.seed_scheduler(seed)
    return trio.run(
        _measure,
        count,
        zones,
        seed,
        changes,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


def extrapolate(rows: list[dict[str, Any]], key: str) -> float:
    """Return the value at the target size by the line of least squares."""
    sizes = [float(row["daemons"]) for row in rows]
    values = [float(row[key]) for row in rows]
    line = statistics.linear_regression(sizes, values)
    return line.intercept + line.slope * TARGET_DAEMONS


def describe_slope(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the row of the slopes up to the target size."""
    seconds = round(extrapolate(rows, "in_force_s"), 3)
    calls = round(extrapolate(rows, "calls_per_s"), 3)
    return {
        "row": f"configuration slope to {TARGET_DAEMONS} daemons",
        "checks": [
            check("seconds until in effect", seconds, at_most=TARGET_SECONDS),
            check("platform calls/s", calls, at_most=TARGET_CALLS),
        ],
    }


def measure_memory() -> dict[str, Any]:
    """Return the memory of an index of 10,000 keys."""
    tracemalloc.start()
    store = ConfigurationStore(
        validate=simulation.validate_document,
        on_accepted=lambda key, revision, text: None,
        audit=AuditTrail(capacity=100, clock=time.monotonic),
    )
    for number in range(KEYS):
        digest = number.to_bytes(16, "big")
        store.record_entry(
            f"catalogue/services/service-{number}", number + 1, digest
        )
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    megabytes = round(size / 1e6, 2)
    return {
        "row": f"configuration index of {KEYS} keys",
        "checks": [check("MB", megabytes)],
    }


def main() -> int:
    """Print a row for each size; return 1 when an aim is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--zone", action="store_true", help="one zone of 450 daemons only"
    )
    parser.add_argument(
        "--quick", action="store_true", help="only the size of the aim"
    )
    options = parser.parse_args()
    rows = [measure_memory()]
    if options.quick:
        rows.append(run_size(AIM_DAEMONS, seed=options.seed, changes=3))
    elif options.zone:
        rows.append(run_size(450, zones=1, seed=options.seed, changes=3))
    else:
        sizes = [run_size(count, seed=options.seed) for count in SIZES]
        rows += [*sizes, describe_slope(sizes)]
    for row in rows:
        print(json.dumps(row), flush=True)
    return 1 if any(is_missed(row) for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
