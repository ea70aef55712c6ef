"""Tests of the limits that upstreams state for all daemons together."""

import random

import attrs
import pytest

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Rank
from hawthornmast.common import Upstream
from hawthornmast.limits import Dispatcher
from hawthornmast.limits import Reason
from hawthornmast.limits import SharedPool
from hawthornmast.limits import UpstreamStatement
from hawthornmast.limits.rate import StatedLimit
from hawthornmast.limits.rate import STATEMENT_TTL_S
from standins.clock import ManualClock

WINDOW_S = 4.0


def count_sent(limit: StatedLimit, *, share: float, seconds: float) -> int:
    """Send whenever the limit allows it; return the number of requests."""
    sent = 0
    for step in range(round(seconds * 100)):
        while not limit.wait_s(step / 100, share=share):
            limit.spend()
            sent += 1
    return sent


class TestStatedLimit:
    """A daemon sends its share of the rate and no burst above it."""

    @pytest.mark.parametrize("rate", [0.0, 0.3, 1.2, 5.9, 80.0])
    @pytest.mark.parametrize("daemons", [1, 3, 4])
    def test_all_daemons_together_stay_within_the_rate(
        self, rate: float, daemons: int
    ) -> None:
        sent = sum(
            count_sent(
                StatedLimit(rate_per_s=rate, stated_at=0.0),
                share=1 / daemons,
                seconds=WINDOW_S,
            )
            for _ in range(daemons)
        )
        assert sent <= 1.5 * rate * WINDOW_S + 5

    def test_long_run_reaches_the_share(self) -> None:
        limit = StatedLimit(rate_per_s=6.0, stated_at=0.0)
        assert count_sent(limit, share=0.5, seconds=20.0) in (59, 60)

    def test_nothing_is_sent_in_a_burst_after_an_idle_time(self) -> None:
        limit = StatedLimit(rate_per_s=2.0, stated_at=0.0)
        assert limit.count_allowed(20.0, 0.0, share=1.0) == 1


class PoolHarness:
    """A pool of upstreams, some of which state a limit."""

    def __init__(self, *limits: float | None) -> None:
        self.clock = ManualClock()
        self.pool = SharedPool(
            clock=self.clock, random=random.Random(1), zone="a"
        )
        self.pool.update(
            Upstream(
                upstream_id=f"u{number}",
                zone="a",
                host="127.0.0.1",
                port=1,
                slots=4,
            )
            for number in range(len(limits))
        )
        for number, limit in enumerate(limits):
            self.state_limit(f"u{number}", limit)

    def state_limit(self, name: str, rate_per_s: float | None) -> bool:
        """Record a response of an upstream; return whether it is a change."""
        return self.pool.record_statement(
            self.pool.members[name].upstream,
            UpstreamStatement(rate_limit_per_s=rate_per_s),
        )

    def count_taken(self, name: str, seconds: float) -> int:
        """Take and release slots; return how often the upstream was taken."""
        taken = 0
        for _ in range(round(seconds * 20)):
            upstream = self.pool.take(retryable=False)
            if upstream is not None:
                taken += upstream.upstream_id == name
                self.pool.release(upstream.upstream_id)
            self.clock.now += 0.05
        return taken


class TestPool:
    """Selection keeps the limits and uses what they allow."""

    def test_limited_upstream_gets_its_rate(self) -> None:
        harness = PoolHarness(2.0)
        assert harness.count_taken("u0", 10.0) in (19, 20, 21)

    def test_others_get_the_rest(self) -> None:
        harness = PoolHarness(1.0, None)
        assert harness.count_taken("u0", 5.0) <= 5
        assert harness.count_taken("u1", 5.0) >= 95

    def test_limit_ends_with_a_response_without_it(self) -> None:
        harness = PoolHarness(1.0)
        assert harness.pool.take() is None
        assert harness.state_limit("u0", None)
        assert harness.pool.take() is not None

    def test_limit_that_is_not_stated_again_is_forgotten(self) -> None:
        harness = PoolHarness(0.0)
        harness.clock.now += STATEMENT_TTL_S
        assert harness.pool.take() is None
        harness.clock.now += 0.1
        assert harness.pool.take() is not None

    def test_only_changes_are_reported(self) -> None:
        harness = PoolHarness(1.0)
        assert not harness.state_limit("u0", 1.0)
        assert harness.state_limit("u0", 2.0)
        unknown = attrs.evolve(
            harness.pool.members["u0"].upstream, upstream_id="unknown"
        )
        assert not harness.pool.record_statement(
            unknown, UpstreamStatement(rate_limit_per_s=2.0)
        )


class TestQueue:
    """A request that the limits can't serve in time is refused at once."""

    @pytest.mark.parametrize(
        ("limits", "queued"), [((1.0,), 2), ((0.0,), 0), ((1.0, 1.0), 4)]
    )
    def test_queue_holds_what_the_limits_allow(
        self, limits: tuple[float, ...], queued: int
    ) -> None:
        harness = PoolHarness(*limits)
        entry = Entry(
            name="e",
            owner="o",
            rank=Rank.STANDARD,
            path="/",
            idempotent=True,
            share=1.0,
            queue_limit=100,
            deadline_ms=2500,
        )
        dispatcher = Dispatcher(
            Service(name="s", owner="", queue_limit=100, entries=(entry,)),
            harness.pool,
            clock=harness.clock,
            random=random.Random(1),
        )
        waiters = [
            dispatcher.enqueue(entry, deadline=harness.clock.now + 2.5)
            for _ in range(6)
        ]
        assert sum(w.outcome is None for w in waiters) == queued
        refusal = waiters[-1].outcome
        assert refusal is not None
        assert refusal.unwrap_err().reason is Reason.DEADLINE
