"""What members tell each other of upstreams."""

from typing import Any

import pytest
import trio

from hawthornmast.gateway.evidence import EvidenceExchange
from hawthornmast.gateway.evidence import REFRESH_S
from hawthornmast.gateway.tests.support import make_entry
from hawthornmast.gateway.tests.support import make_services
from hawthornmast.health.belief import Observation


class Pair:
    """Two members; what one reports the other receives."""

    def __init__(self) -> None:
        self.first = make_services(make_entry("u1"), make_entry("u2"))
        self.second = make_services(make_entry("u1"), make_entry("u2"))
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
    """Each member acts on what all have seen."""

    async def test_failure_is_told_at_once(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = Pair()
        before = pair.pool(pair.second).failure_probability("u1")
        pair.sender.note_outcome(
            "boxes", "u1", Observation.FAILED, sent_at=0.0
        )
        assert pair.pool(pair.second).failure_probability("u1") > before + 0.3

    async def test_success_is_told_with_the_next_report(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = Pair()
        before = pair.pool(pair.second).failure_probability("u1")
        now = trio.current_time()
        pair.sender.note_outcome(
            "boxes", "u1", Observation.SUCCEEDED, sent_at=now
        )
        assert not pair.reports
        pair.sender.flush()
        assert pair.pool(pair.second).failure_probability("u1") < before

    async def test_success_that_began_before_a_failure_is_not_told(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = Pair()
        began = trio.current_time()
        await trio.sleep(0.1)
        pair.sender.note_outcome(
            "boxes", "u1", Observation.FAILED, sent_at=0.0
        )
        after = pair.pool(pair.second).failure_probability("u1")
        pair.sender.note_outcome(
            "boxes", "u1", Observation.SUCCEEDED, sent_at=began
        )
        pair.sender.flush()
        assert pair.pool(pair.second).failure_probability("u1") >= after - 0.01

    async def test_use_is_told_and_taken_back(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = Pair()
        taken = pair.pool(pair.first).take()
        assert taken is not None
        pair.sender.flush()
        member = pair.pool(pair.second).members[taken.upstream_id]
        assert member.count_use(trio.current_time()) == 1
        pair.pool(pair.first).release(taken.upstream_id)
        pair.sender.flush()
        assert member.count_use(trio.current_time()) == 0

    async def test_use_is_repeated_in_case_a_report_is_lost(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = Pair()
        assert pair.pool(pair.first).take() is not None
        pair.sender.tick()
        count = len(pair.reports)
        await trio.sleep(REFRESH_S + 0.1)
        pair.sender.tick()
        assert len(pair.reports) == count + 1

    async def test_says_nothing_when_nothing_changed(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        pair = Pair()
        for _ in range(20):
            pair.sender.tick()
            await trio.sleep(0.1)
        assert pair.reports == []

    async def test_unknown_services_and_upstreams_are_left_out(self) -> None:
        pair = Pair()
        pair.receiver.receive(
            [["other", [["u1", 1, 0, 9, 0]]], ["boxes", [["u9", 1]]]], "p"
        )
        assert set(pair.pool(pair.second).members) == {"u1", "u2"}

    @pytest.mark.parametrize("rows", [7, [7], [["boxes", [[]]]]])
    async def test_refuses_malformed_reports(self, rows: Any) -> None:
        with pytest.raises((ValueError, TypeError)):
            Pair().receiver.receive(rows, "p")
