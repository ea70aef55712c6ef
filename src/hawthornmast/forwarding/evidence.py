"""Classification of attempts as evidence of upstream health."""

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import StepError
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import Trace
from hawthornmast.health import Evidence

# A timeout is evidence against an upstream only if it had at least this
# fraction of the entry's deadline, since clients may set short timeouts.
_MIN_DEADLINE_FRACTION = 0.5

REQUEST_ID_HEADER = b"hawthornmast-request-id"
"""Header in which an upstream may name the request of its response."""

SINGLETON_HEADERS = frozenset({REQUEST_ID_HEADER})
"""Headers that a response of an upstream has at most once."""


def matches_request(exchange: Exchange, request: ClientRequest) -> bool:
    """Return whether the response belongs to the request.

    Upstreams may leave out the request's identifier. But on a connection on
    which a response carried one, a response without it may be a late copy.
    """
    request_id = exchange.header(REQUEST_ID_HEADER)
    if request_id is None:
        return not exchange.connection_has_identifiers
    exchange.connection_has_identifiers = True
    return request_id == request.request_id.encode()


def is_shed(exchange: Exchange, service: Service) -> bool:
    """Return whether the upstream shed the request (refused it under load).

    A shed request was not run and may be sent to another upstream. A plain
    503 doesn't prove that: the response must also carry the header that the
    service declares as ``not_run_header``.
    """
    not_run_header = service.not_run_header
    if not_run_header is None or exchange.status != 503:
        return False
    name, value = not_run_header
    return exchange.header(name.lower().encode()) == value.encode()


def classify_error(error: StepError, progress: Progress) -> Evidence:
    """Return the evidence of an exchange that failed with an error."""
    # "all N connections are in use" is reported by UpstreamClient.send() when
    # the pool is at its limit; the upstream was not contacted.
    if error.step == "deadline" or error.detail.startswith("all "):
        return Evidence.NEUTRAL
    if progress.reused and not progress.response_started:
        return Evidence.NEUTRAL
    return Evidence.FAILED


def classify_status(status: int) -> Evidence:
    """Return the evidence of a complete response that ``is_shed`` denies."""
    if status >= 500:
        return Evidence.FAILED
    return Evidence.NEUTRAL if status >= 400 else Evidence.OK


def classify_cancelled(
    trace: Trace, entry: Entry, progress: Progress, now: float
) -> Evidence:
    """Return the evidence of a cancelled exchange."""
    if (
        trace.client_disconnected
        or trace.awaiting_client
        or not progress.started
    ):
        return Evidence.NEUTRAL
    elapsed_s = now - progress.started_at
    if elapsed_s >= _MIN_DEADLINE_FRACTION * entry.deadline_ms / 1000:
        return Evidence.FAILED
    return Evidence.NEUTRAL


def is_client_timeout(
    entry: Entry, progress: Progress, deadline: float, now: float
) -> bool:
    """Return whether a 504 is due to the client's short timeout.

    This holds when the upstream was given less than the minimum fraction of
    the entry's deadline and used at least 80% of that time.
    """
    timeout_s = deadline - progress.started_at
    elapsed_s = now - progress.started_at
    return (
        timeout_s < _MIN_DEADLINE_FRACTION * entry.deadline_ms / 1000
        and elapsed_s >= 0.8 * timeout_s
    )
