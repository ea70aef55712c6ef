"""What one daemon holds about one upstream."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from hawthornmast.health import scores
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

    def describe(self, now: float) -> dict[str, object]:
        """Return what the standing of the upstream rests on."""
        return {
            "score": round(self.score.level, 2),
            "failed_in_run": self.score.run_failed,
            "ok_in_run": self.score.run_ok,
            "sick": self.sick,
            "denied": self.denied,
            "ejected_for_s": round(max(0.0, self.ejected_until - now), 3),
            "hold_off_for_s": round(max(0.0, self.holdoff.until - now), 3),
        }


def compute_ramp_part(
    states: Iterable[UpstreamState], budget: int, now: float
) -> float:
    """Return the part of each ramp's missing slots that may be missing.

    Slow start takes no more capacity than ejections leave. After a restart
    of all upstreams their ramps together would leave the service far below
    its floor.
    """
    missing = 0.0
    ejected = 0
    for state in states:
        if state.was_ejected:
            ejected += 1
        else:
            missing += 1.0 - state.holdoff.get_weight(now)
    return min(1.0, max(0, budget - ejected) / missing) if missing else 1.0


def estimate_rate(
    state: UpstreamState, states: Mapping[str, UpstreamState], budget: int
) -> float:
    """Return the failure rate of the other upstreams since a run began.

    The worst others are left out, as many as may be ejected besides this
    one, so that several failing upstreams do not hide each other.
    """
    found: list[tuple[int, int]] = []
    for upstream_id, (total, failures) in state.score.others.items():
        other = states.get(upstream_id)
        if other is not None:
            found.append(
                (other.score.failures - failures, other.score.total - total)
            )
    found.sort(reverse=True)
    rest = found[max(0, budget - 1) :]
    return scores.bound_rate(sum(f for f, _ in rest), sum(t for _, t in rest))
