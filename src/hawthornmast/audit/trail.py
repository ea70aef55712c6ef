"""Bounded audit trail of the automatic actions of one daemon."""

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


class Action(enum.StrEnum):
    """Kinds of automatic actions."""

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
    """One automatic action in the terms of the catalogue.

    Parameters
    ----------
    time
        Time of the event loop's clock in seconds.
    act
        Kind of the action. The field is published under this name.
    service, entry, owner
        Names from the catalogue; empty if not applicable.
    limit
        Catalogue limit that applied, such as ``"floor=0.7"``.
    revision
        Catalogue revision in effect for the service.
    evidence
        Facts on which the decision was based.
    step, peer
        Operation, and the upstream or daemon concerned.
    request_id
        Identifier of the request, or empty.
    """

    time: float
    act: Action
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
    """The latest automatic actions of one daemon, oldest first.

    Parameters
    ----------
    capacity
        Maximum number of records; the oldest are dropped first.
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
        self._counts: collections.Counter[Action] = collections.Counter()

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def counts(self) -> dict[Action, int]:
        """Number of actions by kind since the start of the process."""
        return dict(self._counts)

    def append(
        self,
        action: Action,
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
        """Record an action and write it to the audit log."""
        record = Record(
            time=self._clock(),
            act=action,
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
        self._counts[action] += 1
        if _LOG.isEnabledFor(logging.INFO):
            fields = attrs.asdict(
                record, filter=lambda attribute, value: value not in ("", 0)
            )
            event = fields.pop("act")
            # The log line has a timestamp of the wall clock.
            fields.pop("time", None)
            logs.log_event(_LOG, str(event), **fields)
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
        """Return the latest records that match all criteria, oldest first."""
        given_criteria = {
            "service": service,
            "entry": entry,
            "peer": peer,
            "request_id": request_id,
        }
        criteria = {k: v for k, v in given_criteria.items() if v is not None}
        matches: list[Record] = []
        for record in reversed(self._records):
            if all(getattr(record, k) == v for k, v in criteria.items()):
                matches.append(record)
                if len(matches) == limit:
                    break
        matches.reverse()
        return matches
