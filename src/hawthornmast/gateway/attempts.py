"""State of a request across its attempts, and the evidence they give."""

from collections.abc import Callable

import attrs
import trio

from hawthornmast.catalogue import Entry
from hawthornmast.common import Upstream
from hawthornmast.forwarding.delivery import Deliver
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.gateway.evidence import EvidenceExchange
from hawthornmast.gateway.services import ServiceState
from hawthornmast.health.belief import Observation
from hawthornmast.routing import Route
from hawthornmast.routing import Team

LATE_FAILURE_FRACTION = 0.5
"""Fraction of a route's mean latency after which a failure is attributed to
the request rather than to its upstream."""

UNANSWERED_FAILURE_FRACTION = 0.5
"""Fraction of a route's timeout after which a cancelled request without a
response counts as a failure of its upstream."""


@attrs.define(eq=False)
class RequestContext:
    """State of one request across its attempts."""

    request: ClientRequest
    route: Route
    entry: Entry
    state: ServiceState
    trace: Trace
    deliver: Deliver
    deadline: float
    team: Team | None = None
    excluded_ids: set[str] = attrs.Factory(set)
    attempted_ids: set[str] = attrs.Factory(set)
    failed_ids: set[str] = attrs.Factory(set)
    last_answer: ClientResponse | None = None
    progress: Progress = attrs.Factory(Progress)
    attempt_scope: trio.CancelScope = attrs.Factory(trio.CancelScope)
    hedge: "Hedge | None" = None
    is_hedge: bool = False

    def end_hedge(self) -> None:
        """Cancel the second attempt that runs beside the first, if any."""
        if self.hedge is not None:
            self.hedge.scope.cancel()
            self.hedge = None


@attrs.define(eq=False)
class Hedge:
    """A second attempt that runs beside a late one.

    Parameters
    ----------
    context
        State of the request with the progress of the second attempt.
    answer
        Answer of the second attempt, None if it has none yet or failed.
    """

    context: RequestContext
    answer: ClientResponse | None = None
    scope: trio.CancelScope = attrs.Factory(trio.CancelScope)
    done: trio.Event = attrs.Factory(trio.Event)

    @property
    def succeeded(self) -> bool:
        """Whether its answer may be given to the client."""
        return self.answer is not None and self.answer.status < 500


class EvidenceRecorder:
    """Records what the attempts of requests show about their upstreams.

    Parameters
    ----------
    evidence
        Receives the observations.
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self, evidence: EvidenceExchange, *, clock: Callable[[], float]
    ) -> None:
        self._evidence = evidence
        self._clock = clock

    def record_response(
        self,
        context: RequestContext,
        upstream: Upstream,
        status: int,
        *,
        elapsed_s: float,
    ) -> None:
        """Record a complete response.

        Parameters
        ----------
        elapsed_s
            Seconds from the start of the attempt to the response.
        """
        state, route = context.state, context.route
        if status < 300:
            state.record_latency(route.name, elapsed_s)
        observation = Observation.SUCCEEDED
        if status >= 500:
            late_after_s = LATE_FAILURE_FRACTION * state.mean_latency_s(
                route.name
            )
            observation = (
                Observation.FAILED_LATE
                if elapsed_s >= late_after_s
                else Observation.FAILED
            )
        self._record(context, upstream, observation)

    def record_failure(
        self, context: RequestContext, upstream: Upstream
    ) -> None:
        """Record an attempt that ended without a complete response."""
        self._record(context, upstream, Observation.FAILED)

    def record_overdue(
        self, context: RequestContext, upstream: Upstream
    ) -> None:
        """Record an attempt that takes far longer than usual."""
        self._record(context, upstream, Observation.FAILED_LATE)

    def record_cancellation(
        self, context: RequestContext, upstream: Upstream, started_at: float
    ) -> None:
        """Record a cancelled attempt if its upstream had time to answer."""
        elapsed_s = self._clock() - started_at
        if (
            context.progress.started
            and not context.trace.client_disconnected
            and not context.trace.awaiting_client
            and elapsed_s
            >= UNANSWERED_FAILURE_FRACTION * context.route.timeout_s
        ):
            self.record_failure(context, upstream)

    def _record(
        self,
        context: RequestContext,
        upstream: Upstream,
        observation: Observation,
    ) -> None:
        self._evidence.record_observation(
            context.state.name,
            upstream.upstream_id,
            observation,
            sent_at=context.progress.started_at or self._clock(),
        )
