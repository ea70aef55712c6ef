"""Tests of the division of fleet-wide allowances."""

import pytest

from hawthornmast.gateway.options import Bounds
from hawthornmast.gateway.shares import compute_retry_slack
from hawthornmast.gateway.shares import FleetPosition

BOUNDS = Bounds(retry_ratio=0.2, retry_slack=56.0, retry_window_s=10.0)

ADVERTISED_OF_THREE = FleetPosition(
    advertised_count=3, is_advertised=True, zones=3, live_in_zone=11
)


class TestComputeRetrySlack:
    """All members together spend no more than the configured slack."""

    @pytest.mark.parametrize(
        "sizes", [[1, 1, 1], [16, 8, 8], [30, 30, 26, 27], [113]]
    )
    def test_fleet_with_takeover_stays_within_the_slack(
        self, sizes: list[int]
    ) -> None:
        # When each of 32 members had an eighth of the slack, and restarted
        # ones had it anew, the fleet spent more than the budget of 56.
        # Each member knows only the size of its own zone.
        zones = len(sizes)
        spent = 0.0
        for size in sizes:
            advertised_slack, other_slack = (
                compute_retry_slack(
                    BOUNDS,
                    FleetPosition(
                        advertised_count=zones,
                        is_advertised=is_advertised,
                        zones=zones,
                        live_in_zone=size,
                    ),
                    uptime_s=60.0,
                )
                for is_advertised in (True, False)
            )
            spent += advertised_slack + (size - 1) * other_slack
        # Two advertised members (the only one, in a single zone) have failed
        # after they spent their shares; their successors are advertised and
        # spend as much within the same window.
        takeover = min(2, zones) * advertised_slack
        assert spent + takeover <= BOUNDS.retry_slack

    def test_rolling_restart_stays_within_the_slack(self) -> None:
        # One process restarts every 2 s and each is advertised. What they
        # spend within a window is bounded because slack grows with uptime.
        ages = [2.0, 4.0, 6.0, 8.0, 10.0]
        spent = sum(
            compute_retry_slack(
                BOUNDS,
                ADVERTISED_OF_THREE,
                uptime_s=age,
            )
            for age in ages
        )
        assert spent <= BOUNDS.retry_slack

    def test_restart_of_all_members_stays_within_the_slack(self) -> None:
        # The killed processes had spent their share; their successors spend
        # within the same window.
        before, after = (
            3
            * compute_retry_slack(
                BOUNDS,
                ADVERTISED_OF_THREE,
                uptime_s=uptime,
            )
            for uptime in (60.0, 8.0)
        )
        assert before + after <= BOUNDS.retry_slack
