"""Seeded fault schedules that check the floor per daemon and fleet-wide.

The upstreams that appear to fail are set directly on each daemon instead of
being detected from requests. Every daemon then tries to eject upstreams at
any time, and only the permit protocol limits it.
"""

import argparse
import enum
import functools
import math
import random
from typing import Any

import attrs

from hawthornmast.catalogue import Service
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health import HealthMonitor
from hawthornmast.health import permits
from hawthornmast.health import scores
from hawthornmast.health import Standing
from hawthornmast.health.owners import OwnerGroup
from hawthornmast.health.tests.simulation import make_upstreams
from hawthornmast.health.tests.simulation import Simulation

LENGTH_S = 120.0
LAG_S = 2.0
"""Maximum delay until a daemon that reaches the platform adopts a view."""

STALE_S = 0.5
"""Maximum age of the view in a response of the platform."""

STRICT_WINDOW_S = LAG_S + STALE_S + permits.CONFIRMATION_TERM_S
"""Maximum time for which a daemon may act on an outdated list; the window of
the strict check, which counts the ejections of all daemons together."""


class Defect(enum.StrEnum):
    """Mechanism to disable, to show that the checks detect its absence."""

    NONE = "none"
    NO_PERMITS = "no-permits"
    NO_HOLD = "no-hold"
    # A daemon resumed after a pause still applies expired ejections.
    NO_WAKE_CHECK = "no-wake-check"
    # A member may use a permit that it has transferred to another one.
    GIVER_KEEPS = "giver-keeps"
    NO_ECHO = "no-echo"
    NO_CONFIRMATION = "no-confirmation"
    # A released permit is not blocked until its announcement has expired.
    NO_QUARANTINE = "no-quarantine"


class _NoPermits(permits.PermitTable):
    def acquire(self, upstream_id: str, now: float) -> bool:
        permit = permits._Permit(usable_from=now, upstream_id=upstream_id)
        self._permits[-1 - len(self._permits)] = permit
        return True

    def find_expiry(self, upstream_id: str, now: float) -> float:
        used = any(
            p.upstream_id == upstream_id for p in self._permits.values()
        )
        return now + 60.0 if used else -math.inf


class _GiverKeeps(permits.PermitTable):
    def transfer(
        self, peer: str, wanted: int, now: float
    ) -> tuple[int, float]:
        index, remaining = super().transfer(peer, wanted, now)
        if index >= 0:
            self._permits[index].blocked_until = -math.inf
        return index, remaining


class _NoConfirmation(permits.PermitTable):
    @property
    def confirmed_until(self) -> float:
        return math.inf


class _NoQuarantine(permits.PermitTable):
    def release(self, upstream_id: str, now: float) -> None:
        for permit in self._permits.values():
            if permit.upstream_id == upstream_id:
                permit.upstream_id = ""


class _NoEcho(OwnerGroup):
    def accept(self, report: Any, sender: str, now: float) -> bool:
        accepted = super().accept(report, sender, now)
        if accepted:
            self._owners[sender].announced = {
                a.upstream_id: now + a.remaining_s
                for a in report.announcements
            }
        return accepted


class _NoWakeCheck(HealthMonitor):
    def standing(self, upstream_id: str) -> Standing:
        state = self._states.get(upstream_id)
        return Standing(ejected=state is not None and state.was_ejected)


_PERMIT_TABLES: dict[Defect, type[permits.PermitTable]] = {
    Defect.NO_PERMITS: _NoPermits,
    Defect.GIVER_KEEPS: _GiverKeeps,
    Defect.NO_CONFIRMATION: _NoConfirmation,
    Defect.NO_QUARANTINE: _NoQuarantine,
}


def make_monitor(
    service: Service, *, defect: Defect = Defect.NONE, **options: Any
) -> HealthMonitor:
    """Return a monitor, with one mechanism disabled if requested."""
    kind = _NoWakeCheck if defect is Defect.NO_WAKE_CHECK else HealthMonitor
    activation_delay_s = (
        0.0
        if defect is Defect.NO_HOLD
        else permits.NEW_GROUP_ACTIVATION_DELAY_S
    )
    monitor = kind(service, activation_delay_s=activation_delay_s, **options)
    self_id = options["self_id"]
    if defect in _PERMIT_TABLES:
        table = _PERMIT_TABLES[defect](
            self_id, activation_delay_s=activation_delay_s
        )
        monitor.budget.permits = table
    if defect is Defect.NO_ECHO:
        incarnation = options["incarnation"]
        monitor.budget.owners = _NoEcho(self_id, incarnation)
    return monitor


@attrs.frozen(kw_only=True)
class _View:
    """Published lists and catalogue document, with the publication time."""

    number: int
    time: float
    upstreams: tuple[Upstream, ...]
    group: tuple[str, ...]
    service: Service

    @property
    def listed(self) -> set[str]:
        """Upstreams that are not leaving."""
        return {u.upstream_id for u in self.upstreams if u.state == State.LIVE}

    @property
    def allowed(self) -> int:
        """Number of ejections that the floor allows."""
        size = len(self.listed)
        return max(0, size - self.service.count_floor(size))


@attrs.define(kw_only=True)
class ScheduleResult:
    """Violations and activity counts of one schedule.

    Parameters
    ----------
    per_daemon
        Checks at which one daemon ejected more upstreams than its own view
        allowed.
    strict
        Checks at which all daemons together ejected more upstreams than any
        view within ``STRICT_WINDOW_S`` allowed.
    """

    seed: int
    per_daemon: int = 0
    strict: int = 0
    ejections: int = 0
    transfers: int = 0
    steps: int = 0


class Schedule:
    """One seeded fault schedule over a group of daemons."""

    def __init__(self, seed: int, defect: Defect = Defect.NONE) -> None:
        self.rng = random.Random(seed)
        self.result = ScheduleResult(seed=seed)
        service = Service(name="s", owner="t", floor=0.7)
        make = functools.partial(make_monitor, defect=defect)
        self.sim = Simulation(seed + 1, service, make=make, tick_s=0.25)
        self.names = [f"d{i}" for i in range(self.rng.randint(3, 6))]
        self.rng.shuffle(self.names)
        self.cut_platform: set[str] = set()
        self.adopted: dict[str, _View] = {}
        self.views: list[_View] = []
        self.publish()
        for name in self.names:
            self.start(name)
        self.sim.on_step = self.check
        self._repeat(0.5, 2.0, self.change_failures)
        self._repeat(0.3, 2.5, self.inject_fault)
        self._repeat(4.0, 30.0, self.publish)
        for name in self.names:
            self._repeat(0.5, 2.5, functools.partial(self.ask_platform, name))

    def run(self) -> ScheduleResult:
        """Run the schedule and return its result."""
        self.sim.run_until(self.sim.now + LENGTH_S)
        for monitor in self.sim.monitors.values():
            for record in monitor._audit:
                self.result.ejections += record.act == "eject"
                self.result.transfers += record.act == "permit-granted"
        return self.result

    def start(self, name: str) -> None:
        """Start a daemon with the current view and access to the platform."""
        if name in self.cut_platform:
            self.cut_platform.discard(name)
        self.sim.start(name)
        self.adopt(name, self.views[-1])

    def adopt(self, name: str, view: _View) -> None:
        """Apply a view on a daemon, if it runs."""
        monitor = self.sim.monitors.get(name)
        if monitor is None:
            return
        if name in self.sim.paused:
            retry = functools.partial(self.adopt, name, self.views[-1])
            self.sim.call_at(self.sim.now + 0.05, retry)
            return
        current = self.adopted.get(name)
        if current is not None and current.number > view.number:
            return
        self.adopted[name] = view
        monitor.update(
            view.upstreams,
            view.group,
            view=str(view.number),
            service=view.service,
        )
        self.check()

    def publish(self) -> None:
        """Change the group, the upstreams or the floor."""
        rng = self.rng
        number = len(self.views) + 1
        last = self.views[-1] if self.views else None
        size = rng.randint(4, 12)
        floor = rng.choice([0.5, 0.6, 0.7, 0.8])
        group = tuple(n for n in self.names if rng.random() < 0.75) or tuple(
            self.names[:3]
        )
        if last is not None and rng.random() < 0.5:
            group = last.group
        service = Service(name="s", owner="t", floor=floor, revision=number)
        if last is not None and rng.random() < 0.4:
            service, size = last.service, len(last.upstreams)
        view = _View(
            number=number,
            time=self.sim.now,
            upstreams=tuple(
                make_upstreams(size, leaving=int(rng.random() < 0.2))
            ),
            group=group,
            service=service,
        )
        self.views.append(view)
        if last is None:
            return
        # One member of the old group always receives the change in time.
        # Otherwise an old group that is cut off from the platform and from
        # the new group could confirm itself, for which docs/floor.md allows
        # additional ejections.
        informed = rng.choice(last.group)
        for name in self.names:
            if name == informed or name not in self.cut_platform:
                self._plan_adoption(name)

    def _plan_adoption(self, name: str) -> None:
        view = self.views[-1]
        self.sim.call_at(
            self.sim.now + self.rng.uniform(0.05, LAG_S),
            functools.partial(self.adopt, name, view),
        )

    def ask_platform(self, name: str) -> None:
        """Confirm the view with a possibly stale and delayed response."""
        sent = self.sim.now
        monitor = self.sim.monitors.get(name)
        if monitor is None or name in self.cut_platform:
            return
        if name in self.sim.paused:
            return
        stale = sent - self.rng.uniform(0.0, STALE_S)
        current = [v for v in self.views if v.time <= stale]
        if not current:
            return
        number = str(current[-1].number)

        def answer() -> None:
            if self.sim.monitors.get(name) is not monitor:
                return
            if name in self.sim.paused:
                self.sim.call_at(self.sim.now + 0.1, answer)
                return
            monitor.confirm_view(number, sent)
            self.check()

        self.sim.call_at(sent + self.rng.uniform(0.0, 1.0), answer)

    def change_failures(self) -> None:
        """Change which upstreams appear to fail, separately per daemon."""
        rng = self.rng
        for name, monitor in self.sim.monitors.items():
            if rng.random() < 0.3:
                continue
            allowed = self.adopted[name].allowed
            names = sorted(monitor._states)
            failed = rng.sample(names, min(len(names), allowed))
            for upstream_id, state in monitor._states.items():
                state.failing = upstream_id in failed
                state.failing_since = self.sim.now
                state.cusum.level = (
                    scores.HIGH_THRESHOLD if state.failing else 0.0
                )
                # Short hold-offs let permits move between upstreams often.
                state.holdoff.backoff_exponent = 0
                if not state.failing and rng.random() < 0.5:
                    state.holdoff.until = 0.0

    def inject_fault(self) -> None:
        """Inject or end one random network, process or platform fault."""
        rng, sim = self.rng, self.sim
        name, peer = rng.choice(self.names), rng.choice(self.names)
        # 0: one-way cut; 1: partition; 2, 3: end of all cuts; 4: pause;
        # 5: kill and restart; 6: cut from the platform; 7, 8: end of the
        # platform cuts; 9: network delay; 10: message loss.
        kind = rng.randrange(11)
        if kind == 0:
            sim.cut.add((name, peer))
        elif kind == 1:
            part = {n for n in self.names if rng.random() < 0.5}
            for a in self.names:
                for b in self.names:
                    if (a in part) != (b in part):
                        sim.cut.add((a, b))
        elif kind in (2, 3):
            sim.cut.clear()
        elif kind == 4 and name in sim.monitors:
            if name not in sim.paused:
                sim.paused[name] = []
                self.sim.call_at(
                    sim.now + rng.choice([0.5, 2.0, 6.0, 25.0]),
                    functools.partial(self.resume, name),
                )
        elif kind == 5 and rng.random() < 0.5:
            sim.kill(name)
            restart_at = sim.now + rng.choice([0.0, 0.5, 5.0])
            sim.call_at(restart_at, functools.partial(self.restart, name))
        elif kind == 6:
            self.cut_platform.add(name)
        elif kind in (7, 8):
            for healed in self.cut_platform:
                self._plan_adoption(healed)
            self.cut_platform.clear()
        elif kind == 9:
            sim.delay = rng.choice([(0.001, 0.003), (0.01, 1.0), (0.5, 4.0)])
        elif kind == 10:
            sim.loss = rng.choice([0.0, 0.0, 0.1, 0.5])

    def resume(self, name: str) -> None:
        """End a pause, unless the daemon was killed."""
        if name in self.sim.paused:
            self.sim.resume(name)

    def restart(self, name: str) -> None:
        """Start a killed daemon again."""
        if name not in self.sim.monitors:
            self.adopted.pop(name, None)
            self.start(name)

    def check(self) -> None:
        """Count violations of the floor per daemon and fleet-wide."""
        self.result.steps += 1
        union: set[str] = set()
        for name, monitor in self.sim.monitors.items():
            view = self.adopted.get(name)
            if name in self.sim.paused or view is None:
                continue
            ejected = {u for u in view.listed if monitor.standing(u).ejected}
            if len(ejected) > view.allowed:
                self.result.per_daemon += 1
            union |= ejected
        since = self.sim.now - STRICT_WINDOW_S
        recent = [self.views[-1].allowed]
        for view, after in zip(self.views, self.views[1:], strict=False):
            if after.time >= since:
                recent.append(view.allowed)
        if len(union & self.views[-1].listed) > max(recent):
            self.result.strict += 1

    def _repeat(self, low: float, high: float, action: Any) -> None:
        def step() -> None:
            action()
            self.sim.call_at(self.sim.now + self.rng.uniform(low, high), step)

        self.sim.call_at(self.sim.now + self.rng.uniform(low, high), step)


def run_schedules(
    count: int, seed: int, *, defect: Defect = Defect.NONE
) -> list[ScheduleResult]:
    """Run ``count`` schedules with successive seeds."""
    return [Schedule(seed + i, defect).run() for i in range(count)]


def main() -> int:
    """Run schedules from the command line; return 1 on any violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--defect", default="none", choices=list(Defect))
    options = parser.parse_args()
    results = run_schedules(
        options.count, options.seed, defect=Defect(options.defect)
    )
    broken = [o for o in results if o.strict or o.per_daemon]
    print(
        f"defect={options.defect} schedules={len(results)} "
        f"first_seed={options.seed} broken={len(broken)} "
        f"strict={sum(o.strict for o in results)} "
        f"per_daemon={sum(o.per_daemon for o in results)} "
        f"ejections={sum(o.ejections for o in results)} "
        f"transfers={sum(o.transfers for o in results)} "
        f"steps={sum(o.steps for o in results)} "
        f"broken_seeds={[o.seed for o in broken[:10]]}"
    )
    return int(bool(broken))


if __name__ == "__main__":
    raise SystemExit(main())
