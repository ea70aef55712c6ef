"""Benchmarks the distribution of changes in a simulated fleet.

Run ``python -m benchmarks.configuration [--seed N] [--zone]``. For each fleet
size it prints the time until a change is in force on all daemons, the messages
and bytes per daemon and change, and the platform calls per second. Links have
a delay of 1 ms, and a change of 2 kB is published every 5 s.
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

SERVICE_KEY = "catalogue/services/billing"
AIM_DAEMONS = 44
"""Entry instances of the largest deployment (docs/design.md, section 1.3)."""

AIM_IN_FORCE_S = 1.0
TARGET_DAEMONS = 7200
TARGET_IN_FORCE_S = 10.0
TARGET_CALLS_PER_S = 200.0
"""10% of the platform's limit of 2,000 calls per second."""

CHANGES_PER_RUN = 20
INDEX_KEYS = 10_000
SIZES = (8, 16, 32, AIM_DAEMONS, 64, 128)


async def _measure_size(
    count: int, zones: int, seed: int, changes: int
) -> dict[str, Any]:
    async with trio.open_nursery() as nursery:
        fleet = simulation.SimulatedFleet(
            nursery, count=count, zones=zones, seed=seed
        )
        fleet.platform.put(SERVICE_KEY, "first")
        await fleet.start()
        await trio.sleep(5)
        started = trio.current_time()
        calls = sum(fleet.platform.calls.values())
        fleet.sent_messages = fleet.sent_bytes = 0
        times = []
        change_messages = change_bytes = 0
        for number in range(changes):
            before = trio.current_time()
            sent, size = fleet.sent_messages, fleet.sent_bytes
            revision = fleet.platform.put(SERVICE_KEY, f"{number:02000d}")
            while fleet.lowest_revision(SERVICE_KEY) < revision:
                await trio.sleep(0.001)
            times.append(trio.current_time() - before)
            await trio.sleep(0.05)
            change_messages += fleet.sent_messages - sent
            change_bytes += fleet.sent_bytes - size
            await trio.sleep(5)
        elapsed_s = trio.current_time() - started
        rate = (sum(fleet.platform.calls.values()) - calls) / elapsed_s
        deliveries = count * changes
        nursery.cancel_scope.cancel()
    in_force_s = round(max(times), 4)
    return {
        "row": f"configuration {count} daemons",
        "daemons": count,
        "zones": zones,
        "seed": seed,
        "changes": changes,
        "in_force_s": in_force_s,
        "messages_per_change": round(change_messages / deliveries, 2),
        "bytes_per_change": round(change_bytes / deliveries),
        "bytes_per_s": round(fleet.sent_bytes / count / elapsed_s),
        "calls_per_s": round(rate, 3),
        "checks": [
            check(
                "seconds until in effect on all",
                in_force_s,
                at_most=AIM_IN_FORCE_S if count == AIM_DAEMONS else None,
            ),
            check("platform calls/s", round(rate, 3)),
        ],
    }


def run_fleet_size(
    count: int,
    *,
    zones: int = 3,
    seed: int = 1,
    changes: int = CHANGES_PER_RUN,
) -> dict[str, Any]:
    """Simulate a fleet of one size and return its row."""
    simulation.seed_scheduler(seed)
    return trio.run(
        _measure_size,
        count,
        zones,
        seed,
        changes,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


def extrapolate(rows: list[dict[str, Any]], key: str) -> float:
    """Extrapolate a figure to the target size by linear regression."""
    sizes = [float(row["daemons"]) for row in rows]
    values = [float(row[key]) for row in rows]
    line = statistics.linear_regression(sizes, values)
    return line.intercept + line.slope * TARGET_DAEMONS


def make_extrapolation_row(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the row of the figures extrapolated to the target size."""
    seconds = round(extrapolate(rows, "in_force_s"), 3)
    calls = round(extrapolate(rows, "calls_per_s"), 3)
    return {
        "row": f"configuration slope to {TARGET_DAEMONS} daemons",
        "checks": [
            check(
                "seconds until in effect", seconds, at_most=TARGET_IN_FORCE_S
            ),
            check("platform calls/s", calls, at_most=TARGET_CALLS_PER_S),
        ],
    }


def measure_memory() -> dict[str, Any]:
    """Return the row of the memory used by an index of ``INDEX_KEYS`` keys."""
    tracemalloc.start()
    store = ConfigurationStore(
        validate=simulation.validate_document,
        on_accepted=lambda key, revision, text: None,
        audit=AuditTrail(capacity=100, clock=time.monotonic),
    )
    for number in range(INDEX_KEYS):
        digest = number.to_bytes(16, "big")
        store.record_entry(
            f"catalogue/services/service-{number}", number + 1, digest
        )
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    megabytes = round(size / 1e6, 2)
    return {
        "row": f"configuration index of {INDEX_KEYS} keys",
        "checks": [check("MB", megabytes)],
    }


def main() -> int:
    """Print a row per fleet size; return 1 when an aim is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--zone", action="store_true", help="run only one zone of 450 daemons"
    )
    parser.add_argument(
        "--quick",
        action="store_true",
        help="run only the fleet size that the aim applies to",
    )
    options = parser.parse_args()
    rows = [measure_memory()]
    if options.quick:
        rows.append(run_fleet_size(AIM_DAEMONS, seed=options.seed, changes=3))
    elif options.zone:
        rows.append(run_fleet_size(450, zones=1, seed=options.seed, changes=3))
    else:
        sizes = [run_fleet_size(count, seed=options.seed) for count in SIZES]
        rows += [*sizes, make_extrapolation_row(sizes)]
    for row in rows:
        print(json.dumps(row), flush=True)
    return 1 if any(is_missed(row) for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
