"""Services and entries of the catalogue."""

import enum
import functools
import math

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue import rules
from hawthornmast.catalogue.paths import split_path
from hawthornmast.catalogue.tables import describe
from hawthornmast.common import Rank

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

_QUEUE = rules.Whole(low=0, high=100_000, unit="requests")
_SERVICE_NAME = rules.Text(
    pattern=r"[a-z]([a-z0-9-]{0,61}[a-z0-9])?"
    r"(\.[a-z]([a-z0-9-]{0,61}[a-z0-9])?)*",
    allowed="host name of lower-case labels, each from a letter, at most 253"
    " characters",
    max_length=253,
)
# The path is compared with decoded segments, so it is written plainly.
MAX_OWNERS_PER_ZONE = 8
"""Daemons of a zone that may serve a service.

In a large fleet exactly these keep its document.
"""

_PATH = rules.Text(
    pattern=r"/|(/(?!\.{1,2}(/|\Z))[A-Za-z0-9._~!$&'()*+,=:@-]+)+",
    allowed="/ or segments that each follow a slash, without escapes, dot"
    " segments, semicolons and a slash at the end, at most 512 characters",
    max_length=512,
)


class Mismatch(enum.StrEnum):
    """Why no entry matches a request."""

    PATH = "path"
    METHOD = "method"
    AMBIGUOUS_PATH = "ambiguous-path"


@attrs.frozen(kw_only=True)
class NoEntry:
    """No entry of a service matches a request.

    Parameters
    ----------
    mismatch
        Why: the path (404), the method (405) or a path that servers read in
        different ways (400).
    detail
        What is wrong, for the response.
    methods
        Methods that the path allows, when only the method is wrong.
    """

    mismatch: Mismatch
    detail: str
    methods: tuple[str, ...] = ()


_NO_PATH = Err(NoEntry(mismatch=Mismatch.PATH, detail="no entry has the path"))


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
        HTTP methods that the entry matches; empty for all of ``METHODS``.
        CONNECT, TRACE and extension methods are never forwarded.
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

    name: str = attrs.field(metadata=describe(rules.NAME))
    owner: str = attrs.field(metadata=describe(rules.NAME))
    rank: Rank = attrs.field(
        default=Rank.STANDARD,
        metadata=describe(rules.RankName(names=tuple(Rank.labels()))),
    )
    methods: tuple[str, ...] = attrs.field(
        default=(),
        metadata=describe(
            rules.Items(
                item=rules.Choice(names=METHODS), max_items=len(METHODS)
            )
        ),
    )
    path: str = attrs.field(default="/", metadata=describe(_PATH))
    idempotent: bool = attrs.field(
        default=True, metadata=describe(rules.Flag())
    )
    # Entries take turns by use divided by share, so a share is never 0.
    share: float = attrs.field(
        default=0.5, metadata=describe(rules.Share(above_zero=True))
    )
    queue_limit: int = attrs.field(default=64, metadata=describe(_QUEUE))
    deadline_ms: int = attrs.field(
        default=5000,
        metadata=describe(
            rules.Whole(low=1, high=600_000, unit="milliseconds")
        ),
    )
    retry_ratio: float = attrs.field(
        default=0.1,
        metadata=describe(rules.Share(unit="retries per request")),
    )


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
    zones
        Zones in which daemons serve the service; all when empty.
    not_run_header
        Name and value of the response header by which an upstream certifies
        that it did not run a request; None when its upstreams have none.
    health_path
        Path by which an upstream is asked whether it leaves; None when its
        upstreams have none.
    queue_limit
        Requests of all entries that may wait in one daemon.
    entries
        Kinds of work.
    revision
        Revision of the document on the platform.
    """

    name: str = attrs.field(metadata=describe(_SERVICE_NAME))
    owner: str = attrs.field(metadata=describe(rules.NAME))
    floor: float = attrs.field(default=0.7, metadata=describe(rules.Share()))
    owners_per_zone: int = attrs.field(
        default=1,
        metadata=describe(
            rules.Whole(low=1, high=MAX_OWNERS_PER_ZONE, unit="daemons")
        ),
    )
    zones: tuple[str, ...] = attrs.field(
        default=(),
        metadata=describe(rules.Items(item=rules.NAME, unit="zones")),
    )
    not_run_header: tuple[str, str] | None = attrs.field(
        default=None, metadata=describe(rules.Header())
    )
    health_path: str | None = attrs.field(
        default=None, metadata=describe(_PATH)
    )
    queue_limit: int = attrs.field(default=256, metadata=describe(_QUEUE))
    entries: tuple[Entry, ...] = ()
    revision: int = 0

    def count_floor(self, listed: int) -> int:
        """Return how many of ``listed`` upstreams must stay in service."""
        # The small constant keeps 0.7 * 10 from rounding up to 8.
        return math.ceil(self.floor * listed - 1e-9)

    def entry_named(self, name: str) -> Entry | None:
        """Return the entry with a name."""
        for entry in self.entries:
            if entry.name == name:
                return entry
        return None

    def find_entry(self, method: str, path: str) -> Result[Entry, NoEntry]:
        """Return the entry with the longest path that matches a request.

        The longest path decides even when it does not allow the method; a
        shorter one would run the request under limits not meant for it.

        Parameters
        ----------
        method
            Method as on the request line.
        path
            Target in origin form; a query is ignored.
        """
        split = split_path(path)
        if isinstance(split, Err):
            return Err(
                NoEntry(
                    mismatch=Mismatch.AMBIGUOUS_PATH, detail=split.err_value
                )
            )
        routes, depth = self._routes
        segments = split.ok_value[:depth]
        for length in range(len(segments), -1, -1):
            by_method = routes.get(segments[:length])
            if by_method is None:
                continue
            entry = by_method.get(method)
            if entry is not None:
                return Ok(entry)
            allowed = tuple(by_method)
            detail = f"method not allowed, allowed: {', '.join(allowed)}"
            return Err(
                NoEntry(
                    mismatch=Mismatch.METHOD, detail=detail, methods=allowed
                )
            )
        return _NO_PATH

    @functools.cached_property
    def _routes(
        self,
    ) -> tuple[dict[tuple[str, ...], dict[str, Entry]], int]:
        """Entries by path and method, and the longest path's length."""
        routes: dict[tuple[str, ...], dict[str, Entry]] = {}
        for entry in self.entries:
            segments = tuple(filter(None, entry.path.split("/")))
            by_method = routes.setdefault(segments, {})
            for method in entry.methods or METHODS:
                by_method.setdefault(method, entry)
        return routes, max(map(len, routes), default=0)
