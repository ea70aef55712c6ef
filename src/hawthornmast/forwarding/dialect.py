"""Header conventions of the client interfaces.

Connection handling is common to all interfaces. A dialect parses the request
headers that the fleet interprets and builds the headers of a response; it
neither reads from nor writes to the connection.
"""

from typing import Protocol

from hawthornmast.forwarding import relay
from hawthornmast.forwarding.headers import build_outcome_headers
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse


class Dialect(Protocol):
    """Header conventions of one client interface."""

    singleton_headers: frozenset[bytes]
    """Headers of the dialect that must not be repeated in a request."""

    strict_paths: bool
    """Refuse paths that servers may interpret differently."""

    def parse_headers(
        self, request: ClientRequest, values: dict[bytes, bytes]
    ) -> None:
        """Set the fields of a request that are parsed from its headers.

        Raises BadInputError for an invalid value.
        """

    def build_headers(
        self, response: ClientResponse, request_id: str
    ) -> RawHeaders:
        """Return the headers of a response, without framing headers."""


class NativeDialect:
    """The native client interface: tickets, timeouts and outcomes."""

    singleton_headers = frozenset(
        {b"hawthornmast-ticket", b"hawthornmast-timeout-ms", relay.HEADER}
    )
    strict_paths = True

    def parse_headers(
        self, request: ClientRequest, values: dict[bytes, bytes]
    ) -> None:
        """Parse the timeout, the ticket and the relay signature."""
        request.timeout_s = parse_milliseconds(
            values.get(b"hawthornmast-timeout-ms")
        )
        request.ticket = _parse_ticket(values)
        request.relay_signature = values.get(relay.HEADER)

    def build_headers(
        self, response: ClientResponse, request_id: str
    ) -> RawHeaders:
        """Return the headers of a response, with its outcome."""
        pairs = list(response.headers)
        if response.retry_after is not None:
            # Retry-After takes integral seconds only.
            seconds = max(1, round(response.retry_after))
            pairs.append((b"retry-after", b"%d" % seconds))
        return pairs + build_outcome_headers(
            response.outcome, request_id, reason=response.reason
        )


def parse_milliseconds(value: bytes | None) -> float | None:
    """Parse a timeout in milliseconds and return it in seconds.

    Raises BadInputError for an invalid value.
    """
    if value is None:
        return None
    if not value.isdigit() or len(value) > 7 or int(value) == 0:
        raise BadInputError(
            400, "bad-timeout", "allowed are 1 to 9999999 milliseconds"
        )
    return int(value) / 1000


def _parse_ticket(values: dict[bytes, bytes]) -> str | None:
    value = values.get(b"hawthornmast-ticket")
    if value is None:
        return None
    if len(value) > 256 or not value.isascii():
        raise BadInputError(400, "bad-ticket")
    return value.decode("ascii")
