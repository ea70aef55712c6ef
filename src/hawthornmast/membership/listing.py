"""The upstreams of all services as the platform lists them.

Entries may lapse while the platform is away although their upstreams live.
After such a gap, missing entries are kept until their upstreams had the time
to list themselves again.
"""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
from typing import Any

import attrs
import msgpack

from hawthornmast.common import State
from hawthornmast.common import Upstream

GAP_S = 1.5
"""Seconds between two readings after which entries may have lapsed."""

RETURN_S = 2.2
"""Seconds within which living upstreams are listed again after a gap."""


@attrs.frozen(kw_only=True)
class ListedUpstream:
    """An upstream with the service that it serves.

    Parameters
    ----------
    service
        Name of the service.
    upstream
        Where and how it is reached.
    started_ms
        Time of its start in milliseconds since the epoch, 0 when unknown;
        tells its lives apart when an identifier is used again.
    """

    service: str
    upstream: Upstream
    started_ms: int = 0


@attrs.frozen(kw_only=True)
class Reading:
    """What one look at the platform found.

    Parameters
    ----------
    revision
        The platform's revision at that moment.
    entries
        All valid entries.
    """

    revision: int
    entries: tuple[ListedUpstream, ...]


class UpstreamListing:
    """The accepted list; it never goes back to an older revision.

    Parameters
    ----------
    clock
        Monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.revision = 0
        self.entries: dict[str, ListedUpstream] = {}
        self.digest = b""
        self.confirmed_at = -1e9
        self._missing: dict[str, float] = {}

    @property
    def known(self) -> bool:
        """Whether any reading was accepted."""
        return bool(self.digest)

    def confirm(self, revision: int, digest: bytes) -> bool:
        """Note that the list was in force at a revision, if it is ours."""
        if digest != self.digest or revision < self.revision:
            return False
        self.revision = revision
        self.confirmed_at = self._clock()
        return True

    def accept(self, reading: Reading) -> bool:
        """Apply a reading of the platform; return whether it changed much.

        An older reading than the accepted one is ignored.
        """
        if self.known and reading.revision < self.revision:
            return False
        now = self._clock()
        gap = now - self.confirmed_at
        listed = {item.upstream.upstream_id: item for item in reading.entries}
        if self.known:
            for key in self.entries.keys() - listed.keys():
                if gap > GAP_S:
                    self._missing.setdefault(key, now + RETURN_S)
                if self._missing.get(key, 0.0) > now:
                    listed[key] = self.entries[key]
        for key in list(self._missing):
            if self._missing[key] <= now or key not in listed:
                del self._missing[key]
        for item in reading.entries:
            self._missing.pop(item.upstream.upstream_id, None)
        return self._replace(reading.revision, listed, now)

    def adopt(self, encoded: Any) -> bool:
        """Apply the list of another daemon; return whether it changed.

        Raises ValueError, TypeError or IndexError for anything else.
        """
        revision, entries = encoded
        decoded = [_decode(item) for item in entries]
        if self.known and int(revision) < self.revision:
            return False
        listed = {item.upstream.upstream_id: item for item in decoded}
        return self._replace(int(revision), listed, self._clock())

    def encode(self) -> list[Any]:
        """Return the list as plain values for other daemons."""
        return [self.revision, [_encode(i) for i in self.entries.values()]]

    def _replace(
        self, revision: int, listed: dict[str, ListedUpstream], now: float
    ) -> bool:
        self.revision = revision
        self.confirmed_at = now
        if listed == self.entries and self.known:
            return False
        self.entries = listed
        self.digest = digest_entries(listed.values())
        return True


def digest_entries(entries: Iterable[ListedUpstream]) -> bytes:
    """Return a digest that is equal for equal lists in any order."""
    rows = sorted(msgpack.packb(_encode(item)) for item in entries)
    return hashlib.blake2b(b"".join(rows), digest_size=8).digest()


def _encode(item: ListedUpstream) -> list[Any]:
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


def _decode(value: Any) -> ListedUpstream:
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
