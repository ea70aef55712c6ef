"""Runs a client's request on upstreams and decides its outcome."""

from collections.abc import Callable
import math

import attrs
from result import Err
import trio

from hawthornmast.catalogue import Entry
from hawthornmast.common import Outcome
from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.forwarding import relay
from hawthornmast.forwarding.delivery import BUFFER_BYTES
from hawthornmast.forwarding.delivery import Deliver
from hawthornmast.forwarding.delivery import MAX_ATTEMPTS
from hawthornmast.forwarding.delivery import OLD_BUFFER_BYTES
from hawthornmast.forwarding.delivery import OpenScope
from hawthornmast.forwarding.headers import filter_headers
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.judgement import is_own
from hawthornmast.forwarding.judgement import is_shed
from hawthornmast.forwarding.judgement import judge_cancelled
from hawthornmast.forwarding.judgement import judge_error
from hawthornmast.forwarding.judgement import judge_status
from hawthornmast.forwarding.judgement import was_hurried
from hawthornmast.forwarding.messages import Answer
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import refuse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.relaying import Relayer
from hawthornmast.forwarding.runtime import ServiceDirectory
from hawthornmast.forwarding.runtime import ServiceRuntime
from hawthornmast.forwarding.tickets import FirstUse
from hawthornmast.forwarding.tickets import Rejected
from hawthornmast.forwarding.tickets import TicketBook
from hawthornmast.forwarding.tickets import TicketRecord
from hawthornmast.forwarding.translation import build_answer
from hawthornmast.forwarding.translation import build_request
from hawthornmast.forwarding.translation import digest_request
from hawthornmast.forwarding.translation import refuse_busy
from hawthornmast.forwarding.translation import wrong_instance
from hawthornmast.forwarding.upstream import Progress
from hawthornmast.forwarding.upstream import UpstreamClient
from hawthornmast.health import Evidence


@attrs.define(eq=False)
class _Attempts:
    """The attempts of one request so far."""

    deadline: float
    exclude: set[str] = attrs.Factory(set)
    count: int = 0
    last: Answer | None = None


class Forwarder:
    """Runs requests on upstreams.

    Parameters
    ----------
    directory
        Services of this daemon.
    upstreams
        Connections to upstreams.
    tickets
        Tickets of this incarnation.
    mark
        Signs relayed requests; without secrets nothing is relayed.
    buffer_bytes
        Bytes of a response that are held before it is streamed.
    clock
        Monotonic time.
    """

    def __init__(
        self,
        directory: ServiceDirectory,
        upstreams: UpstreamClient,
        tickets: TicketBook,
        *,
        mark: relay.RelayMark,
        buffer_bytes: int = BUFFER_BYTES,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._directory = directory
        self._upstreams = upstreams
        self._tickets = tickets
        self._mark = mark
        self._buffer_bytes = buffer_bytes
        self._relayer = Relayer(
            directory,
            upstreams,
            mark=mark,
            buffer_bytes=buffer_bytes,
            clock=clock,
        )
        self._clock = clock

    def check(self, request: ClientRequest) -> Answer | None:
        """Return the refusal of a request that needs no body to decide.

        A ticket that this daemon issued is looked up with the body first,
        because its request may have run under an earlier configuration.
        """
        if request.ticket is None:
            selected = self._select(request)
            return selected if isinstance(selected, Answer) else None
        if self._tickets.is_foreign(request.ticket):
            used = self._tickets.redeem(request.ticket, request.service, b"")
            assert isinstance(used, Rejected)
            return self._reject(used, request.service)
        return None

    def _select(
        self, request: ClientRequest
    ) -> Answer | tuple[ServiceRuntime, Entry] | None:
        """Return a refusal, what runs the request, or None to relay it."""
        runtime = self._directory.runtime(request.service)
        if runtime is None:
            owners = self._directory.owners(request.service)
            if owners is None:
                return refuse(404, "no-service", detail=request.service)
            if request.ticket or request.relayed or not self._mark:
                return wrong_instance(owners)
            return None
        found = runtime.service.find_entry(request.method, request.target)
        if isinstance(found, Err):
            missing = found.err_value
            if not missing.methods:
                return refuse(404, "no-entry", detail=missing.detail)
            value = ", ".join(missing.methods).encode()
            return refuse(405, "method", headers=[(b"allow", value)])
        if not found.ok_value.idempotent and request.ticket is None:
            return refuse(428, "ticket-required", detail=found.ok_value.name)
        return runtime, found.ok_value

    async def run(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
    ) -> Answer:
        """Run a request and return its answer.

        Parameters
        ----------
        trace
            Filled on the way; ``trace.left`` tells that the client left.
        open_scope
            Returns the request's scope, not entered yet; cancelling it ends
            the request. A deadline set later would cost more.
        deliver
            Streams a long response to the client; it returns whether the
            response was delivered to its end.
        """
        if request.ticket is None:
            return await self._run(request, trace, open_scope, deliver)
        used = self._tickets.redeem(
            request.ticket, request.service, digest_request(request)
        )
        if isinstance(used, Rejected):
            return self._reject(used, request.service)
        if not isinstance(used, FirstUse):
            return await self._repeat(request, used.record, open_scope)
        answer: Answer | None = None
        try:
            answer = await self._run(request, trace, open_scope, deliver)
        finally:
            # A streamed answer is not kept.
            kept = None if answer is None or answer.sent else answer
            if kept is not None and len(kept.body) > self._buffer_bytes:
                kept = None
            size = len(kept.body) + 512 if kept else 0
            self._tickets.settle(used.record, kept, size=size)
        return answer

    async def _run(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
    ) -> Answer:
        selected = self._select(request)
        if isinstance(selected, Answer):
            return selected
        if selected is None:
            return await self._relayer.run(request, open_scope, trace, deliver)
        runtime, entry = selected
        service = runtime.service
        trace.entry, trace.owner = entry.name, entry.owner
        trace.rank, trace.revision = entry.rank.label, service.revision
        allowed_s = entry.deadline_ms / 1000
        if request.timeout_s is not None:
            allowed_s = min(allowed_s, request.timeout_s)
        deadline = request.arrived + allowed_s
        return await self._run_entry(
            request, trace, open_scope, deliver, runtime, entry, deadline
        )

    async def _repeat(
        self,
        request: ClientRequest,
        record: TicketRecord,
        open_scope: OpenScope,
    ) -> Answer:
        deadline = math.inf
        if request.timeout_s is not None:
            deadline = request.arrived + request.timeout_s
        with open_scope(deadline):
            await record.done.wait()
        if record.answer is not None:
            answer: Answer = record.answer
            return answer
        return refuse(409, "outcome-not-kept", outcome=Outcome.UNKNOWN)

    def _reject(self, rejected: Rejected, service: str) -> Answer:
        if rejected.status != 421:
            return refuse(
                rejected.status, rejected.reason, outcome=rejected.outcome
            )
        owners = self._directory.owners(service) or []
        answer = wrong_instance(owners)
        answer.headers.append(
            (
                b"hawthornmast-instance",
                # Clients choose the ticket's text.
                rejected.instance[:64].encode("ascii", "replace"),
            )
        )
        return answer

    async def _run_entry(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
        runtime: ServiceRuntime,
        entry: Entry,
        deadline: float,
    ) -> Answer:
        attempts = _Attempts(deadline)
        progress = Progress()
        headers = filter_headers(request.headers)
        answer: Answer | None = None
        with open_scope(deadline):
            while answer is None:
                progress = Progress()
                answer = await self._attempt(
                    request,
                    trace,
                    deliver,
                    runtime,
                    entry,
                    attempts,
                    progress,
                    headers,
                )
        if answer is not None:
            return answer
        reason = "client-left" if trace.left else "deadline"
        # An earlier attempt may have run as well.
        last = attempts.last
        if progress.started or (
            last is not None and last.outcome is Outcome.UNKNOWN
        ):
            return refuse(504, reason, outcome=Outcome.UNKNOWN)
        return refuse_busy(reason)

    async def _attempt(
        self,
        request: ClientRequest,
        trace: Trace,
        deliver: Deliver,
        runtime: ServiceRuntime,
        entry: Entry,
        attempts: _Attempts,
        progress: Progress,
        headers: RawHeaders,
    ) -> Answer | None:
        """Try one upstream; return None when another is to be tried."""
        admitted = await runtime.admit(
            entry, deadline=attempts.deadline, exclude=attempts.exclude
        )
        if isinstance(admitted, Err):
            if attempts.last is not None:
                return attempts.last
            refusal = admitted.err_value
            return refuse_busy(
                refusal.reason.value, refusal.retry_after, refusal.limit
            )
        admission = admitted.ok_value
        upstream = admission.upstream
        trace.queue_s += admission.waited
        trace.upstreams.append(upstream.upstream_id)
        attempts.count += 1
        evidence = Evidence.NEUTRAL
        attempt = runtime.begin(upstream.upstream_id, entry.name)
        try:
            left_s = attempts.deadline - self._clock()
            sent = await self._upstreams.send(
                upstream,
                build_request(request, headers, left_s),
                progress,
                deadline=attempts.deadline,
                # Other kept connections may have been closed as well.
                fresh=not entry.idempotent or attempts.count > 1,
                buffer_bytes=(
                    OLD_BUFFER_BYTES if request.old else self._buffer_bytes
                ),
            )
            if isinstance(sent, Err):
                evidence = judge_error(sent.err_value, progress)
                return self._after_error(
                    sent.err_value,
                    upstream,
                    progress,
                    runtime,
                    entry,
                    attempts,
                )
            exchange = sent.ok_value
            own = is_own(exchange, request)
            try:
                if exchange.header(b"upstream-state") == b"leaving":
                    runtime.note_leaving(upstream.upstream_id)
                if not own:
                    evidence = Evidence.FAILED
                    error = StepError(step="read", detail="crossed response")
                    return self._after_error(
                        error, upstream, progress, runtime, entry, attempts
                    )
                if exchange.complete and is_shed(exchange, runtime.service):
                    evidence = Evidence.SHED
                    return self._after_shed(upstream, runtime, entry, attempts)
                answer = build_answer(request, exchange)
                if not exchange.complete:
                    if request.old:
                        return refuse(502, "too-long", outcome=Outcome.UNKNOWN)
                    answer.sent = True
                    answer.cut = not await deliver(answer, exchange)
                    if answer.cut:
                        answer.outcome = Outcome.UNKNOWN
                evidence = judge_status(exchange.status)
                if exchange.status == 504 and was_hurried(
                    entry, progress, attempts.deadline, self._clock()
                ):
                    evidence = Evidence.NEUTRAL
                if answer.cut and not trace.left:
                    evidence = Evidence.FAILED
            finally:
                exchange.release(own=own)
            if attempts.count == 1:
                runtime.count_attempt(entry)
            return answer
        except trio.Cancelled:
            evidence = judge_cancelled(trace, entry, progress, self._clock())
            raise
        finally:
            runtime.finish(attempt, evidence)
            admission.release()

    def _after_error(
        self,
        error: StepError,
        upstream: Upstream,
        progress: Progress,
        runtime: ServiceRuntime,
        entry: Entry,
        attempts: _Attempts,
    ) -> Answer | None:
        """Decide after a failed exchange; None means another attempt."""
        if error.step == "deadline":
            return attempts.last or refuse_busy("deadline")
        # A closed kept connection says nothing against its upstream.
        if not progress.reused:
            attempts.exclude.add(upstream.upstream_id)
        more = attempts.count < MAX_ATTEMPTS
        if not progress.started:
            attempts.last = attempts.last or refuse_busy("no-upstream")
            return None if more else attempts.last
        answer = refuse(
            502,
            "upstream-failed",
            outcome=Outcome.UNKNOWN,
            detail=f"{error.step} failed",
        )
        attempts.last = answer
        if entry.idempotent and more and runtime.allow_retry(entry):
            return None
        return answer

    def _after_shed(
        self,
        upstream: Upstream,
        runtime: ServiceRuntime,
        entry: Entry,
        attempts: _Attempts,
    ) -> Answer | None:
        attempts.exclude.add(upstream.upstream_id)
        attempts.last = attempts.last or refuse_busy("shed")
        if attempts.count < MAX_ATTEMPTS and runtime.allow_retry(entry):
            return None
        return attempts.last
