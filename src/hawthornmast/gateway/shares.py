"""Division of fleet-wide allowances among the members.

Each member takes its share from its own view of the fleet, without messages.
"""

import attrs

from hawthornmast.gateway.options import Bounds

ADVERTISED_SLACK_FRACTION = 0.45
"""Fraction of the retry slack that is divided among the advertised members.
The same fraction is reserved for the members that take over from them."""

UNADVERTISED_SLACK_FRACTION = 0.1
"""Fraction of the retry slack that is divided among all other members."""

INITIAL_SLACK_FRACTION = 0.3
"""Fraction of its own slack that a member has when it starts."""

ADVERTISED_RATE_FRACTION = 0.9
"""Fraction of the rate that an upstream takes that is divided among the
advertised members; the rest is divided among all other members."""


@attrs.frozen(kw_only=True)
class FleetPosition:
    """Position of a member in its view of the fleet.

    Parameters
    ----------
    advertised_count
        Number of advertised members.
    is_advertised
        Whether this member is one of them.
    zones
        Number of zones with live members.
    live_in_zone
        Number of live members in this member's zone.
    """

    advertised_count: int
    is_advertised: bool
    zones: int
    live_in_zone: int

    def divide(self, *, advertised: float, others: float) -> float:
        """Return this member's part of an allowance.

        Parameters
        ----------
        advertised
            Part of the allowance that the advertised members divide.
        others
            Part of the allowance that all other members divide.
        """
        if self.is_advertised:
            return advertised / max(1, self.advertised_count)
        return others / (max(1, self.zones) * max(1, self.live_in_zone))


def compute_retry_slack(
    bounds: Bounds, position: FleetPosition, *, uptime_s: float
) -> float:
    """Return the share of the fleet's retry slack for one member.

    The share grows during the first window after the start, because the
    previous process may just have spent it.

    Parameters
    ----------
    bounds
        Limits that the operators set.
    position
        Position of this member in the fleet.
    uptime_s
        Seconds since this member started.
    """
    slack_share = position.divide(
        advertised=bounds.retry_slack * ADVERTISED_SLACK_FRACTION,
        others=bounds.retry_slack * UNADVERTISED_SLACK_FRACTION,
    )
    # Fraction of the first window that has passed.
    window_fraction = min(1.0, uptime_s / bounds.retry_window_s)
    return slack_share * (
        INITIAL_SLACK_FRACTION
        + (1.0 - INITIAL_SLACK_FRACTION) * window_fraction
    )


def compute_rate_share(position: FleetPosition) -> float:
    """Return the share of an upstream's stated rate for one member."""
    return position.divide(
        advertised=ADVERTISED_RATE_FRACTION,
        others=1.0 - ADVERTISED_RATE_FRACTION,
    )
