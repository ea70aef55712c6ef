"""Bounded record of the automatic acts of one daemon."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import enum
import logging

import attrs
import trio

from hawthornmast.audit import logs

_LOG = logging.getLogger("hawthornmast.audit")

DEFAULT_CAPACITY = 10_000


class Act(enum.StrEnum):
    """Kinds of automatic acts."""

    EJECT = "eject"
    EJECT_DENIED = "eject-denied"
    RETURN = "return"
    AVOID = "avoid"
    REFUSE = "refuse"
    SHED = "shed"
    RETRY = "retry"
    RELAY = "relay"
    CONFIGURATION_ACCEPTED = "configuration-accepted"
    CONFIGURATION_REFUSED = "configuration-refused"
    UPSTREAM_LEAVING = "upstream-leaving"
    UPSTREAM_LISTED = "upstream-listed"
    PEER_REACHABLE = "peer-reachable"
    PEER_UNREACHABLE = "peer-unreachable"
    SLOTS_GRANTED = "slots-granted"
    PERMIT_GRANTED = "permit-granted"
    DRAIN = "drain"


@attrs.frozen(kw_only=True)
class Record:
    """One automatic act in the terms of the catalogue.

    Parameters
    ----------
    time
        Seconds on the clock of the event loop.
    act
        Kind of the act.
    service, entry, owner
        Catalogue terms; empty where the act concerns none.
    limit
        The catalogue limit that applied, such as ``"floor=0.7"``.
    revision
        Catalogue revision in force for the service.
    evidence
        What the decision rested on.
    step, peer
        The operation and the remote party, upstream or daemon.
    request_id
        The request concerned, or empty.
    """

    time: float
    act: Act
    service: str = ""
    entry: str = ""
    owner: str = ""
    limit: str = ""
    revision: int = 0
    evidence: str = ""
    step: str = ""
    peer: str = ""
    request_id: str = ""


class AuditTrail:
    """The latest acts of one daemon, oldest first.

    Parameters
    ----------
    capacity
        Records that are kept; the oldest is dropped first.
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
        self._records: collections.deque[Record] = collections.deque(
            maxlen=capacity
        )
        self._clock = clock
        self._counts: collections.Counter[Act] = collections.Counter()

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def counts(self) -> dict[Act, int]:
        """Number of acts by kind since the start of the process."""
        return dict(self._counts)

    def append(
        self,
        act: Act,
        *,
        service: str = "",
        entry: str = "",
        owner: str = "",
        limit: str = "",
        revision: int = 0,
        evidence: str = "",
        step: str = "",
        peer: str = "",
        request_id: str = "",
    ) -> Record:
        """Record one act and write it to the audit log."""
        record = Record(
            time=self._clock(),
            act=act,
            service=service,
            entry=entry,
            owner=owner,
            limit=limit,
            revision=revision,
            evidence=evidence,
            step=step,
            peer=peer,
            request_id=request_id,
        )
        self._records.append(record)
        self._counts[act] += 1
        if _LOG.isEnabledFor(logging.INFO):
            fields = attrs.asdict(
                record, filter=lambda attribute, value: value not in ("", 0)
            )
            act_name = fields.pop("act")
            # The log line has a time of its own, by the wall clock.
            fields.pop("time", None)
            logs.log_event(_LOG, str(act_name), **fields)
        return record

    def select(
        self,
        *,
        service: str | None = None,
        entry: str | None = None,
        peer: str | None = None,
        request_id: str | None = None,
        limit: int = 100,
    ) -> list[Record]:
        """Return the latest records that match all given terms."""
        wanted = {
            "service": service,
            "entry": entry,
            "peer": peer,
            "request_id": request_id,
        }
        terms = {k: v for k, v in wanted.items() if v is not None}
        found: list[Record] = []
        for record in reversed(self._records):
            if all(getattr(record, k) == v for k, v in terms.items()):
                found.append(record)
                if len(found) == limit:
                    break
        found.reverse()
        return found
