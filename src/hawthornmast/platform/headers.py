"""Headers of clients' requests, of upstreams' answers and back."""

from hawthornmast.common import Upstream
from hawthornmast.forwarding.dialect import parse_milliseconds
from hawthornmast.forwarding.headers import filter_headers
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.upstream import Exchange
from hawthornmast.gateway.upstreams import ResponseAssessment
from hawthornmast.platform import names

_SET_BY_FLEET = frozenset({names.DEADLINE, names.EXPECTED_INSTANCE})
_MISDIRECTED = 421


class ClientHeaders:
    """What clients send and are told."""

    singleton_headers = frozenset({names.ATTEMPT_ID, names.DEADLINE})
    strict_paths = False

    def read(self, request: ClientRequest, found: dict[bytes, bytes]) -> None:
        """Read the attempt's identifier and the time that is left."""
        request.timeout_s = parse_milliseconds(found.get(names.DEADLINE))
        request.request_id = found.get(names.ATTEMPT_ID, b"").decode("latin-1")

    def build_headers(
        self, answer: ClientResponse, request_id: str
    ) -> RawHeaders:
        """Return an answer's headers; refusals name the attempt."""
        pairs = list(answer.headers)
        if answer.retry_after is not None:
            # The platform's clients read fractions of seconds.
            pairs.append((b"retry-after", b"%.3f" % answer.retry_after))
        if all(name != names.ATTEMPT_ID for name, _ in pairs) and request_id:
            pairs.append((names.ATTEMPT_ID, request_id.encode("latin-1")))
        return pairs


class UpstreamHeaders:
    """What upstreams are told and answer."""

    def build_headers(
        self, request: ClientRequest, upstream: Upstream, remaining_s: float
    ) -> RawHeaders:
        """Return a request's headers for one upstream."""
        return [
            (b"host", request.service.encode()),
            *filter_headers(request.headers, reserved=_SET_BY_FLEET),
            (names.DEADLINE, b"%d" % max(1, int(remaining_s * 1000))),
            (names.EXPECTED_INSTANCE, upstream.upstream_id.encode()),
        ]

    def filter_response_headers(self, exchange: Exchange) -> RawHeaders:
        """Return an answer's headers without those of one connection."""
        return filter_headers(exchange.headers, reserved=frozenset())

    def assess_response(
        self, exchange: Exchange, request: ClientRequest
    ) -> ResponseAssessment:
        """Return what an answer says of the request.

        An answer without the upstream's signature was not made by its work,
        and one with a coding that nobody asked for is altered.
        """
        named = exchange.header(names.ATTEMPT_ID)
        misdirected = exchange.status == _MISDIRECTED
        return ResponseAssessment(
            matches_request=named is None
            or named == request.request_id.encode("latin-1"),
            intact=exchange.header(names.SIGNATURE) is not None
            and exchange.header(b"content-encoding") is None,
            not_executed=misdirected
            or exchange.header(names.NOT_EXECUTED) is not None,
            misdirected=misdirected,
        )
