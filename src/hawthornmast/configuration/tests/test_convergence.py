"""Randomized schedules of changes and failures.

Revisions must never decrease, and all daemons must converge.
"""

import random

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
import trio
import trio.testing

from hawthornmast.configuration.tests import test_distributor
from standins import fleet as simulation

KEYS = [f"catalogue/services/s{number}" for number in range(3)]
NAMES = [f"d{number}" for number in range(8)]
STEPS = strategies.one_of(
    strategies.tuples(strategies.just("put"), strategies.sampled_from(KEYS)),
    strategies.tuples(
        strategies.just("put-invalid"), strategies.sampled_from(KEYS)
    ),
    strategies.tuples(
        strategies.just("delete"), strategies.sampled_from(KEYS)
    ),
    strategies.tuples(
        strategies.just("cut"), strategies.sets(strategies.sampled_from(NAMES))
    ),
    strategies.tuples(strategies.just("heal"), strategies.none()),
    strategies.tuples(
        strategies.just("restart"), strategies.sampled_from(NAMES)
    ),
    strategies.tuples(strategies.just("down"), strategies.booleans()),
    strategies.tuples(strategies.just("stale"), strategies.booleans()),
    strategies.tuples(
        strategies.just("wait"), strategies.sampled_from([0.002, 0.5, 20.0])
    ),
)


class _Schedule:
    """Executes steps and tracks the expected final value of each key."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.expected = {}
        self.change_count = 0

    async def execute(self, step, value):
        platform = self.fleet.platform
        if step == "put":
            self.change_count += 1
            text = f"text {self.change_count}"
            self.expected[value] = (platform.put(value, text), text)
        elif step == "put-invalid":
            # The platform keeps only the latest value, so the valid one may
            # be lost before any daemon reads it.
            platform.put(value, "invalid")
            self.expected.pop(value, None)
        elif step == "delete":
            self.expected[value] = (platform.delete(value), None)
        elif step == "cut":
            rest = set(self.fleet.instance_ids) - value
            self.fleet.cut(value, rest)
            if self.rng.random() < 0.5:
                self.fleet.cut(rest, value)
        elif step == "heal":
            self.fleet.heal()
        elif step == "restart":
            await self.restart(value)
        elif step == "down":
            platform.set_down(value)
        elif step == "stale":
            platform.set_stale(value)
        else:
            await trio.sleep(value)

    async def restart(self, name):
        """Restart a daemon; if connected, it must not be behind its peers."""
        await self.fleet.stop(name)
        connected = not any(name in pair for pair in self.fleet.cuts)
        await trio.sleep(1)
        others = list(self.fleet.daemons.values())
        before = {
            key: min(daemon.store.revision_of(key) for daemon in others)
            for key in KEYS
        }
        daemon = simulation.SimulatedDaemon(self.fleet, name)
        self.fleet.daemons[name] = daemon
        daemon.distributor.set_neighbours(
            [other.instance_id for other in others[:4]], reader=False
        )
        await daemon.distributor.start(self.fleet.nursery)
        with trio.move_on_after(20):
            await daemon.distributor.ready()
        if connected and daemon.distributor.is_ready:
            for key, revision in before.items():
                assert daemon.store.revision_of(key) >= revision

    async def check_converged(self):
        self.fleet.heal()
        self.fleet.platform.set_stale(False)
        self.fleet.platform.set_down(False)
        await trio.sleep(60)
        for key in KEYS:
            found = {
                (daemon.store.revision_of(key), daemon.document_text(key))
                for daemon in self.fleet.daemons.values()
            }
            assert len(found) == 1
            if key in self.expected:
                assert found == {self.expected[key]}


class TestConvergence:
    @seed(20261204)
    @settings(max_examples=60, deadline=None, database=None)
    @given(
        steps=strategies.lists(STEPS, min_size=3, max_size=25),
        random_seed=strategies.integers(0, 2**16),
    )
    def test_schedules(self, steps, random_seed):
        # Guards against sequences of failures that restore an older revision
        # or leave daemons permanently different.
        async def scenario(fleet):
            await fleet.start()
            schedule = _Schedule(fleet, random.Random(random_seed))
            for step, value in steps:
                await schedule.execute(step, value)
                test_distributor.check_revision_order(fleet)
            await schedule.check_converged()

        test_distributor.run_simulation(
            scenario, count=len(NAMES), seed=random_seed
        )
