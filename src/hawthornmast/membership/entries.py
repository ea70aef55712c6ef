"""Entries of the list of upstreams, and their encoding for other daemons."""

from collections.abc import Iterable
import hashlib
import reprlib
import socket
from typing import Any

import attrs
import msgpack

from hawthornmast.common import EraRevision
from hawthornmast.common import State
from hawthornmast.common import Upstream

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
        Its address, zone, slots, state and start time.
    revision
        Revision of the platform at which the entry was written; 0 if it
        comes from another daemon.
    sequence
        Number of the upstream's write of its entry; 0 when unknown.
    """

    service: str
    upstream: Upstream
    # Upstreams write again without a change of what the entry says.
    revision: int = attrs.field(default=0, eq=False)
    sequence: int = attrs.field(default=0, eq=False)

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
        _check_range("start time", upstream.started_ms, 0, MAX_STARTED_MS)


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
    era
        Era of the platform.
    """

    revision: int
    entries: tuple[ListedUpstream, ...]
    era: int = 0

    @property
    def position(self) -> EraRevision:
        """Era and revision of the platform."""
        return EraRevision(self.era, self.revision)


def digest_entries(entries: Iterable[ListedUpstream]) -> bytes:
    """Return a digest of the entries that doesn't depend on their order."""
    rows = sorted(msgpack.packb(encode_entry(item)) for item in entries)
    return hashlib.blake2b(b"".join(rows), digest_size=8).digest()


def encode_entry(item: ListedUpstream) -> list[Any]:
    """Encode an entry as plain values for other daemons."""
    upstream = item.upstream
    return [
        item.service,
        upstream.upstream_id,
        upstream.zone,
        upstream.host,
        upstream.port,
        upstream.slots,
        upstream.state is State.LEAVING,
        upstream.started_ms,
    ]


def decode_entry(value: Any) -> ListedUpstream:
    """Decode an entry from another daemon.

    Raises ValueError or TypeError for anything else.
    """
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
            started_ms=int(started_ms),
        ),
    )
