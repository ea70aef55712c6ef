"""Simulation of health monitors on a virtual clock and a lossy network."""

from collections.abc import Callable
import heapq
import itertools
import logging
import random
from typing import Any

from hawthornmast.audit import AuditTrail
from hawthornmast.catalogue import Service
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health import Evidence
from hawthornmast.health import HealthMonitor

logging.getLogger("hawthornmast.audit").setLevel(logging.ERROR)

TICK_S = 0.1


def make_upstreams(count: int, *, leaving: int = 0) -> list[Upstream]:
    """Return ``count`` upstreams; the last ``leaving`` ones are leaving."""
    return [
        Upstream(
            upstream_id=f"u{i}",
            zone="a",
            host="127.0.0.1",
            port=9000 + i,
            slots=4,
            state=State.LEAVING if i >= count - leaving else State.LIVE,
        )
        for i in range(count)
    ]


class Simulation:
    """Discrete-event simulation of the monitors of several daemons.

    Parameters
    ----------
    seed
        Seed of the random number generator.
    service
        Service that all monitors observe.
    make
        Constructor of a monitor.
    tick_s
        Interval between the ticks of a monitor.
    """

    def __init__(
        self,
        seed: int,
        service: Service,
        *,
        make: Callable[..., HealthMonitor] = HealthMonitor,
        tick_s: float = TICK_S,
    ) -> None:
        self._tick_s = tick_s
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.service = service
        self.make = make
        self.monitors: dict[str, HealthMonitor] = {}
        self.paused: dict[str, list[tuple[Any, str]]] = {}
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay = (0.0005, 0.002)
        self.on_step: Callable[[], None] = lambda: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action on the virtual clock."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def run_until(self, time: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= time:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = time

    def start(self, name: str, **options: Any) -> HealthMonitor:
        """Start a daemon with a new incarnation."""
        monitor = self.make(
            self.service,
            self_id=name,
            clock=lambda: self.now,
            post=lambda peer, message: self._post(name, peer, message),
            audit=AuditTrail(capacity=1000, clock=lambda: self.now),
            incarnation=self.rng.getrandbits(40),
            **options,
        )
        self.monitors[name] = monitor
        self.paused.pop(name, None)
        self._tick(name, monitor)
        return monitor

    def kill(self, name: str) -> None:
        """Crash a daemon."""
        self.monitors.pop(name, None)
        self.paused.pop(name, None)

    def resume(self, name: str) -> None:
        """End a pause; deliver the messages held back in random order."""
        waiting = self.paused.pop(name, [])
        self.on_step()
        self.rng.shuffle(waiting)
        for message, sender in waiting:
            self.monitors[name].handle(message, sender)
            self.on_step()

    def _tick(self, name: str, monitor: HealthMonitor) -> None:
        if self.monitors.get(name) is not monitor:
            return
        if name not in self.paused:
            monitor.tick()
            self.on_step()
        self.call_at(
            self.now + self._tick_s, lambda: self._tick(name, monitor)
        )

    def _post(self, sender: str, peer: str, message: Any) -> bool:
        lost = (sender, peer) in self.cut or self.rng.random() < self.loss
        if not lost:
            arrival = self.now + self.rng.uniform(*self.delay)
            self.call_at(arrival, lambda: self._deliver(sender, peer, message))
        return True

    def _deliver(self, sender: str, peer: str, message: Any) -> None:
        if peer not in self.monitors:
            return
        if peer in self.paused:
            self.paused[peer].append((message, sender))
            return
        self.monitors[peer].handle(message, sender)
        self.on_step()


class Traffic:
    """Poisson traffic from each daemon to each upstream.

    Parameters
    ----------
    simulation
        Simulation that runs the daemons.
    answer
        Called with daemon, upstream and time; returns the evidence and the
        latency, or None for a request that is never answered.
    rate
        Requests per second to each upstream, summed over all daemons.
    upstreams
        Upstreams that receive requests.
    """

    def __init__(
        self,
        simulation: Simulation,
        answer: Callable[[str, str, float], tuple[Evidence, float] | None],
        *,
        rate: float,
        upstreams: list[Upstream],
    ) -> None:
        self._simulation = simulation
        self._answer = answer
        self.failed: dict[str, int] = {}
        gap = len(simulation.monitors) / rate
        for name in simulation.monitors:
            for upstream in upstreams:
                self._schedule(name, upstream.upstream_id, gap)

    def _schedule(self, name: str, upstream_id: str, gap: float) -> None:
        sim = self._simulation

        def send() -> None:
            self._schedule(name, upstream_id, gap)
            monitor = sim.monitors.get(name)
            if monitor is None or monitor.standing(upstream_id).ejected:
                return
            found = self._answer(name, upstream_id, sim.now)
            attempt = monitor.begin(upstream_id, "entry")
            if found is None:
                return
            evidence, latency = found
            if evidence is Evidence.FAILED:
                count = self.failed.get(upstream_id, 0)
                self.failed[upstream_id] = count + 1
            sim.call_at(
                sim.now + latency, lambda: monitor.finish(attempt, evidence)
            )

        sim.call_at(sim.now + sim.rng.expovariate(1 / gap), send)
