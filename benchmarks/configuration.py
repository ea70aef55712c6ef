"""Distribution of one change in a simulated fleet.

Prints for each size the time until a change is in force on all daemons, the
messages and bytes per daemon and change, and the platform's calls per second.
Run it as ``python -m benchmarks.configuration [--seed N] [--zone]``.
"""

import argparse
import time
import tracemalloc

import trio
import trio.testing

from hawthornmast.audit import AuditTrail
from hawthornmast.configuration import ConfigurationStore
from standins import fleet as simulation

KEY = "catalogue/services/billing"
CHANGES = 20
KEYS = 10_000


async def _measure(count: int, zones: int, seed: int, changes: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = simulation.SimulatedFleet(
            nursery, count=count, zones=zones, seed=seed
        )
        fleet.platform.put(KEY, "first")
        await fleet.start()
        await trio.sleep(5)
        started = trio.current_time()
        calls = sum(fleet.platform.calls.values())
        fleet.messages = fleet.bytes = 0
        times = []
        idle_messages = idle_bytes = 0
        for number in range(changes):
            before = trio.current_time()
            sent, size = fleet.messages, fleet.bytes
            revision = fleet.platform.put(KEY, f"{number:02000d}")
            while fleet.lowest_revision(KEY) < revision:
                await trio.sleep(0.001)
            times.append(trio.current_time() - before)
            await trio.sleep(0.05)
            idle_messages += fleet.messages - sent
            idle_bytes += fleet.bytes - size
            await trio.sleep(5)
        passed = trio.current_time() - started
        rate = (sum(fleet.platform.calls.values()) - calls) / passed
        share = count * changes
        print(
            f"{count:7d} {max(times) * 1000:10.1f} "
            f"{idle_messages / share:12.1f} {idle_bytes / share:12.0f} "
            f"{fleet.bytes / count / passed:10.0f} {rate:9.2f}",
            flush=True,
        )
        nursery.cancel_scope.cancel()


def measure_memory() -> None:
    """Print the memory of an index of 10,000 keys."""
    tracemalloc.start()
    store = ConfigurationStore(
        validate=simulation.validate,
        on_accepted=lambda key, revision, text: None,
        audit=AuditTrail(capacity=100, clock=time.monotonic),
    )
    for number in range(KEYS):
        digest = number.to_bytes(16, "big")
        store.note(f"catalogue/services/service-{number}", number + 1, digest)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"index of {KEYS} keys: {size / 1e6:.2f} MB")


def main() -> None:
    """Run all sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--zone", action="store_true", help="one zone of 450 daemons only"
    )
    options = parser.parse_args()
    sizes = [(n, 3, CHANGES) for n in (8, 16, 32, 64, 128)]
    if options.zone:
        sizes = [(450, 1, 3)]
    print(f"seed {options.seed}; links of 1 ms; one change of 2 kB each 5 s")
    measure_memory()
    print(
        "daemons  in force ms  messages/change  bytes/change  "
        "bytes/s  calls/s   (per daemon, calls of the platform)"
    )
    for count, zones, changes in sizes:
        simulation.seed_scheduler(options.seed)
        trio.run(
            _measure,
            count,
            zones,
            options.seed,
            changes,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )


if __name__ == "__main__":
    main()
