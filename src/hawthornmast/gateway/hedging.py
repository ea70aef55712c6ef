"""Second attempts beside attempts that take unusually long.

The load that this answers: some upstreams hang or slow down while their health
is good, and a request that may be repeated would spend all of its time on one
of them. Attempts are compared with the usual latency of their route. The
decision is that of ``is_hedge_allowed``; ``AttemptMonitor`` finds the attempts
that are late, and ``HedgedAttempts`` runs the second ones.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import attrs
from result import Ok
import trio

from hawthornmast.audit import log_failures
from hawthornmast.common import Outcome
from hawthornmast.common import Upstream
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.gateway.attempts import EvidenceRecorder
from hawthornmast.gateway.attempts import Hedge
from hawthornmast.gateway.attempts import RequestContext
from hawthornmast.gateway.services import ServiceState
from hawthornmast.limits import Admission

HEDGE_LATENCY_FACTOR = 1.2
"""Time after which a second attempt is sent, in usual latencies of the route.
The usual latency is a high quantile, so that few attempts are sent twice."""

OVERDUE_LATENCY_FACTOR = 2.0
"""Time after which an attempt without a response counts against its upstream,
in usual latencies of the route."""

MIN_HEDGE_DELAY_S = 0.05
"""Least time after which a second attempt is sent. Below it, jitter of the
event loop and of the network would be taken for a slow upstream."""

MIN_LATENCY_SAMPLES = 20
"""Samples from which the usual latency of a route is taken; the highest of
fewer ones says little of its quantile."""

MIN_HEDGE_BUDGET_FRACTION = 0.25
"""Fraction of the retry budget below which no second attempt is sent beside
one that may still succeed; the rest covers attempts that failed."""


def is_hedge_allowed(context: RequestContext, now: float) -> bool:
    """Return whether a second attempt may run beside the present one.

    It must be able to end in time, and is never sent while requests wait for
    slots: under overload, it would delay others.

    Parameters
    ----------
    context
        The request, with an attempt in flight.
    now
        Monotonic time in seconds.
    """
    state, route = context.state, context.route
    return (
        route.idempotent
        and not context.is_hedge
        and context.progress.started
        and len(context.attempted_ids) + 1 < route.max_attempts
        and context.deadline - now > state.mean_latency_s(route.name)
        and not state.dispatcher.count_waiting()
        and state.budget.remaining_fraction() >= MIN_HEDGE_BUDGET_FRACTION
    )


@attrs.define(kw_only=True, eq=False)
class _WatchedAttempt:
    """An attempt in flight, with the times at which it is late."""

    context: RequestContext
    upstream: Upstream
    hedge_at: float
    overdue_at: float


class AttemptMonitor:
    """Finds attempts without a response that take longer than usual.

    Parameters
    ----------
    clock
        Monotonic time in seconds.
    on_late
        Called once with each attempt for which a second one may help, and
        with its upstream.
    on_overdue
        Called once with each attempt that counts against its upstream, and
        with that.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        on_late: Callable[[RequestContext, Upstream], None],
        on_overdue: Callable[[RequestContext, Upstream], None],
    ) -> None:
        self._clock = clock
        self._on_late = on_late
        self._on_overdue = on_overdue
        self._watched: dict[int, _WatchedAttempt] = {}

    def watch(self, context: RequestContext, upstream: Upstream) -> None:
        """Watch the attempt that a request starts now."""
        usual_s = _find_usual_latency(context.state, context.route.name)
        if usual_s == math.inf:
            return
        now = self._clock()
        self._watched[id(context)] = _WatchedAttempt(
            context=context,
            upstream=upstream,
            hedge_at=now
            + max(MIN_HEDGE_DELAY_S, HEDGE_LATENCY_FACTOR * usual_s),
            overdue_at=now + OVERDUE_LATENCY_FACTOR * usual_s,
        )

    def unwatch(self, context: RequestContext) -> None:
        """Stop watching; the attempt has a response or has ended."""
        self._watched.pop(id(context), None)

    def tick(self) -> None:
        """Report the attempts that have become late. Called periodically."""
        now = self._clock()
        for attempt in list(self._watched.values()):
            if now >= attempt.hedge_at:
                attempt.hedge_at = math.inf
                self._on_late(attempt.context, attempt.upstream)
            if now >= attempt.overdue_at:
                attempt.overdue_at = math.inf
                self._on_overdue(attempt.context, attempt.upstream)


def _find_usual_latency(state: ServiceState, route: str) -> float:
    """Return the usual latency of a route, infinite without enough samples."""
    if state.count_latencies(route) < MIN_LATENCY_SAMPLES:
        return math.inf
    return state.usual_latency_s(route)


class HedgedAttempts:
    """Runs attempts, and second ones beside those that are late.

    Only one answer is given: as soon as one of two attempts succeeds, the
    other is cancelled. The second attempt never streams its response, so that
    only the first can have sent a part of one to the client.

    Parameters
    ----------
    attempt
        Waits for a slot and makes one attempt of a request. It returns the
        answer, or None if another attempt is to be made.
    send
        Makes one attempt with a slot that was admitted.
    is_authorized
        Returns whether the key of a request is still valid.
    recorder
        Records what late attempts show about their upstreams.
    clock
        Monotonic time in seconds.

    Attributes
    ----------
    monitor
        Finds the attempts that are late.
    """

    def __init__(
        self,
        *,
        attempt: Callable[[RequestContext], Awaitable[ClientResponse | None]],
        send: Callable[
            [RequestContext, Admission], Awaitable[ClientResponse | None]
        ],
        is_authorized: Callable[[RequestContext], bool],
        recorder: EvidenceRecorder,
        clock: Callable[[], float],
    ) -> None:
        self._is_authorized = is_authorized
        self._attempt = attempt
        self._send = send
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self.monitor = AttemptMonitor(
            clock=clock,
            on_late=self._start_hedge,
            on_overdue=recorder.record_overdue,
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Run second attempts in the nursery from now on."""
        self._nursery = nursery

    async def run(self, context: RequestContext) -> ClientResponse | None:
        """Make one attempt, and a second one beside it if it is late.

        Return the answer, or None if another attempt is to be made.
        """
        answer: ClientResponse | None = None
        try:
            with trio.CancelScope() as context.attempt_scope:
                answer = await self._attempt(context)
            hedge = context.hedge
            if hedge is None:
                return answer
            if context.attempt_scope.cancelled_caught:
                return hedge.answer
            if answer is not None and answer.status < 500:
                return answer
            # The second attempt may still succeed.
            await hedge.done.wait()
            if hedge.succeeded:
                return hedge.answer
            return combine_failures(context, answer, hedge)
        finally:
            context.end_hedge()

    def _start_hedge(
        self, context: RequestContext, upstream: Upstream
    ) -> None:
        if (
            self._nursery is None
            or not is_hedge_allowed(context, self._clock())
            or not self._is_authorized(context)
        ):
            return
        admission = self._admit(context, upstream)
        if admission is None:
            return
        if not context.state.budget.take():
            admission.release()
            return
        context.attempted_ids.add(upstream.upstream_id)
        context.trace.steps.append("hedged")
        context.hedge = Hedge(
            context=attrs.evolve(
                context, progress=Progress(), hedge=None, is_hedge=True
            )
        )
        self._nursery.start_soon(
            self._run_hedge, context, context.hedge, admission
        )

    def _admit(
        self, context: RequestContext, upstream: Upstream
    ) -> Admission | None:
        """Take a slot of another upstream if one is free now."""
        dispatcher = context.state.dispatcher
        waiter = dispatcher.enqueue(
            context.entry,
            deadline=context.deadline,
            exclude=context.excluded_ids | {upstream.upstream_id},
            team=context.team.name if context.team is not None else "",
        )
        if waiter.outcome is None:
            dispatcher.cancel(waiter)
            return None
        if isinstance(waiter.outcome, Ok):
            return waiter.outcome.ok_value
        return None

    async def _run_hedge(
        self, context: RequestContext, hedge: Hedge, admission: Admission
    ) -> None:
        try:
            hedge.scope.deadline = context.deadline
            with log_failures("hedge"), hedge.scope:
                hedge.answer = await self._send(hedge.context, admission)
            if hedge.succeeded and not hedge.scope.cancel_called:
                context.attempt_scope.cancel()
        finally:
            hedge.done.set()


def combine_failures(
    context: RequestContext, answer: ClientResponse | None, hedge: Hedge
) -> ClientResponse | None:
    """Return the answer after two attempts without a success, if any.

    It says that the request did not run only if neither attempt may have run
    it.
    """
    if not hedge.context.progress.started:
        return answer
    unknown = build_error_response(
        502, "upstream-failed", outcome=Outcome.UNKNOWN
    )
    if answer is None:
        last = context.last_answer
        if last is None or last.outcome is Outcome.NOT_RUN:
            # The answer if no further attempt is possible.
            context.last_answer = unknown
        return None
    return unknown if answer.outcome is Outcome.NOT_RUN else answer
