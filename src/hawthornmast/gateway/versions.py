"""Which configuration is in force.

The operator numbers configurations upwards. When the platform returns to an
older copy, it may have an earlier configuration for a moment, until the
operator writes the newest one again. The operator may also number that one
lower than the configuration in force, or give the same number to another.
"""

from collections.abc import Callable
import hashlib
import logging
import zlib

import msgpack

from hawthornmast.audit import log_event
from hawthornmast.common import EraRevision
from hawthornmast.membership.eras import EraTracker
from hawthornmast.membership.eras import ROLLBACK_SETTLE_S
from hawthornmast.routing import Configuration
from hawthornmast.routing import encode_configuration
from hawthornmast.routing import PublishedConfiguration

_LOG = logging.getLogger("hawthornmast.gateway.versions")

MAX_FORMER = 64
"""Number of versions whose configurations are recognized when an older copy
has them again."""

NEVER_WRITTEN = EraRevision()
"""Stands for a write that isn't known."""


class ConfigurationState:
    """The configuration in force and its order among others.

    A configuration is ordered first by the era in which it is known to be
    the operator's newest, and then by its version. It is known to be if it
    was written in that era, or if the platform has returned it throughout
    ``ROLLBACK_SETTLE_S`` of it. One that is only read in an era may be part
    of an older copy: it is ordered by its version alone, so that it replaces
    no later one on any member.

    Parameters
    ----------
    eras
        The eras of the platform.
    clock
        Monotonic time in seconds.

    Attributes
    ----------
    configuration
        The configuration in force, None before the first.
    order
        Its era and version.
    written
        Era in which it was read, and revision of the platform at which it was
        written; revision 0 if it isn't known. Whether that belongs to the era
        may become known only later.
    """

    def __init__(
        self, eras: EraTracker, *, clock: Callable[[], float]
    ) -> None:
        self._eras = eras
        self._clock = clock
        self.configuration: Configuration | None = None
        self.order = EraRevision()
        self.written = EraRevision()
        # Position of the latest read.
        self._read_at = EraRevision()
        # Write that the platform returns, and the time since when.
        self._returned: tuple[EraRevision, float] | None = None
        self._logged = EraRevision()
        # Digests of configurations that were in force, by version.
        self._former: dict[int, set[bytes]] = {}
        # Both are empty until they are used.
        self._digest = b""
        self._compressed = b""

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def offer(
        self,
        configuration: Configuration,
        order: EraRevision,
        written: EraRevision = NEVER_WRITTEN,
    ) -> bool:
        """Put a configuration in force if it is newer.

        Returns whether it differs from the one before.
        """
        order = self.rank(order, written)
        if order <= self.order:
            return False
        self.order, self.written = order, written
        if configuration == self.configuration:
            return False
        self._remember()
        self.configuration = configuration
        self._digest = self._compressed = b""
        return True

    def order_published(
        self, published: PublishedConfiguration
    ) -> EraRevision:
        """Return the order of a configuration read from the platform."""
        era = published.position.era
        version = published.configuration.version
        if not era or self._is_newest(published):
            return EraRevision(era, version)
        if published.configuration != self.configuration:
            former = self._former.get(version, set())
            if version == self.version:
                former = former | {self.digest()}
            if _digest(published.configuration) in former:
                # An older copy has it again.
                order = EraRevision(0, version)
                self._log_waiting(published, order)
                return order
            if version == self.version and era > self.order.era:
                # The version was assigned again.
                return EraRevision(era, version)
        order = EraRevision(min(self.order.era, era), version)
        self._log_waiting(published, order)
        return order

    def _log_waiting(
        self, published: PublishedConfiguration, order: EraRevision
    ) -> None:
        """Log once that a configuration of an older copy isn't applied."""
        write = EraRevision(published.position.era, published.written)
        if order >= self.order or write == self._logged:
            return
        self._logged = write
        log_event(
            _LOG,
            "configuration-held-back",
            level=logging.WARNING,
            version=order.number,
            in_force=self.version,
            era=write.era,
        )

    def confirms(self, published: PublishedConfiguration | None) -> bool:
        """Return whether a read needn't be repeated soon.

        The platform has the configuration in force, or an earlier one that
        may be in force only later, or returned to before the first one.
        """
        if published is None:
            return self._eras.era > 0 and self.configuration is not None
        return (
            published.configuration.version == self.version
            or published.position.era > self.order.era
        )

    def promote(
        self,
        order: EraRevision,
        digest: bytes,
        written: EraRevision = NEVER_WRITTEN,
    ) -> None:
        """Learn of a newer order of the configuration in force."""
        if self.is_same(order.number, digest):
            self.order = max(self.order, order)
            self.written = max(self.written, written)
            self.reconsider()

    def reconsider(self) -> None:
        """Apply what has been learned of the era since the last read."""
        self.order = max(self.order, self.rank(self.order, self.written))

    def rank(self, order: EraRevision, written: EraRevision) -> EraRevision:
        """Return the order of a configuration by the place of its write."""
        if (
            written.era == self._eras.era
            and written.era > order.era
            and self._eras.is_written_in_era(written.number)
        ):
            return EraRevision(written.era, order.number)
        return order

    def is_same(self, version: int, digest: bytes) -> bool:
        """Return whether the configuration of a member is the one in force.

        Parameters
        ----------
        version, digest
            Version and digest of its configuration. Without eras, members
            state no digest.
        """
        return version == self.version and (
            not digest or digest == self.digest()
        )

    def digest(self) -> bytes:
        """Return the digest of the configuration in force, if there is one."""
        if not self._digest and self.configuration is not None:
            self._digest = _digest(self.configuration)
        return self._digest

    def compress(self) -> bytes:
        """Return the compressed configuration in force."""
        assert self.configuration is not None
        if not self._compressed:
            self._compressed = zlib.compress(_pack(self.configuration), 1)
        return self._compressed

    def _is_newest(self, published: PublishedConfiguration) -> bool:
        """Return whether it is known to be the newest of its era."""
        now = self._clock()
        position = published.position
        if position < self._read_at:
            return False
        self._read_at = position
        write = EraRevision(position.era, published.written)
        if self._returned is None or self._returned[0] != write:
            self._returned = write, now
        return (
            self._eras.is_written_in_era(published.written)
            or now - self._returned[1] >= ROLLBACK_SETTLE_S
        )

    def _remember(self) -> None:
        """Remember the configuration that is being replaced."""
        if self.configuration is None or not self._eras.era:
            return
        self._former.setdefault(self.version, set()).add(self.digest())
        if len(self._former) > MAX_FORMER:
            del self._former[next(iter(self._former))]


def _pack(configuration: Configuration) -> bytes:
    packed: bytes = msgpack.packb(encode_configuration(configuration))
    return packed


def _digest(configuration: Configuration) -> bytes:
    packed = _pack(configuration)
    return hashlib.blake2b(packed, digest_size=8).digest()
