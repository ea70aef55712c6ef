"""Headers that are removed, read and added on the way."""

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
# These are written anew for each message.
_REWRITTEN = frozenset({b"content-length", b"expect", b"host"})
_DROPPED = _HOP_BY_HOP | _REWRITTEN
_FROM_OWNERS = frozenset({b"hawthornmast-owners", b"hawthornmast-instance"})


def filter_headers(
    headers: Iterable[tuple[bytes, bytes]],
    *,
    relayed: bool = False,
    own: frozenset[bytes] | None = None,
) -> RawHeaders:
    """Return the end-to-end headers with ``Via`` extended.

    Names are expected in lower case, as h11 yields them.

    Parameters
    ----------
    relayed
        Keep the addresses that another daemon sets on a response.
    own
        Names that the fleet sets itself and removes; by default all names
        with the fleet's prefix.
    """
    named: frozenset[bytes] = frozenset()
    via = VIA
    kept: RawHeaders = []
    for name, value in headers:
        if name in _DROPPED:
            if name == b"connection":
                named |= {part.strip().lower() for part in value.split(b",")}
        elif name == b"via":
            via = value + b", " + via
        elif own is not None:
            if name not in own:
                kept.append((name, value))
        elif not name.startswith(PREFIX) or (relayed and name in _FROM_OWNERS):
            kept.append((name, value))
    if named:
        kept = [pair for pair in kept if pair[0] not in named]
    kept.append((b"via", via))
    return kept


def outcome_headers(
    outcome: Outcome, request_id: str, *, reason: str = ""
) -> RawHeaders:
    """Return the fleet's own headers of a response."""
    headers = [
        (b"hawthornmast-outcome", outcome.value.encode()),
        (b"hawthornmast-request-id", request_id.encode()),
    ]
    if reason:
        headers.append((b"hawthornmast-reason", reason.encode()))
    return headers
