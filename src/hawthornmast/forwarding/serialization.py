"""Serialization of requests and responses.

h11 validates each header that it sends. Forwarded headers were validated when
h11 received them, so they are serialized here, and h11 is passed an event
without a body that causes the same state transitions.
"""

from collections.abc import Iterable
import functools

import h11

from hawthornmast.forwarding.headers import RawHeaders

_END_OF_MESSAGE = h11.EndOfMessage()
_EMPTY_BODY_HEADERS = [(b"content-length", b"0")]
_KEEP_ALIVE_RESPONSE = h11.Response(
    status_code=200, headers=_EMPTY_BODY_HEADERS
)
_CLOSING_RESPONSE = h11.Response(
    status_code=200, headers=[*_EMPTY_BODY_HEADERS, (b"connection", b"close")]
)


@functools.lru_cache(maxsize=64)
def _build_bodiless_request(method: bytes) -> h11.Request:
    return h11.Request(
        method=method, target=b"/", headers=[(b"host", b"upstream")]
    )


def read_headers(head: h11.Request | h11.Response) -> RawHeaders:
    """Return the headers of a received head with names in lower case."""
    # raw_items() is several times faster than iterating over the headers.
    items: Iterable[tuple[bytes, bytes]] = head.headers.raw_items()
    return [(name.lower(), value) for name, value in items]


def _serialize(start_line: bytes, headers: RawHeaders, body: bytes) -> bytes:
    lines = [b"%s: %s\r\n" % pair for pair in headers]
    return b"".join((start_line, *lines, b"\r\n", body))


def write_request(
    connection: h11.Connection,
    method: bytes,
    target: bytes,
    headers: RawHeaders,
    body: bytes,
    *,
    has_body: bool,
) -> bytes:
    """Return a serialized request; one with a body has a Content-Length.

    Headers are not validated: they must come from a received head or contain
    no line breaks.
    """
    connection.send(_build_bodiless_request(method))
    connection.send(_END_OF_MESSAGE)
    if has_body:
        headers = [*headers, (b"content-length", b"%d" % len(body))]
    return _serialize(b"%s %s HTTP/1.1\r\n" % (method, target), headers, body)


def write_response(
    connection: h11.Connection,
    status: int,
    headers: RawHeaders,
    body: bytes,
    *,
    content_length: bytes | None,
    close: bool,
) -> bytes:
    """Return a serialized response.

    The content length may differ from that of an empty body, as in a response
    to HEAD. Headers are not validated: they must come from a received head or
    contain no line breaks.
    """
    connection.send(_CLOSING_RESPONSE if close else _KEEP_ALIVE_RESPONSE)
    connection.send(_END_OF_MESSAGE)
    if content_length is not None:
        headers = [*headers, (b"content-length", content_length)]
    if close or connection.our_state is not h11.DONE:
        headers = [*headers, (b"connection", b"close")]
    return _serialize(b"HTTP/1.1 %d \r\n" % status, headers, body)
