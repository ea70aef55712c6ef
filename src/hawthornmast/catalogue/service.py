"""Services and entries of the catalogue, and route matching."""

import enum
import functools
import math

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue import rules
from hawthornmast.catalogue.paths import split_path
from hawthornmast.catalogue.tables import rule_metadata
from hawthornmast.common import Rank

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

_QUEUE_LIMIT = rules.Integer(low=0, high=100_000, unit="requests")
_SERVICE_NAME = rules.String(
    pattern=r"[a-z]([a-z0-9-]{0,61}[a-z0-9])?"
    r"(\.[a-z]([a-z0-9-]{0,61}[a-z0-9])?)*",
    allowed="host name of lower-case labels, each from a letter, at most 253"
    " characters",
    max_length=253,
)
MAX_OWNERS_PER_ZONE = 8
"""Maximum number of daemons per zone that may serve a service.

These daemons are the owners of the service; ``owner`` in a document is a team
instead. In a fleet with many services (see ``hawthornmast.daemon.needs``), a
daemon keeps the document of a service only if it may be one of the owners or
if clients asked it for the service lately. With fewer services it keeps all
documents.
"""

# Paths are written without escapes because they are compared with decoded
# segments.
_PATH = rules.String(
    pattern=r"/|(/(?!\.{1,2}(/|\Z))[A-Za-z0-9._~!$&'()*+,=:@-]+)+",
    allowed="/ or segments that each follow a slash, without escapes, dot"
    " segments, semicolons and a slash at the end, at most 512 characters",
    max_length=512,
)


class Mismatch(enum.StrEnum):
    """Reason why no entry matches a request."""

    PATH = "path"
    METHOD = "method"
    AMBIGUOUS_PATH = "ambiguous-path"


@attrs.frozen(kw_only=True)
class NoEntry:
    """Result of a lookup in which no entry matches the request.

    Parameters
    ----------
    mismatch
        Reason: unknown path (404), method not allowed (405) or a path that
        servers may interpret differently (400).
    detail
        Description of the mismatch, for the response.
    methods
        Methods allowed for the path, when only the method does not match.
    """

    mismatch: Mismatch
    detail: str
    methods: tuple[str, ...] = ()


_NO_MATCHING_PATH = Err(
    NoEntry(mismatch=Mismatch.PATH, detail="no entry has the path")
)


@attrs.frozen(kw_only=True)
class Entry:
    """One class of requests of a service, with its owner and limits.

    Parameters
    ----------
    name
        Unique name within the service.
    owner
        Team responsible for the entry.
    rank
        Priority class.
    methods
        HTTP methods that the entry matches; all of ``METHODS`` when empty.
        CONNECT, TRACE and extension methods are never forwarded.
    path
        Path prefix, matched by whole segments.
    idempotent
        False when each request must run at most once.
    share
        Share of the service's slots, from 0 to 1. A slot allows one request
        to run at an upstream. Requests beyond the share wait until no entry
        within its share has a request queued.
    queue_limit
        Maximum number of requests queued in one daemon.
    deadline_ms
        Deadline in milliseconds, from the arrival of the request to the end
        of the response.
    retry_ratio
        Maximum number of retries per completed first attempt.
    """

    name: str = attrs.field(metadata=rule_metadata(rules.NAME))
    owner: str = attrs.field(metadata=rule_metadata(rules.NAME))
    rank: Rank = attrs.field(
        default=Rank.STANDARD,
        metadata=rule_metadata(rules.RankName(names=tuple(Rank.labels()))),
    )
    methods: tuple[str, ...] = attrs.field(
        default=(),
        metadata=rule_metadata(
            rules.UniqueList(
                item=rules.Choice(names=METHODS), max_items=len(METHODS)
            )
        ),
    )
    path: str = attrs.field(default="/", metadata=rule_metadata(_PATH))
    idempotent: bool = attrs.field(
        default=True, metadata=rule_metadata(rules.Boolean())
    )
    # Entries are scheduled by usage divided by share, so a share is never 0.
    share: float = attrs.field(
        default=0.5, metadata=rule_metadata(rules.Fraction(exclude_zero=True))
    )
    queue_limit: int = attrs.field(
        default=64, metadata=rule_metadata(_QUEUE_LIMIT)
    )
    deadline_ms: int = attrs.field(
        default=5000,
        metadata=rule_metadata(
            rules.Integer(low=1, high=600_000, unit="milliseconds")
        ),
    )
    retry_ratio: float = attrs.field(
        default=0.1,
        metadata=rule_metadata(rules.Fraction(unit="retries per request")),
    )


@attrs.frozen(kw_only=True)
class Service:
    """A service with its entries and the limits for its upstreams.

    Parameters
    ----------
    name
        Unique name in the catalogue, matched with the ``Host`` header.
    owner
        Team responsible for the service.
    floor
        Minimum share of the listed upstreams, from 0 to 1, that must remain
        in service after ejections. Upstreams in the state ``leaving`` are not
        counted.
    owners_per_zone
        Number of daemons in each zone that serve the service.
    zones
        Zones in which daemons serve the service; all zones when empty.
    not_run_header
        Name and value of the response header by which an upstream certifies
        that it did not run a request; None when the upstreams do not send
        one.
    health_path
        Path of the health endpoint by which an upstream reports that it is
        leaving; None when the upstreams do not have one.
    queue_limit
        Maximum number of requests of all entries queued in one daemon.
    entries
        Entries of the service.
    revision
        Revision of the document on the platform.
    """

    name: str = attrs.field(metadata=rule_metadata(_SERVICE_NAME))
    owner: str = attrs.field(metadata=rule_metadata(rules.NAME))
    floor: float = attrs.field(
        default=0.7, metadata=rule_metadata(rules.Fraction())
    )
    owners_per_zone: int = attrs.field(
        default=1,
        metadata=rule_metadata(
            rules.Integer(low=1, high=MAX_OWNERS_PER_ZONE, unit="daemons")
        ),
    )
    zones: tuple[str, ...] = attrs.field(
        default=(),
        metadata=rule_metadata(
            rules.UniqueList(item=rules.NAME, unit="zones")
        ),
    )
    not_run_header: tuple[str, str] | None = attrs.field(
        default=None, metadata=rule_metadata(rules.Header())
    )
    health_path: str | None = attrs.field(
        default=None, metadata=rule_metadata(_PATH)
    )
    queue_limit: int = attrs.field(
        default=256, metadata=rule_metadata(_QUEUE_LIMIT)
    )
    entries: tuple[Entry, ...] = ()
    revision: int = 0

    def count_floor(self, upstream_count: int) -> int:
        """Return how many of the listed upstreams must remain in service."""
        # Without the tolerance, floating-point error rounds 0.28 * 25 up to 8.
        return math.ceil(self.floor * upstream_count - 1e-9)

    def entry_named(self, name: str) -> Entry | None:
        """Return the entry with a name, or None."""
        for entry in self.entries:
            if entry.name == name:
                return entry
        return None

    def find_entry(self, method: str, target: str) -> Result[Entry, NoEntry]:
        """Return the entry with the longest matching path prefix.

        The longest prefix decides even when it does not allow the method. A
        fallback to a shorter prefix would apply limits that are not meant for
        the request.

        Parameters
        ----------
        method
            Request method, case-sensitive.
        target
            Request target in origin form; the query is ignored.
        """
        split = split_path(target)
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
        return _NO_MATCHING_PATH

    @functools.cached_property
    def _routes(
        self,
    ) -> tuple[dict[tuple[str, ...], dict[str, Entry]], int]:
        """Entries by path and method, and the segment count of the longest."""
        routes: dict[tuple[str, ...], dict[str, Entry]] = {}
        for entry in self.entries:
            segments = tuple(filter(None, entry.path.split("/")))
            by_method = routes.setdefault(segments, {})
            for method in entry.methods or METHODS:
                by_method.setdefault(method, entry)
        return routes, max(map(len, routes), default=0)
