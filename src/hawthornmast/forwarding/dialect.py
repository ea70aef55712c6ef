"""What differs between the interfaces that clients may speak.

The connection handling is the same for all of them. A dialect reads the
headers that mean something to the fleet, and writes those of an answer.
"""

from typing import Protocol

from hawthornmast.forwarding import relay
from hawthornmast.forwarding.headers import build_outcome_headers
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse


class Dialect(Protocol):
    """How clients name what the fleet reads, and what they are told."""

    singleton_headers: frozenset[bytes]
    """Headers of the dialect that a request may hold only once."""

    strict_paths: bool
    """Refuse paths that servers may read in different ways."""

    def read(self, request: ClientRequest, values: dict[bytes, bytes]) -> None:
        """Set the fields of a request that its headers give.

        Raises BadInputError for a value that is not allowed.
        """

    def build_headers(
        self, response: ClientResponse, request_id: str
    ) -> RawHeaders:
        """Return the headers of an answer without those of framing."""


class NativeDialect:
    """The fleet's own interface: tickets, timeouts and outcomes."""

    singleton_headers = frozenset(
        {b"hawthornmast-ticket", b"hawthornmast-timeout-ms", relay.HEADER}
    )
    strict_paths = True

    def read(self, request: ClientRequest, values: dict[bytes, bytes]) -> None:
        """Read the timeout, the ticket and the mark of a relay."""
        request.timeout_s = parse_milliseconds(
            values.get(b"hawthornmast-timeout-ms")
        )
        request.ticket = _parse_ticket(values)
        request.relay_signature = values.get(relay.HEADER)

    def build_headers(
        self, response: ClientResponse, request_id: str
    ) -> RawHeaders:
        """Return the headers with the outcome."""
        pairs = list(response.headers)
        if response.retry_after is not None:
            # Whole seconds are all that the header can hold.
            seconds = max(1, round(response.retry_after))
            pairs.append((b"retry-after", b"%d" % seconds))
        return pairs + build_outcome_headers(
            response.outcome, request_id, reason=response.reason
        )


def parse_milliseconds(value: bytes | None) -> float | None:
    """Return a timeout in seconds; raises BadInputError."""
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
