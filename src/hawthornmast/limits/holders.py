"""Members that hold a part of every allowance themselves."""

import attrs

RESERVE_FRACTION = 0.05
"""Fraction of its zone's share that a representative keeps for itself without
a majority of its zone."""


@attrs.frozen(kw_only=True)
class HolderPosition:
    """What entitles a member to a share of its own.

    Parameters
    ----------
    zones
        Number of zones of the deployment, with or without live members.
    is_representative
        Whether this member is the representative of its zone.
    in_contact, known
        Number of the zone's ready members, including this one, that it is in
        contact with, and that it has known in the last minute.
    holders
        Representatives of the zones, without this member.
    """

    zones: int = 1
    is_representative: bool = False
    in_contact: int = 1
    known: int = 1
    holders: tuple[str, ...] = ()

    @property
    def has_majority(self) -> bool:
        """Whether at least half of the zone's members are in contact."""
        return 2 * self.in_contact >= self.known

    @property
    def own_share(self) -> float:
        """Share of every allowance to which the member is entitled.

        With exactly half of the zone's members in contact it is half of the
        zone's share, since the other half may hold the rest.
        """
        if not self.is_representative:
            return 0.0
        zone_share = 1.0 / self.zones
        if not self.has_majority:
            return zone_share * RESERVE_FRACTION
        if 2 * self.in_contact == self.known:
            return zone_share / 2
        return zone_share
