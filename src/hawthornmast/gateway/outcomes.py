"""What follows an attempt that gave no successful response.

A request is sent again, or its client gets an answer. An answer that promises
that the request has not run is given only if no upstream may have run it.
"""

from collections.abc import Callable

from hawthornmast.common import Outcome
from hawthornmast.common import Upstream
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.gateway.attempts import EvidenceRecorder
from hawthornmast.gateway.attempts import RequestContext

RETRY_AFTER_FRACTION = 0.25
"""Maximum fraction of its remaining time that a refused client is asked to
wait."""

MIN_RETRY_AFTER_S = 0.05


class AttemptOutcomes:
    """Decides whether a request is sent again or answered.

    Its methods return the answer, or None if another attempt is to be made.

    Parameters
    ----------
    recorder
        Records what attempts show about their upstreams.
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self, recorder: EvidenceRecorder, *, clock: Callable[[], float]
    ) -> None:
        self._recorder = recorder
        self._clock = clock

    def handle_rejection(
        self,
        context: RequestContext,
        upstream: Upstream,
        *,
        hold_off_s: float | None,
    ) -> ClientResponse | None:
        """Retry a request that its upstream stated it did not run.

        Such a request is safe to send again, but only to as many distinct
        upstreams as its route allows attempts. Until then, upstreams that
        rejected it are excluded. Once that many upstreams have received it, it
        is sent only to those that rejected it, including this one, because
        they haven't run it and may accept it later.
        """
        if context.last_answer is None:
            context.last_answer = self.refuse(
                "rejected", context.request, hold_off_s
            )
        context.excluded_ids.add(upstream.upstream_id)
        if not context.state.budget.take():
            return context.last_answer
        if len(context.attempted_ids) >= context.route.max_attempts:
            context.excluded_ids = {
                key
                for key in context.state.pool.members
                if key not in context.attempted_ids
                or key in context.failed_ids
            }
        return None

    def handle_unproved_refusal(
        self,
        context: RequestContext,
        upstream: Upstream,
        status: int,
        *,
        elapsed_s: float,
    ) -> ClientResponse | None:
        """Retry or answer a refused request that its upstream may have run.

        The status would tell the client that the request did not run, which
        the upstream doesn't state.
        """
        self._recorder.record_response(
            context, upstream, max(status, 500), elapsed_s=elapsed_s
        )
        return self.handle_failure(
            context,
            upstream,
            build_error_response(
                502,
                "bad-response",
                outcome=Outcome.UNKNOWN,
                detail=f"{status} of an upstream that may have run it",
            ),
        )

    def handle_error(
        self, context: RequestContext, upstream: Upstream, step: str
    ) -> ClientResponse | None:
        """Retry or answer a request whose exchange failed."""
        if step == "deadline":
            return context.last_answer or self.refuse(
                "deadline", context.request, None
            )
        if not context.progress.started:
            # Nothing was sent, so the request is safe to send again.
            context.excluded_ids.add(upstream.upstream_id)
            if context.progress.connect_timed_out:
                context.state.pool.mark_unreachable(upstream.upstream_id)
            else:
                self._recorder.record_failure(context, upstream)
            return None
        # An upstream may close an idle connection, so the close of a reused
        # one without a response is no evidence of a failure.
        if not context.progress.reused or context.progress.response_started:
            self._recorder.record_failure(context, upstream)
        return self.handle_failure(
            context,
            upstream,
            build_error_response(
                502,
                "upstream-failed",
                outcome=Outcome.UNKNOWN,
                detail=f"{step} failed",
            ),
        )

    def handle_failure(
        self,
        context: RequestContext,
        upstream: Upstream,
        answer: ClientResponse,
    ) -> ClientResponse | None:
        """Retry or answer a request that ran or may have run."""
        context.excluded_ids.add(upstream.upstream_id)
        context.failed_ids.add(upstream.upstream_id)
        context.last_answer = answer
        if context.route.idempotent and self._may_retry(context):
            return None
        return answer

    def _may_retry(self, context: RequestContext) -> bool:
        return (
            len(context.attempted_ids) < context.route.max_attempts
            and context.state.budget.take()
        )

    def refuse(
        self, reason: str, request: ClientRequest, wait_s: float | None
    ) -> ClientResponse:
        """Return a 503 refusal.

        Its ``Retry-After`` leaves the client time for a retry, should it make
        one.
        """
        wait = MIN_RETRY_AFTER_S if wait_s is None else wait_s
        if request.timeout_s is not None:
            left = request.received_at + request.timeout_s - self._clock()
            wait = min(wait, max(0.0, left) * RETRY_AFTER_FRACTION)
        return build_error_response(
            503, reason, retry_after=max(MIN_RETRY_AFTER_S, wait)
        )
