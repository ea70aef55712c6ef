"""List of the upstreams of all services, as read from the platform.

The platform is the service registry outside of the fleet, where upstreams
register themselves. ``lists.py`` parses the lists that operators publish.

An entry of the list, here one registered upstream, may expire while the
platform is unavailable although the upstream is live. After such a gap,
missing entries are retained until live upstreams have had time to register
again. So are entries that are missing when the platform has returned to an
older copy, which begins a new era. Upstreams that left before are held back
then (``departures``).
"""

from collections.abc import Callable
from collections.abc import Set
from typing import Any

import attrs

from hawthornmast.common import EraRevision
from hawthornmast.membership.departures import DepartureLog
from hawthornmast.membership.departures import find_departed
from hawthornmast.membership.departures import get_process
from hawthornmast.membership.entries import decode_entry
from hawthornmast.membership.entries import digest_entries
from hawthornmast.membership.entries import encode_entry
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.membership.entries import UpstreamSnapshot
from hawthornmast.membership.eras import EraTracker

MAX_CONFIRMATION_GAP_S = 1.5
"""Time without confirmation after which entries may have expired."""

REGISTRATION_GRACE_S = 2.2
"""Time within which live upstreams register again after a gap."""


class UpstreamListing:
    """Accepted list of upstreams; its position never decreases.

    Parameters
    ----------
    clock
        Monotonic time in seconds.

    Attributes
    ----------
    eras
        The newest era of the platform.
    departures
        Upstreams that left, and that an older copy of the list may have.
    position
        Era and revision of the platform at which the list was current.
    entries
        The entries in force by identifier: those on the platform and those
        that may be about to return.
    digest
        Digest of the entries on the platform, empty before the first list.
    gap_s
        Seconds that the last change may have been on the platform unseen:
        the time between the confirmations before and after it, 0 for the
        first list.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.eras = EraTracker()
        self.departures = DepartureLog(self.eras, clock=clock)
        self.position = EraRevision()
        self.entries: dict[str, ListedUpstream] = {}
        self._listed: dict[str, ListedUpstream] = {}
        self.digest = b""
        # Long ago but finite, because the age is logged as an integer.
        self.confirmed_at = -1e9
        self.gap_s = 0.0
        self._retained_until: dict[str, float] = {}
        self._era_began_at = -1e9
        # Whether a confirmation changed entries without any caller knowing.
        self._is_changed = False

    @property
    def revision(self) -> int:
        """Revision of the platform at which the list was current."""
        return self.position.number

    @property
    def is_loaded(self) -> bool:
        """Whether any list has been applied."""
        return bool(self.digest)

    def confirm(self, revision: int, digest: bytes, *, era: int = 0) -> bool:
        """Record that the list was current at a revision of an era.

        Returns False if the digest is that of another list or the revision
        is older.
        """
        position = EraRevision(era, revision)
        if digest != self.digest or self._is_older(position):
            return False
        is_new_era = position.era > self.position.era
        self._advance(position)
        self.confirmed_at = self._clock()
        if is_new_era:
            self._is_changed = self.refresh() or self._is_changed
        return True

    def apply_snapshot(
        self, snapshot: UpstreamSnapshot, *, asked_at: float | None = None
    ) -> bool:
        """Apply a snapshot of the platform; return whether entries changed.

        A snapshot older than the accepted list is ignored.

        Parameters
        ----------
        asked_at
            Monotonic time at which the platform was asked, now by default.
            The snapshot may be as old as that.
        """
        self.eras.observe(snapshot.position)
        if self._is_older(snapshot.position):
            return False
        listed = {item.upstream.upstream_id: item for item in snapshot.entries}
        return self._replace(snapshot.position, listed, asked_at)

    def apply_peer_list(
        self,
        encoded: Any,
        *,
        confirmed_at: float | None = None,
        era: int = 0,
    ) -> bool:
        """Apply the list of another daemon; return whether entries changed.

        Raises ValueError, TypeError or IndexError for anything else.

        Parameters
        ----------
        confirmed_at
            Monotonic time at which the platform confirmed it, now by default.
        era
            Era of the platform in which it was read.
        """
        revision, entries = encoded
        position = EraRevision(era, int(revision))
        is_same_era = position.era == self.position.era
        decoded = [
            self._decode_entry(item) if is_same_era else decode_entry(item)
            for item in entries
        ]
        if self._is_older(position):
            return False
        listed = {item.upstream.upstream_id: item for item in decoded}
        return self._replace(position, listed, confirmed_at)

    def _decode_entry(self, value: Any) -> ListedUpstream:
        """Decode an entry; one that is listed already is returned itself.

        Raises ValueError or TypeError if it is malformed.
        """
        if isinstance(value, list) and len(value) > 1:
            known = self._listed.get(value[1])
            if known is not None and encode_entry(known) == value:
                return known
        return decode_entry(value)

    def drop_expired(self) -> bool:
        """End what is in force for a time only; return whether any ended.

        These are entries whose time to return is over, and upstreams that
        were held back for long enough.
        """
        now = self._clock()
        expired = [k for k, at in self._retained_until.items() if at <= now]
        for key in expired:
            del self._retained_until[key]
            item = self.entries.pop(key)
            self.departures.record(item, self.position.era, announced=False)
        released = self.departures.has_due(self.confirmed_at)
        is_changed, self._is_changed = self._is_changed, False
        return (released and self.refresh()) or bool(expired) or is_changed

    def refresh(self) -> bool:
        """Apply what has been learned of departures since the last list.

        Returns whether entries changed.
        """
        return self.is_loaded and self._put_in_force(
            self._listed, 0.0, self._clock()
        )

    def encode(self) -> list[Any]:
        """Encode the list as plain values for other daemons."""
        return [
            self.revision,
            [encode_entry(i) for i in self._listed.values()],
        ]

    def _is_older(self, position: EraRevision) -> bool:
        return position.era < self.eras.era or (
            self.is_loaded and position < self.position
        )

    def _advance(self, position: EraRevision) -> None:
        if self.is_loaded and position.era > self.position.era:
            self._era_began_at = self._clock()
            # Revisions of the former era would look like writes in this one.
            self._listed = {
                name: attrs.evolve(item, revision=0)
                for name, item in self._listed.items()
            }
        self.eras.learn(position.era, origin="list")
        self.position = position

    def _replace(
        self,
        position: EraRevision,
        listed: dict[str, ListedUpstream],
        confirmed_at: float | None,
    ) -> bool:
        now = self._clock()
        gap_s = now - self.confirmed_at if self.is_loaded else 0.0
        if position.era > self.position.era:
            self._record_former_processes(listed)
        self._advance(position)
        self.confirmed_at = max(
            self.confirmed_at, now if confirmed_at is None else confirmed_at
        )
        if listed != self._listed or not self.is_loaded:
            self.digest = digest_entries(listed.values())
        self._listed = listed
        if not self._put_in_force(listed, gap_s, now):
            return False
        self.gap_s = gap_s
        return True

    def _record_former_processes(
        self, listed: dict[str, ListedUpstream]
    ) -> None:
        """Record processes whose successors are in force already.

        A member that started after the successors has not seen them leave.
        """
        for name, item in listed.items():
            current = self.entries.get(name)
            if current is not None and (
                0 < item.upstream.started_ms < current.upstream.started_ms
            ):
                self.departures.record(
                    item, self.position.era, announced=False
                )

    def _put_in_force(
        self, listed: dict[str, ListedUpstream], gap_s: float, now: float
    ) -> bool:
        current = self.departures.hold_back(listed, self.position.era)
        present = {
            key
            for key, item in current.items()
            if not (
                self.departures.is_held(item)
                and key in self.entries
                and get_process(self.entries[key]) != get_process(item)
            )
        }
        in_force = current | self._retain_missing(present, gap_s, now)
        if in_force == self.entries:
            return False
        for item in find_departed(self.entries.values(), in_force.values()):
            self.departures.record(item, self.position.era, announced=False)
        self.entries = in_force
        return True

    def _retain_missing(
        self, present: Set[str], gap_s: float, now: float
    ) -> dict[str, ListedUpstream]:
        """Return the missing entries that stay in force for now.

        They are not part of the list that other daemons get: a daemon that
        was away itself can't tell an entry that expired from one that others
        have seen removed.

        Parameters
        ----------
        present
            Identifiers that the list has. An earlier process of an upstream
            doesn't stand for the one in force.
        gap_s
            Seconds without confirmation before this list.
        """
        missing = self.entries.keys() - present
        until = self._era_began_at + REGISTRATION_GRACE_S
        if gap_s > MAX_CONFIRMATION_GAP_S:
            until = now + REGISTRATION_GRACE_S
        for key in missing - self._retained_until.keys():
            self._retained_until[key] = until
        self._retained_until = {
            key: until
            for key, until in self._retained_until.items()
            if key in missing and until > now
        }
        return {key: self.entries[key] for key in self._retained_until}
