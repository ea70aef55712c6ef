"""A client's request and the answer to it."""

import attrs

from hawthornmast.common import Outcome
from hawthornmast.forwarding.headers import RawHeaders


class BadInputError(Exception):
    """Input that is refused; ``kind`` names it in the counters."""

    def __init__(self, status: int, kind: str, detail: str = "") -> None:
        super().__init__(detail)
        self.status = status
        self.kind = kind


@attrs.define(kw_only=True, eq=False)
class ClientRequest:
    """A request with its whole body, as a client sent it.

    Parameters
    ----------
    target
        In origin form.
    service
        Name that the ``Host`` header gives, without a port.
    headers
        Pairs with names in lower case.
    framed
        The client declared a body, if only an empty one.
    old
        The client speaks HTTP/1.0.
    timeout_s
        Seconds that the client waits; None when it didn't say.
    mark
        Value of ``Hawthornmast-Relayed``, not verified.
    relayed
        The mark proved that another daemon relayed the request.
    arrived
        Time at which the head was read.
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


@attrs.define(kw_only=True, eq=False)
class ClientResponse:
    """An answer with its whole body.

    Parameters
    ----------
    headers
        Without those of framing and without the outcome.
    length
        ``Content-Length`` to announce instead of the body's, for HEAD.
    retry_after
        Seconds after which the client may ask again.
    sent
        The answer was streamed already.
    cut
        The answer was streamed and could not be finished.
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
    """What happened to a request on its way, for its report.

    Parameters
    ----------
    steps
        Each attempt or refusal, with what came of it.
    left
        The client left before its answer was complete.
    streaming
        A part of a streamed answer is being written to the client.
    """

    entry: str = ""
    owner: str = ""
    rank: str = ""
    revision: int = 0
    upstreams: list[str] = attrs.Factory(list)
    steps: list[str] = attrs.Factory(list)
    queue_s: float = 0.0
    client_disconnected: bool = False
    streaming: bool = False


def refuse(
    status: int,
    reason: str,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
    detail: str = "",
    headers: RawHeaders | None = None,
    retry_after: float | None = None,
) -> ClientResponse:
    """Return an answer of the daemon itself."""
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
