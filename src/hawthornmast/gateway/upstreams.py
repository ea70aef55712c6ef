"""What upstreams are told and what their answers say."""

from typing import Protocol

import attrs

from hawthornmast.common import Upstream
from hawthornmast.forwarding.headers import RawHeaders
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.upstream import Exchange


@attrs.frozen(kw_only=True)
class Verdict:
    """What an upstream's answer says of the request.

    Parameters
    ----------
    own
        The answer belongs to the request.
    whole
        The answer is one that the upstream's work produced, unaltered as
        far as its headers show.
    not_run
        The upstream states that it did not run the request.
    moved
        Another upstream lives at the address now.
    """

    own: bool = True
    whole: bool = True
    not_run: bool = False
    moved: bool = False


class UpstreamDialect(Protocol):
    """Headers exchanged with upstreams."""

    def build_headers(
        self, request: ClientRequest, upstream: Upstream, left_s: float
    ) -> RawHeaders:
        """Return the headers of a request to an upstream."""

    def filter_answer(self, exchange: Exchange) -> RawHeaders:
        """Return the headers of an answer that the client gets."""

    def judge(self, exchange: Exchange, request: ClientRequest) -> Verdict:
        """Return what an answer says of the request."""
