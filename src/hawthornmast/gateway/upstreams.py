"""Interface to the headers exchanged with upstreams."""

from typing import Protocol

import attrs

from hawthornmast.common import Upstream
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.limits import UpstreamStatement


@attrs.frozen(kw_only=True)
class ResponseAssessment:
    """Assessment of an upstream's response to a request.

    Parameters
    ----------
    matches_request
        The response belongs to the request.
    names_request
        The response states which request it belongs to.
    intact
        The response was produced by executing the request and, as far as its
        headers show, was not modified.
    not_executed
        The upstream states that it did not execute this request.
    misdirected
        The response to this request is that another upstream uses the address
        now.
    statement
        What the upstream states of itself.
    """

    matches_request: bool = True
    names_request: bool = True
    intact: bool = True
    not_executed: bool = False
    misdirected: bool = False
    statement: UpstreamStatement = attrs.field(factory=UpstreamStatement)

    def on_reused_connection(self) -> "ResponseAssessment":
        """Return the assessment of a response on a reused connection.

        One that names no request may be a late one, or a second copy, of the
        response to an earlier request there.
        """
        if self.names_request:
            return self
        return attrs.evolve(
            self, matches_request=False, not_executed=False, misdirected=False
        )

    @property
    def states_itself(self) -> bool:
        """Whether the response comes from the upstream of the request.

        Another instance at its address, or a response to another request,
        says nothing about it.
        """
        return not self.misdirected and (self.valid or self.not_executed)

    @property
    def valid(self) -> bool:
        """Whether the response answers the request."""
        return self.matches_request and self.intact


class UpstreamDialect(Protocol):
    """Headers exchanged with upstreams."""

    singleton_headers: frozenset[bytes]
    """Headers of the dialect that a response has at most once."""

    def build_headers(
        self, request: ClientRequest, upstream: Upstream, remaining_s: float
    ) -> RawHeaders:
        """Return the headers of a request to an upstream.

        Parameters
        ----------
        remaining_s
            Seconds until the deadline of the request.
        """

    def filter_response_headers(self, exchange: Exchange) -> RawHeaders:
        """Return the headers of a response that are passed to the client."""

    def assess_response(
        self, exchange: Exchange, request: ClientRequest
    ) -> ResponseAssessment:
        """Assess whether a response is valid and whether its request ran."""
