"""Tests of the floor: healthy upstreams keep receiving requests."""

import itertools

from hawthornmast.limits.coverage import COVERAGE_WINDOW_S
from hawthornmast.limits.coverage import RECOVERY_S
from hawthornmast.limits.tests.simulation import ServiceSimulation

FLOOR_SHARE = 0.7
"""Share of healthy upstreams that must receive requests in each window."""

UPSTREAMS = 51
REQUESTS_PER_S = 200.0
SERVICE_S = 0.32


class TestFloor:
    """Selection removes no more healthy capacity than the floor allows."""

    def test_healthy_upstreams_receive_requests_before_failures_are_seen(
        self,
    ) -> None:
        # Requests in flight at a loss of all members fail unseen by them.
        simulation = ServiceSimulation(
            upstreams=UPSTREAMS,
            requests_per_s=REQUESTS_PER_S,
            service_s=SERVICE_S,
        )
        simulation.run(20.0)
        assert simulation.failed == 0
        longest_gaps = {
            name: max(later - at for at, later in itertools.pairwise(times))
            for name, times in simulation.list_receipts().items()
        }
        starved = [
            name
            for name, gap in longest_gaps.items()
            if gap > COVERAGE_WINDOW_S
        ]
        assert starved == []

    def test_recovered_upstreams_receive_requests_again(self) -> None:
        # Work that can't be repeated makes no trials of doubtful upstreams.
        failing = {f"u{number:02}" for number in range(0, UPSTREAMS, 2)}
        failed_from_s, recovered_at_s = 5.0, 8.0
        simulation = ServiceSimulation(
            upstreams=UPSTREAMS,
            requests_per_s=REQUESTS_PER_S,
            service_s=SERVICE_S,
            is_failing=lambda name, elapsed_s: (
                name in failing and failed_from_s <= elapsed_s < recovered_at_s
            ),
        )
        simulation.run(20.0)
        shares = {
            since_s: simulation.count_receiving(
                since_s, since_s + COVERAGE_WINDOW_S
            )
            / UPSTREAMS
            for since_s in range(int(recovered_at_s + RECOVERY_S), 18)
        }
        assert {
            since_s: share
            for since_s, share in shares.items()
            if share < FLOOR_SHARE
        } == {}
