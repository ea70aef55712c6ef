"""Simulates clients, daemons and upstreams on a virtual clock."""

from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Rank
from hawthornmast.common import Upstream
from hawthornmast.health import Standing
from hawthornmast.limits import Dispatcher
from hawthornmast.limits import divide_statically
from hawthornmast.limits import RetryBudget
from hawthornmast.limits import SlotAllocator
from hawthornmast.limits import UpstreamPool
from hawthornmast.limits.waiting import Waiter

DAEMON_NAMES = ("d0", "d1", "d2")
SERVICE_TIME_S = 0.1
TICK_INTERVAL_S = 0.05
LINK_DELAY_S = 0.001
PEER_TIMEOUT_S = 1.5
LIST_REMOVAL_DELAY_S = 2.0
"""Time from the kill of a daemon until it is removed from the lists."""

WARM_UP_S = 4.0
MEASUREMENT_S = 12.0
# Name, owner, rank, share of the offered load, deadline in ms, share of the
# slots in overload and in a flood. In overload the urgent entry may use all
# slots; in a flood the shares of all entries add up to the slots.
ENTRY_KINDS = (
    ("urgent", "a", Rank.URGENT, 0.10, 2000, 1.0, 0.2),
    ("standard-a", "a", Rank.STANDARD, 0.15, 3000, 0.15, 0.15),
    ("standard-b", "b", Rank.STANDARD, 0.15, 3000, 0.15, 0.15),
    ("background-a", "a", Rank.BACKGROUND, 0.30, 5000, 0.1, 0.25),
    ("background-b", "b", Rank.BACKGROUND, 0.30, 5000, 0.1, 0.25),
)


@attrs.define(kw_only=True, eq=False)
class Request:
    """A client request."""

    entry: Entry
    arrived: float
    deadline: float
    service_time_s: float
    measured: bool
    exclude: frozenset[str] = frozenset()


class EventLoop:
    """Event loop on a virtual clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_at(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time."""
        heapq.heappush(self._events, (time, next(self._sequence), call))

    def run(self, until: float) -> None:
        """Run the events scheduled up to a virtual time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()


class RunCounts:
    """Counters of one simulation run, by entry."""

    def __init__(self) -> None:
        names = [kind[0] for kind in ENTRY_KINDS]
        self.offered = dict.fromkeys(names, 0)
        self.on_time = dict.fromkeys(names, 0)
        self.busy_s = 0.0
        self.sheds = 0
        # Service time of the urgent requests that were offered.
        self.urgent_service_s = 0.0

    def compute_on_time_share(self, names: list[str]) -> float:
        """Return the share of requests completed by their deadline."""
        offered = sum(self.offered[name] for name in names)
        return sum(self.on_time[name] for name in names) / max(1, offered)


class SimulatedUpstreams:
    """Simulated upstreams that shed requests beyond their slots."""

    def __init__(
        self, loop: EventLoop, upstreams: list[Upstream], counts: RunCounts
    ) -> None:
        self._loop = loop
        self._slots = {item.upstream_id: item.slots for item in upstreams}
        self._running = dict.fromkeys(self._slots, 0)
        self._counts = counts

    def start(
        self, upstream_id: str, request: Request, done: Callable[[bool], None]
    ) -> None:
        """Execute a request, or shed it when all slots are busy."""
        loop = self._loop
        if self._running[upstream_id] >= self._slots[upstream_id]:
            self._counts.sheds += 1
            loop.call_at(loop.now + LINK_DELAY_S, lambda: done(False))
            return
        self._running[upstream_id] += 1
        # Upstreams abort a request at its deadline.
        end = min(loop.now + request.service_time_s, request.deadline)
        in_time = loop.now + request.service_time_s <= request.deadline
        first = max(loop.now, WARM_UP_S)
        last = min(end, WARM_UP_S + MEASUREMENT_S)
        if in_time:
            self._counts.busy_s += max(0.0, last - first)

        def finish() -> None:
            self._running[upstream_id] -= 1
            if in_time and request.measured:
                self._counts.on_time[request.entry.name] += 1
            done(True)

        loop.call_at(end, finish)


class Member:
    """A daemon with the components of ``hawthornmast.limits``."""

    def __init__(
        self,
        simulation: "OverloadSimulation",
        name: str,
        *,
        use_allocator: bool,
    ) -> None:
        self.simulation, self.name = simulation, name
        self.alive, self.paused_at = True, float("inf")
        self.last_heard = dict.fromkeys(DAEMON_NAMES, 0.0)
        self._deferred_calls: list[Callable[[], None]] = []
        loop, service = simulation.loop, simulation.service
        standing = Standing()
        self.pool = UpstreamPool(
            service,
            standing=lambda _: standing,
            random=simulation.random,
            drop_expired=self._drop_expired_slots,
        )
        self.pool.update(simulation.upstreams)
        self.dispatcher = Dispatcher(
            service,
            self.pool,
            clock=lambda: loop.now,
            random=simulation.random,
        )
        self.budgets = {
            entry.name: RetryBudget(entry.retry_ratio)
            for entry in service.entries
        }
        self.allocator: SlotAllocator | None = None
        if not use_allocator:
            shares = divide_statically(
                service, simulation.upstreams, DAEMON_NAMES
            )
            self._set_allowed(shares[name])
            return
        self.allocator = SlotAllocator(
            service,
            self_id=name,
            clock=lambda: loop.now,
            random=simulation.random,
            post=lambda to, message: simulation.post(name, to, message),
            reachable=lambda to: (
                loop.now - self.last_heard[to] < PEER_TIMEOUT_S
            ),
            on_change=self._set_allowed,
            demand=lambda: list(self.dispatcher.count_demand().values()),
            in_use=self.pool.in_use,
        )
        self.allocator.update(simulation.upstreams, DAEMON_NAMES)

    def _drop_expired_slots(self) -> None:
        if self.allocator is not None:
            self.allocator.check_term()

    def _set_allowed(self, allowed: dict[str, int]) -> None:
        self.pool.set_allowed(allowed)
        self.dispatcher.redispatch()

    def deliver(self, call: Callable[[], None]) -> None:
        """Run a callback in this daemon, deferred while it is paused."""
        if self.paused_at <= self.simulation.loop.now:
            self._deferred_calls.append(call)
        elif self.alive:
            call()

    def resume(self) -> None:
        """Resume the daemon and run the deferred callbacks."""
        self.paused_at = float("inf")
        calls, self._deferred_calls = self._deferred_calls, []
        for call in calls:
            self.deliver(call)

    def tick(self) -> None:
        """Send a heartbeat and run the allocator's periodic work."""
        if self.alive and self.paused_at > self.simulation.loop.now:
            self.simulation.record_heartbeat(self.name)
            if self.allocator is not None:
                self.allocator.tick()

    def submit(self, request: Request) -> None:
        """Enqueue a client request or a retry."""
        waiter = self.dispatcher.enqueue(
            request.entry,
            deadline=request.deadline,
            exclude=request.exclude,
            notify=lambda: self._start(waiter, request),
        )
        if waiter.outcome is not None:
            self._start(waiter, request)
            return
        self.simulation.loop.call_at(
            request.deadline,
            lambda: self.deliver(lambda: self._expire(waiter)),
        )

    def _expire(self, waiter: Waiter) -> None:
        if waiter.outcome is None:
            self.dispatcher.cancel(waiter)

    def _start(self, waiter: Waiter, request: Request) -> None:
        if waiter.outcome is None or waiter.outcome.is_err():
            return
        admission = waiter.outcome.unwrap()

        def finish(executed: bool) -> None:
            admission.release()
            budget = self.budgets[request.entry.name]
            if executed:
                if not request.exclude:
                    budget.record_completion()
            elif budget.take():
                request.exclude |= {admission.upstream.upstream_id}
                self.submit(request)

        self.simulation.backend.start(
            admission.upstream.upstream_id,
            request,
            lambda executed: self.deliver(lambda: finish(executed)),
        )


class SingleQueue:
    """Baseline with one shared queue, ordered by rank or by arrival."""

    def __init__(
        self, simulation: "OverloadSimulation", *, by_rank: bool
    ) -> None:
        self._simulation, self._by_rank = simulation, by_rank
        self._queue: list[tuple[int, int, Request]] = []
        self._sequence = itertools.count()
        self._free = [
            item.upstream_id
            for item in simulation.upstreams
            for _ in range(item.slots)
        ]
        self._limit = len(DAEMON_NAMES) * simulation.service.queue_limit

    def submit(self, request: Request) -> None:
        """Queue a request; drop the last in queue order when full."""
        rank = int(request.entry.rank) if self._by_rank else 0
        heapq.heappush(self._queue, (rank, next(self._sequence), request))
        if len(self._queue) > self._limit:
            self._queue.remove(max(self._queue[-len(self._queue) // 2 :]))
            heapq.heapify(self._queue)
        self._serve()

    def _serve(self) -> None:
        while self._free and self._queue:
            request = heapq.heappop(self._queue)[2]
            if request.deadline > self._simulation.loop.now:
                upstream_id = self._free.pop()
                self._simulation.backend.start(
                    upstream_id, request, self._make_finish(upstream_id)
                )

    def _make_finish(self, upstream_id: str) -> Callable[[bool], None]:
        def finish(executed: bool) -> None:
            self._free.append(upstream_id)
            self._serve()

        return finish


class OverloadSimulation:
    """One simulation run of clients, upstreams and daemons or a baseline."""

    def __init__(
        self,
        seed: int,
        upstreams: tuple[int, int],
        policy: str,
        *,
        load: float,
        flooding_entries: tuple[str, ...] = (),
        use_flood_shares: bool = False,
        fault: str = "",
        urgent_load_factor: float = 1.0,
    ) -> None:
        self.random = random.Random(seed)
        self.loop = EventLoop()
        self.counts = RunCounts()
        count, slots = upstreams
        self.capacity = count * slots
        self.upstreams = [
            Upstream(
                upstream_id=f"u{n}", zone="z", host="::1", port=1, slots=slots
            )
            for n in range(count)
        ]
        entries = tuple(
            Entry(
                name=kind[0],
                owner=kind[1],
                rank=kind[2],
                deadline_ms=kind[4],
                share=kind[6] if use_flood_shares else kind[5],
                queue_limit=256,
            )
            for kind in ENTRY_KINDS
        )
        self.service = Service(
            name="s", owner="o", queue_limit=512, entries=entries
        )
        self.backend = SimulatedUpstreams(
            self.loop, self.upstreams, self.counts
        )
        self.partitioned: set[str] = set()
        self.members: dict[str, Member] = {}
        self._queue: SingleQueue | None = None
        if policy in ("fifo", "priority"):
            self._queue = SingleQueue(self, by_rank=policy == "priority")
        else:
            for name in DAEMON_NAMES:
                self.members[name] = Member(
                    self, name, use_allocator=policy == "fleet"
                )
            self._schedule_ticks()
        for number, (kind, entry) in enumerate(
            zip(ENTRY_KINDS, entries, strict=True)
        ):
            factor = 10.0 if entry.name in flooding_entries else 1.0
            if entry.rank is Rank.URGENT:
                factor *= urgent_load_factor
            rate = load * factor * kind[3] * self.capacity / SERVICE_TIME_S
            # A random stream per entry keeps the requests of the other
            # entries identical with and without a flood.
            source = random.Random(seed * 1000 + number)
            self._schedule_arrivals(source, entry, rate)
        if fault:
            self._schedule_fault(fault)

    def run(self) -> RunCounts:
        """Run the simulation and return its counters."""
        self.loop.run(WARM_UP_S + MEASUREMENT_S + 6.0)
        return self.counts

    def post(self, sender: str, to: str, message: object) -> bool:
        """Deliver a message between daemons; return False if partitioned."""
        if {sender, to} & self.partitioned:
            return False
        member = self.members[to]
        allocator = member.allocator
        if allocator is not None:
            self.loop.call_at(
                self.loop.now + LINK_DELAY_S,
                lambda: member.deliver(
                    lambda: allocator.handle(message, sender)
                ),
            )
        return True

    def record_heartbeat(self, name: str) -> None:
        """Record a heartbeat of a daemon on all daemons that it reaches."""
        for other in self.members.values():
            if not {name, other.name} & self.partitioned or other.name == name:
                other.last_heard[name] = self.loop.now

    def _schedule_ticks(self) -> None:
        for member in self.members.values():
            member.tick()
        if self.loop.now < WARM_UP_S + MEASUREMENT_S:
            self.loop.call_at(
                self.loop.now + TICK_INTERVAL_S, self._schedule_ticks
            )

    def _schedule_arrivals(
        self, source: random.Random, entry: Entry, rate: float
    ) -> None:
        def arrive() -> None:
            now = self.loop.now
            measured = now >= WARM_UP_S
            request = Request(
                entry=entry,
                arrived=now,
                deadline=now + entry.deadline_ms / 1000,
                service_time_s=source.expovariate(1 / SERVICE_TIME_S),
                measured=measured,
            )
            if measured:
                self.counts.offered[entry.name] += 1
                if entry.rank is Rank.URGENT:
                    self.counts.urgent_service_s += request.service_time_s
            self._route(source.random(), request)
            next_arrival = now + source.expovariate(rate)
            if next_arrival < WARM_UP_S + MEASUREMENT_S:
                self.loop.call_at(next_arrival, arrive)

        self.loop.call_at(source.expovariate(rate), arrive)

    def _route(self, daemon_draw: float, request: Request) -> None:
        if self._queue is not None:
            self._queue.submit(request)
            return
        now = self.loop.now
        # Clients fail over at once when a connection is refused, and after
        # PEER_TIMEOUT_S when a daemon stops responding.
        usable = [
            member
            for member in self.members.values()
            if member.alive and member.paused_at + PEER_TIMEOUT_S > now
        ]
        member = usable[int(daemon_draw * len(usable))]
        member.deliver(lambda: member.submit(request))

    def _schedule_fault(self, fault: str) -> None:
        faulty_member = self.members["d0"]
        start = WARM_UP_S + MEASUREMENT_S / 3
        if fault == "kill":

            def kill() -> None:
                faulty_member.alive = False

            def remove_from_list() -> None:
                for name in DAEMON_NAMES[1:]:
                    allocator = self.members[name].allocator
                    if allocator is not None:
                        allocator.update(self.upstreams, DAEMON_NAMES[1:])

            self.loop.call_at(start, kill)
            self.loop.call_at(start + LIST_REMOVAL_DELAY_S, remove_from_list)
        elif fault == "pause":

            def pause() -> None:
                faulty_member.paused_at = self.loop.now

            self.loop.call_at(start, pause)
            self.loop.call_at(start + 3.0, faulty_member.resume)
        else:
            self.loop.call_at(start, lambda: self.partitioned.add("d0"))
            self.loop.call_at(start + 4.0, self.partitioned.clear)
