"""Tests of the slot allocation in a simulation on a virtual clock."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hawthornmast.catalogue import Service
from hawthornmast.common import Upstream
from hawthornmast.limits import divide_statically
from hawthornmast.limits import SlotAllocator
from hawthornmast.limits.members import ABSENCE_TIMEOUT_S
from hawthornmast.limits.planning import divide_by_demand
from hawthornmast.limits.planning import plan_grants

SERVICE = Service(name="s", owner="o")
NAMES = ("d0", "d1", "d2")
UPSTREAMS = [
    Upstream(upstream_id=f"u{n}", zone="z", host="::1", port=1, slots=4)
    for n in range(7)
]
STEP_S = 0.01
SILENCE_S = 1.5

# Time for the slots to settle after the end of all faults: one grant term
# (2 s) and one tick (0.05 s).
SETTLING_S = 2.05


class _Member:
    """A simulated daemon with a constant number of offered requests."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.alive, self.paused = True, False
        # Offered requests by rank.
        self.offered = [0, 0, 0]
        self.running = []
        self.inbox = []
        self.last_heard_at = dict.fromkeys(NAMES, 0.0)
        self.allocator = SlotAllocator(
            SERVICE,
            self_id=name,
            clock=lambda: fleet.now,
            random=fleet.random,
            post=lambda to, message: fleet.post(name, to, message),
            reachable=lambda to: (
                fleet.now - self.last_heard_at[to] < SILENCE_S
            ),
            on_change=lambda allowed: None,
            demand=lambda: self.offered,
            in_use=self.count_running,
        )
        self.allocator.update(UPSTREAMS, NAMES)

    def count_running(self):
        counts = {}
        for upstream, _ in self.running:
            counts[upstream] = counts.get(upstream, 0) + 1
        return counts

    def run(self, tick):
        if not self.alive or self.paused:
            return
        self.running = [job for job in self.running if job[1] > self.fleet.now]
        counts = self.count_running()
        room = sum(self.offered) - len(self.running)
        for upstream, slots in self.allocator.allowed.items():
            for _ in range(min(room, slots - counts.get(upstream, 0))):
                end = self.fleet.now + self.fleet.random.uniform(0.02, 0.2)
                self.running.append((upstream, end))
                room -= 1
        for sender, message in self.inbox:
            self.allocator.handle(message, sender)
        self.inbox.clear()
        if tick:
            self.allocator.tick()


class _Fleet:
    """Simulated members and network on a virtual clock."""

    def __init__(self, seed):
        self.now = 0.0
        self.steps = 0
        self.random = random.Random(seed)
        self.cuts = set()
        self.in_flight = []
        self.sent_counts = dict.fromkeys(NAMES, 0)
        self.members = {name: _Member(self, name) for name in NAMES}

    def post(self, sender, to, message):
        self.sent_counts[sender] += 1
        at = self.now + self.random.uniform(0.001, 0.02)
        self.in_flight.append((at, sender, to, message))
        return True

    def step(self):
        self.steps += 1
        self.now = self.steps * STEP_S
        for name, member in self.members.items():
            for other in self.members.values():
                if (
                    member.alive
                    and not member.paused
                    and (name, other.name) not in self.cuts
                ):
                    other.last_heard_at[name] = self.now
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [
            item for item in self.in_flight if item[0] > self.now
        ]
        for _, sender, to, message in due:
            if (sender, to) not in self.cuts:
                self.members[to].inbox.append((sender, message))
        for member in self.members.values():
            member.run(tick=self.steps % 5 == 0)

    def run(self, seconds, check=lambda: None):
        for _ in range(round(seconds / STEP_S)):
            self.step()
            check()

    def count_overrun(self):
        """Return the running requests beyond the slots of all upstreams."""
        used = {}
        for member in self.members.values():
            for upstream, end in member.running:
                # A paused member still lists requests that have ended.
                if end > self.now:
                    used[upstream] = used.get(upstream, 0) + 1
        # Each upstream has 4 slots.
        return sum(max(0, count - 4) for count in used.values())

    def count_idle(self):
        """Return the slots that are idle despite unmet demand."""
        running = sum(len(item.running) for item in self.members.values())
        demand = sum(sum(item.offered) for item in self.members.values())
        # 7 upstreams with 4 slots each have 28.
        return min(28, demand) - running


def _assert_no_overrun(fleet):
    assert fleet.count_overrun() == 0, fleet.now


class TestWithoutFaults:
    def test_slots_follow_demand_without_overrun(self):
        fleet = _Fleet(1)
        fleet.members["d1"].offered = [0, 0, 100]
        fleet.run(4.0, lambda: _assert_no_overrun(fleet))
        assert fleet.count_idle() == 0
        fleet.members["d2"].offered = [15, 0, 0]
        fleet.run(2.0, lambda: _assert_no_overrun(fleet))
        assert len(fleet.members["d2"].running) == 15
        assert fleet.count_idle() <= 1

    def test_messages_are_bounded(self):
        fleet = _Fleet(2)
        fleet.run(5.0)
        idle = dict(fleet.sent_counts)
        fleet.run(10.0)
        # Two members send one demand per second in 10 s, and one more at the
        # boundary. The allocator sends one grant per second to each of them.
        assert sorted(fleet.sent_counts[n] - idle[n] for n in NAMES)[:2] <= [
            11,
            11,
        ]
        busy = dict(fleet.sent_counts)

        def vary():
            for member in fleet.members.values():
                member.offered = [fleet.random.randrange(20)] * 3

        fleet.run(10.0, vary)
        counts = sorted(fleet.sent_counts[n] - busy[n] for n in NAMES)
        # One message per 0.25 s in 10 s, and one more at the boundary; the
        # allocator sends grants to two members.
        assert counts[0] <= 41 and counts[1] <= 41 and counts[2] <= 82


def _inject_fault(fleet):
    """Apply one random fault."""
    kind = fleet.random.choice(["cut", "cut", "one-way", "pause", "kill"])
    a, b = fleet.random.sample(NAMES, 2)
    if kind == "cut":
        fleet.cuts |= {(a, b), (b, a)}
    elif kind == "one-way":
        fleet.cuts.add((a, b))
    elif kind == "pause":
        fleet.members[a].paused = True
    else:
        fleet.members[a] = _Member(fleet, a)


def _clear_faults(fleet):
    fleet.cuts.clear()
    for member in fleet.members.values():
        member.paused = False


class TestFaults:
    @pytest.mark.parametrize("seed", range(40))
    def test_recovers_after_faults(self, seed):
        print("seed", seed)
        fleet = _Fleet(seed)
        for _ in range(4):
            for member in fleet.members.values():
                member.offered = [
                    fleet.random.choice([0, 5, 40]) for _ in range(3)
                ]
            fleet.run(fleet.random.uniform(0.1, 3.0))
            _inject_fault(fleet)
            fleet.run(fleet.random.uniform(0.1, 5.0))
        _clear_faults(fleet)
        fleet.members["d1"].offered = [0, 30, 30]
        fleet.run(SETTLING_S)
        idle = []

        def check():
            _assert_no_overrun(fleet)
            idle.append(fleet.count_idle())

        fleet.run(1.0, check)
        # A finished request leaves its slot idle until the next step.
        assert max(idle) <= 2

    @pytest.mark.parametrize("seed", range(20))
    def test_resumed_member_checks_its_term(self, seed):
        print("seed", seed)
        fleet = _Fleet(seed)
        for member in fleet.members.values():
            member.offered = [0, 20, 20]
        fleet.members["d0"].offered = [40, 0, 0]
        fleet.run(4.0)
        assert len(fleet.members["d0"].running) > 20
        fleet.members["d0"].paused = True
        fleet.run(6.0)
        fleet.members["d0"].paused = False
        fleet.run(3.0, lambda: _assert_no_overrun(fleet))


class TestAbsentMember:
    def test_slots_of_a_crashed_member_are_lent(self):
        # Guards against a third of the slots being idle after a crash until
        # the list is updated.
        fleet = _Fleet(3)
        for member in fleet.members.values():
            member.offered = [0, 40, 0]
        fleet.run(4.0, lambda: _assert_no_overrun(fleet))
        fleet.members["d2"].alive = False
        fleet.members["d2"].offered = [0, 0, 0]
        fleet.members["d2"].running = []
        fleet.run(ABSENCE_TIMEOUT_S + 2.5)
        fleet.run(1.0, lambda: _assert_no_overrun(fleet))
        assert fleet.count_idle() <= 2

    def test_overrun_by_a_partitioned_member_is_bounded(self):
        fleet = _Fleet(4)
        for member in fleet.members.values():
            member.offered = [0, 40, 0]
        fleet.run(4.0)
        others = [name for name in NAMES if name != "d2"]
        fleet.cuts |= {("d2", name) for name in others}
        fleet.cuts |= {(name, "d2") for name in others}
        static = divide_statically(SERVICE, UPSTREAMS, NAMES)["d2"]

        def check():
            assert fleet.count_overrun() <= sum(static.values())

        # The last demand may be sent up to one second before the partition.
        fleet.run(ABSENCE_TIMEOUT_S - 1.5, lambda: _assert_no_overrun(fleet))
        fleet.run(10.0, check)
        _clear_faults(fleet)
        fleet.run(SETTLING_S, check)
        fleet.run(2.0, lambda: _assert_no_overrun(fleet))
        assert fleet.count_idle() <= 2


COUNTS = st.lists(st.integers(0, 20), min_size=3, max_size=3)


class TestPlan:
    @given(st.integers(0, 60), st.lists(COUNTS, min_size=1, max_size=4))
    def test_targets_use_every_slot_by_rank(self, total, demand):
        named = {f"d{n}": item for n, item in enumerate(demand)}
        targets = divide_by_demand(total, named)
        assert sum(targets.values()) == total
        # Urgent demand is met first and max-min fairly.
        short = [n for n in named if targets[n] < named[n][0]]
        for name in short:
            assert max(targets.values()) <= targets[name] + 1

    @given(st.lists(COUNTS, min_size=3, max_size=3), st.integers(0, 4))
    def test_plan_fills_the_slots_and_is_stable(self, demand, held_back):
        slots = {item.upstream_id: item.slots for item in UPSTREAMS}
        reserved = {"u0": held_back}
        named = dict(zip(NAMES, demand, strict=True))
        static = divide_statically(SERVICE, UPSTREAMS, NAMES)
        plan = plan_grants(slots, reserved, static, named)
        for key, limit in slots.items():
            used = sum(item[key] for item in plan.values())
            assert used == limit - reserved.get(key, 0)
        assert plan_grants(slots, reserved, plan, named) == plan
