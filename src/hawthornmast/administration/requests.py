"""Bounded record of the latest requests of one daemon."""

from collections import OrderedDict
from collections.abc import Callable

import attrs
import trio

from hawthornmast.common import Outcome

DEFAULT_CAPACITY = 10_000


@attrs.frozen(kw_only=True)
class RequestRecord:
    """One request that has ended, in the terms of the catalogue.

    Parameters
    ----------
    request_id
        As in the header ``Hawthornmast-Request-Id``.
    time
        Seconds on the clock of the event loop at which it ended.
    service, entry, owner, rank
        What it matched; empty where it matched nothing.
    outcome
        How it ended.
    status
        Status of the response.
    reason
        Why it was refused or failed; empty when it completed.
    upstreams
        Identifiers of the upstreams tried, in order.
    queue_ms, upstream_ms, total_ms
        Milliseconds in the queue, at upstreams and in all.
    revision
        Catalogue revision under which it was admitted.
    """

    request_id: str
    time: float
    service: str = ""
    entry: str = ""
    owner: str = ""
    rank: str = ""
    outcome: Outcome
    status: int
    reason: str = ""
    upstreams: tuple[str, ...] = ()
    queue_ms: float = 0.0
    upstream_ms: float = 0.0
    total_ms: float = 0.0
    revision: int = 0


class RequestLog:
    """The latest requests of one daemon, by identifier.

    Parameters
    ----------
    capacity
        Requests that are kept; the oldest is dropped first.
    clock
        Function that returns the time in seconds.
    """

    def __init__(
        self,
        *,
        capacity: int = DEFAULT_CAPACITY,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        if capacity < 1:
            raise ValueError(f"capacity is {capacity}, allowed: 1 or more")
        self.capacity = capacity
        self._clock = clock
        # A dict that loses its first key searches longer for each next one.
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def append(self, record: RequestRecord) -> None:
        """Keep a record; a later one with the same identifier replaces it."""
        self._records.pop(record.request_id, None)
        self._records[record.request_id] = record
        if len(self._records) > self.capacity:
            self._records.popitem(last=False)

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request while it is kept."""
        return self._records.get(request_id)

    @property
    def span_s(self) -> float:
        """Seconds since the oldest request that is kept; 0 without any."""
        if not self._records:
            return 0.0
        return self._clock() - next(iter(self._records.values())).time
