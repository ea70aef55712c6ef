"""Tests of the pool, the static division and the retry budget."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hawthornmast.catalogue import Service
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health import Standing
from hawthornmast.limits import divide_statically
from hawthornmast.limits import RetryBudget
from hawthornmast.limits import UpstreamPool

SERVICE = Service(name="s", owner="o")


def _upstream(name, **fields):
    defaults = {"zone": "z1", "host": "::1", "port": 1, "slots": 4}
    return Upstream(upstream_id=name, **(defaults | fields))


def _pool(upstreams, standings=None, **options):
    pool = UpstreamPool(
        SERVICE,
        standing=lambda key: (standings or {}).get(key, Standing()),
        random=random.Random(1),
        **options,
    )
    pool.update(upstreams)
    pool.set_allowed({item.upstream_id: item.slots for item in upstreams})
    return pool


def _take_all(pool):
    taken = []
    while (upstream := pool.take()) is not None:
        taken.append(upstream.upstream_id)
    return taken


class TestUpstreamPool:
    def test_lowest_use_per_allowed_slot(self):
        taken = _take_all(_pool([_upstream("a"), _upstream("b", slots=2)]))
        assert taken.count("a") == 4 and taken.count("b") == 2
        assert set(taken[:2]) == {"a", "b"}

    @pytest.mark.parametrize(
        ("standing", "expected"),
        [
            (Standing(avoided=True), ["b"] * 4 + ["a"] * 4),
            (Standing(ejected=True), ["b"] * 4),
            (Standing(weight=0.5, avoided=True), ["b"] * 4 + ["a"] * 2),
            (Standing(weight=0.01, avoided=True), ["b"] * 4 + ["a"]),
        ],
    )
    def test_standing(self, standing, expected):
        pool = _pool([_upstream("a"), _upstream("b")], {"a": standing})
        assert _take_all(pool) == expected

    def test_same_zone_on_ties_only(self):
        pool = _pool([_upstream("a"), _upstream("b", zone="z2")], zone="z2")
        assert _take_all(pool) == ["b", "a"] * 4

    def test_leaving_upstream_only_finishes_requests(self):
        pool = _pool([_upstream("a")])
        pool.take()
        pool.update([_upstream("a", state=State.LEAVING)])
        assert pool.take() is None and not pool.has_candidate()
        pool.update([])
        pool.release("a")
        with pytest.raises(ValueError, match="no slot in use"):
            pool.release("a")

    def test_reduced_share_keeps_running_requests(self):
        pool = _pool([_upstream("a")])
        assert len(_take_all(pool)) == 4
        pool.set_allowed({"a": 2})
        pool.release("a")
        pool.release("a")
        assert pool.take() is None
        pool.release("a")
        assert pool.count_free() == 1


class TestDivideStatically:
    @given(
        st.lists(st.integers(0, 9), max_size=8),
        st.integers(1, 7),
        st.randoms(),
    )
    def test_each_slot_has_one_member_in_any_order(self, slots, g, shuffle):
        upstreams = [
            _upstream(f"u{n}", slots=count) for n, count in enumerate(slots)
        ]
        group = [f"d{n}" for n in range(g)]
        shares = divide_statically(SERVICE, upstreams, group)
        shuffle.shuffle(group)
        assert divide_statically(SERVICE, upstreams, group) == shares
        for item in upstreams:
            counts = [s.get(item.upstream_id, 0) for s in shares.values()]
            assert sum(counts) == item.slots
            assert max(counts) - min(counts) <= 1


class TestRetryBudget:
    def test_shrinks_without_completions_and_is_capped(self):
        budget = RetryBudget(0.1)
        assert [budget.take() for _ in range(4)] == [True] * 3 + [False]
        for _ in range(10):
            budget.record_completion()
        assert budget.take() and not budget.take()
        for _ in range(10000):
            budget.record_completion()
        assert sum(budget.take() for _ in range(100)) == 20
