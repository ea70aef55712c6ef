"""Seeded injection of process, network, platform and upstream faults."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import itertools
import random
import signal
from typing import Any

import attrs
import trio

from standins.upstream import Faults
from tools.fleet import Backend
from tools.fleet import Fleet
from tools.fleet import Member
from tools.fleet import PLATFORM
from tools.proofs import revisions

UPSTREAM_FAULTS: tuple[dict[str, Any], ...] = (
    {"error_rate": 1.0},
    {"error_rate": 0.5},
    {"mute": True, "run_muted": True},
    {"mute": True, "run_muted": False},
    {"slow_factor": 20.0},
    {"cut": "short"},
    {"cut": "chunked"},
    {"cut": "close"},
    {"cut": "head"},
    {"cut": "none"},
    {"refuse_reused": True},
    {"late_s": 1.5},
    {"crossed": True},
    {"two_lengths": True},
    {"old": True},
    {"shed_all": True},
    {"chunked": True},
    {"informational": True},
)

NO_FAULTS: dict[str, Any] = {
    name: value
    for name, value in attrs.asdict(Faults()).items()
    if name not in ("service_s", "keyed_bytes")
}
"""Clears all faults but keeps the service time and the body sizes."""

ALL_ACTIONS: dict[str, float] = {
    "kill": 3,
    "pause": 3,
    "cut_one_way": 2,
    "cut_both_ways": 1,
    "cut_halves": 2,
    "cut_platform": 1,
    "heal_cuts": 2,
    "platform_down": 1,
    "platform_stale": 1,
    "platform_slow": 0.5,
    "upstream_fault": 6,
    "upstream_pause": 1,
    "upstream_leaving": 1,
    "unlist_daemon": 1,
    "publish": 2,
    "publish_invalid": 0.5,
}
"""Relative weight of each action."""

FLOOR_ACTIONS: dict[str, float] = {
    "kill": 0.3,
    "pause": 2,
    "cut_one_way": 2,
    "cut_both_ways": 1,
    "cut_halves": 1,
    "cut_platform": 0.5,
    "heal_cuts": 3,
    "upstream_gray": 8,
}
"""Excludes list changes, after which no ejection permit is usable for 15 s.

A gray failure (``upstream_gray``) is one that passes health probes.
"""

MAX_UNAVAILABLE_DAEMONS = 3
MAX_LIST_DELAY_S = 3.0


class FaultInjector:
    """Injects faults into one fleet, chosen at random from a seed.

    Parameters
    ----------
    fleet
        A fleet whose peer streams pass through relays.
    seed
        Seed of all random choices.
    actions
        Names of actions with their weights.
    max_interval_s
        Longest time between two actions, in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        seed: int,
        actions: dict[str, float] | None = None,
        max_interval_s: float = 1.0,
    ) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._actions = actions or ALL_ACTIONS
        self._max_interval_s = max_interval_s
        self._cuts: set[tuple[str, str]] = set()
        self._unavailable: set[str] = set()
        self._unlisted: set[str] = set()
        self._leaving: set[Backend] = set()
        self._faulty: set[Backend] = set()
        self._nursery: trio.Nursery | None = None
        self.counts: dict[str, int] = {}
        self.daemon_failures: list[str] = []

    async def run(self, duration_s: float) -> None:
        """Inject faults for this duration, then clear all of them."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            with trio.move_on_after(duration_s):
                while True:
                    await trio.sleep(
                        self._random.uniform(0.1, self._max_interval_s)
                    )
                    # Several actions may coincide, even the same one twice.
                    for _ in range(self._random.choice((1, 1, 1, 2, 3))):
                        with trio.CancelScope(shield=True):
                            await self._run_action()
        await self.heal()

    async def _run_action(self) -> None:
        name = self._random.choices(
            list(self._actions), list(self._actions.values())
        )[0]
        self.counts[name] = self.counts.get(name, 0) + 1
        act: Callable[[], Awaitable[None]] = getattr(self, f"_{name}")
        await act()

    async def heal(self) -> None:
        """Clear all faults and wait until each daemon serves."""
        fleet = self._fleet
        self._cuts.clear()
        await fleet.set_cuts(())
        await fleet.control_platform("down?on=0")
        await fleet.control_platform("stale?on=0")
        await fleet.control_platform("slow?seconds=0")
        for member in fleet.members:
            self._restart_if_exited(member)
        for backend in list(self._faulty):
            await self._end_fault(backend)
        if self._unlisted:
            self._unlisted.clear()
            await fleet.publish_daemons()
        if self._leaving:
            await self._replace_leaving_upstreams()
        async with trio.open_nursery() as nursery:
            for member in fleet.members:
                nursery.start_soon(self._wait_until_serving, member)

    async def _wait_until_serving(self, member: Member) -> None:
        try:
            await self._fleet.wait_until_serving(member)
        except trio.TooSlowError:
            assert member.process is not None
            status = await self._fleet.query_admin(member, "/v1/status")
            log = member.process.read_log()[-3000:]
            self.daemon_failures.append(
                f"{member.instance.instance_id} does not serve: "
                f"running={member.process.running} {status} {log}"
            )

    async def _replace_leaving_upstreams(self) -> None:
        """Remove leaving upstreams from the lists and add them as new ones."""
        gone = {backend.upstream.upstream_id for backend in self._leaving}
        services = {backend.service for backend in self._leaving}
        for service in services:
            await self._fleet.publish_upstreams(service, gone=gone)
        await trio.sleep(1.5)
        for service in services:
            await self._fleet.publish_upstreams(service)
        self._leaving.clear()

    def _restart_if_exited(self, member: Member) -> None:
        """Record an unexpected exit as a failure and restart the daemon."""
        assert member.process is not None
        if not member.process.running:
            code = member.process.popen.returncode
            name = member.instance.instance_id
            log = member.process.read_log()[-2000:]
            self.daemon_failures.append(
                f"{name} exited unexpectedly with {code}: {log}"
            )
            self._fleet.start_member(member)

    def _run_after(
        self, seconds: float, action: Callable[[], Awaitable[None]]
    ) -> None:
        async def wait() -> None:
            await trio.sleep(seconds)
            await action()

        assert self._nursery is not None
        self._nursery.start_soon(wait)

    def _choose_member(self) -> Member | None:
        free = [
            member
            for member in self._fleet.members
            if member.instance.instance_id not in self._unavailable
        ]
        if len(self._unavailable) >= MAX_UNAVAILABLE_DAEMONS or not free:
            return None
        return self._random.choice(free)

    async def _kill(self) -> None:
        member = self._choose_member()
        if member is None:
            return
        name = member.instance.instance_id
        self._restart_if_exited(member)
        self._fleet.kill(member)
        self._unavailable.add(name)
        if "unlist_daemon" in self._actions and self._random.random() < 0.4:
            self._run_after(
                self._random.uniform(0.1, MAX_LIST_DELAY_S),
                functools.partial(self._unlist_temporarily, name),
            )
        self._run_after(
            self._random.uniform(0.1, 3.0),
            functools.partial(self._restart, member),
        )

    async def _restart(self, member: Member) -> None:
        assert member.process is not None
        await trio.to_thread.run_sync(member.process.popen.wait)
        self._fleet.start_member(member)
        self._unavailable.discard(member.instance.instance_id)

    async def _unlist_temporarily(self, name: str) -> None:
        """Remove a daemon from the published list and add it back later."""
        self._unlisted.add(name)
        await self._fleet.publish_daemons(gone=self._unlisted)
        self._run_after(
            self._random.uniform(0.5, MAX_LIST_DELAY_S),
            functools.partial(self._relist_daemon, name),
        )

    async def _relist_daemon(self, name: str) -> None:
        self._unlisted.discard(name)
        await self._fleet.publish_daemons(gone=self._unlisted)

    async def _unlist_daemon(self) -> None:
        member = self._random.choice(self._fleet.members)
        if len(self._unlisted) < 2:
            await self._unlist_temporarily(member.instance.instance_id)

    async def _pause(self) -> None:
        member = self._choose_member()
        if member is None:
            return
        self._fleet.pause(member)
        self._unavailable.add(member.instance.instance_id)
        self._run_after(
            self._random.uniform(0.5, 6.0),
            functools.partial(self._resume, member),
        )

    async def _resume(self, member: Member) -> None:
        self._fleet.resume(member)
        self._unavailable.discard(member.instance.instance_id)

    def _choose_pair(self) -> tuple[str, str]:
        first, second = self._random.sample(self._fleet.members, 2)
        return first.instance.instance_id, second.instance.instance_id

    async def _cut_one_way(self) -> None:
        self._cuts.add(self._choose_pair())
        await self._fleet.set_cuts(self._cuts)

    async def _cut_both_ways(self) -> None:
        first, second = self._choose_pair()
        self._cuts |= {(first, second), (second, first)}
        await self._fleet.set_cuts(self._cuts)

    async def _cut_halves(self) -> None:
        names = [m.instance.instance_id for m in self._fleet.members]
        self._random.shuffle(names)
        half = set(names[: len(names) // 2])
        self._cuts |= {
            (a, b)
            for a, b in itertools.permutations(names, 2)
            if (a in half) != (b in half)
        }
        if self._random.random() < 0.5:
            self._cuts |= {(PLATFORM, name) for name in half}
        await self._fleet.set_cuts(self._cuts)

    async def _cut_platform(self) -> None:
        """Cut some daemons off from the platform in one or both directions."""
        count = self._random.randint(1, len(self._fleet.members) // 2)
        for member in self._random.sample(self._fleet.members, count):
            name = member.instance.instance_id
            self._cuts.add((PLATFORM, name))
            if self._random.random() < 0.5:
                self._cuts.add((name, PLATFORM))
        await self._fleet.set_cuts(self._cuts)

    async def _heal_cuts(self) -> None:
        self._cuts.clear()
        await self._fleet.set_cuts(())

    async def _platform_down(self) -> None:
        on = self._random.choice((0, 1))
        await self._fleet.control_platform(f"down?on={on}")

    async def _platform_stale(self) -> None:
        on = self._random.choice((0, 1))
        await self._fleet.control_platform(f"stale?on={on}")

    async def _platform_slow(self) -> None:
        seconds = self._random.choice((0, 0.5, 2.0))
        await self._fleet.control_platform(f"slow?seconds={seconds}")

    async def _upstream_fault(self) -> None:
        fault = self._random.choice(UPSTREAM_FAULTS)
        await self._set_fault(fault, self._random.uniform(0.5, 4.0))

    async def _upstream_gray(self) -> None:
        gray = ({"error_rate": 1.0}, {"error_rate": 0.7}, {"cut": "none"})
        await self._set_fault(
            self._random.choice(gray), self._random.uniform(4.0, 15.0)
        )

    async def _set_fault(self, fault: dict[str, Any], seconds: float) -> None:
        backend = self._random.choice(self._fleet.backends)
        if backend in self._faulty:
            return
        self._faulty.add(backend)
        await self._fleet.set_faults(backend, **fault)
        end = functools.partial(self._end_fault, backend)
        self._run_after(seconds, end)

    async def _end_fault(self, backend: Backend) -> None:
        await self._fleet.set_faults(backend, **NO_FAULTS)
        self._faulty.discard(backend)

    async def _upstream_pause(self) -> None:
        backend = self._random.choice(self._fleet.backends)
        if backend in self._faulty:
            return
        self._faulty.add(backend)
        backend.process.signal(signal.SIGSTOP)

        async def resume() -> None:
            backend.process.signal(signal.SIGCONT)
            self._faulty.discard(backend)

        self._run_after(self._random.uniform(0.5, 4.0), resume)

    async def _upstream_leaving(self) -> None:
        backend = self._random.choice(self._fleet.backends)
        if backend in self._faulty or self._leaving:
            return
        self._leaving.add(backend)
        if self._random.random() < 0.5:
            self._faulty.add(backend)
            await self._fleet.set_faults(backend, leaving=True)
            end = functools.partial(self._end_fault, backend)
            self._run_after(self._random.uniform(0.5, 4.0), end)
        else:
            await self._fleet.publish_upstreams(
                backend.service, leaving=(backend.upstream.upstream_id,)
            )

    async def _publish(self) -> None:
        services = list(self._fleet.deployment.upstreams)
        await revisions.publish_valid(
            self._fleet, self._random.choice(services)
        )

    async def _publish_invalid(self) -> None:
        services = list(self._fleet.deployment.upstreams)
        await revisions.publish_invalid(
            self._fleet, self._random.choice(services)
        )
