"""What one daemon holds about one upstream."""

import attrs

from hawthornmast.health.holdoff import COLD_START_S
from hawthornmast.health.holdoff import HoldOff
from hawthornmast.health.scores import Score
from hawthornmast.health.standing import Standing


@attrs.define(kw_only=True, eq=False)
class UpstreamState:
    """Evidence, ejection and return of one upstream."""

    upstream_id: str
    listed: float
    score: Score = attrs.field(factory=Score)
    holdoff: HoldOff = attrs.field(factory=HoldOff)
    own_level: float = 0.0
    """Sequential test on this daemon's own requests only."""

    sick: bool = False
    sick_since: float = 0.0
    denied: bool = False
    ejected_until: float = 0.0
    was_ejected: bool = False
    avoid_until: float = 0.0
    published: Standing = attrs.field(factory=Standing)

    def is_cold(self, now: float) -> bool:
        """Tell whether slow responses are still expected."""
        start = max(self.listed, self.holdoff.ramp_from)
        return now - start < COLD_START_S
