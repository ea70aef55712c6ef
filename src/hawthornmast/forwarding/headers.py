"""Filtering and construction of headers on forwarded messages."""

from collections.abc import Iterable

from hawthornmast.common import Outcome

RawHeaders = list[tuple[bytes, bytes]]

PREFIX = b"hawthornmast-"
VIA = b"1.1 hawthornmast"

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Host and the framing are set anew for each message. Expect is dropped because
# the server itself sends 100 Continue and forwards only complete bodies.
_REWRITTEN = frozenset({b"content-length", b"expect", b"host"})
_DROPPED = _HOP_BY_HOP | _REWRITTEN
_RELAYED_HEADERS = frozenset(
    {b"hawthornmast-owners", b"hawthornmast-instance"}
)


def filter_headers(
    headers: Iterable[tuple[bytes, bytes]],
    *,
    relayed: bool = False,
    reserved: frozenset[bytes] | None = None,
) -> RawHeaders:
    """Return the end-to-end headers with this proxy added to ``Via``.

    Names must be in lower case, as h11 yields them.

    Parameters
    ----------
    relayed
        Keep the instance and owner headers set by another daemon.
    reserved
        Names that only the fleet may set, which are removed; by default all
        names with the fleet's prefix.
    """
    connection_options: frozenset[bytes] = frozenset()
    via = VIA
    forwarded: RawHeaders = []
    for name, value in headers:
        if name in _DROPPED:
            if name == b"connection":
                connection_options |= {
                    part.strip().lower() for part in value.split(b",")
                }
        elif name == b"via":
            via = value + b", " + via
        elif reserved is not None:
            if name not in reserved:
                forwarded.append((name, value))
        elif not name.startswith(PREFIX) or (
            relayed and name in _RELAYED_HEADERS
        ):
            forwarded.append((name, value))
    if connection_options:
        forwarded = [
            pair for pair in forwarded if pair[0] not in connection_options
        ]
    forwarded.append((b"via", via))
    return forwarded


def build_outcome_headers(
    outcome: Outcome, request_id: str, *, reason: str = ""
) -> RawHeaders:
    """Return the fleet's own headers for a response."""
    headers = [
        (b"hawthornmast-outcome", outcome.value.encode()),
        (b"hawthornmast-request-id", request_id.encode()),
    ]
    if reason:
        headers.append((b"hawthornmast-reason", reason.encode()))
    return headers
