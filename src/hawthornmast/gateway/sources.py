"""Synchronization of the configuration and of the list of upstreams.

The state of a member, in this module, is its configuration and its list of
upstreams. Normally one member at a time reads them from the platform
(``reading``). A member that has read the platform announces a summary of its
state to its zone and to the representatives of the other zones, which pass it
on to their zones. Every member pulls state from a peer whose state is newer,
as a snapshot with the list and, if needed, the configuration. Newer means a
later era of the platform first: when the platform returns to an older copy,
its counters go back, and what members of an earlier era send changes nothing.

The configuration is polled although the store of a platform may offer watches
(streams of changes): a watch that has stalled can't be told from one without
changes. During a compaction of the store, watches delivered nothing for 5 s.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random
from typing import Any

from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.audit import describe_error
from hawthornmast.audit import log_event
from hawthornmast.audit import log_failures
from hawthornmast.common import EraRevision
from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.common.ticks import sleep_until_tick
from hawthornmast.gateway.calls import CallRecorder
from hawthornmast.gateway.calls import PlatformSource
from hawthornmast.gateway.confirmations import ConfirmationTracker
from hawthornmast.gateway.confirmations import make_reader_id
from hawthornmast.gateway.confirmations import ReadId
from hawthornmast.gateway.eras import refuse_older
from hawthornmast.gateway.eras import summarize_eras
from hawthornmast.gateway.reading import CONFIGURATION_INTERVAL_S
from hawthornmast.gateway.reading import DueReads
from hawthornmast.gateway.reading import LISTING_INTERVAL_S
from hawthornmast.gateway.reading import MAX_READ_RANK
from hawthornmast.gateway.reading import ReadSchedule
from hawthornmast.gateway.snapshots import decode_snapshot
from hawthornmast.gateway.snapshots import encode_snapshot
from hawthornmast.gateway.snapshots import EraSummary
from hawthornmast.gateway.snapshots import fetch_snapshot
from hawthornmast.gateway.snapshots import StateSnapshot
from hawthornmast.gateway.snapshots import StateSummary
from hawthornmast.gateway.snapshots import SUMMARY_FIELDS
from hawthornmast.gateway.versions import ConfigurationState
from hawthornmast.gateway.versions import NEVER_WRITTEN
from hawthornmast.membership.gossip import Gossip
from hawthornmast.membership.listing import UpstreamListing
from hawthornmast.routing import Configuration

_LOG = logging.getLogger("hawthornmast.gateway.sources")

STARTUP_CHECK_INTERVAL_S = 0.03
"""Interval of checks for due reads and pulls until the first configuration and
list of upstreams are known; ``CHECK_INTERVAL_S`` afterwards."""

CHECK_INTERVAL_S = 0.1

READ_TIMEOUT_S = 1.2

MIN_RELAY_ADVANCE_S = 0.1
"""Time by which a confirmation from another zone must be newer than the last
one to be passed on at once rather than with the next heartbeat."""

PULL_INTERVAL_S = 0.5
"""Interval at which a member with stale state pulls from a peer; added once
more for each rank."""

PULL_STALE_AGE_S = 1.6

COMPARISON_INTERVAL_S = 1.0
"""Interval at which a member compares with peers which upstreams it holds back
after a new era of the platform."""


SnapshotFetcher = Callable[
    [Instance, int], Awaitable[Result[bytes, StepError]]
]


class StateSynchronizer:
    """Keeps the configuration and the list of upstreams up to date.

    Parameters
    ----------
    source
        Read access to the platform.
    gossip
        Membership of the fleet.
    listing
        The list of upstreams in force.
    on_configuration
        Called with each configuration that is newer than the one in force,
        and with its origin.
    on_listing
        Called with the origin of the new list when the list has changed.
    announce
        Sends the state summary to the zone and to the representatives of the
        other zones.
    relay
        Sends the state summary to the zone if this member is its
        representative.
    random_source
        Random generator for the choice of the peer to pull from.
    fetch_snapshot
        Fetches the encoded state of a peer, without its configuration if
        that has the given version.

    Attributes
    ----------
    platform_calls
        Number of this member's calls of the platform.
    configuration_gap_s
        Seconds that the configuration in force may have been on the platform
        unseen: the age of the one before it, 0 for the first.
    """

    def __init__(
        self,
        source: PlatformSource,
        *,
        gossip: Gossip,
        listing: UpstreamListing,
        on_configuration: Callable[[Configuration, str], None],
        on_listing: Callable[[str], None],
        announce: Callable[[], None],
        relay: Callable[[], None],
        random_source: random.Random,
        fetch_snapshot: SnapshotFetcher = fetch_snapshot,
    ) -> None:
        self._source = source
        self._fetch_snapshot = fetch_snapshot
        self._gossip = gossip
        self._listing = listing
        self._on_configuration = on_configuration
        self._on_listing = on_listing
        self._announce = announce
        self._relay = relay
        self._random = random_source
        self._schedule = ReadSchedule(
            started_at=trio.current_time(), random_source=random_source
        )
        self._reading = False
        reader = make_reader_id(
            gossip.instance.instance_id, gossip.incarnation
        )
        self._configuration_reads = ConfirmationTracker(
            reader, clock=trio.current_time
        )
        self._listing_reads = ConfirmationTracker(
            reader, clock=trio.current_time
        )
        self._pulling = False
        self._next_pull_at = 0.0
        self._eras = listing.eras
        self._state = ConfigurationState(self._eras, clock=trio.current_time)
        self._next_comparison_at = 0.0
        self.configuration_gap_s = 0.0
        self.platform_calls = CallRecorder()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return self._state.configuration

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return self._state.version

    @property
    def uninitialized(self) -> bool:
        """Whether the configuration or the list of upstreams is unknown."""
        return not self._listing.is_loaded or self.configuration is None

    def summarize(self) -> StateSummary:
        """Return versions and ages of this member's state."""
        return StateSummary(
            version=self.version,
            configuration_age_s=self._configuration_reads.age_s(),
            revision=self._listing.revision,
            digest=self._listing.digest,
            listing_age_s=self._listing_reads.age_s(),
            configuration_read=self._configuration_reads.read_id,
            listing_read=self._listing_reads.read_id,
            eras=summarize_eras(self._listing, self._state),
        )

    async def run(self) -> None:
        """Synchronize until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with log_failures("synchronize"):
                    if self._listing.drop_expired():
                        self._on_listing("expiry")
                    self._start_due_tasks(nursery)
                await sleep_until_tick(
                    STARTUP_CHECK_INTERVAL_S
                    if self.uninitialized
                    else CHECK_INTERVAL_S
                )

    def is_known(self, encoded: Any) -> bool:
        """Return whether an encoded summary states nothing new.

        It names the state of this member and the reads that confirmed it, and
        states no larger ages of them, which would count.
        """
        if type(encoded) is not list or len(encoded) != SUMMARY_FIELDS:
            return False
        version, configuration_age_s, revision, digest, age_s, *reads = encoded
        listing = self._listing
        return (
            revision == listing.revision
            and digest == listing.digest
            and version == self.version
            and self._configuration_reads.is_latest(
                reads[0], configuration_age_s
            )
            and self._listing_reads.is_latest(reads[1], age_s)
            and listing.confirmed_at == self._listing_reads.confirmed_at
        )

    def receive(
        self, summary: StateSummary, sender: Instance, nursery: Any
    ) -> None:
        """Pull newer state from a peer, or take over its confirmation."""
        listing = self._listing
        now = trio.current_time()
        eras = summary.eras
        if not self._learn_eras(eras, sender):
            return
        written = EraRevision(eras.era, eras.configuration_written)
        order = self._state.rank(
            EraRevision(eras.configuration_era, summary.version), written
        )
        if self._state.is_same(summary.version, eras.configuration_digest):
            self._state.promote(order, eras.configuration_digest, written)
            self._configuration_reads.learn(
                summary.configuration_read, now - summary.configuration_age_s
            )
        has_newer_configuration = order > self._state.order
        position = EraRevision(eras.era, summary.revision)
        has_newer_list = position > listing.position or (
            position == listing.position
            and summary.listing_age_s < now - listing.confirmed_at
        )
        if (
            has_newer_configuration
            or (
                summary.digest
                and summary.digest != listing.digest
                and has_newer_list
            )
            or self._holds_back_others(eras)
        ):
            if not self._pulling:
                self._pulling = True
                self._next_comparison_at = now + COMPARISON_INTERVAL_S
                # The peer leaves out the version that it is asked with, and
                # a newer era may have given it to another configuration.
                version = self.version
                if has_newer_configuration and summary.version <= version:
                    version = 0
                nursery.start_soon(self._pull, sender, version)
            return
        previously_confirmed_at = listing.confirmed_at
        if listing.confirm(summary.revision, summary.digest, era=eras.era):
            self._learn_listing_read(
                summary.listing_read, now - summary.listing_age_s
            )
            if (
                sender.zone != self._gossip.instance.zone
                and listing.confirmed_at - previously_confirmed_at
                >= MIN_RELAY_ADVANCE_S
            ):
                self._relay()

    def _learn_eras(self, eras: EraSummary, peer: Instance) -> bool:
        """Learn of the era of a peer; return whether it isn't an older one."""
        if eras.era < self._eras.era:
            return False
        self._eras.learn(eras.era, origin=peer.instance_id)
        if eras.era and eras.first_revision is not None:
            self._eras.learn_first_revision(eras.first_revision)
            self._state.reconsider()
        return True

    def _holds_back_others(self, eras: EraSummary) -> bool:
        """Return whether a peer may know of other upstreams that left."""
        return (
            eras.era == self._listing.position.era
            and eras.held_digest != self._listing.departures.digest
            and trio.current_time() >= self._next_comparison_at
        )

    def encode_state_snapshot(
        self, version: int, *, with_reads: bool = True
    ) -> bytes:
        """Return the state for a peer that has a configuration version.

        It consists of the compressed configuration, unless the peer has it,
        the encoded list of upstreams and the age of the list in seconds.

        Parameters
        ----------
        with_reads
            Add the identifier of the read that confirmed the list. Earlier
            versions don't ask for it and refuse it.
        """
        listing = self._listing
        return encode_snapshot(
            compressed=(
                self._state.compress() if self.version > version else None
            ),
            encoded_list=listing.encode() if listing.is_loaded else None,
            listing_age_s=self._listing_reads.age_s(),
            listing_read=self._listing_reads.read_id,
            eras=summarize_eras(self._listing, self._state),
            departures=listing.departures.encode(),
            with_reads=with_reads,
        )

    def accept(
        self,
        configuration: Configuration,
        origin: str,
        *,
        era: int = 0,
        written: EraRevision = NEVER_WRITTEN,
    ) -> bool:
        """Apply a configuration if it is newer than the one in force.

        Parameters
        ----------
        era
            Era in which it is known to be the operator's newest.
        written
            As in ``ConfigurationState``.
        """
        gap_s = self._configuration_reads.age_s() if self.version else 0.0
        order = EraRevision(era, configuration.version)
        if not self._state.offer(configuration, order, written):
            return False
        self.configuration_gap_s = gap_s
        self._on_configuration(configuration, origin)
        return True

    def _start_due_tasks(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        age = self._listing_reads.age_s()
        configuration_age = self._configuration_reads.age_s()
        # The rank is costly, and matters only if a read may be due.
        if (
            age < LISTING_INTERVAL_S
            and configuration_age < CONFIGURATION_INTERVAL_S
        ):
            return
        read_rank = min(self._gossip.rank(), MAX_READ_RANK)
        uninitialized = self.uninitialized
        if uninitialized and self._schedule.is_starting(now, read_rank):
            return
        due = self._schedule.find_due(
            now,
            read_rank,
            listing_age_s=age,
            configuration_age_s=configuration_age,
        )
        if due and not self._reading:
            self._reading = True
            nursery.start_soon(self._read, read_rank, due)
        if (
            (uninitialized or max(age, configuration_age) > PULL_STALE_AGE_S)
            and now >= self._next_pull_at
            and not self._pulling
        ):
            self._next_pull_at = now + PULL_INTERVAL_S * (1 + read_rank)
            # Peers of other zones are the few that gossip reports of each.
            others = (
                self._gossip.remote_peers()
                if read_rank < MAX_READ_RANK
                else []
            )
            others = others + self._gossip.zone_peers()
            if others:
                self._pulling = True
                peer = self._random.choice(others)
                nursery.start_soon(self._pull, peer, self.version)

    async def _read(self, read_rank: int, due: DueReads) -> None:
        before = self._confirmation_times()
        succeeded = False
        with log_failures("read-platform"):
            succeeded = await self._read_due(due)
        self._reading = False
        if succeeded:
            self._schedule.record_success(trio.current_time())
        else:
            self._schedule.record_failure(trio.current_time(), read_rank)
        # One of the two may have been read although the other failed.
        if self._confirmation_times() != before:
            self._announce()

    def _confirmation_times(self) -> tuple[float, float]:
        return (
            self._listing_reads.confirmed_at,
            self._configuration_reads.confirmed_at,
        )

    async def _read_due(self, due: DueReads) -> bool:
        if due.listing and not await self._read_listing():
            return False
        return not due.configuration or await self._read_configuration()

    async def _read_listing(self) -> bool:
        asked_at = trio.current_time()
        result = await self._source.read_listing(timeout_s=READ_TIMEOUT_S)
        result = result.and_then(
            lambda value: refuse_older(value, value.era, self._eras)
        )
        if not self.platform_calls.record(result):
            return False
        snapshot = result.unwrap()
        is_current = snapshot.position >= self._listing.position
        changed = self._listing.apply_snapshot(snapshot, asked_at=asked_at)
        if is_current:
            self._listing_reads.record_read(asked_at)
            self._listing.confirmed_at = self._listing_reads.confirmed_at
        if changed:
            self._on_listing("platform")
        return True

    async def _read_configuration(self) -> bool:
        asked_at = trio.current_time()
        result = await self._source.read_configuration(
            timeout_s=READ_TIMEOUT_S
        )
        result = result.and_then(
            lambda value: refuse_older(
                value,
                value.position.era if value else self._eras.era,
                self._eras,
            )
        )
        if not self.platform_calls.record(result):
            return False
        published = result.unwrap()
        if published is not None:
            self._eras.observe(published.position)
            order = self._state.order_published(published)
            self.accept(
                published.configuration,
                "platform",
                era=order.era,
                written=EraRevision(published.position.era, published.written),
            )
        if self._state.confirms(published):
            self._configuration_reads.record_read(asked_at)
        return True

    async def _pull(self, peer: Instance, version: int) -> None:
        with log_failures("pull"):
            await self._pull_state(peer, version)
        self._pulling = False

    async def _pull_state(self, peer: Instance, version: int) -> None:
        asked_at = trio.current_time()
        result = await self._fetch_snapshot(peer, version)
        if isinstance(result, Err):
            log_event(
                _LOG,
                "pull-failed",
                peer=peer.instance_id,
                step=result.err_value.step,
                detail=result.err_value.detail,
            )
            return
        before = self.version, self._listing.digest
        self._apply_state_snapshot(result.ok_value, peer, asked_at=asked_at)
        if (self.version, self._listing.digest) != before:
            self._relay()

    def _apply_state_snapshot(
        self, body: bytes, peer: Instance, *, asked_at: float
    ) -> None:
        decoded = decode_snapshot(body)
        detail = decoded.err()
        if isinstance(decoded, Ok):
            snapshot = decoded.ok_value
            try:
                if not self._learn_eras(snapshot.eras, peer):
                    return
                if snapshot.configuration is not None:
                    self.accept(
                        snapshot.configuration,
                        peer.instance_id,
                        era=snapshot.eras.configuration_era,
                        written=EraRevision(
                            snapshot.eras.era,
                            snapshot.eras.configuration_written,
                        ),
                    )
                self._apply_peer_list(snapshot, peer, asked_at=asked_at)
            except (ValueError, TypeError, IndexError) as error:
                detail = describe_error(error)
        if detail is not None:
            log_event(
                _LOG,
                "snapshot-refused",
                level=logging.WARNING,
                peer=peer.instance_id,
                bytes=len(body),
                detail=detail,
            )

    def _apply_peer_list(
        self, snapshot: StateSnapshot, peer: Instance, *, asked_at: float
    ) -> None:
        """Apply a peer's list if it is newer.

        Raises ValueError, TypeError or IndexError if it is malformed.
        """
        listing = self._listing
        era = snapshot.eras.era
        if snapshot.departures is not None:
            listing.departures.merge(snapshot.departures)
        # The peer stated the age after it was asked.
        confirmed_at = asked_at - snapshot.listing_age_s
        changed = False
        if snapshot.encoded_list is not None:
            position = EraRevision(era, int(snapshot.encoded_list[0]))
            if position > listing.position or (
                position == listing.position
                and confirmed_at > listing.confirmed_at
            ):
                changed = listing.apply_peer_list(
                    snapshot.encoded_list, confirmed_at=confirmed_at, era=era
                )
                self._learn_listing_read(snapshot.listing_read, confirmed_at)
        if listing.refresh() or changed:
            self._on_listing(peer.instance_id)

    def _learn_listing_read(
        self, read_id: ReadId | None, confirmed_at: float
    ) -> None:
        """Learn of a read of the list from a peer.

        The list has the time of its latest read as well, for the gap to the
        next one.
        """
        self._listing_reads.learn(read_id, confirmed_at)
        self._listing.confirmed_at = self._listing_reads.confirmed_at
