"""List of the upstreams of all services, as read from the platform.

The platform is the service registry outside of the fleet, where upstreams
register themselves. ``lists.py`` parses the lists that operators publish.

An entry of the list, here one registered upstream, may expire while the
platform is unavailable although the upstream is live. After such a gap,
missing entries are retained until live upstreams have had time to register
again.
"""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import reprlib
import socket
from typing import Any

import attrs
import msgpack

from hawthornmast.common import State
from hawthornmast.common import Upstream

MAX_CONFIRMATION_GAP_S = 1.5
"""Time without confirmation after which entries may have expired."""

REGISTRATION_GRACE_S = 2.2
"""Time within which live upstreams register again after a gap."""


MAX_NAME_LENGTH = 200

MAX_SLOTS = 100_000

MAX_STARTED_MS = 2**63 - 1
"""Largest integer that other daemons can be sent."""


@attrs.frozen(kw_only=True)
class ListedUpstream:
    """An upstream with the service that it serves.

    Raises ValueError for values that a request, a header or a message to
    another daemon can't carry.

    Parameters
    ----------
    service
        Name of the service.
    upstream
        Its address, zone, slots and state.
    started_ms
        Start time of its process in milliseconds since the epoch, 0 when
        unknown; distinguishes processes that reuse an identifier.
    """

    service: str
    upstream: Upstream
    started_ms: int = 0

    def __attrs_post_init__(self) -> None:
        upstream = self.upstream
        _check_name("service", self.service)
        _check_name("zone", upstream.zone)
        _check_name("identifier", upstream.upstream_id)
        # The identifier is sent in a header.
        if not upstream.upstream_id.isascii() or " " in upstream.upstream_id:
            raise ValueError(
                f"identifier is {reprlib.repr(upstream.upstream_id)},"
                " allowed: ASCII characters without spaces"
            )
        _check_host(upstream.host)
        _check_range("port", upstream.port, 1, 65_535)
        _check_range("slots", upstream.slots, 1, MAX_SLOTS)
        _check_range("start time", self.started_ms, 0, MAX_STARTED_MS)


def _check_name(field: str, value: object) -> None:
    if not isinstance(value, str):
        raise ValueError(f"{field} is {reprlib.repr(value)}, allowed: text")
    if not 0 < len(value) <= MAX_NAME_LENGTH or not value.isprintable():
        raise ValueError(
            f"{field} is {reprlib.repr(value)}, allowed: 1 to"
            f" {MAX_NAME_LENGTH} printable characters"
        )


def _check_range(field: str, value: object, least: int, most: int) -> None:
    if type(value) is not int or not least <= value <= most:
        raise ValueError(
            f"{field} is {reprlib.repr(value)}, allowed: {least} to {most}"
        )


def _check_host(host: str) -> None:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        packed = socket.inet_pton(family, host)
    except (OSError, ValueError, TypeError):
        packed = b""
    # The address of all zeros is the host itself when connected to.
    if not any(packed):
        raise ValueError(
            f"host is {reprlib.repr(host)}, allowed: an IP address"
        )


@attrs.frozen(kw_only=True)
class UpstreamSnapshot:
    """Upstreams listed on the platform at one revision.

    Parameters
    ----------
    revision
        Revision of the platform at the time of the read.
    entries
        All valid entries.
    """

    revision: int
    entries: tuple[ListedUpstream, ...]


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
        decoded = [_decode_entry(item) for item in entries]
        if self.is_loaded and int(revision) < self.revision:
            return False
        listed = {item.upstream.upstream_id: item for item in decoded}
        return self._replace(int(revision), listed, confirmed_at)

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
            [_encode_entry(i) for i in self._listed.values()],
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


def digest_entries(entries: Iterable[ListedUpstream]) -> bytes:
    """Return a digest of the entries that doesn't depend on their order."""
    rows = sorted(msgpack.packb(_encode_entry(item)) for item in entries)
    return hashlib.blake2b(b"".join(rows), digest_size=8).digest()


def _encode_entry(item: ListedUpstream) -> list[Any]:
    upstream = item.upstream
    return [
        item.service,
        upstream.upstream_id,
        upstream.zone,
        upstream.host,
        upstream.port,
        upstream.slots,
        upstream.state is State.LEAVING,
        item.started_ms,
    ]


def _decode_entry(value: Any) -> ListedUpstream:
    service, name, zone, host, port, slots, leaving, started_ms = value
    return ListedUpstream(
        service=service,
        upstream=Upstream(
            upstream_id=name,
            zone=zone,
            host=host,
            port=int(port),
            slots=int(slots),
            state=State.LEAVING if leaving else State.LIVE,
        ),
        started_ms=int(started_ms),
    )
