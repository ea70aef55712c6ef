"""Tests of the reports that members exchange about upstreams."""

from typing import Any

import pytest
import trio

from hawthornmast.gateway.evidence import EvidenceExchange
from hawthornmast.gateway.evidence import REFRESH_INTERVAL_S
from hawthornmast.gateway.tests.support import make_listed_upstream
from hawthornmast.gateway.tests.support import make_services
from hawthornmast.health.belief import Observation


class MemberPair:
    """Two members; the second receives the reports of the first."""

    def __init__(self) -> None:
        self.first = make_services(
            make_listed_upstream("u1"), make_listed_upstream("u2")
        )
        self.second = make_services(
            make_listed_upstream("u1"), make_listed_upstream("u2")
        )
        self.reports: list[list[Any]] = []
        self.sender = EvidenceExchange(self.first, send=self._deliver)
        self.receiver = EvidenceExchange(self.second, send=lambda rows: None)

    def _deliver(self, rows: list[Any]) -> None:
        self.reports.append(rows)
        self.receiver.receive(rows, "10.0.0.1")

    def pool(self, services):
        """Return the pool of the service."""
        state = services.find("boxes")
        assert state is not None
        return state.pool


class TestEvidenceExchange:
    """Reports of one member change the state of the other."""

    async def test_failure_is_reported_immediately(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = MemberPair()
        before = pair.pool(pair.second).failure_probability("u1")
        pair.sender.record_observation(
            "boxes", "u1", Observation.FAILED, sent_at=0.0
        )
        assert pair.pool(pair.second).failure_probability("u1") > before + 0.3

    async def test_success_is_sent_with_the_next_report(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = MemberPair()
        before = pair.pool(pair.second).failure_probability("u1")
        now = trio.current_time()
        pair.sender.record_observation(
            "boxes", "u1", Observation.SUCCEEDED, sent_at=now
        )
        assert not pair.reports
        pair.sender.flush()
        assert pair.pool(pair.second).failure_probability("u1") < before

    async def test_success_started_before_a_failure_is_not_sent(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = MemberPair()
        started_at = trio.current_time()
        await trio.sleep(0.1)
        pair.sender.record_observation(
            "boxes", "u1", Observation.FAILED, sent_at=0.0
        )
        failure_probability = pair.pool(pair.second).failure_probability("u1")
        pair.sender.record_observation(
            "boxes", "u1", Observation.SUCCEEDED, sent_at=started_at
        )
        pair.sender.flush()
        assert (
            pair.pool(pair.second).failure_probability("u1")
            >= failure_probability - 0.01
        )

    async def test_use_and_its_release_are_reported(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = MemberPair()
        taken = pair.pool(pair.first).take()
        assert taken is not None
        pair.sender.flush()
        member = pair.pool(pair.second).members[taken.upstream_id]
        assert member.count_use(trio.current_time()) == 1
        pair.pool(pair.first).release(taken.upstream_id)
        pair.sender.flush()
        assert member.count_use(trio.current_time()) == 0

    async def test_use_is_reported_again_after_the_refresh_interval(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = MemberPair()
        # A lost report must not leave the peer with outdated slots in use.
        assert pair.pool(pair.first).take() is not None
        pair.sender.tick()
        count = len(pair.reports)
        await trio.sleep(REFRESH_INTERVAL_S + 0.1)
        pair.sender.tick()
        assert len(pair.reports) == count + 1

    async def test_sends_no_report_without_changes(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = MemberPair()
        for _ in range(20):
            pair.sender.tick()
            await trio.sleep(0.1)
        assert pair.reports == []

    async def test_unknown_services_and_upstreams_are_ignored(self) -> None:
        pair = MemberPair()
        pair.receiver.receive(
            [["other", [["u1", 1, 0, 9, 0]]], ["boxes", [["u9", 1]]]], "p"
        )
        assert set(pair.pool(pair.second).members) == {"u1", "u2"}

    @pytest.mark.parametrize("rows", [7, [7], [["boxes", [[]]]]])
    async def test_malformed_report_raises(self, rows: Any) -> None:
        with pytest.raises((ValueError, TypeError)):
            MemberPair().receiver.receive(rows, "p")
