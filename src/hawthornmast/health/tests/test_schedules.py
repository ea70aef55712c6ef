"""Tests of the floor under seeded faults, and of the checks themselves."""

import pytest

from hawthornmast.health.budget import EjectionBudget
from hawthornmast.health.tests import schedules
from hawthornmast.health.tests.schedules import Defect


class TestFloor:
    """Guards against more ejections than the floor allows."""

    @pytest.mark.parametrize("seed", [1, 11, 21, 31])
    def test_floor_holds_per_daemon_and_fleet_wide(self, seed):
        found = schedules.run_schedules(10, seed)
        assert [o for o in found if o.strict or o.per_daemon] == []
        # The checks are only meaningful if upstreams were ejected.
        assert sum(o.ejections for o in found) > 100


class TestMessages:
    def test_renewals_are_bounded(self, monkeypatch):
        # Guards against an endless exchange of requests and grants: a permit
        # granted with little time left was renewed at once.
        send = EjectionBudget._send_request
        sent = []

        def count(self, *args):
            sent.append(args)
            assert len(sent) < 5000
            send(self, *args)

        monkeypatch.setattr(EjectionBudget, "_send_request", count)
        found = schedules.run_schedules(1, 5248)
        assert found[0].transfers > 0


class TestChecks:
    """Guards against checks that pass although a mechanism is disabled."""

    # Each seed is the first of 80 schedules, any of which may detect the
    # defect; the values only shorten the search.
    @pytest.mark.parametrize(
        ("defect", "first"),
        [
            (Defect.NO_PERMITS, 1),
            (Defect.NO_HOLD, 38),
            (Defect.NO_WAKE_CHECK, 11),
            (Defect.GIVER_KEEPS, 4),
            (Defect.NO_ECHO, 1),
            (Defect.NO_CONFIRMATION, 43),
            (Defect.NO_QUARANTINE, 2),
        ],
    )
    def test_detect_defect(self, defect, first):
        found = (
            schedules.Schedule(seed, defect).run()
            for seed in range(first, first + 80)
        )
        assert any(o.strict or o.per_daemon for o in found)
