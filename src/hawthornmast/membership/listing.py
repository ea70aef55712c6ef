"""List of the upstreams of all services, as read from the platform.

The platform is the service registry outside of the fleet, where upstreams
register themselves. ``lists.py`` parses the lists that operators publish.

An entry of the list, here one registered upstream, may expire while the
platform is unavailable although the upstream is live. After such a gap,
missing entries are retained until live upstreams have had time to register
again.
"""

from collections.abc import Callable
from typing import Any

from hawthornmast.membership.entries import decode_entry
from hawthornmast.membership.entries import digest_entries
from hawthornmast.membership.entries import encode_entry
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.membership.entries import UpstreamSnapshot

MAX_CONFIRMATION_GAP_S = 1.5
"""Time without confirmation after which entries may have expired."""

REGISTRATION_GRACE_S = 2.2
"""Time within which live upstreams register again after a gap."""


class UpstreamListing:
    """Accepted list of upstreams; its revision never decreases.

    Parameters
    ----------
    clock
        Monotonic time in seconds.

    Attributes
    ----------
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
        self.revision = 0
        self.entries: dict[str, ListedUpstream] = {}
        self._listed: dict[str, ListedUpstream] = {}
        self.digest = b""
        # Long ago but finite, because the age is logged as an integer.
        self.confirmed_at = -1e9
        self.gap_s = 0.0
        self._retained_until: dict[str, float] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether any list has been applied."""
        return bool(self.digest)

    def confirm(self, revision: int, digest: bytes) -> bool:
        """Record that the list was current at a revision.

        Returns False if the digest is that of another list or the revision
        is older.
        """
        if digest != self.digest or revision < self.revision:
            return False
        self.revision = revision
        self.confirmed_at = self._clock()
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
        if self.is_loaded and snapshot.revision < self.revision:
            return False
        listed = {item.upstream.upstream_id: item for item in snapshot.entries}
        return self._replace(snapshot.revision, listed, asked_at)

    def apply_peer_list(
        self, encoded: Any, *, confirmed_at: float | None = None
    ) -> bool:
        """Apply the list of another daemon; return whether entries changed.

        Raises ValueError, TypeError or IndexError for anything else.

        Parameters
        ----------
        confirmed_at
            Monotonic time at which the platform confirmed it, now by default.
        """
        revision, entries = encoded
        decoded = [self._decode_entry(item) for item in entries]
        if self.is_loaded and int(revision) < self.revision:
            return False
        listed = {item.upstream.upstream_id: item for item in decoded}
        return self._replace(int(revision), listed, confirmed_at)

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
        """Drop entries whose time to return is over; return whether any."""
        now = self._clock()
        expired = [k for k, at in self._retained_until.items() if at <= now]
        for key in expired:
            del self._retained_until[key]
            del self.entries[key]
        return bool(expired)

    def encode(self) -> list[Any]:
        """Encode the list as plain values for other daemons."""
        return [
            self.revision,
            [encode_entry(i) for i in self._listed.values()],
        ]

    def _replace(
        self,
        revision: int,
        listed: dict[str, ListedUpstream],
        confirmed_at: float | None,
    ) -> bool:
        now = self._clock()
        gap_s = now - self.confirmed_at if self.is_loaded else 0.0
        self.revision = revision
        self.confirmed_at = max(
            self.confirmed_at, now if confirmed_at is None else confirmed_at
        )
        in_force = listed | self._retain_missing(listed, gap_s, now)
        if listed != self._listed or not self.is_loaded:
            self._listed = listed
            self.digest = digest_entries(listed.values())
        if in_force == self.entries:
            return False
        self.entries = in_force
        self.gap_s = gap_s
        return True

    def _retain_missing(
        self, listed: dict[str, ListedUpstream], gap_s: float, now: float
    ) -> dict[str, ListedUpstream]:
        """Return the missing entries that stay in force for now.

        They are not part of the list that other daemons get: a daemon that
        was away itself can't tell an entry that expired from one that others
        have seen removed.
        """
        missing = self.entries.keys() - listed.keys()
        if gap_s > MAX_CONFIRMATION_GAP_S:
            for key in missing - self._retained_until.keys():
                self._retained_until[key] = now + REGISTRATION_GRACE_S
        self._retained_until = {
            key: until
            for key, until in self._retained_until.items()
            if key in missing and until > now
        }
        return {key: self.entries[key] for key in self._retained_until}
