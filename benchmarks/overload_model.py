"""Simulation of callers, daemons and upstreams on a virtual clock."""

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

NAMES = ("d0", "d1", "d2")
SERVICE_S = 0.1
TICK_S = 0.05
LINK_S = 0.001
SILENCE_S = 1.5
LIST_LAG_S = 2.0
WARM_UP_S = 4.0
MEASURED_S = 12.0
# Name, owner, rank, share of the offered load, deadline, share of the slots
# in overload and in a flood. In overload the owner lets urgent work use all
# slots; in a flood each rank has limits that add up to the slots.
KINDS = (
    ("urgent", "a", Rank.URGENT, 0.10, 2000, 1.0, 0.2),
    ("standard-a", "a", Rank.STANDARD, 0.15, 3000, 0.15, 0.15),
    ("standard-b", "b", Rank.STANDARD, 0.15, 3000, 0.15, 0.15),
    ("background-a", "a", Rank.BACKGROUND, 0.30, 5000, 0.1, 0.25),
    ("background-b", "b", Rank.BACKGROUND, 0.30, 5000, 0.1, 0.25),
)


@attrs.define(kw_only=True, eq=False)
class Request:
    """One request of a caller."""

    entry: Entry
    arrived: float
    deadline: float
    seconds: float
    measured: bool
    exclude: frozenset[str] = frozenset()


class Loop:
    """Events on a virtual clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), call))

    def run(self, until: float) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()


class Tally:
    """Counts of one run by entry."""

    def __init__(self) -> None:
        names = [kind[0] for kind in KINDS]
        self.offered = dict.fromkeys(names, 0)
        self.on_time = dict.fromkeys(names, 0)
        self.busy_s = 0.0
        self.sheds = 0
        self.top_s = 0.0

    def share(self, names: list[str]) -> float:
        """Return the share of requests answered on time."""
        offered = sum(self.offered[name] for name in names)
        return sum(self.on_time[name] for name in names) / max(1, offered)


class Backend:
    """Upstreams that shed requests beyond their slots."""

    def __init__(
        self, loop: Loop, upstreams: list[Upstream], tally: Tally
    ) -> None:
        self._loop = loop
        self._slots = {item.upstream_id: item.slots for item in upstreams}
        self._running = dict.fromkeys(self._slots, 0)
        self._tally = tally

    def start(
        self, upstream_id: str, request: Request, done: Callable[[bool], None]
    ) -> None:
        """Run or shed a request."""
        loop = self._loop
        if self._running[upstream_id] >= self._slots[upstream_id]:
            self._tally.sheds += 1
            loop.at(loop.now + LINK_S, lambda: done(False))
            return
        self._running[upstream_id] += 1
        # Upstreams stop a request at its deadline.
        end = min(loop.now + request.seconds, request.deadline)
        in_time = loop.now + request.seconds <= request.deadline
        first = max(loop.now, WARM_UP_S)
        last = min(end, WARM_UP_S + MEASURED_S)
        if in_time:
            self._tally.busy_s += max(0.0, last - first)

        def finish() -> None:
            self._running[upstream_id] -= 1
            if in_time and request.measured:
                self._tally.on_time[request.entry.name] += 1
            done(True)

        loop.at(end, finish)


class Member:
    """One daemon with the real limits slice."""

    def __init__(self, fleet: "Fleet", name: str, *, granted: bool) -> None:
        self.fleet, self.name = fleet, name
        self.alive, self.paused_at = True, float("inf")
        self.heard = dict.fromkeys(NAMES, 0.0)
        self._held_back: list[Callable[[], None]] = []
        loop, service = fleet.loop, fleet.service
        standing = Standing()
        self.pool = UpstreamPool(
            service,
            standing=lambda _: standing,
            random=fleet.random,
            drop_expired=self._check_term,
        )
        self.pool.update(fleet.upstreams)
        self.dispatcher = Dispatcher(
            service, self.pool, clock=lambda: loop.now, random=fleet.random
        )
        self.budgets = {
            entry.name: RetryBudget(entry.retry_ratio)
            for entry in service.entries
        }
        self.allocator: SlotAllocator | None = None
        if not granted:
            shares = divide_statically(service, fleet.upstreams, NAMES)
            self._set_allowed(shares[name])
            return
        self.allocator = SlotAllocator(
            service,
            self_id=name,
            clock=lambda: loop.now,
            random=fleet.random,
            post=lambda to, message: fleet.post(name, to, message),
            reachable=lambda to: loop.now - self.heard[to] < SILENCE_S,
            on_change=self._set_allowed,
            demand=lambda: list(self.dispatcher.count_demand().values()),
            in_use=self.pool.in_use,
        )
        self.allocator.update(fleet.upstreams, NAMES)

    def _check_term(self) -> None:
        if self.allocator is not None:
            self.allocator.check_term()

    def _set_allowed(self, allowed: dict[str, int]) -> None:
        self.pool.set_allowed(allowed)
        self.dispatcher.redispatch()

    def deliver(self, call: Callable[[], None]) -> None:
        """Run a call in this process, once it isn't paused."""
        if self.paused_at <= self.fleet.loop.now:
            self._held_back.append(call)
        elif self.alive:
            call()

    def resume(self) -> None:
        """End a pause."""
        self.paused_at = float("inf")
        calls, self._held_back = self._held_back, []
        for call in calls:
            self.deliver(call)

    def tick(self) -> None:
        """Run the periodic work."""
        if self.alive and self.paused_at > self.fleet.loop.now:
            self.fleet.beat(self.name)
            if self.allocator is not None:
                self.allocator.tick()

    def submit(self, request: Request) -> None:
        """Take a request of a caller or a retry."""
        waiter = self.dispatcher.enqueue(
            request.entry,
            deadline=request.deadline,
            exclude=request.exclude,
            notify=lambda: self._start(waiter, request),
        )
        if waiter.outcome is not None:
            self._start(waiter, request)
            return
        self.fleet.loop.at(
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

        def finish(ran: bool) -> None:
            admission.release()
            budget = self.budgets[request.entry.name]
            if ran:
                if not request.exclude:
                    budget.record_completion()
            elif budget.take():
                request.exclude |= {admission.upstream.upstream_id}
                self.submit(request)

        self.fleet.backend.start(
            admission.upstream.upstream_id,
            request,
            lambda ran: self.deliver(lambda: finish(ran)),
        )


class SingleQueue:
    """Baseline: one queue in front of all slots, by rank or by arrival."""

    def __init__(self, fleet: "Fleet", *, by_rank: bool) -> None:
        self._fleet, self._by_rank = fleet, by_rank
        self._queue: list[tuple[int, int, Request]] = []
        self._numbers = itertools.count()
        self._free = [
            item.upstream_id
            for item in fleet.upstreams
            for _ in range(item.slots)
        ]
        self._limit = len(NAMES) * fleet.service.queue_limit

    def submit(self, request: Request) -> None:
        """Queue a request; the last in order is dropped when full."""
        rank = int(request.entry.rank) if self._by_rank else 0
        heapq.heappush(self._queue, (rank, next(self._numbers), request))
        if len(self._queue) > self._limit:
            self._queue.remove(max(self._queue[-len(self._queue) // 2 :]))
            heapq.heapify(self._queue)
        self._serve()

    def _serve(self) -> None:
        while self._free and self._queue:
            request = heapq.heappop(self._queue)[2]
            if request.deadline > self._fleet.loop.now:
                upstream_id = self._free.pop()
                self._fleet.backend.start(
                    upstream_id, request, self._finish(upstream_id)
                )

    def _finish(self, upstream_id: str) -> Callable[[bool], None]:
        def finish(ran: bool) -> None:
            self._free.append(upstream_id)
            self._serve()

        return finish


class Fleet:
    """One run: callers, daemons or a baseline, and upstreams."""

    def __init__(
        self,
        seed: int,
        upstreams: tuple[int, int],
        policy: str,
        *,
        load: float,
        flood: tuple[str, ...] = (),
        limited: bool = False,
        fault: str = "",
        top_factor: float = 1.0,
    ) -> None:
        self.random = random.Random(seed)
        self.loop = Loop()
        self.tally = Tally()
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
                share=kind[6] if limited else kind[5],
                queue_limit=256,
            )
            for kind in KINDS
        )
        self.service = Service(
            name="s", owner="o", queue_limit=512, entries=entries
        )
        self.backend = Backend(self.loop, self.upstreams, self.tally)
        self.cut: set[str] = set()
        self.members: dict[str, Member] = {}
        self._queue: SingleQueue | None = None
        if policy in ("fifo", "priority"):
            self._queue = SingleQueue(self, by_rank=policy == "priority")
        else:
            for name in NAMES:
                self.members[name] = Member(
                    self, name, granted=policy == "fleet"
                )
            self._schedule_ticks()
        for number, (kind, entry) in enumerate(
            zip(KINDS, entries, strict=True)
        ):
            factor = 10.0 if entry.name in flood else 1.0
            if entry.rank is Rank.URGENT:
                factor *= top_factor
            rate = load * factor * kind[3] * self.capacity / SERVICE_S
            # An own stream for each entry keeps the others' requests the
            # same with and without a flood.
            source = random.Random(seed * 1000 + number)
            self._arrive(source, entry, rate)
        if fault:
            self._schedule_fault(fault)

    def run(self) -> Tally:
        """Run to the end and return the counts."""
        self.loop.run(WARM_UP_S + MEASURED_S + 6.0)
        return self.tally

    def post(self, sender: str, to: str, message: object) -> bool:
        """Carry a message between daemons."""
        if {sender, to} & self.cut:
            return False
        member = self.members[to]
        allocator = member.allocator
        if allocator is not None:
            self.loop.at(
                self.loop.now + LINK_S,
                lambda: member.deliver(
                    lambda: allocator.handle(message, sender)
                ),
            )
        return True

    def beat(self, name: str) -> None:
        """Record that the others hear from a daemon."""
        for other in self.members.values():
            if not {name, other.name} & self.cut or other.name == name:
                other.heard[name] = self.loop.now

    def _schedule_ticks(self) -> None:
        for member in self.members.values():
            member.tick()
        if self.loop.now < WARM_UP_S + MEASURED_S:
            self.loop.at(self.loop.now + TICK_S, self._schedule_ticks)

    def _arrive(
        self, source: random.Random, entry: Entry, rate: float
    ) -> None:
        def arrive() -> None:
            now = self.loop.now
            measured = now >= WARM_UP_S
            request = Request(
                entry=entry,
                arrived=now,
                deadline=now + entry.deadline_ms / 1000,
                seconds=source.expovariate(1 / SERVICE_S),
                measured=measured,
            )
            if measured:
                self.tally.offered[entry.name] += 1
                if entry.rank is Rank.URGENT:
                    self.tally.top_s += request.seconds
            self._route(source.random(), request)
            following = now + source.expovariate(rate)
            if following < WARM_UP_S + MEASURED_S:
                self.loop.at(following, arrive)

        self.loop.at(source.expovariate(rate), arrive)

    def _route(self, choice: float, request: Request) -> None:
        if self._queue is not None:
            self._queue.submit(request)
            return
        now = self.loop.now
        # Callers move on from a refused connection at once and from a
        # silent daemon after a while.
        usable = [
            member
            for member in self.members.values()
            if member.alive and member.paused_at + SILENCE_S > now
        ]
        member = usable[int(choice * len(usable))]
        member.deliver(lambda: member.submit(request))

    def _schedule_fault(self, fault: str) -> None:
        first = self.members["d0"]
        start = WARM_UP_S + MEASURED_S / 3
        if fault == "kill":

            def kill() -> None:
                first.alive = False

            def drop() -> None:
                for name in NAMES[1:]:
                    allocator = self.members[name].allocator
                    if allocator is not None:
                        allocator.update(self.upstreams, NAMES[1:])

            self.loop.at(start, kill)
            self.loop.at(start + LIST_LAG_S, drop)
        elif fault == "pause":

            def pause() -> None:
                first.paused_at = self.loop.now

            self.loop.at(start, pause)
            self.loop.at(start + 3.0, first.resume)
        else:
            self.loop.at(start, lambda: self.cut.add("d0"))
            self.loop.at(start + 4.0, self.cut.clear)
