"""Which configuration is in force.

The operator numbers configurations upwards. When the platform returns to an
older copy, it may have an earlier configuration for a moment, until the
operator writes the newest one again. The operator may also number that one
lower than the configuration in force, or give the same number to another.
"""

import collections
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

MAX_REPLACED = 64
"""Number of replaced configurations whose digests are kept."""


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
    """

    def __init__(
        self, eras: EraTracker, *, clock: Callable[[], float]
    ) -> None:
        self._eras = eras
        self._clock = clock
        self.configuration: Configuration | None = None
        self.order = EraRevision()
        # Position of the latest read.
        self._read_at = EraRevision()
        # Write that the platform returns, and the time since when.
        self._returned: tuple[EraRevision, float] | None = None
        self._logged = EraRevision()
        self._replaced: collections.deque[bytes] = collections.deque(
            maxlen=MAX_REPLACED
        )
        # Both are empty until they are used.
        self._digest = b""
        self._compressed = b""

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def offer(self, configuration: Configuration, order: EraRevision) -> bool:
        """Put a configuration in force if it is newer.

        Returns whether it differs from the one before.
        """
        if order <= self.order:
            return False
        self.order = order
        if configuration == self.configuration:
            return False
        if self.configuration is not None and self._eras.era:
            self._replaced.append(self.digest())
        self.configuration = configuration
        self._digest = self._compressed = b""
        return True

    def order_published(
        self, published: PublishedConfiguration
    ) -> EraRevision:
        """Return the order of a configuration read from the platform."""
        era = published.position.era
        version = published.configuration.version
        if not era or (
            self._is_newest(published) or self._has_other_content(published)
        ):
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

    def promote(self, order: EraRevision, digest: bytes) -> None:
        """Learn of a newer order of the configuration in force."""
        if order > self.order and self.is_same(order.number, digest):
            self.order = order

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

    def _has_other_content(self, published: PublishedConfiguration) -> bool:
        """Return whether a newer era has assigned the version again.

        What was in force before comes from a copy.
        """
        configuration = published.configuration
        return (
            configuration.version == self.version
            and published.position.era > self.order.era
            and configuration != self.configuration
            and _digest(configuration) not in self._replaced
        )


def _pack(configuration: Configuration) -> bytes:
    packed: bytes = msgpack.packb(encode_configuration(configuration))
    return packed


def _digest(configuration: Configuration) -> bytes:
    packed = _pack(configuration)
    return hashlib.blake2b(packed, digest_size=8).digest()
