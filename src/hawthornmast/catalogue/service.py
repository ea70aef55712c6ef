"""Services and entries of the catalogue."""

import math

import attrs

from hawthornmast.common import Rank


@attrs.frozen(kw_only=True)
class Entry:
    """One kind of work of a service, with its owner and limits.

    Parameters
    ----------
    name
        Name that is unique within the service.
    owner
        Team that answers for the entry.
    rank
        Priority class.
    methods
        HTTP methods that the entry matches; empty for all.
    path
        Path prefix that the entry matches by whole segments.
    idempotent
        False when a request must run at most once.
    share
        Share of the service's slots, from 0 to 1, within which the entry's
        work counts as within its limit.
    queue_limit
        Requests that may wait in one daemon.
    deadline_ms
        Milliseconds from arrival to the end of the response.
    retry_ratio
        Retries allowed per completed first attempt.
    """

    name: str
    owner: str
    rank: Rank = Rank.STANDARD
    methods: tuple[str, ...] = ()
    path: str = "/"
    idempotent: bool = True
    share: float = 0.5
    queue_limit: int = 64
    deadline_ms: int = 5000
    retry_ratio: float = 0.1


@attrs.frozen(kw_only=True)
class Service:
    """A service with its upstreams' limits and its entries.

    Parameters
    ----------
    name
        Name that is unique in the catalogue, also the value of ``Host``.
    owner
        Team that answers for the service.
    floor
        Share of the listed upstreams, those leaving excepted, that ejection
        must leave in service, from 0 to 1.
    owners_per_zone
        Daemons in each zone that serve the service.
    not_run_header
        Name and value of the response header by which an upstream certifies
        that it did not run a request; None when its upstreams have none.
    queue_limit
        Requests of all entries that may wait in one daemon.
    entries
        Kinds of work.
    revision
        Revision of the document on the platform.
    """

    name: str
    owner: str
    floor: float = 0.7
    owners_per_zone: int = 1
    not_run_header: tuple[str, str] | None = None
    queue_limit: int = 256
    entries: tuple[Entry, ...] = ()
    revision: int = 0

    def count_floor(self, listed: int) -> int:
        """Return how many of ``listed`` upstreams must stay in service."""
        # The small constant keeps 0.7 * 10 from rounding up to 8.
        return math.ceil(self.floor * listed - 1e-9)
