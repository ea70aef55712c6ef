"""Simulation of members that send one service's requests to its upstreams."""

from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from hawthornmast.common import Upstream
from hawthornmast.health.belief import Observation
from hawthornmast.limits import SharedPool
from standins.clock import ManualClock

ZONES = ("a", "b", "c")
SLOTS = 4

RETRY_INTERVAL_S = 0.05
"""Interval at which a request that found no slot asks again."""

FAILURE_DELAY_S = 0.005
"""Time after which a failing upstream answers."""

TIMEOUT_S = 2.0
"""Time of a request; it is lost if it found no slot until then."""


@attrs.define(kw_only=True, order=False)
class _Attempt:
    """One request, which waits until it has an upstream."""

    member: int
    started_at: float
    upstream: Upstream | None = None
    failed: bool = False


class ServiceSimulation:
    """One advertised member in each zone, and the upstreams of a service.

    Members hear at once what the others use and observe. No request may be
    repeated.

    Parameters
    ----------
    upstreams
        Number of upstreams, spread evenly over the zones.
    requests_per_s
        Requests of all members together.
    service_s
        Mean time of a request.
    is_failing
        Whether an upstream fails its requests, by its name and the time
        since the start in seconds.
    seed
        Seed of the random choices.
    """

    def __init__(
        self,
        *,
        upstreams: int,
        requests_per_s: float,
        service_s: float,
        is_failing: Callable[[str, float], bool] = lambda name, elapsed_s: (
            False
        ),
        seed: int = 1,
    ) -> None:
        self.clock = ManualClock()
        self.start_at = self.clock.now
        # Times at which each upstream received a request.
        self.received: dict[str, list[float]] = {}
        self.finished = 0
        self.failed = 0
        self._requests_per_s = requests_per_s
        self._service_s = service_s
        self._is_failing = is_failing
        self._random = random.Random(seed)
        self._number = itertools.count()
        self._events: list[tuple[float, int, _Attempt]] = []
        listed = [
            Upstream(
                upstream_id=f"u{number:02}",
                zone=ZONES[number % len(ZONES)],
                host="127.0.0.1",
                port=1,
                slots=SLOTS,
            )
            for number in range(upstreams)
        ]
        self._pools = []
        for zone in ZONES:
            pool = SharedPool(clock=self.clock, random=self._random, zone=zone)
            pool.update(listed)
            self._pools.append(pool)
        for upstream in listed:
            self.received[upstream.upstream_id] = []

    def run(self, seconds: float) -> None:
        """Let requests arrive for a time; those running then don't finish."""
        end_at = self.clock.now + seconds
        self._schedule_arrival()
        while self._events[0][0] < end_at:
            self.clock.now, _, attempt = heapq.heappop(self._events)
            if attempt.upstream is not None:
                self._finish(attempt)
                continue
            if attempt.started_at == self.clock.now:
                self._schedule_arrival()
            self._start(attempt)
        self.clock.now = end_at

    def _schedule(self, at: float, attempt: _Attempt) -> None:
        heapq.heappush(self._events, (at, next(self._number), attempt))

    def _schedule_arrival(self) -> None:
        at = self.clock.now + self._random.expovariate(self._requests_per_s)
        member = self._random.randrange(len(ZONES))
        self._schedule(at, _Attempt(member=member, started_at=at))

    def _start(self, attempt: _Attempt) -> None:
        now = self.clock.now
        waited_s = now - attempt.started_at
        attempt.upstream = self._pools[attempt.member].take(
            retryable=False, time_left_fraction=1.0 - waited_s / TIMEOUT_S
        )
        if attempt.upstream is None:
            if waited_s < TIMEOUT_S:
                self._schedule(now + RETRY_INTERVAL_S, attempt)
            else:
                self._record(attempt, succeeded=False)
            return
        name = attempt.upstream.upstream_id
        self.received[name].append(now)
        attempt.started_at = now
        attempt.failed = self._is_failing(name, now - self.start_at)
        delay_s = (
            FAILURE_DELAY_S
            if attempt.failed
            else self._random.uniform(0.5, 1.5) * self._service_s
        )
        self._share_use(attempt, name)
        self._schedule(now + delay_s, attempt)

    def _finish(self, attempt: _Attempt) -> None:
        assert attempt.upstream is not None
        name = attempt.upstream.upstream_id
        self._pools[attempt.member].release(name)
        self._share_use(attempt, name)
        for pool in self._pools:
            pool.record_observation(
                name,
                Observation.FAILED
                if attempt.failed
                else Observation.SUCCEEDED,
                sent_at=attempt.started_at,
            )
        self._record(attempt, succeeded=not attempt.failed)

    def _record(self, attempt: _Attempt, *, succeeded: bool) -> None:
        self._pools[attempt.member].record_request_outcome(succeeded=succeeded)
        self.finished += 1
        self.failed += not succeeded

    def _share_use(self, attempt: _Attempt, name: str) -> None:
        use = self._pools[attempt.member].members[name].in_use
        for number, pool in enumerate(self._pools):
            if number != attempt.member:
                pool.record_peer_use(name, f"m{attempt.member}", use)

    def list_receipts(self) -> dict[str, list[float]]:
        """Return when each upstream received a request.

        The times of the start and of the end are included.
        """
        return {
            name: [self.start_at, *times, self.clock.now]
            for name, times in self.received.items()
        }

    def count_receiving(self, since_s: float, until_s: float) -> int:
        """Return the upstreams that received a request in a time span.

        Times are in seconds since the start.
        """
        return sum(
            any(since_s <= at - self.start_at < until_s for at in times)
            for times in self.received.values()
        )
