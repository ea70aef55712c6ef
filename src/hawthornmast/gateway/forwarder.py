"""Forwarding of client requests to the upstreams of a route's service.

A response comes from an upstream; the answer is what the client receives: a
response or a refusal by the member itself.
"""

from collections.abc import Callable
import math
from typing import Protocol

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import Outcome
from hawthornmast.common import Upstream
from hawthornmast.forwarding.delivery import Deliver
from hawthornmast.forwarding.delivery import HTTP10_BUFFER_BYTES
from hawthornmast.forwarding.delivery import OpenScope
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.exchange import UpstreamRequest
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.upstream import UpstreamClient
from hawthornmast.gateway.attempts import EvidenceRecorder
from hawthornmast.gateway.attempts import RequestContext
from hawthornmast.gateway.credit import TeamCredit
from hawthornmast.gateway.evidence import EvidenceExchange
from hawthornmast.gateway.hedging import HedgedAttempts
from hawthornmast.gateway.outcomes import AttemptOutcomes
from hawthornmast.gateway.outcomes import MIN_RETRY_AFTER_S
from hawthornmast.gateway.services import ServiceRegistry
from hawthornmast.gateway.stopping import StopSchedule
from hawthornmast.gateway.teams import assign_team
from hawthornmast.gateway.upstreams import ResponseAssessment
from hawthornmast.gateway.upstreams import UpstreamDialect
from hawthornmast.limits import Admission
from hawthornmast.routing import Configuration
from hawthornmast.routing import Route
from hawthornmast.routing import SplitBalancer
from hawthornmast.routing import Team

RESPONSE_MARGIN_S = 0.05
"""Part of a client's timeout that is reserved for sending the response."""

RESPONSE_BUFFER_BYTES = 262_144
"""Maximum size of a response that is buffered. A truncated response can be
retried only while no part of it was sent to the client."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a client that its request has not run and never will.
A response of an upstream with one of them is passed on only as a refusal of
this member, once the upstream stated that it did not execute the request."""

NON_IDEMPOTENT_MAX_IDLE_S = 2.0
"""Maximum idle time of a connection that is reused for a request that must not
be repeated."""


@attrs.frozen(kw_only=True)
class _AuthorizedRoute:
    """Route and team of a request, by the configuration of a version."""

    route: Route
    team: Team | None
    version: int


def _refuse_key(reason: str) -> ClientResponse:
    """Return the refusal of a request without a valid key."""
    return build_error_response(
        401, reason, headers=[(b"www-authenticate", b"Bearer")]
    )


class ConfigurationProvider(Protocol):
    """Access to the configuration in force."""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""


class RouteForwarder:
    """Selects upstreams for requests and builds the answers to clients.

    Parameters
    ----------
    provider
        Provides the member's configuration.
    services
        Services with their upstreams.
    upstream_client
        Client that sends requests to upstreams and keeps the connections.
    dialect
        Headers exchanged with upstreams.
    evidence
        Receives an observation from each attempt that shows whether its
        upstream works.
    credit
        Admits requests at the rates of their teams.
    clock
        Monotonic time in seconds.

    Attributes
    ----------
    hedges
        Runs the attempts; its monitor is ticked by the member.
    stop
        Schedule of the member's stop, None before it begins.
    """

    def __init__(
        self,
        provider: ConfigurationProvider,
        services: ServiceRegistry,
        upstream_client: UpstreamClient,
        *,
        dialect: UpstreamDialect,
        evidence: EvidenceExchange,
        credit: TeamCredit,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._provider = provider
        self._services = services
        self._upstream_client = upstream_client
        self._dialect = dialect
        self._recorder = EvidenceRecorder(evidence, clock=clock)
        self._outcomes = AttemptOutcomes(self._recorder, clock=clock)
        self._credit = credit
        self._clock = clock
        self._splits = SplitBalancer()
        self.hedges = HedgedAttempts(
            attempt=self._attempt,
            send=self._send,
            is_authorized=self._is_authorized,
            recorder=self._recorder,
            clock=clock,
        )
        self.stop: StopSchedule | None = None

    def reset_traffic_splits(self) -> None:
        """Apply the weights of a new configuration to further requests."""
        self._splits.reset()

    def check(self, request: ClientRequest) -> ClientResponse | None:
        """Return a refusal that can be decided without the request's body."""
        result = self._authorize(request)
        if isinstance(result, Err):
            return result.err_value
        found = result.ok_value
        return self._credit.check(found.team, request, found.route)

    def may_run_early(self, request: ClientRequest) -> bool:
        """Return whether a request may run ahead of its turn.

        While requests wait for slots it may not: a long response would hold
        its slot until its turn, and the request before it could be the one
        that waits for a slot.
        """
        configuration = self._provider.configuration
        if configuration is None:
            return False
        route = configuration.find_route(request.service, request.target)
        if route is None or not route.idempotent:
            return False
        states = [self._services.find(item.service) for item in route.targets]
        return not any(
            state is not None and state.dispatcher.count_waiting()
            for state in states
        )

    def _authorize(
        self, request: ClientRequest
    ) -> Result[_AuthorizedRoute, ClientResponse]:
        """Return the route of a request and the team whose key it has."""
        configuration = self._provider.configuration
        if configuration is None:
            return Err(
                build_error_response(
                    503, "no-configuration", retry_after=MIN_RETRY_AFTER_S
                )
            )
        # Routes are found by host and path; ``request.service`` is the host.
        route = configuration.find_route(request.service, request.target)
        if route is None:
            return Err(
                build_error_response(404, "no-route", detail=request.service)
            )
        found = assign_team(configuration, route, request)
        if isinstance(found, Err):
            return Err(_refuse_key(found.err_value))
        return Ok(
            _AuthorizedRoute(
                route=route,
                team=found.ok_value,
                version=configuration.version,
            )
        )

    async def run(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
    ) -> ClientResponse:
        """Forward a request and return its answer."""
        result = self._authorize(request)
        if isinstance(result, Err):
            return result.err_value
        route, team = result.ok_value.route, result.ok_value.team
        trace.revision = result.ok_value.version
        rank = route.rank
        if team is not None and team.rank is not None:
            rank = team.rank
        service = self._splits.select(route)
        # The trace has the fields of ``hawthornmast.daemon``: here, its
        # revision is the configuration version, its entry the route and its
        # owner the service that was selected.
        trace.entry, trace.rank = route.name, rank.label
        trace.owner = service
        state = self._services.find(service)
        if state is None:
            return self._outcomes.refuse("no-service", request, None)
        timeout_s = route.timeout_s
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s)
        context = RequestContext(
            request=request,
            route=route,
            entry=self._services.entry_for(route, rank),
            team=team,
            state=state,
            trace=trace,
            deliver=deliver,
            deadline=request.received_at + timeout_s - RESPONSE_MARGIN_S,
        )
        if not self._may_start(context):
            return self._refuse_stopping(context)
        if self.stop is not None:
            context.deadline = min(context.deadline, self.stop.end_at)
        answer: ClientResponse | None = None
        with open_scope(context.deadline):
            refusal = await self._credit.admit(team, request, route)
            if refusal is not None:
                trace.steps.append(f"refused:{refusal.reason}")
                return refusal
            state.budget.count_request()
            while answer is None:
                answer = await self.hedges.run(context)
        if answer is None:
            answer = self._answer_after_cancellation(context)
        if not trace.client_disconnected:
            # The pool spreads requests over more upstreams while many fail.
            state.pool.record_request_outcome(succeeded=answer.status < 500)
        return answer

    def _answer_after_cancellation(
        self, context: RequestContext
    ) -> ClientResponse:
        """Return the answer to a request that was cancelled."""
        reason = (
            "client-left" if context.trace.client_disconnected else "deadline"
        )
        if (
            context.last_answer is not None
            and context.last_answer.outcome is Outcome.COMPLETE
        ):
            return context.last_answer
        if context.progress.started or (
            context.last_answer is not None
            and context.last_answer.outcome is Outcome.UNKNOWN
        ):
            return build_error_response(504, reason, outcome=Outcome.UNKNOWN)
        return self._outcomes.refuse(reason, context.request, None)

    async def _attempt(self, context: RequestContext) -> ClientResponse | None:
        """Make one attempt; return None if another one is to be made."""
        context.progress = Progress()
        admitted = await context.state.dispatcher.admit(
            context.entry,
            deadline=context.deadline,
            exclude=context.excluded_ids,
            team=context.team.name if context.team is not None else "",
        )
        if isinstance(admitted, Err):
            if context.last_answer is not None:
                return context.last_answer
            refusal = admitted.err_value
            context.trace.steps.append(f"refused:{refusal.reason.value}")
            return self._outcomes.refuse(
                refusal.reason.value, context.request, refusal.retry_after
            )
        admission = admitted.ok_value
        if not context.attempted_ids and not self._may_start(context):
            admission.release()
            return self._refuse_stopping(context)
        withdrawn = self._refuse_withdrawn_key(context)
        if withdrawn is not None:
            admission.release()
            return withdrawn
        return await self._send(context, admission)

    async def _send(
        self, context: RequestContext, admission: Admission
    ) -> ClientResponse | None:
        """Send a request to the upstream of its slot, and release that.

        Return None if another attempt is to be made.
        """
        upstream = admission.upstream
        failure_probability = context.state.pool.failure_probability(
            upstream.upstream_id
        )
        context.trace.queue_s += admission.waited
        context.trace.upstreams.append(upstream.upstream_id)
        started_at = self._clock()
        step = "cancelled"
        self.hedges.monitor.watch(context, upstream)
        try:
            send_result = await self._upstream_client.send(
                upstream,
                self._build_request(context, upstream),
                context.progress,
                deadline=context.deadline,
                new_connection=bool(context.attempted_ids),
                buffer_bytes=(
                    HTTP10_BUFFER_BYTES
                    if context.request.is_http10
                    else RESPONSE_BUFFER_BYTES
                ),
                whole=context.request.is_http10,
                max_idle_s=math.inf
                if context.route.idempotent
                else NON_IDEMPOTENT_MAX_IDLE_S,
                accepts_head=lambda exchange: (
                    self._assess_response(context, exchange).valid
                ),
            )
            self.hedges.monitor.unwatch(context)
            if context.progress.started:
                context.attempted_ids.add(upstream.upstream_id)
            if isinstance(send_result, Err):
                step = f"{send_result.err_value.step}-failed"
                return self._outcomes.handle_error(
                    context, upstream, send_result.err_value.step
                )
            exchange = send_result.ok_value
            step = str(exchange.status)
            context.state.pool.record_response(upstream.upstream_id)
            return await self._handle_response(
                context,
                upstream,
                exchange,
                elapsed_s=self._clock() - started_at,
            )
        except trio.Cancelled:
            self._recorder.record_cancellation(context, upstream, started_at)
            raise
        finally:
            self.hedges.monitor.unwatch(context)
            elapsed_ms = round((self._clock() - started_at) * 1000)
            reused_suffix = ":kept" if context.progress.reused else ""
            context.trace.steps.append(
                f"{upstream.upstream_id}:{step}:{elapsed_ms}ms"
                f":{failure_probability:.2f}{reused_suffix}"
            )
            admission.release()

    def _is_authorized(self, context: RequestContext) -> bool:
        """Return whether the key of a request is still valid."""
        configuration = self._provider.configuration
        return (
            configuration is not None
            and assign_team(
                configuration, context.route, context.request
            ).is_ok()
        )

    def _refuse_withdrawn_key(
        self, context: RequestContext
    ) -> ClientResponse | None:
        """Refuse a request whose key was withdrawn while it waited.

        A request that may have run gets the answer that it would have had.
        """
        # A version isn't compared: another configuration may have it when
        # the platform has returned to an older copy.
        configuration = self._provider.configuration
        if configuration is None:
            return None
        found = assign_team(configuration, context.route, context.request)
        if isinstance(found, Ok):
            context.team = found.ok_value
            return None
        context.trace.steps.append("refused:key-withdrawn")
        return context.last_answer or _refuse_key("key-withdrawn")

    def _may_start(self, context: RequestContext) -> bool:
        """Return whether a stop, if any, leaves time for a request."""
        if self.stop is None:
            return True
        route = context.route
        return self.stop.admits(
            self._clock(),
            received_at=context.request.received_at,
            deadline=context.deadline,
            idempotent=route.idempotent,
            usual_latency_s=context.state.usual_latency_s(route.name),
        )

    def _refuse_stopping(self, context: RequestContext) -> ClientResponse:
        """Return the refusal of a request that was never sent."""
        context.trace.steps.append("refused:closing")
        return self._outcomes.refuse("closing", context.request, None)

    def _build_request(
        self, context: RequestContext, upstream: Upstream
    ) -> UpstreamRequest:
        request = context.request
        remaining_s = context.deadline - self._clock()
        return UpstreamRequest(
            method=request.method.encode(),
            target=request.target.encode(),
            headers=self._dialect.build_headers(
                request, upstream, remaining_s
            ),
            body=request.body,
            has_body=request.has_body,
        )

    def _assess_response(
        self, context: RequestContext, exchange: Exchange
    ) -> ResponseAssessment:
        assessment = self._dialect.assess_response(exchange, context.request)
        if context.progress.reused:
            return assessment.on_reused_connection()
        return assessment

    async def _handle_response(
        self,
        context: RequestContext,
        upstream: Upstream,
        exchange: Exchange,
        *,
        elapsed_s: float,
    ) -> ClientResponse | None:
        assessment = self._assess_response(context, exchange)
        valid = assessment.valid
        if assessment.states_itself:
            context.state.record_statement(upstream, assessment.statement)
        try:
            if assessment.misdirected:
                context.state.pool.mark_moved(upstream.upstream_id)
            if assessment.not_executed:
                return self._outcomes.handle_rejection(
                    context,
                    upstream,
                    hold_off_s=assessment.statement.hold_off_s,
                )
            if not valid:
                self._recorder.record_failure(context, upstream)
                return self._outcomes.handle_failure(
                    context,
                    upstream,
                    build_error_response(
                        502, "bad-response", outcome=Outcome.UNKNOWN
                    ),
                )
            if exchange.status in NOT_RUN_STATUSES:
                return self._outcomes.handle_unproved_refusal(
                    context, upstream, exchange.status, elapsed_s=elapsed_s
                )
            answer = ClientResponse(
                status=exchange.status,
                outcome=Outcome.COMPLETE,
                headers=self._dialect.filter_response_headers(exchange),
                body=bytes(exchange.body),
                content_length=exchange.header(b"content-length"),
            )
            if not exchange.complete:
                if context.is_hedge:
                    return None
                if context.attempt_scope.cancel_called:
                    # The second attempt has just succeeded.
                    return None
                context.end_hedge()
                if context.request.is_http10:
                    return build_error_response(
                        502, "too-long", outcome=Outcome.UNKNOWN
                    )
                await self._stream_response(context, answer, exchange)
            # The head of a response that then breaks off is no success.
            if answer.truncated:
                if not context.trace.client_disconnected:
                    self._recorder.record_failure(context, upstream)
                return answer
            self._recorder.record_response(
                context, upstream, exchange.status, elapsed_s=elapsed_s
            )
            if exchange.status >= 500 and not answer.streamed:
                return self._outcomes.handle_failure(context, upstream, answer)
            return answer
        finally:
            exchange.release(reusable=valid)

    async def _stream_response(
        self,
        context: RequestContext,
        answer: ClientResponse,
        exchange: Exchange,
    ) -> None:
        """Pass on a response that is too long to be buffered."""
        answer.streamed = True
        answer.truncated = not await context.deliver(answer, exchange)
        if answer.truncated:
            answer.outcome = Outcome.UNKNOWN
