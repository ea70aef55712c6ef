"""When a member reads the platform.

Normally one member at a time reads. Members are ranked (``Gossip.rank``): the
representatives of the zones first, then the other members in the order of
their zone. Each reads only when its state was not confirmed for longer than
its rank allows. One that took over from others goes on as the second in rank
until it stops reading.
"""

import math
import random

import attrs

LISTING_INTERVAL_S = 0.45
"""Polling interval of the list of upstreams: a quarter of the time after which
a leaving upstream must receive no new requests."""

CONFIGURATION_INTERVAL_S = 0.8
"""Polling interval of the configuration: less than half of the time within
which a configuration must be in force on all members."""

READ_RANK_DELAY_S = 0.15
"""Additional delay before a read for each rank below the first."""

ACTIVE_READER_S = 3.0
"""Time after a successful read during which a member waits no longer than the
second in rank. Members that rank above it and can't read then delay only the
first read, not each."""

MAX_READ_RANK = 5
"""Lowest rank that delays distinguish; members below it wait no longer. From
this rank on, members pull only from peers of their own zone."""

STARTUP_DELAY_S = 0.05
"""Delay before the first read of a starting member, in which peers may send
their state. It is added once more for each rank, so that few members read the
platform when all start at once."""

READ_BACKOFF_S = 0.4
"""Pause after a failed read; added once more for each rank."""


@attrs.frozen(kw_only=True)
class DueReads:
    """What a member has to read now."""

    listing: bool = False
    configuration: bool = False

    def __bool__(self) -> bool:
        return self.listing or self.configuration


class ReadSchedule:
    """Decides when one member reads the platform.

    Parameters
    ----------
    started_at
        Monotonic time in seconds at which the member started.
    random_source
        Random generator for the jitter of members that took over.
    """

    def __init__(
        self, *, started_at: float, random_source: random.Random
    ) -> None:
        self._started_at = started_at
        self._random = random_source
        self._jitter = random_source.random()
        self._last_read_at = -math.inf
        self._next_read_at = -math.inf

    def is_starting(self, now: float, rank: int) -> bool:
        """Return whether peers may still send the first state."""
        return now - self._started_at < STARTUP_DELAY_S * (1 + rank)

    def find_due(
        self,
        now: float,
        rank: int,
        *,
        listing_age_s: float,
        configuration_age_s: float,
    ) -> DueReads:
        """Return what is to be read now.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        rank
            Rank of the member, at most ``MAX_READ_RANK``.
        listing_age_s, configuration_age_s
            Seconds since the platform last confirmed them.
        """
        if now < self._next_read_at:
            return DueReads()
        delay_s = self._compute_rank_delay(now, rank)
        return DueReads(
            listing=listing_age_s >= LISTING_INTERVAL_S + delay_s,
            configuration=(
                configuration_age_s >= CONFIGURATION_INTERVAL_S + delay_s
            ),
        )

    def record_success(self, now: float) -> None:
        """Record that the platform answered."""
        self._last_read_at = now
        self._jitter = self._random.random()

    def record_failure(self, now: float, rank: int) -> None:
        """Record that the platform did not answer; start a pause."""
        self._next_read_at = now + READ_BACKOFF_S * (1 + rank)

    def _compute_rank_delay(self, now: float, rank: int) -> float:
        """Return how much later than the first in rank the member reads."""
        if rank and now - self._last_read_at < ACTIVE_READER_S:
            # The jitter leaves one of several active readers; the others have
            # its confirmation before their time has come.
            return READ_RANK_DELAY_S * (1.0 + self._jitter)
        return READ_RANK_DELAY_S * rank
