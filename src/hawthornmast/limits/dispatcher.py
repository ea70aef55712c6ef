"""Admission control of requests by rank, limit and deadline."""

from collections.abc import Callable
from collections.abc import Iterable
import random as random_module

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
from hawthornmast.limits.queues import Queue
from hawthornmast.limits.queues import QueueTable
from hawthornmast.limits.waiting import SlotPool
from hawthornmast.limits.waiting import Waiter

_SMOOTHING_FACTOR = 0.1
"""Weight of the newest service time in its moving average."""

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
        self._queues = QueueTable(service.entries)
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
        team: str = "",
    ) -> Result[Admission, Refusal]:
        """Wait for a slot until ``deadline``.

        Does not execute a trio checkpoint if the outcome is known
        immediately.

        Parameters
        ----------
        exclude
            Identifiers of upstreams that must not be selected.
        team
            Team of the request, empty without one. Teams take turns.
        """
        waiter = self.enqueue(
            entry, deadline=deadline, exclude=exclude, team=team
        )
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
        team: str = "",
        notify: Callable[[], None] | None = None,
    ) -> Waiter:
        """Admit, queue or refuse a request without waiting."""
        now = self._clock()
        queue = self._queues.find(entry, team)
        waiter = Waiter(
            entry=entry.name,
            team=team,
            deadline=deadline,
            arrived=now,
            exclude=frozenset(exclude),
        )
        self._place(queue, waiter, now, retryable=entry.idempotent)
        if waiter.outcome is not None:
            self._queues.discard_if_unused(queue)
        waiter.notify = notify
        return waiter

    def _place(
        self, queue: Queue, waiter: Waiter, now: float, *, retryable: bool
    ) -> None:
        """Set the outcome of a new request, or add it to its queue."""
        refusal = self._check_admissible(waiter, now)
        if refusal is not None:
            waiter.outcome = Err(refusal)
            return
        if not self._queues.waiting:
            upstream = self._pool.take(
                waiter.exclude,
                retryable=retryable,
                time_left_fraction=waiter.time_left_fraction(now),
            )
            if upstream is not None:
                waiter.outcome = self._grant(queue, waiter, upstream, now)
                return
        # Checked only here, since a slot taken above implies a candidate.
        if not self._pool.has_candidate(waiter.exclude):
            waiter.outcome = Err(self._refuse(Reason.NO_UPSTREAM))
            return
        refusal = self._ensure_queue_place(queue, waiter, now)
        if refusal is not None:
            waiter.outcome = Err(refusal)
            return
        if not queue.waiting:
            # Starts from the mean interval over all slots, because the first
            # few intervals alone could refuse urgent requests by chance.
            queue.admission_interval = self._mean_service_time / max(
                1, self._slots
            )
            queue.last_admission_at = now
        self._queues.add(queue, waiter)
        self._dispatch()

    def cancel(self, waiter: Waiter) -> None:
        """Cancel a request; a slot granted to it goes to the next one."""
        if waiter.outcome is None:
            self._queues.remove(waiter)
        elif isinstance(waiter.outcome, Ok):
            waiter.outcome.ok_value.release()

    def redispatch(self) -> None:
        """Dispatch after a change of the standing or number of slots."""
        self._usable_slots = None
        if self._queues.waiting:
            self._dispatch()

    def update_service(self, service: Service) -> None:
        """Apply a new revision; queued requests keep their places."""
        self._service = service
        self._queues.update(service.entries)
        self.redispatch()

    def close(self) -> None:
        """Refuse queued and future requests; running ones may finish."""
        self._closed = True
        for queue in list(self._queues):
            for waiter in list(queue.waiting.values()):
                self._resolve(waiter, Err(self._refuse(Reason.CLOSING)))

    def count_waiting(self) -> int:
        """Return the number of queued requests."""
        return self._queues.waiting

    def count_demand(self) -> dict[Rank, int]:
        """Return the number of running and queued requests by rank."""
        demand = dict.fromkeys(Rank, 0)
        for queue in self._queues:
            demand[queue.entry.rank] += queue.running + len(queue.waiting)
        return demand

    def _check_admissible(self, waiter: Waiter, now: float) -> Refusal | None:
        if self._closed:
            return self._refuse(Reason.CLOSING)
        if now >= waiter.deadline:
            return self._refuse(Reason.DEADLINE)
        return None

    def _ensure_queue_place(
        self, queue: Queue, waiter: Waiter, now: float
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
        if self._queues.waiting < limit:
            return None
        text = f"service queue_limit={limit}"
        victim = self._queues.select_victim(queue, limit)
        if victim is queue or not victim.waiting:
            return self._refuse(Reason.QUEUE_FULL, text)
        newest = victim.waiting[next(reversed(victim.waiting))]
        self._resolve(newest, Err(self._refuse(Reason.DISPLACED, text)))
        return None

    def _exceeds_limits(
        self, queue: Queue, waiter: Waiter, seconds: float
    ) -> bool:
        """Return whether rate limits leave no request for a waiter in time."""
        ahead = self._queues.count_waiting_before(queue, self._slots)
        return ahead + 1 > self._pool.count_allowed(seconds, waiter.exclude)

    def _compute_margin(self, waiter: Waiter) -> float:
        """Return the seconds that must remain when a request starts.

        Limited to half of the request's time. Otherwise too high an estimate
        of the service time would refuse all requests and never be corrected.
        """
        half = (waiter.deadline - waiter.arrived) / 2
        return min(self._margin * self._mean_service_time, half)

    def _estimate_wait(self, queue: Queue, now: float) -> float:
        """Return the expected wait of a new request of the entry.

        The interval between admissions from a non-empty queue accounts for
        requests of other entries and teams that go first. For an empty queue,
        the requests that go first are counted instead.
        """
        if queue.waiting:
            return len(queue.waiting) * queue.estimate_interval(now)
        if not self._slots:
            return 0.0
        ahead = self._queues.count_before(queue, self._slots) + 1
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
        while self._queues.waiting and (frozenset(), True) not in without_slot:
            waiter = None
            upstream = None
            for queue in self._queues.iterate_in_order(self._slots):
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

    def _grant(
        self, queue: Queue, waiter: Waiter, upstream: Upstream, now: float
    ) -> Ok[Admission]:
        self._queues.start(queue)

        def release() -> None:
            self._pool.release(upstream.upstream_id)
            self._queues.finish(queue)
            self._record_service_time(self._clock() - now)
            if self._queues.waiting:
                self._dispatch()

        admission = Admission(
            upstream=upstream, waited=now - waiter.arrived, release=release
        )
        return Ok(admission)

    def _resolve(
        self, waiter: Waiter, outcome: Result[Admission, Refusal]
    ) -> None:
        self._queues.remove(waiter)
        waiter.outcome = outcome
        if waiter.notify is not None:
            waiter.notify()

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
            backlog_s = (
                self._queues.waiting * self._mean_service_time / self._slots
            )
        wait_s = min(wait_s, _MAX_RETRY_AFTER_S)
        base = max(_MIN_RETRY_AFTER_S, backlog_s, wait_s)
        return Refusal(
            reason=reason,
            # Jitter keeps refused clients from retrying at the same time.
            retry_after=base * self._random.uniform(1.0, 2.0),
            limit=limit,
        )
