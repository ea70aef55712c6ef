"""Request and response headers exchanged with clients and upstreams."""

import re
import reprlib

from hawthornmast.common import Upstream
from hawthornmast.forwarding.dialect import parse_milliseconds
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.headers import filter_headers
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.gateway.upstreams import ResponseAssessment
from hawthornmast.limits import UpstreamStatement
from hawthornmast.platform import names
from hawthornmast.routing import digest_key

_RESERVED_HEADERS = frozenset({names.DEADLINE, names.EXPECTED_INSTANCE})
_KEY_HEADERS = frozenset({names.AUTHORIZATION, names.TEAM})
_KEY = re.compile(rb"bearer +([!-~]+)", re.IGNORECASE)
_MISDIRECTED_REQUEST = 421
_SERVICE_UNAVAILABLE = 503
_DECIMAL = re.compile(rb"[0-9]{1,18}(?:\.[0-9]{1,9})?")


class PlatformClientDialect:
    """Header conventions of the platform's clients."""

    singleton_headers = frozenset({names.ATTEMPT_ID, names.DEADLINE})
    strict_paths = False
    """Paths that servers may interpret differently are accepted."""

    def parse_headers(
        self, request: ClientRequest, values: dict[bytes, bytes]
    ) -> None:
        """Parse the attempt identifier and the remaining time.

        An attempt of a client is one request to a daemon, not one of the
        daemon's attempts at an upstream, so that its identifier is used as
        the request identifier.
        """
        request.timeout_s = parse_milliseconds(values.get(names.DEADLINE))
        request.request_id = values.get(names.ATTEMPT_ID, b"").decode(
            "latin-1"
        )
        _parse_key(request, values.get(names.AUTHORIZATION))

    def build_headers(
        self, response: ClientResponse, request_id: str
    ) -> RawHeaders:
        """Return the headers of a response.

        Adds the attempt identifier to responses without it, such as those
        that the daemon generates.
        """
        pairs = list(response.headers)
        if response.retry_after is not None:
            # The platform's clients accept fractions of a second.
            pairs.append((b"retry-after", b"%.3f" % response.retry_after))
        if all(name != names.ATTEMPT_ID for name, _ in pairs) and request_id:
            pairs.append((names.ATTEMPT_ID, request_id.encode("latin-1")))
        return pairs


def _parse_key(request: ClientRequest, value: bytes | None) -> None:
    """Set the digest of the key, or why there is none.

    Whether the request needs a key depends on the configuration.
    """
    if value is None:
        request.key_error = "key-missing"
        return
    match = _KEY.fullmatch(value)
    count = sum(name == names.AUTHORIZATION for name, _ in request.headers)
    if match is None:
        request.key_error = "key-malformed"
    elif count > 1:
        request.key_error = "key-repeated"
    else:
        request.key_digest = digest_key(match[1])


class PlatformUpstreamDialect:
    """Header conventions of the platform's upstreams."""

    singleton_headers = frozenset(
        {names.ATTEMPT_ID, names.SIGNATURE, names.NOT_EXECUTED}
    )

    def build_headers(
        self, request: ClientRequest, upstream: Upstream, remaining_s: float
    ) -> RawHeaders:
        """Return the headers of a request to an upstream.

        If requests need keys, the upstream gets the name of the team in place
        of the key, whatever the client states as its team.
        """
        reserved = _RESERVED_HEADERS
        if request.team is not None:
            reserved |= _KEY_HEADERS
        headers = [
            (b"host", request.service.encode()),
            *filter_headers(request.headers, reserved=reserved),
            (names.DEADLINE, b"%d" % max(1, int(remaining_s * 1000))),
            (names.EXPECTED_INSTANCE, upstream.upstream_id.encode()),
        ]
        if request.team:
            headers.append((names.TEAM, request.team.encode("ascii")))
        return headers

    def filter_response_headers(self, exchange: Exchange) -> RawHeaders:
        """Return the headers of a response without hop-by-hop headers."""
        return filter_headers(exchange.headers, reserved=frozenset())

    def assess_response(
        self, exchange: Exchange, request: ClientRequest
    ) -> ResponseAssessment:
        """Return what a response states about the request.

        A response without the upstream's signature was not produced by its
        application. One with a content coding that was not requested was
        altered on the way. One that names another request, such as a refusal
        that is sent twice on a kept connection, says nothing about this one.
        """
        attempt_id = exchange.header(names.ATTEMPT_ID)
        matches = attempt_id is None or attempt_id == (
            request.request_id.encode("latin-1")
        )
        misdirected = matches and exchange.status == _MISDIRECTED_REQUEST
        return ResponseAssessment(
            matches_request=matches,
            names_request=attempt_id is not None,
            intact=exchange.header(names.SIGNATURE) is not None
            and exchange.header(b"content-encoding") is None,
            not_executed=misdirected
            or (matches and exchange.header(names.NOT_EXECUTED) is not None),
            misdirected=misdirected,
            statement=_parse_statement(exchange),
        )


def _parse_statement(exchange: Exchange) -> UpstreamStatement:
    """Parse what a response states of its upstream."""
    malformed: list[str] = []

    def parse_decimal(name: bytes) -> float | None:
        value = exchange.header(name)
        if value is None:
            return None
        if _DECIMAL.fullmatch(value) is None:
            malformed.append(f"{name.decode()}={reprlib.repr(value)}")
            return None
        return float(value)

    return UpstreamStatement(
        leaving=exchange.header(names.LEAVING) == b"1",
        hold_off_s=(
            parse_decimal(names.RETRY_AFTER)
            if exchange.status == _SERVICE_UNAVAILABLE
            else None
        ),
        rate_limit_per_s=parse_decimal(names.RATE_LIMIT),
        malformed=",".join(malformed),
    )
