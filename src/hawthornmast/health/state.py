"""Health records that a daemon keeps for each upstream."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from hawthornmast.health import scores
from hawthornmast.health.holdoff import COLD_START_S
from hawthornmast.health.holdoff import HoldOff
from hawthornmast.health.scores import Cusum
from hawthornmast.health.standing import Standing


@attrs.define(kw_only=True, eq=False)
class UpstreamState:
    """Evidence and ejection state of one upstream."""

    upstream_id: str
    listed_at: float
    cusum: Cusum = attrs.field(factory=Cusum)
    holdoff: HoldOff = attrs.field(factory=HoldOff)
    own_level: float = 0.0
    """Level of the sequential test over this daemon's own requests only."""

    failing: bool = False
    """Whether the sequential test justifies an ejection."""

    failing_since: float = 0.0
    denied: bool = False
    """Whether the floor prevents the ejection."""

    ejected_until: float = 0.0
    was_ejected: bool = False
    avoid_until: float = 0.0
    published: Standing = attrs.field(factory=Standing)

    def is_cold(self, now: float) -> bool:
        """Return whether slow responses are expected after a cold start."""
        start = max(self.listed_at, self.holdoff.slow_start_at)
        return now - start < COLD_START_S

    def describe(self, now: float) -> dict[str, object]:
        """Return the evidence behind the current standing."""
        return {
            "score": round(self.cusum.level, 2),
            "failed_in_run": self.cusum.run_failed,
            "ok_in_run": self.cusum.run_ok,
            "sick": self.failing,
            "denied": self.denied,
            "ejected_for_s": round(max(0.0, self.ejected_until - now), 3),
            "hold_off_for_s": round(max(0.0, self.holdoff.until - now), 3),
        }


def compute_slow_start_fraction(
    states: Iterable[UpstreamState], permit_count: int, now: float
) -> float:
    """Return the fraction of the slow starts' reduction to apply.

    Slow start may withhold only the capacity that the ejection budget has
    left. Otherwise the slow starts after a restart of all upstreams would
    take the service far below its floor.
    """
    missing = 0.0
    ejected = 0
    for state in states:
        if state.was_ejected:
            ejected += 1
        else:
            missing += 1.0 - state.holdoff.get_weight(now)
    return (
        min(1.0, max(0, permit_count - ejected) / missing) if missing else 1.0
    )


def estimate_others_rate(
    state: UpstreamState,
    states: Mapping[str, UpstreamState],
    permit_count: int,
) -> float:
    """Return the failure rate of the other upstreams since the run began.

    The upstreams with the most failures are excluded, as many as may be
    ejected besides this one, so that several failing upstreams do not mask
    each other.
    """
    found: list[tuple[int, int]] = []
    for upstream_id, (total, failures) in state.cusum.others_at_start.items():
        other = states.get(upstream_id)
        if other is not None:
            found.append(
                (other.cusum.failures - failures, other.cusum.total - total)
            )
    found.sort(reverse=True)
    rest = found[max(0, permit_count - 1) :]
    return scores.bound_failure_rate(
        sum(f for f, _ in rest), sum(t for _, t in rest)
    )
