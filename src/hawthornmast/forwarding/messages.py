"""Client requests and the responses to them."""

import attrs

from hawthornmast.common import Outcome
from hawthornmast.forwarding.headers import RawHeaders


class BadInputError(Exception):
    """Input of a client that is refused before it is forwarded.

    Besides malformed requests these are unsupported ones such as CONNECT,
    clients that send too slowly, and bodies over a limit.

    Parameters
    ----------
    status
        Status of the response.
    kind
        Reason in the response and label in the metrics.
    detail
        Text added to the response.
    """

    def __init__(self, status: int, kind: str, detail: str = "") -> None:
        super().__init__(detail)
        self.status = status
        self.kind = kind


@attrs.define(kw_only=True, eq=False)
class ClientRequest:
    """A client's request with its complete body.

    Parameters
    ----------
    target
        Request target in origin form.
    service
        Host of the ``Host`` header or of an absolute target, without a port.
    headers
        Pairs with names in lower case.
    has_body
        The client declared a body, even if it is empty.
    is_http10
        The client uses HTTP/1.0.
    timeout_s
        Seconds that the client waits; None if it sent no timeout.
    relay_signature
        Value of ``Hawthornmast-Relayed``, not verified.
    relayed
        The relay signature of another daemon was verified.
    received_at
        Monotonic time at which the head was parsed.
    key_digest
        Digest of the client's key, None without a usable key. The key itself
        is only in ``headers``.
    key_error
        Why there is no usable key.
    team
        Name of the team that holds the key, empty if there is none. None if
        requests need no keys, so that a key is an ordinary header.
    """

    request_id: str
    method: str
    target: str
    service: str
    headers: RawHeaders
    body: bytes = b""
    has_body: bool = False
    is_http10: bool = False
    timeout_s: float | None = None
    ticket: str | None = None
    relay_signature: bytes | None = None
    relayed: bool = False
    client: str = ""
    received_at: float = 0.0
    key_digest: bytes | None = None
    key_error: str = ""
    team: str | None = None


@attrs.define(kw_only=True, eq=False)
class ClientResponse:
    """A response to a client.

    Parameters
    ----------
    headers
        Headers other than those for framing and the outcome.
    content_length
        ``Content-Length`` to send for HEAD and for streamed responses; other
        responses send the length of ``body``.
    retry_after
        Seconds after which the client may retry.
    streamed
        The response was already streamed to the client.
    truncated
        The response was streamed and could not be completed.
    """

    status: int
    outcome: Outcome
    reason: str = ""
    headers: RawHeaders = attrs.Factory(list)
    body: bytes = b""
    content_length: bytes | None = None
    streamed: bool = False
    truncated: bool = False
    retry_after: float | None = None


@attrs.define(kw_only=True, eq=False)
class Trace:
    """Events of a request's processing, for its report.

    Parameters
    ----------
    steps
        Attempts and refusals with their results. Filled by the gateway's
        forwarder; empty for the native client interface.
    client_disconnected
        The client disconnected before the response was complete.
    awaiting_client
        The next part of a streamed response waits for the client to accept
        it, not for the upstream to send it. A cancellation is then no
        evidence against the upstream.
    """

    entry: str = ""
    owner: str = ""
    rank: str = ""
    revision: int = 0
    upstreams: list[str] = attrs.Factory(list)
    steps: list[str] = attrs.Factory(list)
    queue_s: float = 0.0
    client_disconnected: bool = False
    awaiting_client: bool = False


def build_error_response(
    status: int,
    reason: str,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
    detail: str = "",
    headers: RawHeaders | None = None,
    retry_after: float | None = None,
) -> ClientResponse:
    """Return an error response that the daemon itself generates.

    By default its outcome says that the request was not run. Failures after
    an upstream received the request (502 and 504) pass another outcome.
    """
    pairs: RawHeaders = [(b"content-type", b"text/plain; charset=utf-8")]
    pairs += headers or []
    text = f"{reason}: {detail}\n" if detail else f"{reason}\n"
    return ClientResponse(
        status=status,
        outcome=outcome,
        reason=reason,
        headers=pairs,
        body=text.encode(errors="replace"),
        retry_after=retry_after,
    )
