"""Forwards client requests to upstreams and determines their outcome."""

from collections.abc import Callable
import functools
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
from hawthornmast.forwarding.delivery import HTTP10_BUFFER_BYTES
from hawthornmast.forwarding.delivery import MAX_ATTEMPTS
from hawthornmast.forwarding.delivery import OpenScope
from hawthornmast.forwarding.evidence import classify_cancelled
from hawthornmast.forwarding.evidence import classify_error
from hawthornmast.forwarding.evidence import classify_status
from hawthornmast.forwarding.evidence import is_client_timeout
from hawthornmast.forwarding.evidence import is_shed
from hawthornmast.forwarding.evidence import matches_request
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.headers import filter_headers
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace
from hawthornmast.forwarding.relaying import Relayer
from hawthornmast.forwarding.runtime import ServiceDirectory
from hawthornmast.forwarding.runtime import ServiceRuntime
from hawthornmast.forwarding.tickets import FirstUse
from hawthornmast.forwarding.tickets import Rejected
from hawthornmast.forwarding.tickets import TicketRecord
from hawthornmast.forwarding.tickets import TicketStore
from hawthornmast.forwarding.translation import build_request
from hawthornmast.forwarding.translation import build_response
from hawthornmast.forwarding.translation import build_unavailable_response
from hawthornmast.forwarding.translation import build_wrong_instance_response
from hawthornmast.forwarding.translation import digest_request
from hawthornmast.forwarding.upstream import UpstreamClient
from hawthornmast.health import Evidence


@attrs.define(eq=False)
class _RetryState:
    """State of one request across its retry_state."""

    deadline: float
    exclude: set[str] = attrs.Factory(set)
    count: int = 0
    last_response: ClientResponse | None = None


class Forwarder:
    """Forwards requests to upstreams.

    Parameters
    ----------
    directory
        Services and their owners.
    upstreams
        HTTP client with the connection pools.
    tickets
        Tickets of this incarnation.
    relay_signer
        Signs relayed requests; without secrets nothing is relayed.
    buffer_bytes
        Responses up to this size are buffered; longer ones are streamed.
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self,
        directory: ServiceDirectory,
        upstreams: UpstreamClient,
        tickets: TicketStore,
        *,
        relay_signer: relay.RelaySigner,
        buffer_bytes: int = BUFFER_BYTES,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._directory = directory
        self._upstreams = upstreams
        self._tickets = tickets
        self._relay_signer = relay_signer
        self._buffer_bytes = buffer_bytes
        self._relayer = Relayer(
            directory,
            upstreams,
            signer=relay_signer,
            buffer_bytes=buffer_bytes,
            clock=clock,
        )
        self._clock = clock

    def check(self, request: ClientRequest) -> ClientResponse | None:
        """Return a refusal that doesn't depend on the body, or None.

        A request with a ticket of this daemon is not refused here: it may
        have run under an earlier configuration, and finding its record takes
        the digest of the body.
        """
        if request.ticket is None:
            selected = self._select(request)
            return selected if isinstance(selected, ClientResponse) else None
        if self._tickets.is_foreign(request.ticket):
            redemption = self._tickets.redeem(
                request.ticket, request.service, b""
            )
            assert isinstance(redemption, Rejected)
            return self._refuse_ticket(redemption, request.service)
        return None

    def may_run_early(self, request: ClientRequest) -> bool:
        """Return whether a request may run ahead of its turn.

        None does: the tickets of a connection are redeemed in the order of
        its requests.
        """
        del request
        return False

    def _select(
        self, request: ClientRequest
    ) -> ClientResponse | tuple[ServiceRuntime, Entry] | None:
        """Return a refusal, the runtime and the entry, or None to relay."""
        runtime = self._directory.runtime(request.service)
        if runtime is None:
            owners = self._directory.owners(request.service)
            if owners is None:
                return build_error_response(
                    404, "no-service", detail=request.service
                )
            if request.ticket or request.relayed or not self._relay_signer:
                return build_wrong_instance_response(owners)
            return None
        match = runtime.service.find_entry(request.method, request.target)
        if isinstance(match, Err):
            missing = match.err_value
            if not missing.methods:
                return build_error_response(
                    404, "no-entry", detail=missing.detail
                )
            value = ", ".join(missing.methods).encode()
            return build_error_response(
                405, "method", headers=[(b"allow", value)]
            )
        if not match.ok_value.idempotent and request.ticket is None:
            return build_error_response(
                428, "ticket-required", detail=match.ok_value.name
            )
        return runtime, match.ok_value

    async def run(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
    ) -> ClientResponse:
        """Forward a request and return its response.

        Parameters
        ----------
        trace
            Updated during the request; ``trace.client_disconnected`` is set
            by the server.
        open_scope
            Returns the request's cancel scope, not entered yet. It takes the
            deadline because changing that of a scope later costs more.
        deliver
            Streams a long response to the client; returns whether the
            response was completed.
        """
        if request.ticket is None:
            return await self._run(request, trace, open_scope, deliver)
        redemption = self._tickets.redeem(
            request.ticket, request.service, digest_request(request)
        )
        if isinstance(redemption, Rejected):
            return self._refuse_ticket(redemption, request.service)
        if not isinstance(redemption, FirstUse):
            return await self._respond_to_repeat(
                request, redemption.record, open_scope
            )
        response: ClientResponse | None = None
        try:
            response = await self._run(request, trace, open_scope, deliver)
        finally:
            # A streamed response is not stored for repeats.
            stored = (
                None if response is None or response.streamed else response
            )
            if stored is not None and len(stored.body) > self._buffer_bytes:
                stored = None
            # 512 bytes are an allowance for the headers and the record.
            size = len(stored.body) + 512 if stored else 0
            self._tickets.record_outcome(redemption.record, stored, size=size)
        return response

    async def _run(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
    ) -> ClientResponse:
        selected = self._select(request)
        if isinstance(selected, ClientResponse):
            return selected
        if selected is None:
            return await self._relayer.run(request, open_scope, trace, deliver)
        runtime, entry = selected
        service = runtime.service
        trace.entry, trace.owner = entry.name, entry.owner
        trace.rank, trace.revision = entry.rank.label, service.revision
        timeout_s = entry.deadline_ms / 1000
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s)
        deadline = request.received_at + timeout_s
        return await self._run_entry(
            request, trace, open_scope, deliver, runtime, entry, deadline
        )

    async def _respond_to_repeat(
        self,
        request: ClientRequest,
        record: TicketRecord,
        open_scope: OpenScope,
    ) -> ClientResponse:
        """Return the stored response of a ticket's first use, once it ended.

        The request is not run again.
        """
        deadline = math.inf
        if request.timeout_s is not None:
            deadline = request.received_at + request.timeout_s
        with open_scope(deadline):
            await record.done.wait()
        if record.response is not None:
            response: ClientResponse = record.response
            return response
        return build_error_response(
            409, "outcome-not-kept", outcome=Outcome.UNKNOWN
        )

    def _refuse_ticket(
        self, rejected: Rejected, service: str
    ) -> ClientResponse:
        if rejected.status != 421:
            return build_error_response(
                rejected.status, rejected.reason, outcome=rejected.outcome
            )
        owners = self._directory.owners(service) or []
        response = build_wrong_instance_response(owners)
        response.headers.append(
            (
                b"hawthornmast-instance",
                # The value comes from the client and is not verified.
                rejected.instance[:64].encode("ascii", "replace"),
            )
        )
        return response

    async def _run_entry(
        self,
        request: ClientRequest,
        trace: Trace,
        open_scope: OpenScope,
        deliver: Deliver,
        runtime: ServiceRuntime,
        entry: Entry,
        deadline: float,
    ) -> ClientResponse:
        retry_state = _RetryState(deadline)
        progress = Progress()
        headers = filter_headers(request.headers)
        response: ClientResponse | None = None
        with open_scope(deadline):
            while response is None:
                progress = Progress()
                response = await self._attempt(
                    request,
                    trace,
                    deliver,
                    runtime,
                    entry,
                    retry_state,
                    progress,
                    headers,
                )
        if response is not None:
            return response
        reason = "client-left" if trace.client_disconnected else "deadline"
        # An earlier attempt may have executed the request.
        last_response = retry_state.last_response
        if progress.started or (
            last_response is not None
            and last_response.outcome is Outcome.UNKNOWN
        ):
            return build_error_response(504, reason, outcome=Outcome.UNKNOWN)
        return build_unavailable_response(reason)

    async def _attempt(
        self,
        request: ClientRequest,
        trace: Trace,
        deliver: Deliver,
        runtime: ServiceRuntime,
        entry: Entry,
        retry_state: _RetryState,
        progress: Progress,
        headers: RawHeaders,
    ) -> ClientResponse | None:
        """Try one upstream; return None if the request is to be retried."""
        admission_result = await runtime.admit(
            entry, deadline=retry_state.deadline, exclude=retry_state.exclude
        )
        if isinstance(admission_result, Err):
            if retry_state.last_response is not None:
                return retry_state.last_response
            refusal = admission_result.err_value
            return build_unavailable_response(
                refusal.reason.value, refusal.retry_after, refusal.limit
            )
        admission = admission_result.ok_value
        upstream = admission.upstream
        trace.queue_s += admission.waited
        trace.upstreams.append(upstream.upstream_id)
        retry_state.count += 1
        evidence = Evidence.NEUTRAL
        attempt = runtime.begin(upstream.upstream_id, entry.name)
        try:
            remaining_s = retry_state.deadline - self._clock()
            result = await self._upstreams.send(
                upstream,
                build_request(request, headers, remaining_s),
                progress,
                deadline=retry_state.deadline,
                # Non-idempotent requests and retries use no pooled
                # connection, because its upstream may have closed it.
                new_connection=not entry.idempotent or retry_state.count > 1,
                buffer_bytes=(
                    HTTP10_BUFFER_BYTES
                    if request.is_http10
                    else self._buffer_bytes
                ),
                whole=request.is_http10,
                accepts_head=functools.partial(
                    matches_request, request=request
                ),
            )
            if isinstance(result, Err):
                evidence = classify_error(result.err_value, progress)
                return self._after_error(
                    result.err_value,
                    upstream,
                    progress,
                    runtime,
                    entry,
                    retry_state,
                )
            exchange = result.ok_value
            matches = matches_request(exchange, request)
            try:
                if exchange.header(b"upstream-state") == b"leaving":
                    runtime.announce_leaving(upstream.upstream_id)
                if not matches:
                    evidence = Evidence.FAILED
                    error = StepError(
                        step="read", detail="response to another request"
                    )
                    return self._after_error(
                        error, upstream, progress, runtime, entry, retry_state
                    )
                if exchange.complete and is_shed(exchange, runtime.service):
                    evidence = Evidence.SHED
                    return self._after_shed(
                        upstream, runtime, entry, retry_state
                    )
                response = build_response(request, exchange)
                if not exchange.complete:
                    if request.is_http10:
                        return build_error_response(
                            502, "too-long", outcome=Outcome.UNKNOWN
                        )
                    response.streamed = True
                    response.truncated = not await deliver(response, exchange)
                    if response.truncated:
                        response.outcome = Outcome.UNKNOWN
                evidence = classify_status(exchange.status)
                if exchange.status == 504 and is_client_timeout(
                    entry, progress, retry_state.deadline, self._clock()
                ):
                    evidence = Evidence.NEUTRAL
                if response.truncated and not trace.client_disconnected:
                    evidence = Evidence.FAILED
            finally:
                exchange.release(reusable=matches)
            if retry_state.count == 1:
                runtime.record_first_attempt(entry)
            return response
        except trio.Cancelled:
            evidence = classify_cancelled(
                trace, entry, progress, self._clock()
            )
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
        retry_state: _RetryState,
    ) -> ClientResponse | None:
        """Handle a failed exchange; None requests another attempt."""
        if error.step == "deadline":
            return retry_state.last_response or build_unavailable_response(
                "deadline"
            )
        # An upstream may close an idle connection at any time, so a failure
        # on a reused one doesn't exclude it.
        if not progress.reused:
            retry_state.exclude.add(upstream.upstream_id)
        can_retry = retry_state.count < MAX_ATTEMPTS
        if not progress.started:
            retry_state.last_response = (
                retry_state.last_response
                or build_unavailable_response("no-upstream")
            )
            return None if can_retry else retry_state.last_response
        response = build_error_response(
            502,
            "upstream-failed",
            outcome=Outcome.UNKNOWN,
            detail=f"{error.step} failed",
        )
        retry_state.last_response = response
        if entry.idempotent and can_retry and runtime.allow_retry(entry):
            return None
        return response

    def _after_shed(
        self,
        upstream: Upstream,
        runtime: ServiceRuntime,
        entry: Entry,
        retry_state: _RetryState,
    ) -> ClientResponse | None:
        """Handle a shed request; None requests another attempt."""
        retry_state.exclude.add(upstream.upstream_id)
        retry_state.last_response = (
            retry_state.last_response or build_unavailable_response("shed")
        )
        if retry_state.count < MAX_ATTEMPTS and runtime.allow_retry(entry):
            return None
        return retry_state.last_response
