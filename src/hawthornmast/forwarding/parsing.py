"""Parsing and validation of request heads."""

import attrs
import h11
import trio

from hawthornmast.catalogue import split_path
from hawthornmast.forwarding.dialect import Dialect
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.serialization import read_headers


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limits on what clients may send.

    Parameters
    ----------
    connections
        Concurrent connections.
    header_bytes, header_count
        Size of the whole request head, including the request line, and the
        number of headers in it.
    body_bytes
        Size of a request body, which is buffered in memory.
    total_body_bytes
        Total size of the bodies buffered at one time.
    answer_buffer_bytes
        Response size up to which responses are buffered; longer ones are
        streamed.
    idle_s, header_s, body_s, write_s
        Seconds for a client to start a request, to complete its head, to
        complete its body, and to receive a response.
    """

    connections: int = 2000
    header_bytes: int = 16_384
    header_count: int = 100
    body_bytes: int = 1_048_576
    total_body_bytes: int = 33_554_432
    answer_buffer_bytes: int = 65_536
    idle_s: float = 60.0
    header_s: float = 5.0
    body_s: float = 10.0
    write_s: float = 10.0


_SINGLETON_HEADERS = frozenset(
    {
        b"content-length",
        b"transfer-encoding",
        b"host",
        b"upgrade",
    }
)


def _check_singletons(
    headers: RawHeaders, singleton_headers: frozenset[bytes]
) -> None:
    """Refuse headers that must not be repeated."""
    seen = set()
    for name, _ in headers:
        if name in singleton_headers:
            if name in seen:
                raise BadInputError(400, "repeated-header", name.decode())
            seen.add(name)


def check_lines(raw: bytes, limits: ClientLimits) -> None:
    """Refuse folded headers and bare line feeds, which h11 accepts.

    Servers interpret both differently, which allows request smuggling.
    """
    end = raw.find(b"\r\n\r\n")
    if end < 0:
        end = len(raw)
    if end > limits.header_bytes:
        raise BadInputError(431, "header-too-long")
    if raw.find(b"\n ", 0, end) >= 0 or raw.find(b"\n\t", 0, end) >= 0:
        raise BadInputError(400, "folded-header")
    if raw.count(b"\n", 0, end) != raw.count(b"\r\n", 0, end):
        raise BadInputError(400, "bare-line-feed")


def parse_head(
    head: h11.Request, limits: ClientLimits, client: str, dialect: Dialect
) -> ClientRequest:
    """Return the parsed request, without body and identifier."""
    method = head.method.decode("ascii")
    target = head.target.decode("ascii")
    headers = read_headers(head)
    if len(headers) > limits.header_count:
        raise BadInputError(431, "too-many-headers")
    values = dict(headers)
    if len(values) < len(headers):
        _check_singletons(
            headers, _SINGLETON_HEADERS | dialect.singleton_headers
        )
    content_length = values.get(b"content-length")
    transfer_encoding = values.get(b"transfer-encoding")
    if transfer_encoding is not None:
        if content_length is not None:
            raise BadInputError(400, "two-body-lengths")
        if head.http_version < b"1.1":
            raise BadInputError(400, "chunked-in-1.0")
    if method == "CONNECT":
        raise BadInputError(501, "connect")
    if b"upgrade" in values:
        raise BadInputError(501, "upgrade")
    if content_length is not None and int(content_length) > limits.body_bytes:
        raise BadInputError(413, "body-too-long")
    authority = values.get(b"host", b"").decode("latin-1")
    if target[:7].lower() == "http://":
        authority, slash, rest = target[7:].partition("/")
        target = slash + rest if slash else "/"
    service = authority.partition(":")[0].lower()
    if not service:
        raise BadInputError(400, "no-host")
    if dialect.strict_paths:
        path = split_path(target)
        if path.is_err():
            raise BadInputError(400, "bad-target", path.unwrap_err())
    request = ClientRequest(
        request_id="",
        method=method,
        target=target,
        service=service,
        headers=headers,
        has_body=content_length is not None or transfer_encoding is not None,
        is_http10=head.http_version < b"1.1",
        client=client,
        received_at=trio.current_time(),
    )
    dialect.parse_headers(request, values)
    return request
