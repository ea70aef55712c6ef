"""Runs a client's request on upstreams of its route's service."""

from collections.abc import Callable
import math
from typing import Protocol

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.catalogue import Entry
from hawthornmast.common import Outcome
from hawthornmast.common import Upstream
from hawthornmast.forwarding.delivery import Deliver
from hawthornmast.forwarding.delivery import OpenScope
from hawthornmast.forwarding.messages import Answer
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import refuse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.upstream import Exchange
from hawthornmast.forwarding.upstream import Progress
from hawthornmast.forwarding.upstream import UpstreamClient
from hawthornmast.forwarding.upstream import UpstreamRequest
from hawthornmast.gateway.evidence import EvidenceExchange
from hawthornmast.gateway.services import ServiceRegistry
from hawthornmast.gateway.services import ServiceState
from hawthornmast.gateway.upstreams import UpstreamDialect
from hawthornmast.health.belief import Sign
from hawthornmast.routing import Configuration
from hawthornmast.routing import Route
from hawthornmast.routing import SplitBalancer

ANSWER_MARGIN_S = 0.05
"""Part of a client's time that is kept for the answer's way."""

BUFFER_BYTES = 262_144
"""Bytes of a response that are held, so that a cut one can be repeated."""

RETRY_AFTER_SHARE = 0.25
"""Part of the time left after which a refused client may return."""

LEAST_RETRY_AFTER_S = 0.05

REUSE_S = 2.0
"""Idle seconds up to which a connection carries work that can't be
repeated."""

LATE_SHARE = 0.5
"""Part of the mean time of a route's answers after which a failure is taken
as the request's own rather than its upstream's."""

FAIR_SHARE = 0.5
"""Part of a route's time after which an unanswered request counts against
its upstream."""


class View(Protocol):
    """What the forwarder needs of its member."""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""


@attrs.define(eq=False)
class _Run:
    """One request on its way."""

    request: ClientRequest
    route: Route
    entry: Entry
    state: ServiceState
    trace: Trace
    deliver: Deliver
    deadline: float
    exclude: set[str] = attrs.Factory(set)
    offered: set[str] = attrs.Factory(set)
    failed: set[str] = attrs.Factory(set)
    last: Answer | None = None
    progress: Progress = attrs.Factory(Progress)


class RouteForwarder:
    """Decides which upstream gets a request, and what its client is told.

    Parameters
    ----------
    view
        The member's configuration.
    services
        Services with their upstreams.
    upstreams
        Connections to upstreams.
    dialect
        Headers exchanged with upstreams.
    evidence
        Told of each outcome.
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self,
        view: View,
        services: ServiceRegistry,
        upstreams: UpstreamClient,
        *,
        dialect: UpstreamDialect,
        evidence: EvidenceExchange,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._view = view
        self._services = services
        self._upstreams = upstreams
        self._dialect = dialect
        self._evidence = evidence
        self._clock = clock
        self._splits = SplitBalancer()

    def forget_splits(self) -> None:
        """Apply new weights from the next request on."""
        self._splits.forget_all()

    def check(self, request: ClientRequest) -> Answer | None:
        """Return the refusal of a request that needs no body to decide."""
        return self._find_route(request).err()

    def _find_route(
        self, request: ClientRequest
    ) -> Result[tuple[Route, int], Answer]:
        """Return the route of a request and the version that states it."""
        configuration = self._view.configuration
        if configuration is None:
            return Err(
                refuse(
                    503, "no-configuration", retry_after=LEAST_RETRY_AFTER_S
                )
            )
        route = configuration.find_route(request.service, request.target)
        if route is None:
            return Err(refuse(404, "no-route", detail=request.service))
        return Ok((route, configuration.version))

    async def run(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
    ) -> Answer:
        """Run a request and return its answer."""
        found = self._find_route(request)
        if isinstance(found, Err):
            return found.err_value
        route, trace.revision = found.ok_value
        name = self._splits.select(route)
        trace.entry, trace.rank = route.name, route.rank.label
        trace.owner = name
        state = self._services.find(name)
        if state is None:
            return self._refuse_busy("no-service", request, None)
        allowed_s = route.timeout_s
        if request.timeout_s is not None:
            allowed_s = min(allowed_s, request.timeout_s)
        run = _Run(
            request=request,
            route=route,
            entry=self._services.entry_for(route),
            state=state,
            trace=trace,
            deliver=deliver,
            deadline=request.arrived + allowed_s - ANSWER_MARGIN_S,
        )
        state.budget.count_request()
        answer: Answer | None = None
        with open_scope(run.deadline):
            while answer is None:
                answer = await self._attempt(run)
        if answer is None:
            answer = self._after_deadline(run)
        if not trace.left:
            state.pool.note_served(served=answer.status < 500)
        return answer

    def _after_deadline(self, run: _Run) -> Answer:
        """Return the answer to a request that was cancelled."""
        reason = "client-left" if run.trace.left else "deadline"
        if run.last is not None and run.last.outcome is Outcome.COMPLETE:
            return run.last
        if run.progress.started or (
            run.last is not None and run.last.outcome is Outcome.UNKNOWN
        ):
            return refuse(504, reason, outcome=Outcome.UNKNOWN)
        return self._refuse_busy(reason, run.request, None)

    async def _attempt(self, run: _Run) -> Answer | None:
        """Try one upstream; return None when another is to be tried."""
        run.progress = Progress()
        admitted = await run.state.dispatcher.admit(
            run.entry, deadline=run.deadline, exclude=run.exclude
        )
        if isinstance(admitted, Err):
            if run.last is not None:
                return run.last
            refusal = admitted.err_value
            run.trace.steps.append(f"refused:{refusal.reason.value}")
            return self._refuse_busy(
                refusal.reason.value, run.request, refusal.retry_after
            )
        admission = admitted.ok_value
        upstream = admission.upstream
        likely = run.state.pool.likely_to_fail(upstream.upstream_id)
        run.trace.queue_s += admission.waited
        run.trace.upstreams.append(upstream.upstream_id)
        began = self._clock()
        step = "cancelled"
        try:
            sent = await self._upstreams.send(
                upstream,
                self._build_request(run, upstream),
                run.progress,
                deadline=run.deadline,
                fresh=bool(run.offered),
                buffer_bytes=BUFFER_BYTES,
                max_idle_s=math.inf if run.route.idempotent else REUSE_S,
            )
            if run.progress.started:
                run.offered.add(upstream.upstream_id)
            if isinstance(sent, Err):
                step = f"{sent.err_value.step}-failed"
                return self._after_error(run, upstream, sent.err_value.step)
            exchange = sent.ok_value
            step = str(exchange.status)
            run.state.pool.note_answer(upstream.upstream_id)
            spent_s = self._clock() - began
            if exchange.status < 300:
                run.state.record_latency(run.route.name, spent_s)
            return await self._after_response(run, upstream, exchange, spent_s)
        except trio.Cancelled:
            self._judge_cancelled(run, upstream, began)
            raise
        finally:
            spent_ms = round((self._clock() - began) * 1000)
            kept = ":kept" if run.progress.reused else ""
            run.trace.steps.append(
                f"{upstream.upstream_id}:{step}:{spent_ms}ms:{likely:.2f}"
                f"{kept}"
            )
            admission.release()

    def _build_request(self, run: _Run, upstream: Upstream) -> UpstreamRequest:
        request = run.request
        left_s = run.deadline - self._clock()
        return UpstreamRequest(
            method=request.method.encode(),
            target=request.target.encode(),
            headers=self._dialect.build_headers(request, upstream, left_s),
            body=request.body,
            framed=request.framed,
        )

    async def _after_response(
        self,
        run: _Run,
        upstream: Upstream,
        exchange: Exchange,
        spent_s: float,
    ) -> Answer | None:
        verdict = self._dialect.judge(exchange, run.request)
        own = verdict.own and verdict.whole
        try:
            if verdict.moved:
                run.state.pool.note_gone(upstream.upstream_id)
            if verdict.not_run:
                return self._after_rejection(run, upstream)
            failed = not own or exchange.status >= 500
            mean_s = run.state.mean_latency_s(run.route.name)
            self._note(
                run,
                upstream,
                failed=failed,
                late=own and spent_s >= LATE_SHARE * mean_s,
            )
            if not own:
                return self._after_failure(
                    run,
                    upstream,
                    refuse(502, "bad-response", outcome=Outcome.UNKNOWN),
                )
            answer = Answer(
                status=exchange.status,
                outcome=Outcome.COMPLETE,
                headers=self._dialect.filter_answer(exchange),
                body=bytes(exchange.body),
                length=exchange.header(b"content-length"),
            )
            if not exchange.complete:
                answer.sent = True
                answer.cut = not await run.deliver(answer, exchange)
                if answer.cut:
                    answer.outcome = Outcome.UNKNOWN
                return answer
            if exchange.status >= 500:
                return self._after_failure(run, upstream, answer)
            return answer
        finally:
            exchange.release(own=own)

    def _after_rejection(self, run: _Run, upstream: Upstream) -> Answer | None:
        """Decide after an upstream stated that it did not run a request.

        The request may go to any upstream again, as long as the different
        ones that got it are no more than its route allows.
        """
        if run.last is None:
            run.last = self._refuse_busy("rejected", run.request, None)
        run.exclude.add(upstream.upstream_id)
        if not run.state.budget.take():
            return run.last
        if len(run.offered) >= run.route.max_attempts:
            run.exclude = {
                key
                for key in run.state.pool.members
                if key not in run.offered or key in run.failed
            }
        return None

    def _after_error(
        self, run: _Run, upstream: Upstream, step: str
    ) -> Answer | None:
        """Decide after a failed exchange."""
        if step == "deadline":
            return run.last or self._refuse_busy("deadline", run.request, None)
        if not run.progress.started:
            # Nothing was sent, so that the request is as good as new.
            run.exclude.add(upstream.upstream_id)
            if run.progress.unreachable:
                run.state.pool.note_unreachable(upstream.upstream_id)
            else:
                self._note(run, upstream, failed=True)
            return None
        # A kept connection that was closed says nothing of its upstream.
        if not run.progress.reused or run.progress.answered:
            self._note(run, upstream, failed=True)
        return self._after_failure(
            run,
            upstream,
            refuse(
                502,
                "upstream-failed",
                outcome=Outcome.UNKNOWN,
                detail=f"{step} failed",
            ),
        )

    def _after_failure(
        self, run: _Run, upstream: Upstream, answer: Answer
    ) -> Answer | None:
        """Decide after a request that ran or may have run."""
        run.exclude.add(upstream.upstream_id)
        run.failed.add(upstream.upstream_id)
        run.last = answer
        if run.route.idempotent and self._may_send_again(run):
            return None
        return answer

    def _may_send_again(self, run: _Run) -> bool:
        return (
            len(run.offered) < run.route.max_attempts
            and run.state.budget.take()
        )

    def _judge_cancelled(
        self, run: _Run, upstream: Upstream, began: float
    ) -> None:
        spent = self._clock() - began
        if (
            run.progress.started
            and not run.trace.left
            and not run.trace.streaming
            and spent >= FAIR_SHARE * run.route.timeout_s
        ):
            self._note(run, upstream, failed=True)

    def _note(
        self,
        run: _Run,
        upstream: Upstream,
        *,
        failed: bool,
        late: bool = False,
    ) -> None:
        sign = Sign.SUCCEEDED
        if failed:
            sign = Sign.FAILED_LATE if late else Sign.FAILED
        self._evidence.note_outcome(
            run.state.name,
            upstream.upstream_id,
            sign,
            sent_at=run.progress.started_at or self._clock(),
        )

    def _refuse_busy(
        self, reason: str, request: ClientRequest, wait_s: float | None
    ) -> Answer:
        """Return a refusal whose client can come back within its time."""
        wait = LEAST_RETRY_AFTER_S if wait_s is None else wait_s
        if request.timeout_s is not None:
            left = request.arrived + request.timeout_s - self._clock()
            wait = min(wait, max(0.0, left) * RETRY_AFTER_SHARE)
        return refuse(503, reason, retry_after=max(LEAST_RETRY_AFTER_S, wait))
