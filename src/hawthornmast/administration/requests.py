"""Bounded log of the latest requests of one daemon."""

from collections import OrderedDict
from collections.abc import Callable

import attrs
import trio

from hawthornmast.common import Outcome

DEFAULT_CAPACITY = 10_000


@attrs.frozen(kw_only=True)
class RequestRecord:
    """A finished request with the service and entry that it matched.

    Parameters
    ----------
    request_id
        Value of the header ``Hawthornmast-Request-Id``.
    time
        Time at which it ended, in seconds on the clock of the event loop.
    service, entry, owner, rank
        Values from the matched entry; empty if none matched.
    outcome
        Outcome of the request.
    status
        HTTP status of the response.
    reason
        Reason of a refusal or failure; empty if it completed.
    upstreams
        Identifiers of the attempted upstreams, in order.
    queue_ms, upstream_ms, total_ms
        Milliseconds in the queue, at upstreams and in total.
    revision
        Catalogue revision in force at its admission.
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
        Maximum number of records; the oldest is evicted first.
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
        # Finding the first key of a dict takes time proportional to the
        # number of keys deleted before it; OrderedDict does it in constant
        # time.
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def append(self, record: RequestRecord) -> None:
        """Add a record, replacing one with the same identifier."""
        self._records.pop(record.request_id, None)
        self._records[record.request_id] = record
        if len(self._records) > self.capacity:
            self._records.popitem(last=False)

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None if there is none."""
        return self._records.get(request_id)

    @property
    def oldest_age_s(self) -> float:
        """Age of the oldest record in seconds; 0 if the log is empty."""
        if not self._records:
            return 0.0
        return self._clock() - next(iter(self._records.values())).time
