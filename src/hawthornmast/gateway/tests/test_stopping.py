"""Tests of the decision which requests a stopping member takes."""

import math

import pytest

from hawthornmast.gateway.stopping import StopSchedule

STARTED_AT = 100.0


def make_schedule(grace_s: float = 6.0) -> StopSchedule:
    """Return the schedule of a stop that begins at ``STARTED_AT``."""
    return StopSchedule(
        started_at=STARTED_AT, grace_s=grace_s, address_ttl_s=1.0
    )


class TestAdmits:
    """What is taken can end before the kill."""

    @pytest.mark.parametrize("idempotent", [True, False])
    @pytest.mark.parametrize(
        ("timeout_s", "admitted"), [(2.6, True), (2.9, False)]
    )
    def test_by_deadline_after_cached_addresses(
        self, timeout_s: float, admitted: bool, idempotent: bool
    ) -> None:
        now = STARTED_AT + 3.05
        assert admitted == make_schedule().admits(
            now,
            received_at=now,
            deadline=now + timeout_s,
            idempotent=idempotent,
            usual_latency_s=0.1,
        )

    @pytest.mark.parametrize(
        ("idempotent", "usual_latency_s", "admitted"),
        [
            (True, 1.6, True),
            (True, 5.0, False),
            (True, math.inf, False),
            (False, 1.6, False),
        ],
    )
    def test_by_usual_latency_while_addresses_are_cached(
        self, idempotent: bool, usual_latency_s: float, admitted: bool
    ) -> None:
        now = STARTED_AT + 1.0
        assert admitted == make_schedule().admits(
            now,
            received_at=now,
            deadline=now + 8.0,
            idempotent=idempotent,
            usual_latency_s=usual_latency_s,
        )

    def test_queued_request_starts_while_its_usual_latency_is_left(
        self,
    ) -> None:
        # Guards against rejecting what was taken, only because it waited.
        assert make_schedule().admits(
            STARTED_AT + 3.5,
            received_at=STARTED_AT - 1.0,
            deadline=STARTED_AT + 7.0,
            idempotent=True,
            usual_latency_s=1.6,
        )


class TestTimes:
    """The schedule fits into the grace period, however short it is."""

    @pytest.mark.parametrize("grace_s", [0.0, 0.1, 1.0, 6.0, 10.0])
    def test_order(self, grace_s: float) -> None:
        schedule = make_schedule(grace_s)
        kill_at = STARTED_AT + grace_s
        assert STARTED_AT <= schedule.end_at <= schedule.exit_at <= kill_at
        assert schedule.accept_s <= grace_s / 2
