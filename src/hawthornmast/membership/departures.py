"""Upstreams that left, and that an older copy of the list has again.

When the platform returns to an older copy, its list may have upstreams as
ready that left in the meantime. A member remembers the processes that left,
and doesn't use them again because of such a copy, until they are evidently
alive.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import logging
from typing import Any

import attrs
import msgpack

from hawthornmast.audit import log_event
from hawthornmast.common import State
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.membership.eras import EraTracker
from hawthornmast.membership.eras import ROLLBACK_SETTLE_S

_LOG = logging.getLogger("hawthornmast.membership.departures")

MAX_DEPARTURES = 1024
"""Processes that a member remembers; the first ones are forgotten."""

MAX_LOGGED_NAMES = 10
"""Upstreams that one line of the log names."""

Process = tuple[str, int]
"""Identifier and start time of an upstream's process."""


@attrs.frozen(kw_only=True)
class Departure:
    """How a process left.

    Parameters
    ----------
    era
        Era of the platform in which it was seen to leave.
    announced
        Whether its entry said that it leaves, rather than be missing.
    sequence
        Number of the last write of its entry, 0 when unknown.
    """

    era: int
    announced: bool
    sequence: int = 0


def get_process(item: ListedUpstream) -> Process:
    """Return the process that an entry describes."""
    return item.upstream.upstream_id, item.upstream.started_ms


class DepartureLog:
    """Decides which listed upstreams are held back.

    An upstream is held back if it left in an earlier era, and a list of the
    current era has the same process as ready. It is released when it has
    evidently written its entry in the current era. One whose entry was
    missing, which may have been live, is also released after
    ``ROLLBACK_SETTLE_S``, and one that announced that it leaves only if its
    start time is unknown.

    Parameters
    ----------
    eras
        The eras of the platform.
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self, eras: EraTracker, *, clock: Callable[[], float]
    ) -> None:
        self._eras = eras
        self._clock = clock
        self._departures: dict[Process, Departure] = {}
        # Departures of processes that are held back, and since when.
        self._held: dict[Process, tuple[Departure, float]] = {}
        self._held_era = 0
        # Processes that were released in an era.
        self._released: dict[Process, int] = {}
        self.digest = b""

    def record(
        self, item: ListedUpstream, era: int, *, announced: bool
    ) -> None:
        """Record that a process left in an era."""
        process = get_process(item)
        known = self._departures.get(process)
        if known is not None:
            announced = announced or known.announced
        self._remember(
            process,
            Departure(era=era, announced=announced, sequence=item.sequence),
        )

    def hold_back(
        self, listed: Mapping[str, ListedUpstream], era: int
    ) -> dict[str, ListedUpstream]:
        """Return a list with the upstreams that are held back as leaving.

        Parameters
        ----------
        listed
            Entries of the platform's list, by identifier.
        era
            Era of the list.
        """
        result = dict(listed)
        if era != self._held_era:
            # The time to wait begins again with each era.
            self._held_era = era
            self._held = {}
        held: dict[Process, tuple[Departure, float]] = {}
        for name, item in listed.items():
            process = get_process(item)
            departure = self._departures.get(process)
            if item.upstream.state is State.LEAVING:
                if departure is None or departure.era < era:
                    self.record(item, era, announced=True)
            elif departure is None:
                continue
            elif departure.era >= era or self._is_released(
                process, departure, item, era
            ):
                del self._departures[process]
            else:
                _, since = self._held.get(process, (None, self._clock()))
                held[process] = departure, since
                upstream = attrs.evolve(item.upstream, state=State.LEAVING)
                result[name] = attrs.evolve(item, upstream=upstream)
        if held.keys() != self._held.keys():
            names = sorted(name for name, _ in held)[:MAX_LOGGED_NAMES]
            log_event(
                _LOG,
                "upstreams-held-back",
                era=era,
                held=len(held),
                upstreams=",".join(names) or "-",
            )
        self._held = held
        self._update_digest()
        return result

    def is_held(self, item: ListedUpstream) -> bool:
        """Return whether the process of an entry is held back."""
        return get_process(item) in self._held

    def has_due(self, confirmed_at: float) -> bool:
        """Return whether a process has been held back for long enough.

        Parameters
        ----------
        confirmed_at
            Time at which the platform last confirmed the list.
        """
        return any(
            confirmed_at - since >= ROLLBACK_SETTLE_S
            and _may_settle(process, departure)
            for process, (departure, since) in self._held.items()
        )

    def encode(self) -> list[Any]:
        """Encode what is held back and what was released in this era."""
        return [
            [
                [*process, attrs.astuple(departure)]
                for process, (departure, _) in self._held.items()
            ],
            [
                list(process)
                for process, era in self._released.items()
                if era == self._eras.era
            ],
        ]

    def merge(self, encoded: Any) -> None:
        """Learn what another member of the same era has held and released.

        Raises ValueError or TypeError for anything else.
        """
        held, released = encoded
        for name, started_ms in released:
            self._release((str(name), int(started_ms)))
        for name, started_ms, (era, announced, sequence) in held:
            process = str(name), int(started_ms)
            departure = Departure(
                era=int(era), announced=bool(announced), sequence=int(sequence)
            )
            if departure.era >= self._eras.era or self._was_released(process):
                continue
            known = self._departures.get(process)
            if known is not None:
                departure = attrs.evolve(
                    known,
                    announced=known.announced or departure.announced,
                    sequence=max(known.sequence, departure.sequence),
                )
            self._remember(process, departure)

    def _remember(self, process: Process, departure: Departure) -> None:
        self._departures.pop(process, None)
        self._departures[process] = departure
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def _is_released(
        self,
        process: Process,
        departure: Departure,
        item: ListedUpstream,
        era: int,
    ) -> bool:
        if self._was_released(process):
            return True
        is_written = (
            era == self._eras.era
            and self._eras.is_written_in_era(item.revision)
            and (not departure.announced or item.sequence > departure.sequence)
        )
        held = self._held.get(process)
        is_settled = (
            held is not None
            and self._clock() - held[1] >= ROLLBACK_SETTLE_S
            and _may_settle(process, departure)
        )
        if is_written or is_settled:
            self._release(process)
            return True
        return False

    def _was_released(self, process: Process) -> bool:
        return self._released.get(process) == self._eras.era

    def _release(self, process: Process) -> None:
        self._released.pop(process, None)
        self._released[process] = self._eras.era
        if len(self._released) > MAX_DEPARTURES:
            del self._released[next(iter(self._released))]

    def _update_digest(self) -> None:
        if not self._held:
            self.digest = b""
            return
        # Members that differ in what they know of a departure compare it.
        packed = msgpack.packb(
            sorted(
                [*process, departure.announced, departure.sequence]
                for process, (departure, _) in self._held.items()
            )
        )
        self.digest = hashlib.blake2b(packed, digest_size=4).digest()


def _may_settle(process: Process, departure: Departure) -> bool:
    return not departure.announced or not process[1]


def find_departed(
    before: Iterable[ListedUpstream], after: Iterable[ListedUpstream]
) -> list[ListedUpstream]:
    """Return the entries whose processes are no longer among others."""
    processes = {get_process(item) for item in after}
    return [item for item in before if get_process(item) not in processes]
