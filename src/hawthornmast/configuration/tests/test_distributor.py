"""Tests for distribution under failures, on a simulated clock."""

import pytest
import trio
import trio.testing

from hawthornmast import configuration
from hawthornmast.audit import Action
from standins import fleet as simulation

KEY = "catalogue/services/billing"
HOUR_S = 3600.0


def run_simulation(scenario, **options):
    """Run ``scenario(fleet)`` on a clock that skips idle time."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = simulation.SimulatedFleet(nursery, **options)
            fleet.platform.put(KEY, "first")
            await scenario(fleet)
            check_revision_order(fleet)
            nursery.cancel_scope.cancel()

    simulation.seed_scheduler(options.get("seed", 1))
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def check_revision_order(fleet):
    """Assert that no daemon applied an older revision after a newer one."""
    for daemon in fleet.daemons.values():
        for revisions in daemon.applied_revisions.values():
            assert revisions == sorted(set(revisions))


async def wait_for(fleet, revision, *, within, key=KEY):
    with trio.fail_after(within):
        while fleet.lowest_revision(key) < revision:
            await trio.sleep(0.01)


class TestNoRollback:
    @pytest.mark.parametrize(("hours", "count"), [(0, 12), (2, 5)])
    def test_new_daemon_with_stale_platform(self, hours, count):
        # Guards against a new daemon that uses an older revision from a stale
        # platform.
        async def scenario(fleet):
            await fleet.start()
            fleet.platform.set_stale(True)
            # The platform serves current values until the fleet has the new
            # revision, and the old snapshot from then on.
            stale_snapshot, fleet.platform._served_snapshot = (
                fleet.platform._served_snapshot,
                None,
            )
            revision = fleet.platform.put(KEY, "second")
            await wait_for(fleet, revision, within=2)
            fleet.platform._served_snapshot = stale_snapshot
            await trio.sleep(hours * HOUR_S)
            await fleet.stop("d4")
            await fleet.start("d4")
            assert fleet.daemons["d4"].document_text(KEY) == "second"
            assert fleet.daemons["d4"].applied_revisions[KEY] == [revision]

        run_simulation(scenario, count=count)

    @pytest.mark.parametrize("listed", [True, False])
    def test_new_daemon_without_peers_waits(self, listed):
        # Guards against a new daemon that reaches only a stale platform and
        # serves an older revision, including when the stale list of daemons
        # does not contain it.
        async def scenario(fleet):
            new = "d4" if listed else "d9"
            await fleet.start(*fleet.instance_ids)
            fleet.platform.set_stale(True)
            # The platform serves current values until the fleet has the new
            # revision, and the old snapshot from then on.
            stale_snapshot, fleet.platform._served_snapshot = (
                fleet.platform._served_snapshot,
                None,
            )
            revision = fleet.platform.put(KEY, "second")
            await wait_for(fleet, revision, within=2)
            fleet.platform._served_snapshot = stale_snapshot
            if listed:
                await fleet.stop(new)
            fleet.cut([new], fleet.instance_ids)
            fleet.cut(fleet.instance_ids, [new])
            fleet.nursery.start_soon(fleet.start, new)
            await trio.sleep(HOUR_S)
            assert not fleet.daemons[new].distributor.is_ready
            fleet.heal()
            with trio.fail_after(10):
                await fleet.daemons[new].distributor.ready()
            assert fleet.daemons[new].applied_revisions[KEY] == [revision]

        run_simulation(scenario, count=6)

    def test_readers_with_different_revisions(self):
        # Guards against readers of a lagging platform overriding the newer
        # revision of other readers.
        async def scenario(fleet):
            await fleet.start()
            lagging_platform = simulation.Platform()
            for key in (simulation.DAEMONS_KEY, KEY):
                value = fleet.platform._values[key]
                lagging_platform.put(key, value.content)
            lagging_platform.put(KEY, "between")
            readers = [
                name
                for name, daemon in fleet.daemons.items()
                if daemon.directory.is_reader()
            ]
            fleet.platform.put(KEY, "between")
            revision = fleet.platform.put(KEY, "newest")
            for name in readers[::2]:
                fleet.platform_overrides[name] = lagging_platform
            await wait_for(fleet, revision, within=2)
            await trio.sleep(60)
            assert {d.document_text(KEY) for d in fleet.daemons.values()} == {
                "newest"
            }

        run_simulation(scenario, count=12)

    def test_deletion_is_not_undone(self):
        # Guards against a deleted document restored by a put of a lower
        # revision from an isolated daemon.
        async def scenario(fleet):
            await fleet.start()
            isolated = "d5"
            others = [n for n in fleet.instance_ids if n != isolated]
            fleet.cut([isolated], others)
            fleet.cut(others, [isolated])
            stale_platform = simulation.Platform()
            stale_platform.set_stale(True)
            fleet.platform_overrides[isolated] = stale_platform
            revision = fleet.platform.delete(KEY)
            await trio.sleep(5)
            assert fleet.daemons[isolated].document_text(KEY) == "first"
            fleet.heal()
            await wait_for(fleet, revision, within=20)
            await trio.sleep(30)
            assert {d.document_text(KEY) for d in fleet.daemons.values()} == {
                None
            }

        run_simulation(scenario, count=12)

    def test_invalid_revision_between_valid_ones(self):
        # Guards against an invalid document taking effect and against
        # reading it repeatedly.
        async def scenario(fleet):
            await fleet.start()
            fleet.platform.put(KEY, "invalid")
            await trio.sleep(2)
            reads = fleet.platform.calls["values"]
            await fleet.stop("d4")
            await fleet.start("d4")
            await trio.sleep(120)
            assert {d.document_text(KEY) for d in fleet.daemons.values()} == {
                "first"
            }
            # The new daemon reads each listed key once. Only unresolved
            # candidates are retried, once per backoff delay.
            assert fleet.platform.calls["values"] - reads <= 4
            assert any(
                daemon.audit.counts.get(Action.CONFIGURATION_REFUSED)
                for daemon in fleet.daemons.values()
            )
            revision = fleet.platform.put(KEY, "third")
            await wait_for(fleet, revision, within=2)

        run_simulation(scenario, count=12)


class TestFailures:
    @pytest.mark.parametrize("one_way", [False, True])
    def test_halves_converge_after_healing(self, one_way):
        # Guards against differences that remain after the announcements
        # were lost.
        async def scenario(fleet):
            await fleet.start()
            left, right = fleet.instance_ids[::2], fleet.instance_ids[1::2]
            fleet.cut(left, right)
            if not one_way:
                fleet.cut(right, left)
            unreachable_platform = simulation.Platform()
            unreachable_platform.down = True
            fleet.platform_overrides = dict.fromkeys(
                right, unreachable_platform
            )
            revision = fleet.platform.put(KEY, "second")
            await trio.sleep(30)
            assert fleet.lowest_revision(KEY) < revision
            fleet.heal()
            await wait_for(fleet, revision, within=10)

        run_simulation(scenario, count=12)

    def test_platform_unavailable_for_hours(self):
        # Guards against a busy loop in the watch, and against a daemon that
        # cannot start while the platform is unavailable.
        async def scenario(fleet):
            await fleet.start()
            fleet.platform.set_down(True)
            await trio.sleep(2 * HOUR_S)
            # All five daemons are readers; their backoff grows to 2 s or more.
            assert fleet.platform.calls["failed"] < 5 * 2 * HOUR_S / 2
            await fleet.stop("d4")
            # While the platform is unreachable, the neighbours come from the
            # settings.
            daemon = simulation.SimulatedDaemon(fleet, "d4")
            fleet.daemons["d4"] = daemon
            daemon.distributor.set_neighbours(["d0", "d1", "d2"], reader=False)
            await daemon.distributor.start(fleet.nursery)
            with trio.fail_after(20):
                await daemon.distributor.ready()
            assert daemon.document_text(KEY) == "first"
            revision = fleet.platform.put(KEY, "second")
            fleet.platform.set_down(False)
            await wait_for(fleet, revision, within=10)

        run_simulation(scenario, count=5)

    def test_document_unavailable_after_announcement(self):
        # Guards against recording an announced revision before its document
        # is fetched, and against dropping the announcement.
        async def scenario(fleet):
            await fleet.start()
            daemon = fleet.daemons["d5"]
            unavailable_platform = simulation.Platform()
            unavailable_platform.down = True
            fleet.platform_overrides["d5"] = unavailable_platform
            # Announcements reach d5, but its requests do not reach the others.
            fleet.cut(["d5"], [n for n in fleet.instance_ids if n != "d5"])
            revision = fleet.platform.put(KEY, "second")
            await trio.sleep(30)
            assert daemon.document_text(KEY) == "first"
            assert daemon.store.revision_of(KEY) < revision
            fleet.heal()
            await wait_for(fleet, revision, within=10)

        run_simulation(scenario, count=12)

    def test_value_unreadable_after_change(self):
        # Guards against losing a change whose value could not be read before
        # the watch moved past it.
        async def scenario(fleet):
            await fleet.start()
            request = fleet.platform.request

            async def fail_values(target, timeout):
                if target.startswith("/v1/values/"):
                    target = "/v1/values/absent"
                return await request(target, timeout)

            fleet.platform.request = fail_values
            revision = fleet.platform.put(KEY, "second")
            await trio.sleep(30)
            assert fleet.lowest_revision(KEY) < revision
            fleet.platform.request = request
            await wait_for(fleet, revision, within=10)

        run_simulation(scenario, count=12)

    def test_document_with_wrong_digest(self):
        # Guards against accepting a document whose digest is not the
        # announced one.
        async def scenario(fleet):
            await fleet.start()
            fleet.platform.set_down(True)
            fleet.daemons["d0"].store._documents[KEY] = (99, b"wrong")
            daemon = fleet.daemons["d5"]
            announce = configuration.Announce(entries=[(KEY, 99, b"d" * 16)])
            daemon.distributor.handle(announce, "d0")
            await trio.sleep(30)
            assert daemon.document_text(KEY) == "first"

        run_simulation(scenario, count=12)


class TestPlatformCallRate:
    def test_rate_does_not_grow_with_daemons(self):
        # Guards against every daemon watching or reading the platform.
        calls = {}
        for count in (8, 64):

            async def scenario(fleet, count=count):
                await fleet.start()
                before = sum(fleet.platform.calls.values())
                for number in range(20):
                    revision = fleet.platform.put(KEY, f"change {number}")
                    await wait_for(fleet, revision, within=2)
                    await trio.sleep(5)
                calls[count] = sum(fleet.platform.calls.values()) - before

            run_simulation(scenario, count=count)
        # Six readers: one watch call and at most one read per change, and five
        # further calls each.
        assert calls[64] <= 6 * 20 * 2 + 6 * 5
        assert calls[64] <= calls[8] * 1.2
