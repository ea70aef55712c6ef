"""Where a member gets its configuration and its list of upstreams from.

The platform is read by one member at a time. The speakers of the zones are
ranked, the others follow in the order of their zone, and each reads only when
what it has was not confirmed for longer than its rank allows. A member that
has read tells its zone and the other speakers, which tell theirs. Any member
takes what another has if it is newer.

Configurations are polled as well: a watch that has gone silent looks like one
with nothing to tell.
"""

from collections.abc import Callable
import logging
import random
from typing import Any
from typing import Protocol
import zlib

import attrs
import msgpack
from result import Err
from result import Result
import trio

from hawthornmast import http
from hawthornmast.audit import log_event
from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.membership.gossip import Gossip
from hawthornmast.membership.listing import UpstreamListing
from hawthornmast.membership.listing import UpstreamSnapshot
from hawthornmast.routing import Configuration
from hawthornmast.routing import decode_configuration
from hawthornmast.routing import encode_configuration

_LOG = logging.getLogger("hawthornmast.gateway.sources")

LISTING_S = 0.45
"""Period at which the list of upstreams is read, a quarter of the time
within which a leaving upstream gets no new requests."""

CONFIGURATION_S = 0.8
"""Period at which the configuration is read, less than half of the time
within which it is in force everywhere."""

RANK_S = 0.3
"""Additional seconds that each further member in rank waits."""

MAX_RANK = 6

TICK_S = 0.03
"""Period of checks while a member starts, afterwards ``IDLE_TICK_S``."""

IDLE_TICK_S = 0.1

START_S = 0.05
"""Seconds that a starting member waits for what other members have; as many
more for each rank, so that few read when all start at once."""

READ_TIMEOUT_S = 1.2
BACKOFF_S = 0.4

PULL_S = 0.5
"""Period at which a member whose data is old asks another member."""

PULL_AFTER_S = 1.6
SNAPSHOT_PATH = "/v1/snapshot"
PULL_TIMEOUT_S = 1.0

MAX_CONFIGURATION_BYTES = 16_777_216
"""Longest configuration of a peer, uncompressed."""


def _decompress(data: bytes) -> Any:
    """Return what a peer compressed.

    Raises ValueError or ``zlib.error`` for anything else.
    """
    stream = zlib.decompressobj()
    packed = stream.decompress(data, MAX_CONFIGURATION_BYTES)
    if not stream.eof:
        raise ValueError(
            f"a configuration is cut or has over {MAX_CONFIGURATION_BYTES}"
            " bytes"
        )
    return msgpack.unpackb(packed)


class Source(Protocol):
    """The platform as it is read."""

    async def read_listing(
        self, *, timeout_s: float
    ) -> Result[UpstreamSnapshot, StepError]:
        """Return all upstreams as the platform lists them now."""

    async def read_configuration(
        self, *, timeout_s: float
    ) -> Result[Configuration | None, StepError]:
        """Return the newest configuration; None when there is none yet."""


@attrs.frozen(kw_only=True)
class News:
    """What another member has, in one datagram.

    Parameters
    ----------
    version
        Version of its configuration, 0 when it has none.
    version_age_s
        Seconds since the platform confirmed that configuration.
    revision, digest
        Of its list of upstreams.
    age_s
        Seconds since the platform confirmed that list.
    """

    version: int
    version_age_s: float
    revision: int
    digest: bytes
    age_s: float


def decode_news(value: Any) -> News:
    """Return the news in a datagram.

    Raises ValueError or TypeError for anything else.
    """
    version, version_age_s, revision, digest, age_s = value
    return News(
        version=int(version),
        version_age_s=float(version_age_s),
        revision=int(revision),
        digest=bytes(digest),
        age_s=float(age_s),
    )


class Sources:
    """Keeps the configuration and the list of upstreams up to date.

    Parameters
    ----------
    source
        The platform.
    gossip
        Other members.
    listing
        The accepted list.
    on_configuration
        Called with a configuration that is newer than the one in force.
    on_listing
        Called when the list has changed.
    announce
        Tells the zone and the other speakers what this member has.
    random_source
        Source of the choice of members to ask.
    """

    def __init__(
        self,
        source: Source,
        *,
        gossip: Gossip,
        listing: UpstreamListing,
        on_configuration: Callable[[Configuration, str], None],
        on_listing: Callable[[str], None],
        announce: Callable[[], None],
        random_source: random.Random,
    ) -> None:
        self._source = source
        self._gossip = gossip
        self._listing = listing
        self._on_configuration = on_configuration
        self._on_listing = on_listing
        self._announce = announce
        self._random = random_source
        self._started_at = trio.current_time()
        self._read_at = 0.0
        self._reading = False
        self._version_at = -1e6
        self._reachable = True
        self._pulling = False
        self._pull_at = 0.0
        # Version and bytes of the last configuration that a peer asked for.
        self._compressed = (0, b"")
        self.configuration: Configuration | None = None
        self.calls = 0
        self.failures = 0

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 when there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def new(self) -> bool:
        """Whether anything is missing that requests need."""
        return not self._listing.is_loaded or self.configuration is None

    def news(self) -> News:
        """Return what this member has."""
        now = trio.current_time()
        age = now - self._listing.confirmed_at
        return News(
            version=self.version,
            version_age_s=min(now - self._version_at, 1e6),
            revision=self._listing.revision,
            digest=self._listing.digest,
            age_s=min(age, 1e6),
        )

    async def run(self) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._tick(nursery)
                await trio.sleep(TICK_S if self.new else IDLE_TICK_S)

    def receive(self, news: News, sender: Instance, nursery: Any) -> None:
        """Compare what another member has with what this one has."""
        listing = self._listing
        now = trio.current_time()
        if news.version == self.version:
            self._version_at = max(self._version_at, now - news.version_age_s)
        if news.version > self.version or (
            news.digest
            and news.digest != listing.digest
            and news.revision >= listing.revision
            and news.age_s < now - listing.confirmed_at
        ):
            if not self._pulling:
                self._pulling = True
                nursery.start_soon(self._pull, sender)
            return
        before = listing.confirmed_at
        if listing.confirm(news.revision, news.digest):
            listing.confirmed_at = max(before, now - news.age_s)

    def encode_snapshot(self, version: int) -> bytes:
        """Return what this member has for one that has a version."""
        encoded = self._compress() if self.version > version else None
        age = trio.current_time() - self._listing.confirmed_at
        listed = self._listing.encode() if self._listing.is_loaded else None
        packed: bytes = msgpack.packb([encoded, listed, min(age, 1e6)])
        return packed

    def _compress(self) -> bytes:
        """Return the configuration in force, compressed once a version."""
        configuration = self.configuration
        assert configuration is not None
        if self._compressed[0] != configuration.version:
            packed = msgpack.packb(encode_configuration(configuration))
            self._compressed = configuration.version, zlib.compress(packed, 1)
        return self._compressed[1]

    def accept(self, configuration: Configuration, origin: str) -> bool:
        """Put a configuration in force unless it is old."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self._on_configuration(configuration, origin)
        return True

    def _tick(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        age = now - self._listing.confirmed_at
        version_age = now - self._version_at
        if age < LISTING_S and version_age < CONFIGURATION_S:
            return
        rank = min(self._gossip.rank(), MAX_RANK)
        later = rank * RANK_S
        listing_due = age >= LISTING_S + later
        version_due = version_age >= CONFIGURATION_S + later
        new = self.new
        if new and now - self._started_at < START_S * (1 + rank):
            return
        if (
            (listing_due or version_due)
            and not self._reading
            and now >= self._read_at
        ):
            self._reading = True
            nursery.start_soon(self._read, rank, listing_due, version_due)
        if (
            (new or max(age, version_age) > PULL_AFTER_S)
            and now >= self._pull_at
            and not self._pulling
        ):
            self._pull_at = now + PULL_S * (1 + rank)
            others = self._gossip.remote_peers() if rank < MAX_RANK else []
            others = others + self._gossip.zone_peers()
            if others:
                self._pulling = True
                nursery.start_soon(self._pull, self._random.choice(others))

    async def _read(
        self, rank: int, listing_due: bool, version_due: bool
    ) -> None:
        try:
            done = True
            if listing_due:
                done = await self._read_listing()
            if version_due and done:
                done = await self._read_configuration()
            if done:
                self._announce()
            else:
                self._read_at = trio.current_time() + BACKOFF_S * (1 + rank)
        finally:
            self._reading = False

    async def _read_listing(self) -> bool:
        found = await self._source.read_listing(timeout_s=READ_TIMEOUT_S)
        if not self._note_call(found):
            return False
        if self._listing.apply_snapshot(found.unwrap()):
            self._on_listing("platform")
        return True

    async def _read_configuration(self) -> bool:
        found = await self._source.read_configuration(timeout_s=READ_TIMEOUT_S)
        if not self._note_call(found):
            return False
        configuration = found.unwrap()
        if configuration is not None:
            self.accept(configuration, "platform")
            if configuration.version == self.version:
                self._version_at = trio.current_time()
        return True

    async def _pull(self, peer: Instance) -> None:
        try:
            done = await http.fetch(
                peer.host,
                peer.peer_port,
                "GET",
                f"{SNAPSHOT_PATH}?version={self.version}",
                timeout=PULL_TIMEOUT_S,
            )
            if isinstance(done, Err):
                log_event(
                    _LOG,
                    "pull-failed",
                    peer=peer.instance_id,
                    step=done.err_value.step,
                    detail=done.err_value.detail,
                )
                return
            self._adopt(done.ok_value.body, peer)
        finally:
            self._pulling = False

    def _adopt(self, body: bytes, peer: Instance) -> None:
        listing = self._listing
        now = trio.current_time()
        try:
            encoded, listed, age = msgpack.unpackb(body)
            if encoded is not None:
                configuration = decode_configuration(_decompress(encoded))
                self.accept(configuration, peer.instance_id)
            confirmed = now - float(age)
            if listed is not None and confirmed > listing.confirmed_at:
                changed = listing.apply_peer_list(listed)
                if int(listed[0]) >= listing.revision:
                    listing.confirmed_at = confirmed
                if changed:
                    self._on_listing(peer.instance_id)
        except (
            ValueError,
            TypeError,
            IndexError,
            zlib.error,
            msgpack.UnpackException,
        ):
            log_event(
                _LOG,
                "snapshot-refused",
                level=logging.WARNING,
                peer=peer.instance_id,
                bytes=len(body),
            )

    def _note_call(self, done: Result[Any, StepError]) -> bool:
        """Count a call of the platform; return whether it succeeded."""
        self.calls += 1
        if isinstance(done, Err):
            self.failures += 1
            error = done.err_value
            if self._reachable:
                log_event(
                    _LOG,
                    "platform-lost",
                    level=logging.WARNING,
                    step=error.step,
                    detail=error.detail,
                    peer=error.peer,
                )
            self._reachable = False
            return False
        if not self._reachable:
            log_event(_LOG, "platform-regained")
        self._reachable = True
        return True
