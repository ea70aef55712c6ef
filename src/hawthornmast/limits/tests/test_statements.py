"""Tests of what upstreams state of themselves, kept by their processes."""

import random

import attrs
import pytest

from hawthornmast.common import Upstream
from hawthornmast.limits import SharedPool
from hawthornmast.limits import StatementRegistry
from hawthornmast.limits import statements
from hawthornmast.limits import UpstreamStatement
from hawthornmast.limits.statements import MAX_HOLD_OFF_S
from standins.clock import ManualClock

UPSTREAM = Upstream(
    upstream_id="u0",
    zone="a",
    host="127.0.0.1",
    port=1,
    slots=4,
    started_ms=1000,
)


class Harness:
    """A pool with one upstream and a registry that outlives it."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.registry = StatementRegistry()
        self.pool = self.make_pool()

    def make_pool(self) -> SharedPool:
        """Return a pool of a service, as after it was dropped and is back."""
        pool = SharedPool(
            clock=self.clock,
            random=random.Random(1),
            zone="a",
            statements=self.registry,
        )
        pool.update([UPSTREAM])
        return pool

    def state(self, **values: object) -> bool:
        """Record a statement of the first process."""
        return self.pool.record_statement(
            UPSTREAM, UpstreamStatement(**values)
        )

    def is_used(self) -> bool:
        """Return whether a request can be sent; it ends at once."""
        upstream = self.pool.take(retryable=True)
        if upstream is not None:
            self.pool.release(upstream.upstream_id)
        return upstream is not None


class TestHoldOff:
    """Nothing is sent until its end, and it always ends."""

    @pytest.mark.parametrize(
        ("stated_s", "held_s"),
        [
            (0.2, 0.2),
            (5.0, 5.0),
            (MAX_HOLD_OFF_S, MAX_HOLD_OFF_S),
            (1e9, MAX_HOLD_OFF_S),
        ],
    )
    def test_length_is_bounded(self, stated_s: float, held_s: float) -> None:
        harness = Harness()
        assert harness.state(hold_off_s=stated_s)
        harness.clock.now += held_s - 0.01
        assert not harness.is_used()
        harness.clock.now += 0.02
        assert harness.is_used()

    def test_floor_does_not_override_it(self) -> None:
        # Guards against a due request, for which an upstream without one
        # for seconds is selected first.
        harness = Harness()
        harness.state(hold_off_s=10.0)
        harness.clock.now += 5.0
        assert not harness.is_used()
        assert harness.pool.measure_coverage().healthy == 0

    def test_shorter_one_does_not_end_it(self) -> None:
        harness = Harness()
        harness.state(hold_off_s=5.0)
        assert not harness.state(hold_off_s=0.1)
        harness.clock.now += 1.0
        assert not harness.is_used()

    def test_next_moment_is_told(self) -> None:
        harness = Harness()
        harness.state(hold_off_s=5.0)
        harness.clock.now += 2.0
        assert harness.pool.next_allowed_s() == pytest.approx(3.0)
        assert harness.pool.count_allowed(2.0) == 0
        assert harness.pool.count_allowed(4.0) > 0
        assert harness.pool.count_usable() == 0


class TestProcesses:
    """A statement holds for the process that made it."""

    @pytest.mark.parametrize(
        "values", [{"leaving": True}, {"hold_off_s": 9.0}]
    )
    def test_process_that_starts_anew_has_stated_nothing(
        self, values: dict[str, object]
    ) -> None:
        harness = Harness()
        harness.state(**values)
        harness.pool.update([attrs.evolve(UPSTREAM, started_ms=2000)])
        assert harness.is_used()
        # A late response of the former process.
        assert not harness.state(leaving=True)
        assert harness.is_used()

    def test_it_outlasts_the_entry_and_the_service(self) -> None:
        harness = Harness()
        harness.state(leaving=True)
        harness.pool.update([])
        harness.pool.update([UPSTREAM])
        assert not harness.is_used()
        harness.pool = harness.make_pool()
        assert not harness.is_used()

    def test_unlisted_ones_are_forgotten_in_order(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(statements, "MAX_UNLISTED", 2)
        registry = StatementRegistry()
        upstreams = [
            attrs.evolve(UPSTREAM, upstream_id=f"u{number}")
            for number in range(5)
        ]
        states = [registry.find(item) for item in upstreams]
        registry.discard_unlisted(["u0"])
        kept = [
            registry.find(item) is state
            for item, state in zip(upstreams, states, strict=True)
        ]
        assert kept == [True, False, False, True, True]


class TestChanges:
    """Only what changes anything is reported, so that logs stay short."""

    def test_repeated_statements(self) -> None:
        harness = Harness()
        for values in (
            {"malformed": "retry-after=b'soon'"},
            {"leaving": True},
            {"hold_off_s": 3.0},
        ):
            assert harness.state(**values)
            assert not harness.state(**values)

    def test_counts(self) -> None:
        harness = Harness()
        harness.state(leaving=True, hold_off_s=3.0, rate_limit_per_s=2.0)
        assert harness.pool.count_stated() == {
            "held_off": 1,
            "leaving": 1,
            "limited": 1,
        }
