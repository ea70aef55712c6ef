"""Admission control of requests by rank, limit and deadline."""

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
from hawthornmast.limits.waiting import SlotPool
from hawthornmast.limits.waiting import Waiter

_SMOOTHING_FACTOR = 0.1
"""Weight of the newest sample in the exponential moving averages."""

_MIN_RETRY_AFTER_S = 0.25
"""Minimum delay advised to a refused client before a retry."""

_MAX_RETRY_AFTER_S = 60.0
"""Maximum delay advised because upstreams take no requests for a time."""

_MARGIN_SERVICE_TIMES = 3.0
"""Time that must remain until the deadline when a request starts, as a
multiple of the mean service time.

95% of exponentially distributed service times are shorter. Without a margin,
a full queue starts requests just before their deadlines, and most of the work
is lost.
"""

_MIN_SHARE = 1e-6
"""Replaces a share of 0 as a divisor."""


@attrs.define(kw_only=True, eq=False)
class _Queue:
    """Queued and running requests of one entry."""

    entry: Entry
    # A dict keeps the order of arrival and removes a waiter in constant time.
    waiting: dict[int, Waiter] = attrs.field(factory=dict)
    running: int = 0
    last_turn: int = 0
    listed: bool = True
    # Mean interval between admissions since the queue became non-empty.
    admission_interval: float = 0.0
    last_admission_at: float = 0.0

    @property
    def share(self) -> float:
        """Share of the entry, bounded away from 0 for use as a divisor."""
        return max(self.entry.share, _MIN_SHARE)

    def classify(self, slots: int) -> tuple[bool, Rank]:
        """Return the class of the next request; lower classes go first."""
        over_share = self.running >= self.entry.share * slots - 1e-9
        return over_share, self.entry.rank

    def order(self, slots: int) -> tuple[bool, Rank, float, int]:
        """Return the sort key of the next request among the entries."""
        # Ties go to the entry whose last admission is the oldest.
        return (
            *self.classify(slots),
            self.running / self.share,
            self.last_turn,
        )

    def record_admission(self, now: float) -> None:
        """Update the interval between admissions of queued requests."""
        gap = now - self.last_admission_at
        self.admission_interval += _SMOOTHING_FACTOR * (
            gap - self.admission_interval
        )
        self.last_admission_at = now


class Dispatcher:
    """Admits requests of one service to the slots of its pool.

    Parameters
    ----------
    service
        Service with its entries and limits.
    pool
        Pool of upstream slots.
    clock
        Monotonic time in seconds; all deadlines refer to it.
    random
        Random number generator for the jitter of ``retry_after``.
    margin
        Time that must remain until the deadline when a request starts, as a
        multiple of the mean service time.
    """

    def __init__(
        self,
        service: Service,
        pool: SlotPool,
        *,
        clock: Callable[[], float],
        random: random_module.Random,
        margin: float = _MARGIN_SERVICE_TIMES,
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
        self._turn_count = 0
        self._mean_service_time = 0.0
        # Usable slots of the pool, None after a change until they are needed.
        self._usable_slots: int | None = None
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

        Does not execute a trio checkpoint if the outcome is known
        immediately.
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
            # A slot may have been granted at the same time as the
            # cancellation; it goes to the next request.
            self.cancel(waiter)
            raise
        if waiter.outcome is None:
            self._resolve(waiter, Err(self._refuse(Reason.DEADLINE)))
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
        queue = self._get_queue(entry)
        refusal = self._check_admissible(waiter, now)
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
        # Checked only here, since a slot taken above implies a candidate.
        if not self._pool.has_candidate(waiter.exclude):
            waiter.outcome = Err(self._refuse(Reason.NO_UPSTREAM))
            return waiter
        refusal = self._ensure_queue_place(queue, waiter, now)
        if refusal is not None:
            waiter.outcome = Err(refusal)
            return waiter
        if not queue.waiting:
            # Starts from the mean interval over all slots, because the first
            # few intervals alone could refuse urgent requests by chance.
            queue.admission_interval = self._mean_service_time / max(
                1, self._slots
            )
            queue.last_admission_at = now
        queue.waiting[id(waiter)] = waiter
        self._waiting += 1
        self._dispatch()
        waiter.notify = notify
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        """Cancel a request; a slot granted to it goes to the next one."""
        if waiter.outcome is None:
            self._remove(waiter)
        elif isinstance(waiter.outcome, Ok):
            waiter.outcome.ok_value.release()

    def redispatch(self) -> None:
        """Dispatch after a change of the standing or number of slots."""
        self._usable_slots = None
        if self._waiting:
            self._dispatch()

    def update_service(self, service: Service) -> None:
        """Apply a new revision; queued requests keep their places."""
        self._service = service
        listed = {entry.name: entry for entry in service.entries}
        for name, queue in list(self._queues.items()):
            queue.listed = name in listed
            if queue.listed:
                queue.entry = listed[name]
            else:
                self._discard_if_unused(name)
        for name, entry in listed.items():
            if name not in self._queues:
                self._queues[name] = _Queue(entry=entry)
        self.redispatch()

    def close(self) -> None:
        """Refuse queued and future requests; running ones may finish."""
        self._closed = True
        for queue in list(self._queues.values()):
            for waiter in list(queue.waiting.values()):
                self._resolve(waiter, Err(self._refuse(Reason.CLOSING)))

    def count_waiting(self) -> int:
        """Return the number of queued requests."""
        return self._waiting

    def count_demand(self) -> dict[Rank, int]:
        """Return the number of running and queued requests by rank."""
        demand = dict.fromkeys(Rank, 0)
        for queue in self._queues.values():
            demand[queue.entry.rank] += queue.running + len(queue.waiting)
        return demand

    def _get_queue(self, entry: Entry) -> _Queue:
        queue = self._queues.get(entry.name)
        if queue is None:
            # The request was routed under a revision that has been replaced.
            queue = _Queue(entry=entry, listed=False)
            self._queues[entry.name] = queue
        return queue

    def _check_admissible(self, waiter: Waiter, now: float) -> Refusal | None:
        if self._closed:
            return self._refuse(Reason.CLOSING)
        if now >= waiter.deadline:
            return self._refuse(Reason.DEADLINE)
        return None

    def _ensure_queue_place(
        self, queue: _Queue, waiter: Waiter, now: float
    ) -> Refusal | None:
        entry = queue.entry
        latest = waiter.deadline - self._compute_margin(waiter)
        text = f"deadline_ms={entry.deadline_ms}"
        if now + self._estimate_wait(queue, now) > latest:
            return self._refuse(Reason.DEADLINE, text)
        if self._exceeds_limits(queue, waiter, latest - now):
            return self._refuse(
                Reason.DEADLINE,
                text,
                wait_s=self._pool.next_allowed_s(waiter.exclude),
            )
        if len(queue.waiting) >= entry.queue_limit:
            return self._refuse(
                Reason.QUEUE_FULL, f"queue_limit={entry.queue_limit}"
            )
        limit = self._service.queue_limit
        if self._waiting < limit:
            return None
        text = f"service queue_limit={limit}"
        victim = self._select_victim(queue)
        if victim is queue or not victim.waiting:
            return self._refuse(Reason.QUEUE_FULL, text)
        newest = victim.waiting[next(reversed(victim.waiting))]
        self._resolve(newest, Err(self._refuse(Reason.DISPLACED, text)))
        return None

    def _exceeds_limits(
        self, queue: _Queue, waiter: Waiter, seconds: float
    ) -> bool:
        """Return whether rate limits leave no request for a waiter in time."""
        own = queue.classify(self._slots)
        ahead = sum(
            len(other.waiting)
            for other in self._queues.values()
            if other is queue or other.classify(self._slots) < own
        )
        return ahead + 1 > self._pool.count_allowed(seconds, waiter.exclude)

    def _select_victim(self, arriving: _Queue) -> _Queue:
        """Return the queue that gives up a place for a new request.

        Queues beyond their share of the service's queue limit come first,
        then those of the lowest rank, then those with the most requests per
        share.
        """
        limit = self._service.queue_limit

        def excess(queue: _Queue) -> tuple[bool, Rank, float]:
            count = len(queue.waiting) + (queue is arriving)
            over_share = count > queue.entry.share * limit
            return over_share, queue.entry.rank, count / queue.share

        candidates = [
            queue
            for queue in self._queues.values()
            if queue.waiting or queue is arriving
        ]
        return max(candidates, key=excess)

    def _compute_margin(self, waiter: Waiter) -> float:
        """Return the seconds that must remain when a request starts.

        Limited to half of the request's time. Otherwise too high an estimate
        of the service time would refuse all requests and never be corrected.
        """
        half = (waiter.deadline - waiter.arrived) / 2
        return min(self._margin * self._mean_service_time, half)

    def _estimate_wait(self, queue: _Queue, now: float) -> float:
        """Return the expected wait of a new request of the entry.

        The interval between admissions from a non-empty queue accounts for
        requests of other entries that go first. For an empty queue, the
        requests of classes that go first are counted instead.
        """
        if queue.waiting:
            gap = now - queue.last_admission_at
            admission_interval = (
                queue.admission_interval
                + _SMOOTHING_FACTOR * max(0.0, gap - queue.admission_interval)
            )
            return len(queue.waiting) * admission_interval
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
                # It goes first only until it uses its share of the slots.
                limit = math.ceil(other.entry.share * self._slots)
                count = min(count, limit - other.running)
            ahead += count
        return ahead * self._mean_service_time / self._slots

    @property
    def _slots(self) -> int:
        """Usable slots, counted after each change when first needed."""
        if self._usable_slots is None:
            self._usable_slots = self._pool.count_usable()
        return self._usable_slots

    def _dispatch(self) -> None:
        """Grant free slots until none is left or usable."""
        if self._dispatching:
            # Reentrant call: the pool's check changed the slots. The outer
            # call continues with them.
            return
        self._dispatching = True
        try:
            self._grant_free_slots()
        finally:
            self._dispatching = False

    def _grant_free_slots(self) -> None:
        # Excluded upstreams and retryability for which the pool has no free
        # slot. A pool may offer more upstreams to retryable requests, so both
        # kinds are recorded. Without a slot for a retryable request that
        # excludes no upstream, there is none for any request.
        without_slot: set[tuple[frozenset[str], bool]] = set()
        now = self._clock()
        while self._waiting and (frozenset(), True) not in without_slot:
            waiter = None
            upstream = None
            for queue in self._sort_queues():
                retryable = queue.entry.idempotent
                if (frozenset(), retryable) in without_slot:
                    continue
                for waiter in queue.waiting.values():
                    if (waiter.exclude, retryable) in without_slot:
                        continue
                    upstream = self._pool.take(
                        waiter.exclude,
                        retryable=retryable,
                        time_left_fraction=waiter.time_left_fraction(now),
                    )
                    if upstream is not None:
                        break
                    without_slot.add((waiter.exclude, retryable))
                    if not waiter.exclude:
                        break
                if upstream is not None:
                    break
            if waiter is None or upstream is None:
                return
            if now >= waiter.deadline - self._compute_margin(waiter):
                self._pool.release(upstream.upstream_id)
                self._resolve(waiter, Err(self._refuse(Reason.DEADLINE)))
            else:
                queue.record_admission(now)
                granted = self._grant(queue, waiter, upstream, now)
                self._resolve(waiter, granted)

    def _sort_queues(self) -> list[_Queue]:
        waiting = [queue for queue in self._queues.values() if queue.waiting]
        return sorted(waiting, key=lambda queue: queue.order(self._slots))

    def _grant(
        self, queue: _Queue, waiter: Waiter, upstream: Upstream, now: float
    ) -> Ok[Admission]:
        name = waiter.entry
        queue.running += 1
        self._turn_count += 1
        queue.last_turn = self._turn_count

        def release() -> None:
            self._pool.release(upstream.upstream_id)
            queue.running -= 1
            self._record_service_time(self._clock() - now)
            if not queue.listed:
                self._discard_if_unused(name)
            if self._waiting:
                self._dispatch()

        admission = Admission(
            upstream=upstream, waited=now - waiter.arrived, release=release
        )
        return Ok(admission)

    def _resolve(
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
            self._discard_if_unused(waiter.entry)

    def _discard_if_unused(self, name: str) -> None:
        """Remove the queue of an unlisted entry once it is empty and idle."""
        queue = self._queues.get(name)
        if queue and not (queue.listed or queue.waiting or queue.running):
            del self._queues[name]

    def _record_service_time(self, seconds: float) -> None:
        if self._mean_service_time:
            self._mean_service_time += _SMOOTHING_FACTOR * (
                seconds - self._mean_service_time
            )
        else:
            self._mean_service_time = seconds

    def _refuse(
        self, reason: Reason, limit: str = "", *, wait_s: float = 0.0
    ) -> Refusal:
        """Return a refusal.

        Parameters
        ----------
        reason, limit
            Why the request is refused, and by which limit.
        wait_s
            Seconds until upstreams take requests again, infinite if unknown.
        """
        backlog_s = 0.0
        if self._slots:
            backlog_s = self._waiting * self._mean_service_time / self._slots
        wait_s = min(wait_s, _MAX_RETRY_AFTER_S)
        base = max(_MIN_RETRY_AFTER_S, backlog_s, wait_s)
        return Refusal(
            reason=reason,
            # Jitter keeps refused clients from retrying at the same time.
            retry_after=base * self._random.uniform(1.0, 2.0),
            limit=limit,
        )
