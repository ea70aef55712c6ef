"""Admission of requests by rank, limit and deadline."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random as random_module

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Rank
from hawthornmast.common import Upstream
from hawthornmast.limits.admission import Admission
from hawthornmast.limits.admission import Reason
from hawthornmast.limits.admission import Refusal
from hawthornmast.limits.waiting import Pool
from hawthornmast.limits.waiting import Waiter

_SMOOTHING = 0.1
"""Weight of the newest service time in its moving average."""

_RETRY_AFTER_S = 0.25
"""Least time before a refused request may profit from a new attempt."""

_MARGIN = 3.0
"""Mean service times that must remain; 95% of exponential ones are shorter.

Without it a full queue serves its requests just before their deadlines and
most of the work is lost.
"""

_LEAST_SHARE = 1e-6
"""Stands for a share of 0 in ratios of use per share."""


@attrs.define(kw_only=True, eq=False)
class _Queue:
    """Waiting and running requests of one entry."""

    entry: Entry
    # A dict keeps arrival order and removes any waiter in constant time.
    waiting: dict[int, Waiter] = attrs.field(factory=dict)
    running: int = 0
    turn: int = 0
    listed: bool = True
    # Mean time between grants since requests began to wait.
    pace: float = 0.0
    paced_at: float = 0.0

    @property
    def share(self) -> float:
        """Share used as a divisor."""
        return max(self.entry.share, _LEAST_SHARE)

    def classify(self, slots: int) -> tuple[bool, Rank]:
        """Return the class of the next request; a lower one goes first."""
        beyond = self.running >= self.entry.share * slots - 1e-9
        return beyond, self.entry.rank

    def order(self, slots: int) -> tuple[bool, Rank, float, int]:
        """Return the sort key of the next request among the entries."""
        # Equal use is resolved by the longest time since the last turn.
        return (*self.classify(slots), self.running / self.share, self.turn)

    def record_pace(self, now: float) -> None:
        """Count a grant to a request that waited."""
        gap = now - self.paced_at
        self.pace += _SMOOTHING * (gap - self.pace)
        self.paced_at = now


class Dispatcher:
    """Admits requests of one service to the slots of its pool.

    Parameters
    ----------
    service
        Service with its entries and limits.
    pool
        Upstream slots that this daemon may use.
    clock
        Monotonic time in seconds, the clock of all deadlines.
    random
        Source of the jitter in ``retry_after``.
    margin
        Mean service times that must remain when a request starts.
    """

    def __init__(
        self,
        service: Service,
        pool: Pool,
        *,
        clock: Callable[[], float],
        random: random_module.Random,
        margin: float = _MARGIN,
    ) -> None:
        self._service = service
        self._margin = margin
        self._pool = pool
        self._clock = clock
        self._random = random
        self._queues = {
            entry.name: _Queue(entry=entry) for entry in service.entries
        }
        self._waiting = 0
        self._turns = 0
        self._service_time = 0.0
        self._slots = pool.count_usable()
        self._closed = False
        self._dispatching = False

    async def admit(
        self,
        entry: Entry,
        *,
        deadline: float,
        exclude: Iterable[str] = (),
    ) -> Result[Admission, Refusal]:
        """Wait for a slot until ``deadline``.

        Does not pass a checkpoint when the outcome is known at once.
        """
        waiter = self.enqueue(entry, deadline=deadline, exclude=exclude)
        if waiter.outcome is not None:
            return waiter.outcome
        event = trio.Event()
        waiter.notify = event.set
        try:
            with trio.move_on_after(max(0.0, deadline - self._clock())):
                await event.wait()
        except BaseException:
            # A grant may have been made in the same instant as the
            # cancellation; its slot goes to the next request.
            self.cancel(waiter)
            raise
        if waiter.outcome is None:
            self._settle(waiter, Err(self._refuse(Reason.DEADLINE)))
        elif waiter.outcome.is_ok() and self._clock() >= deadline:
            self.cancel(waiter)
            return Err(self._refuse(Reason.DEADLINE))
        assert waiter.outcome is not None
        return waiter.outcome

    def enqueue(
        self,
        entry: Entry,
        *,
        deadline: float,
        exclude: Iterable[str] = (),
        notify: Callable[[], None] | None = None,
    ) -> Waiter:
        """Admit, queue or refuse a request without waiting."""
        now = self._clock()
        waiter = Waiter(
            entry=entry.name,
            deadline=deadline,
            arrived=now,
            exclude=frozenset(exclude),
        )
        queue = self._find(entry)
        refusal = self._check(waiter, now)
        if refusal is not None:
            waiter.outcome = Err(refusal)
            return waiter
        if not self._waiting:
            upstream = self._pool.take(
                waiter.exclude,
                retryable=entry.idempotent,
                time_left_fraction=waiter.time_left_fraction(now),
            )
            if upstream is not None:
                waiter.outcome = self._grant(queue, waiter, upstream, now)
                return waiter
        # A slot that was taken shows that there is a candidate.
        if not self._pool.has_candidate(waiter.exclude):
            waiter.outcome = Err(self._refuse(Reason.NO_UPSTREAM))
            return waiter
        refusal = self._make_room(queue, waiter, now)
        if refusal is not None:
            waiter.outcome = Err(refusal)
            return waiter
        if not queue.waiting:
            # The first gaps alone would refuse urgent work by chance, so
            # the pace starts from that of all slots.
            queue.pace = self._service_time / max(1, self._slots)
            queue.paced_at = now
        queue.waiting[id(waiter)] = waiter
        self._waiting += 1
        self._dispatch()
        waiter.notify = notify
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        """Drop a request; a slot granted to it goes to the next one."""
        if waiter.outcome is None:
            self._remove(waiter)
        elif isinstance(waiter.outcome, Ok):
            waiter.outcome.ok_value.release()

    def redispatch(self) -> None:
        """Use slots that became free by a change of standing or division."""
        self._slots = self._pool.count_usable()
        self._dispatch()

    def update_service(self, service: Service) -> None:
        """Apply a new revision; waiting requests keep their places."""
        self._service = service
        listed = {entry.name: entry for entry in service.entries}
        for name, queue in list(self._queues.items()):
            queue.listed = name in listed
            if queue.listed:
                queue.entry = listed[name]
            else:
                self._discard(name)
        for name, entry in listed.items():
            if name not in self._queues:
                self._queues[name] = _Queue(entry=entry)
        self.redispatch()

    def close(self) -> None:
        """Refuse waiting and future requests; running ones finish."""
        self._closed = True
        for queue in list(self._queues.values()):
            for waiter in list(queue.waiting.values()):
                self._settle(waiter, Err(self._refuse(Reason.CLOSING)))

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._waiting

    def count_demand(self) -> dict[Rank, int]:
        """Return running and waiting requests by rank."""
        demand = dict.fromkeys(Rank, 0)
        for queue in self._queues.values():
            demand[queue.entry.rank] += queue.running + len(queue.waiting)
        return demand

    def _find(self, entry: Entry) -> _Queue:
        queue = self._queues.get(entry.name)
        if queue is None:
            # The request was matched under a revision just replaced.
            queue = _Queue(entry=entry, listed=False)
            self._queues[entry.name] = queue
        return queue

    def _check(self, waiter: Waiter, now: float) -> Refusal | None:
        if self._closed:
            return self._refuse(Reason.CLOSING)
        if now >= waiter.deadline:
            return self._refuse(Reason.DEADLINE)
        return None

    def _make_room(
        self, queue: _Queue, waiter: Waiter, now: float
    ) -> Refusal | None:
        entry = queue.entry
        latest = waiter.deadline - self._count_margin(waiter)
        if now + self._estimate_wait(queue, now) > latest:
            return self._refuse(
                Reason.DEADLINE, f"deadline_ms={entry.deadline_ms}"
            )
        if len(queue.waiting) >= entry.queue_limit:
            return self._refuse(
                Reason.QUEUE_FULL, f"queue_limit={entry.queue_limit}"
            )
        limit = self._service.queue_limit
        if self._waiting < limit:
            return None
        text = f"service queue_limit={limit}"
        victim = self._find_victim(queue)
        if victim is queue or not victim.waiting:
            return self._refuse(Reason.QUEUE_FULL, text)
        newest = victim.waiting[next(reversed(victim.waiting))]
        self._settle(newest, Err(self._refuse(Reason.DISPLACED, text)))
        return None

    def _find_victim(self, arriving: _Queue) -> _Queue:
        """Return the entry that gives up a place for a new request.

        Entries that wait beyond their share of the queue come first, then
        those of the lowest rank, then those with the most per share.
        """
        limit = self._service.queue_limit

        def excess(queue: _Queue) -> tuple[bool, Rank, float]:
            count = len(queue.waiting) + (queue is arriving)
            beyond = count > queue.entry.share * limit
            return beyond, queue.entry.rank, count / queue.share

        candidates = [
            queue
            for queue in self._queues.values()
            if queue.waiting or queue is arriving
        ]
        return max(candidates, key=excess)

    def _count_margin(self, waiter: Waiter) -> float:
        """Return the seconds that must remain when a request starts.

        At most half of its time, so that a high estimate of the service
        time can't keep all requests from running and itself from falling.
        """
        half = (waiter.deadline - waiter.arrived) / 2
        return min(self._margin * self._service_time, half)

    def _estimate_wait(self, queue: _Queue, now: float) -> float:
        """Return the expected wait of a new request of the entry.

        The pace of grants to the entry includes what goes ahead of it while
        it waits. When none waits, the requests ahead by class are counted.
        """
        if queue.waiting:
            gap = now - queue.paced_at
            pace = queue.pace + _SMOOTHING * max(0.0, gap - queue.pace)
            return len(queue.waiting) * pace
        if not self._slots:
            return 0.0
        own = queue.classify(self._slots)
        ahead = len(queue.waiting) + 1
        for other in self._queues.values():
            theirs = other.classify(self._slots)
            if other is queue or theirs >= own:
                continue
            count = len(other.waiting)
            if theirs[1] >= own[1]:
                # It goes ahead only until it reaches its limit.
                limit = math.ceil(other.entry.share * self._slots)
                count = min(count, limit - other.running)
            ahead += count
        return ahead * self._service_time / self._slots

    def _dispatch(self) -> None:
        """Grant free slots until none is left or none can be used."""
        if self._dispatching:
            # The pool's check changed the slots; the outer call goes on.
            return
        self._dispatching = True
        try:
            self._grant_free()
        finally:
            self._dispatching = False

    def _grant_free(self) -> None:
        # Pools may offer more to requests that may be repeated, so what one
        # kind can't get the other may.
        failed: set[tuple[frozenset[str], bool]] = set()
        now = self._clock()
        while self._waiting and (frozenset(), True) not in failed:
            waiter = None
            upstream = None
            for queue in self._sort_queues():
                retryable = queue.entry.idempotent
                if (frozenset(), retryable) in failed:
                    continue
                for waiter in queue.waiting.values():
                    if (waiter.exclude, retryable) in failed:
                        continue
                    upstream = self._pool.take(
                        waiter.exclude,
                        retryable=retryable,
                        time_left_fraction=waiter.time_left_fraction(now),
                    )
                    if upstream is not None:
                        break
                    failed.add((waiter.exclude, retryable))
                    if not waiter.exclude:
                        break
                if upstream is not None:
                    break
            if waiter is None or upstream is None:
                return
            if now >= waiter.deadline - self._count_margin(waiter):
                self._pool.release(upstream.upstream_id)
                self._settle(waiter, Err(self._refuse(Reason.DEADLINE)))
            else:
                queue.record_pace(now)
                granted = self._grant(queue, waiter, upstream, now)
                self._settle(waiter, granted)

    def _sort_queues(self) -> list[_Queue]:
        waiting = [queue for queue in self._queues.values() if queue.waiting]
        return sorted(waiting, key=lambda queue: queue.order(self._slots))

    def _grant(
        self, queue: _Queue, waiter: Waiter, upstream: Upstream, now: float
    ) -> Ok[Admission]:
        name = waiter.entry
        queue.running += 1
        self._turns += 1
        queue.turn = self._turns

        def release() -> None:
            self._pool.release(upstream.upstream_id)
            queue.running -= 1
            self._record_service_time(self._clock() - now)
            if not queue.listed:
                self._discard(name)
            if self._waiting:
                self._dispatch()

        admission = Admission(
            upstream=upstream, waited=now - waiter.arrived, release=release
        )
        return Ok(admission)

    def _settle(
        self, waiter: Waiter, outcome: Result[Admission, Refusal]
    ) -> None:
        self._remove(waiter)
        waiter.outcome = outcome
        if waiter.notify is not None:
            waiter.notify()

    def _remove(self, waiter: Waiter) -> None:
        queue = self._queues[waiter.entry]
        if queue.waiting.pop(id(waiter), None) is not None:
            self._waiting -= 1
            self._discard(waiter.entry)

    def _discard(self, name: str) -> None:
        """Forget an entry that is no longer in the catalogue when unused."""
        queue = self._queues.get(name)
        if queue and not (queue.listed or queue.waiting or queue.running):
            del self._queues[name]

    def _record_service_time(self, seconds: float) -> None:
        if self._service_time:
            self._service_time += _SMOOTHING * (seconds - self._service_time)
        else:
            self._service_time = seconds

    def _refuse(self, reason: Reason, limit: str = "") -> Refusal:
        backlog = 0.0
        if self._slots:
            backlog = self._waiting * self._service_time / self._slots
        base = max(_RETRY_AFTER_S, backlog)
        return Refusal(
            reason=reason,
            # The spread keeps refused callers from returning together.
            retry_after=base * self._random.uniform(1.0, 2.0),
            limit=limit,
        )
