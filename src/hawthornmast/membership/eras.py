"""The newest era of the platform that a member knows."""

import logging

from hawthornmast.audit import log_event
from hawthornmast.common import EraRevision

_LOG = logging.getLogger("hawthornmast.membership.eras")

ROLLBACK_SETTLE_S = 6.0
"""Time after which what an older copy says counts as the newest, if nobody
has written it again."""


class EraTracker:
    """Knows the newest era, and what was written in it.

    Attributes
    ----------
    era
        The newest era, 0 if the platform names none.
    first_revision
        The lowest revision of the platform that any member saw in that era;
        None if it isn't known. What was written after it was written in the
        era, and isn't part of the copy to which the platform returned.
    """

    def __init__(self) -> None:
        self.era = 0
        self.first_revision: int | None = None

    def observe(self, position: EraRevision) -> None:
        """Learn of a revision of the platform."""
        self.learn(position.era, origin="platform")
        if position.era == self.era:
            self.learn_first_revision(position.number)

    def learn(self, era: int, *, origin: str) -> bool:
        """Learn of an era; return whether it is newer than the known one.

        Parameters
        ----------
        origin
            Who told of it, for the log.
        """
        if era <= self.era:
            return False
        log_event(
            _LOG,
            "era-changed",
            level=logging.WARNING,
            era=era,
            before=self.era,
            origin=origin,
        )
        self.era = era
        self.first_revision = None
        return True

    def learn_first_revision(self, revision: int) -> None:
        """Learn of a revision that a member saw in the newest era."""
        if self.first_revision is None or revision < self.first_revision:
            self.first_revision = revision

    def is_written_in_era(self, revision: int) -> bool:
        """Return whether a write at a revision belongs to the newest era.

        Without eras, none is known to.
        """
        return (
            self.era > 0
            and self.first_revision is not None
            and revision > self.first_revision
        )
