"""Translation of requests and responses between clients and upstreams."""

import hashlib
import random

from hawthornmast.common import Instance
from hawthornmast.common import Outcome
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.exchange import UpstreamRequest
from hawthornmast.forwarding.headers import filter_headers
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse


def build_unavailable_response(
    reason: str, retry_after: float | None = None, detail: str = ""
) -> ClientResponse:
    """Return a 503 response to a request that was not run and may be retried.

    Reasons are, for example, that no owner or no upstream is available, that
    the deadline passed, or that the client disconnected.
    Without ``retry_after`` the delay is random, between 0.5 and 1.5 s.
    """
    if retry_after is None:
        retry_after = 0.5 + random.random()
    return build_error_response(
        503, reason, retry_after=retry_after, detail=detail
    )


def build_wrong_instance_response(owners: list[Instance]) -> ClientResponse:
    """Return a 421 response that lists the owners of a service."""
    value = ", ".join(owner.address for owner in owners).encode()
    return build_error_response(
        421, "wrong-instance", headers=[(b"hawthornmast-owners", value)]
    )


def digest_request(request: ClientRequest) -> bytes:
    """Return a digest that identifies the request of a ticket."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        request.method.encode(),
        request.target.encode(),
        request.body,
    ):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


def build_request(
    request: ClientRequest, headers: RawHeaders, remaining_s: float
) -> UpstreamRequest:
    """Return the request to send to an upstream."""
    remaining_ms = max(1, int(remaining_s * 1000))
    return UpstreamRequest(
        method=request.method.encode(),
        target=request.target.encode(),
        headers=[
            (b"host", request.service.encode()),
            *headers,
            (b"hawthornmast-request-id", request.request_id.encode()),
            (b"hawthornmast-timeout-ms", b"%d" % remaining_ms),
        ],
        body=request.body,
        has_body=request.has_body,
    )


def build_response(
    request: ClientRequest, exchange: Exchange, *, relayed: bool = False
) -> ClientResponse:
    """Return the response to send to the client."""
    headers = filter_headers(exchange.headers, relayed=relayed)
    outcome = Outcome.COMPLETE
    reason = ""
    if relayed:
        text = exchange.header(b"hawthornmast-outcome") or b"unknown"
        try:
            outcome = Outcome(text.decode("latin-1"))
        except ValueError:
            outcome = Outcome.UNKNOWN
        value = exchange.header(b"hawthornmast-reason") or b""
        reason = value.decode("latin-1")
    return ClientResponse(
        status=exchange.status,
        outcome=outcome,
        reason=reason,
        headers=headers,
        body=bytes(exchange.body),
        content_length=exchange.header(b"content-length"),
    )
