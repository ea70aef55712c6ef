"""Tests of detection, ejection and return on a virtual clock."""

import pytest

from hawthornmast.audit import Action
from hawthornmast.catalogue import Service
from hawthornmast.health import Evidence
from hawthornmast.health import Standing
from hawthornmast.health.tests.simulation import make_upstreams
from hawthornmast.health.tests.simulation import Simulation
from hawthornmast.health.tests.simulation import Traffic

OWNERS = ["a", "b", "c"]
OK = (Evidence.OK, 0.02)
FAILED = (Evidence.FAILED, 0.005)


def run(answer, *, seed=1, rate=20.0, count=7, seconds=2.0, floor=0.7):
    """Simulate 3 owners with a fault that begins 20 s after the start."""
    service = Service(name="billing", owner="team", floor=floor)
    sim = Simulation(seed, service)
    upstreams = make_upstreams(count)
    for name in OWNERS:
        sim.start(name).update(upstreams, OWNERS, view="1")
    begin = sim.now + 20

    def respond(name, upstream_id, now):
        return answer(name, upstream_id) if now >= begin else OK

    Traffic(sim, respond, rate=rate, upstreams=upstreams)
    sim.run_until(begin + seconds)
    return sim


class TestDetection:
    """Guards against missed faults and wrong ejections."""

    @pytest.mark.parametrize(
        "bad",
        [FAILED, (Evidence.OK, 0.3), None],
        ids=["failed", "slow", "no-answer"],
    )
    @pytest.mark.parametrize("seed", range(3))
    def test_eject_on_every_owner(self, bad, seed):
        sim = run(lambda _, u: bad if u == "u2" else OK, seed=seed)
        for monitor in sim.monitors.values():
            assert monitor.standing("u2").ejected
            assert monitor.list_ejected() == ["u2"]

    @pytest.mark.parametrize(
        "answer",
        [
            lambda _, u: FAILED,
            lambda _, u: (Evidence.OK, 0.4),
            lambda _, u: (Evidence.SHED, 0.001),
            lambda _, u: (Evidence.NEUTRAL, 0.001),
        ],
        ids=["all-fail", "all-slow", "shed", "neutral"],
    )
    @pytest.mark.parametrize("rate", [1.0, 20.0])
    def test_eject_nothing(self, answer, rate):
        sim = run(answer, rate=rate, seconds=20.0)
        for monitor in sim.monitors.values():
            assert monitor.list_ejected() == []

    @pytest.mark.parametrize("seed", range(5))
    def test_avoid_one_way_partition(self, seed):
        def answer(name, upstream_id):
            return FAILED if (name, upstream_id) == ("a", "u1") else OK

        sim = run(answer, seed=seed, seconds=4.0)
        for monitor in sim.monitors.values():
            assert monitor.list_ejected() == []
        assert sim.monitors["a"].standing("u1").avoided
        assert not sim.monitors["b"].standing("u1").avoided

    def test_few_failures_at_low_rate(self):
        sim = run(
            lambda _, u: FAILED if u == "u0" else OK, rate=1.0, seconds=12.0
        )
        assert sim.monitors["a"].list_ejected() == ["u0"]

    def test_report_threshold_immediately(self):
        # Guards against delaying the report of the failure that reaches the
        # threshold by the report rate limit and the next tick, while further
        # requests fail.
        sim = Simulation(1, Service(name="billing", owner="team", floor=0.7))
        monitors = [sim.start(name) for name in OWNERS]
        for monitor in monitors:
            monitor.update(make_upstreams(7), OWNERS, view="1")
        begin = sim.now + 20.015
        for index, owner in enumerate((0, 1, 2, 0, 0)):
            # The last two failures of one owner are 10 ms apart.
            sim.run_until(begin + 0.3 * index - 0.29 * (index == 4))
            monitor = monitors[owner]
            monitor.finish(monitor.begin("u1", "read"), Evidence.FAILED)
        sim.run_until(sim.now + 0.005)
        for monitor in monitors:
            assert monitor.describe("u1")["failed_in_run"] == 5

    def test_count_slow_before_next_tick(self):
        # Guards against counting slow requests only at the next tick, up to
        # 100 ms late, although other requests finish before it.
        sim = Simulation(1, Service(name="billing", owner="team", floor=0.7))
        monitor = sim.start("a")
        monitor.update(make_upstreams(7), ["a"], view="1")
        sim.run_until(sim.now + 20.01)
        for _ in range(16):
            attempt = monitor.begin("u2", "read")
            sim.run_until(sim.now + 0.02)
            monitor.finish(attempt, Evidence.OK)
        sim.run_until(round(sim.now, 1) + 0.12)
        monitor.begin("u1", "read")
        sim.run_until(sim.now + 0.09)
        attempt = monitor.begin("u2", "read")
        sim.run_until(sim.now + 0.02)
        assert monitor.describe("u1")["failed_in_run"] == 0
        monitor.finish(attempt, Evidence.OK)
        assert monitor.describe("u1")["failed_in_run"] == 1


class TestReturn:
    """Guards against upstreams that return too late or too early."""

    def test_return_and_eject_again(self):
        sim = run(lambda _, u: FAILED if u == "u2" else OK, seconds=12.0)
        acts = [r.act for r in sim.monitors["a"]._audit]
        assert acts.count(Action.EJECT) >= 2
        assert Action.RETURN in acts

    @pytest.mark.parametrize("floor", [0.7, 1.0])
    def test_stop_avoiding_without_new_evidence(self, floor):
        # Guards against avoiding a recovered upstream forever, because an
        # avoided upstream may receive no request that shows its recovery.
        sim = Simulation(1, Service(name="billing", owner="team", floor=floor))
        monitors = [sim.start(name) for name in OWNERS]
        for monitor in monitors:
            monitor.update(make_upstreams(4), OWNERS, view="1")
        sim.run_until(sim.now + 20)
        for _ in range(20):
            for monitor in monitors:
                monitor.finish(monitor.begin("u1", "read"), Evidence.FAILED)
            sim.run_until(sim.now + 0.1)
        for monitor in monitors:
            standing = monitor.standing("u1")
            assert standing.avoided or standing.ejected
        sim.run_until(sim.now + 30)
        for monitor in monitors:
            assert monitor.standing("u1") == Standing()

    @pytest.mark.parametrize("replaced", [2, 5, 10])
    def test_keep_floor_during_slow_start(self, replaced):
        # Guards against a slow start after a rolling restart that withholds
        # more capacity than the floor allows.
        service = Service(name="billing", owner="team", floor=0.7)
        sim = Simulation(1, service)
        upstreams = make_upstreams(10 + replaced)
        monitor = sim.start("a")
        monitor.update(upstreams[:10], ["a"], view="1")
        sim.run_until(sim.now + 20)
        listed = upstreams[replaced:]
        monitor.update(listed, ["a"], view="2")
        begin = sim.now
        while sim.now < begin + 11:
            weights = [monitor.standing(u.upstream_id).weight for u in listed]
            assert sum(weights) >= 7 - 1e-9
            sim.run_until(sim.now + 0.35)
        assert sum(weights) == 10

    def test_keep_floor_when_more_fail(self):
        bad = ("u1", "u2", "u3", "u4")
        sim = run(lambda _, u: FAILED if u in bad else OK, seconds=3.0)
        union = {u for m in sim.monitors.values() for u in m.list_ejected()}
        assert len(union) <= 2
