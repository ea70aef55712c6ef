"""Seeded schedules of returns to older copies beside other faults."""

import os
import random

import attrs
import pytest
import trio
import trio.testing

from hawthornmast.common import State
from hawthornmast.gateway import GatewayMember
from hawthornmast.gateway.tests.fleet import Fleet
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.membership.listing import REGISTRATION_GRACE_S

SEEDS = range(int(os.environ.get("ROLLBACK_SCHEDULES", "6")))

ZONES = (4, 3)
UPSTREAMS = 8
STEP_S = 0.1
STEPS = 250
HEARTBEAT_STEPS = 10
MAX_OPERATOR_DELAY_STEPS = 25
"""Steps until the operator writes again after a return, at most."""

LEASE_S = 2.0
"""Time after which an entry that isn't written again is removed."""

BOUND_S = 2.5


@attrs.define
class Process:
    """An upstream: it writes its entry with each heartbeat until it ends."""

    name: str
    leaving_at: float | None = None
    ended: bool = False


class World:
    """Upstreams, an operator and faults, of which a seed decides."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.platform = fleet.platform
        self.rng = random.Random(seed)
        self.upstreams = [Process(f"u{n}") for n in range(UPSTREAMS)]
        self.history = [fleet.platform.configuration]
        self.copies = [fleet.platform.take_copy()]
        self.written_at = {item.name: 0.0 for item in self.upstreams}
        self.rewrite_step = -1
        self.connected_since = dict.fromkeys(fleet.members, -10.0)
        self.newest: dict[GatewayMember, int] = {}

    def write(self, process: Process) -> None:
        """Write an upstream's entry in its present state."""
        self.platform.put_upstream(process.name)
        self.written_at[process.name] = trio.current_time()
        if process.leaving_at is not None:
            self.platform.mark_leaving(process.name)

    def publish(self) -> None:
        """Write a configuration that differs from all before it."""
        version = self.platform.configuration.version + 1
        routes = self.history[0].routes
        mark = attrs.evolve(routes[0], prefix=f"/{len(self.history)}/")
        self.history.append(
            make_configuration(version, routes=(mark, *routes[1:]))
        )
        self.platform.put_configuration(self.history[-1])

    def run_step(self, step: int) -> None:
        """Let all parties act once."""
        now = trio.current_time()
        for number, process in enumerate(self.upstreams):
            if not process.ended and (step + number) % HEARTBEAT_STEPS == 0:
                self.write(process)
        for name in list(self.platform.entries):
            if now - self.written_at[name] > LEASE_S:
                self.platform.remove(name)
        if step % 5 == 0:
            self.copies = [*self.copies[-8:], self.platform.take_copy()]
        if step == self.rewrite_step:
            self.rewrite_step = -1
            if self.rng.random() < 0.5:
                self.platform.put_configuration(self.history[-1])
            else:
                self.publish()
        if step < STEPS - 100:
            self.inject_faults(step, now)
        elif step == STEPS - 100:
            self.fleet.dark.clear()
            self.platform.silent.clear()

    def inject_faults(self, step: int, now: float) -> None:
        """Begin or end faults at random."""
        rng = self.rng
        if rng.random() < 0.02 and step > 30:
            # What a return drops is in no later copy.
            del self.copies[rng.randrange(len(self.copies)) + 1 :]
            self.platform.restore(self.copies[-1])
            for name in self.platform.entries:
                self.written_at[name] = now
            self.rewrite_step = step + rng.randint(1, MAX_OPERATOR_DELAY_STEPS)
        if rng.random() < 0.03 and self.rewrite_step < 0:
            self.publish()
        if rng.random() < 0.02:
            process = rng.choice(self.upstreams[2:])
            if process.leaving_at is None:
                process.leaving_at = now
                self.write(process)
        for process in self.upstreams:
            if process.leaving_at is not None and (
                now - process.leaving_at > 3.0 and not process.ended
            ):
                process.ended = True
                self.platform.entries.pop(process.name, None)
                self.platform.revision += 1
        if rng.random() < 0.03:
            host = rng.choice(sorted(self.fleet.members))
            rng.choice(
                [self.fleet.dark, self.platform.silent]
            ).symmetric_difference_update({host})
        if rng.random() < 0.02:
            self.fleet.restart(rng.choice(sorted(self.fleet.members)))

    def check(self) -> None:
        """Assert what must hold at any time."""
        now = trio.current_time()
        for host, member in self.fleet.members.items():
            # Members without memory may learn what left only from peers.
            if host in self.fleet.dark | self.platform.silent:
                self.connected_since[host] = now
            configuration = member.configuration
            if configuration is not None:
                index = self.history.index(configuration)
                assert index >= self.newest.get(member, 0), host
                # A new process may have read either.
                if now - member._started_at > BOUND_S:
                    self.newest[member] = index
            # After a gap, what is missing is kept for a while.
            reachable_since = max(
                self.connected_since[host] + REGISTRATION_GRACE_S,
                member._started_at,
            )
            if now - reachable_since < BOUND_S:
                continue
            for process in self.upstreams:
                entry = member.listing.entries.get(process.name)
                if (
                    process.leaving_at is not None
                    and now - process.leaving_at > BOUND_S
                    and entry is not None
                ):
                    assert entry.upstream.state is State.LEAVING, (
                        host,
                        process,
                    )


@pytest.mark.parametrize("seed", SEEDS)
async def test_members_agree_with_the_operator_and_the_upstreams(
    autojump_clock: trio.testing.MockClock,
    nursery: trio.Nursery,
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
) -> None:
    # Guards against orders of returns, faults and writes in which a member
    # goes back to an earlier configuration, uses an upstream that has
    # announced that it leaves, or keeps for good what nobody wrote.
    fleet = Fleet(
        ZONES,
        upstream_count=UPSTREAMS,
        nursery=nursery,
        monkeypatch=monkeypatch,
    )
    fleet.platform.era = 1
    await trio.sleep(3.0)
    world = World(fleet, seed)
    for step in range(STEPS):
        world.run_step(step)
        await trio.sleep(STEP_S)
        world.check()
    live = {p.name for p in world.upstreams if p.leaving_at is None}
    for host, member in fleet.members.items():
        assert member.configuration == world.history[-1], host
        assert live == {
            name
            for name, item in member.listing.entries.items()
            if item.upstream.state is State.LIVE
        }, host
