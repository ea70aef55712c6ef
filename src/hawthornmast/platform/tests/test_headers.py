"""Tests of the headers exchanged with clients and upstreams."""

import attrs
import pytest

from hawthornmast.common import Outcome
from hawthornmast.common import Upstream
from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.gateway.upstreams import ResponseAssessment
from hawthornmast.platform.headers import PlatformClientDialect
from hawthornmast.platform.headers import PlatformUpstreamDialect
from hawthornmast.routing import digest_key

UPSTREAM = Upstream(
    upstream_id="u1", zone="a", host="127.0.0.1", port=1, slots=4
)


def make_request(**headers: str) -> ClientRequest:
    """Return a request; underscores in header names become hyphens."""
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    request = ClientRequest(
        request_id="",
        method="GET",
        target="/read/1",
        service="boxes.example",
        headers=pairs,
    )
    PlatformClientDialect().parse_headers(request, dict(pairs))
    return request


class TestKeys:
    """Guards against keys that reach upstreams, and forged teams."""

    def build(self, request: ClientRequest) -> list[tuple[bytes, bytes]]:
        """Return the headers sent to an upstream."""
        return PlatformUpstreamDialect().build_headers(request, UPSTREAM, 1.0)

    def test_key_is_known_by_its_digest_only(self) -> None:
        request = make_request(authorization="Bearer k1")
        assert request.key_digest == digest_key(b"k1")
        assert request.key_error == ""

    @pytest.mark.parametrize(
        ("value", "error"),
        [
            ("Basic k1", "key-malformed"),
            ("Bearer", "key-malformed"),
            ("Bearer ", "key-malformed"),
            ("Bearer k1 k2", "key-malformed"),
            ("Bearer k1,k2 ", "key-malformed"),
            ("k1", "key-malformed"),
        ],
    )
    def test_malformed_key(self, value: str, error: str) -> None:
        request = make_request(authorization=value)
        assert (request.key_digest, request.key_error) == (None, error)

    def test_scheme_in_any_case(self) -> None:
        request = make_request(authorization="bearer k1")
        assert request.key_digest == digest_key(b"k1")

    def test_long_key(self) -> None:
        # Guards against a key that the configuration allows and that is
        # refused because of its length; the size of heads is limited.
        request = make_request(authorization="Bearer " + "k" * 5000)
        assert request.key_digest == digest_key(b"k" * 5000)

    def test_missing_key(self) -> None:
        assert make_request().key_error == "key-missing"

    def test_repeated_key(self) -> None:
        request = make_request()
        request.headers = [(b"authorization", b"Bearer k1")] * 2
        PlatformClientDialect().parse_headers(request, dict(request.headers))
        assert (request.key_digest, request.key_error) == (
            None,
            "key-repeated",
        )

    @pytest.mark.parametrize("team", ["packers", ""])
    def test_upstream_gets_the_team_and_not_the_key(self, team: str) -> None:
        request = make_request(
            authorization="Bearer k1",
            hawthornmast_tenant="forged",
            connection="x-hop, hawthornmast-tenant",
        )
        request.headers.append((b"hawthornmast-tenant", b"forged"))
        request.team = team
        headers = self.build(request)
        assert b"authorization" not in dict(headers)
        assert [v for n, v in headers if n == b"hawthornmast-tenant"] == (
            [team.encode()] if team else []
        )

    def test_without_teams_the_headers_are_passed_on(self) -> None:
        request = make_request(authorization="Bearer k1")
        assert dict(self.build(request))[b"authorization"] == b"Bearer k1"


@attrs.define
class ResponseStub:
    """Status and headers of an exchange."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header."""
        return dict(self.headers).get(name)


class TestPlatformClientDialect:
    """Attempt identifier, timeout and Retry-After."""

    def test_parses_identifier_and_timeout(self) -> None:
        request = make_request(
            hawthornmast_attempt_id="9c41",
            hawthornmast_request_deadline="3000",
        )
        assert (request.request_id, request.timeout_s) == ("9c41", 3.0)

    def test_both_headers_are_optional(self) -> None:
        request = make_request()
        assert (request.request_id, request.timeout_s) == ("", None)

    @pytest.mark.parametrize("value", ["0", "-1", "soon", "1.5", "1" * 9])
    def test_invalid_timeout_is_rejected(self, value: str) -> None:
        with pytest.raises(BadInputError):
            make_request(hawthornmast_request_deadline=value)

    def test_retry_after_has_fractions_of_a_second(self) -> None:
        response = ClientResponse(
            status=503, outcome=Outcome.NOT_RUN, retry_after=0.0625
        )
        assert PlatformClientDialect().build_headers(response, "9c41") == [
            (b"retry-after", b"0.062"),
            (b"hawthornmast-attempt-id", b"9c41"),
        ]

    def test_response_of_an_upstream_is_unchanged(self) -> None:
        pairs = [
            (b"hawthornmast-attempt-id", b"9c41"),
            (b"hawthornmast-response-signature", b"3e1b"),
        ]
        response = ClientResponse(
            status=200, outcome=Outcome.COMPLETE, headers=list(pairs)
        )
        assert PlatformClientDialect().build_headers(response, "9c41") == pairs


class TestPlatformUpstreamDialect:
    """Headers of requests to upstreams and assessments of responses."""

    def test_build_headers(self) -> None:
        request = make_request(
            hawthornmast_attempt_id="9c41",
            hawthornmast_request_deadline="3000",
            hawthornmast_expected_instance="forged",
            hawthornmast_other="kept",
            connection="x-hop",
            x_hop="dropped",
        )
        headers = PlatformUpstreamDialect().build_headers(
            request, UPSTREAM, 1.2345
        )
        assert headers == [
            (b"host", b"boxes.example"),
            (b"hawthornmast-attempt-id", b"9c41"),
            (b"hawthornmast-other", b"kept"),
            (b"via", b"1.1 hawthornmast"),
            (b"hawthornmast-request-deadline", b"1234"),
            (b"hawthornmast-expected-instance", b"u1"),
        ]

    def test_deadline_is_rounded_down(self) -> None:
        request = make_request()
        headers = PlatformUpstreamDialect().build_headers(
            request, UPSTREAM, 0.9999
        )
        assert dict(headers)[b"hawthornmast-request-deadline"] == b"999"

    def test_filtered_response_keeps_the_signature(self) -> None:
        exchange = ResponseStub(
            200,
            [
                (b"hawthornmast-response-signature", b"3e1b"),
                (b"keep-alive", b"timeout=10"),
                (b"content-length", b"5"),
            ],
        )
        kept = PlatformUpstreamDialect().filter_response_headers(exchange)
        assert kept == [
            (b"hawthornmast-response-signature", b"3e1b"),
            (b"via", b"1.1 hawthornmast"),
        ]

    @pytest.mark.parametrize(
        ("status", "headers", "assessment"),
        [
            (
                200,
                {"response-signature": "3e1b"},
                ResponseAssessment(names_request=False),
            ),
            (
                500,
                {"response-signature": "3e1b"},
                ResponseAssessment(names_request=False),
            ),
            (200, {}, ResponseAssessment(intact=False, names_request=False)),
            (
                200,
                {"response-signature": "3e1b", "attempt-id": "9c41"},
                ResponseAssessment(),
            ),
            (
                200,
                {"response-signature": "3e1b", "attempt-id": "other"},
                ResponseAssessment(matches_request=False),
            ),
            (
                503,
                {"not-executed": "1"},
                ResponseAssessment(
                    intact=False, names_request=False, not_executed=True
                ),
            ),
            (
                503,
                {"not-executed": "1", "attempt-id": "9c41"},
                ResponseAssessment(intact=False, not_executed=True),
            ),
            (
                503,
                {"not-executed": "1", "attempt-id": "other"},
                ResponseAssessment(intact=False, matches_request=False),
            ),
            (
                421,
                {},
                ResponseAssessment(
                    intact=False,
                    names_request=False,
                    not_executed=True,
                    misdirected=True,
                ),
            ),
        ],
    )
    def test_assess_response(
        self,
        status: int,
        headers: dict[str, str],
        assessment: ResponseAssessment,
    ) -> None:
        exchange = ResponseStub(
            status,
            [
                (f"hawthornmast-{name}".encode(), value.encode())
                for name, value in headers.items()
            ],
        )
        request = make_request(hawthornmast_attempt_id="9c41")
        assert (
            PlatformUpstreamDialect().assess_response(exchange, request)
            == assessment
        )

    @pytest.mark.parametrize(
        ("value", "rate"),
        [
            (b"3.9", 3.9),
            (b"12", 12.0),
            (b"0", 0.0),
            (b"-1", None),
            (b"1e400", None),
            (b"nan", None),
            (b"", None),
            (b"3,9", None),
        ],
    )
    def test_stated_limit(self, value: bytes, rate: float | None) -> None:
        exchange = ResponseStub(200, [(b"server-limit", value)])
        assessment = PlatformUpstreamDialect().assess_response(
            exchange, make_request()
        )
        assert assessment.statement.rate_limit_per_s == rate
        assert bool(assessment.statement.malformed) == (rate is None)

    @pytest.mark.parametrize(
        ("status", "value", "seconds"),
        [
            (503, b"1.5", 1.5),
            (503, b"0", 0.0),
            (503, b"999999999", 999999999.0),
            (503, b"-1", None),
            (503, b"soon", None),
            (503, b"Fri, 04 Dec 2026 10:00:00 GMT", None),
            (503, b"1e9", None),
            (503, b"99999999999", 99999999999.0),
            (200, b"1.5", None),
            (429, b"1.5", None),
        ],
    )
    def test_stated_hold_off(
        self, status: int, value: bytes, seconds: float | None
    ) -> None:
        exchange = ResponseStub(status, [(b"retry-after", value)])
        assessment = PlatformUpstreamDialect().assess_response(
            exchange, make_request()
        )
        assert assessment.statement.hold_off_s == seconds
        assert bool(assessment.statement.malformed) == (
            status == 503 and seconds is None
        )

    @pytest.mark.parametrize(
        ("value", "leaving"), [(b"1", True), (b"0", False), (b"", False)]
    )
    def test_stated_leaving(self, value: bytes, leaving: bool) -> None:
        exchange = ResponseStub(200, [(b"server-leaving", value)])
        assessment = PlatformUpstreamDialect().assess_response(
            exchange, make_request()
        )
        assert assessment.statement.leaving == leaving

    def test_unrequested_content_coding_is_altered(self) -> None:
        exchange = ResponseStub(
            200,
            [
                (b"hawthornmast-response-signature", b"3e1b"),
                (b"content-encoding", b"gzip"),
            ],
        )
        assessment = PlatformUpstreamDialect().assess_response(
            exchange, make_request()
        )
        assert not assessment.intact
