"""Allocator's record of each member of an owner group."""

from collections.abc import Sequence

import attrs

CONFIRMATION_TIMEOUT_S = 2.25
"""Age of the last confirmed grant at which a static share is reserved.

Without changes, a grant is confirmed by the demand one second later, so the
age reaches 2 s in normal operation.
"""

ABSENCE_TIMEOUT_S = 10.0
"""Silence after which the static share of a member is lent to the others.

The list of instances may be minutes behind a crash. Crashes are far more
frequent than partitions of this length in which the member still has clients.
"""


@attrs.define(kw_only=True, eq=False)
class PendingGrant:
    """A grant that is neither confirmed nor expired."""

    slots: dict[str, int]
    demand_at: float


@attrs.define(kw_only=True, eq=False)
class GroupMember:
    """Demand and grants of one member."""

    static_share: dict[str, int]
    known_since: float
    demand: Sequence[int] = ()
    held: dict[str, int] = attrs.field(factory=dict)
    demand_number: int = 0
    demand_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    pending_grants: dict[int, PendingGrant] = attrs.field(factory=dict)
    last_grant_at: float = float("-inf")
    last_grant: dict[str, int] | None = None
    grant_due: bool = False

    def count_committed(
        self, upstream_id: str, now: float, *, may_lend: bool
    ) -> int:
        """Return the slots that the member may use or still uses.

        With ``may_lend``, the static share of an absent member is excluded.
        """
        values = [
            item.slots.get(upstream_id, 0)
            for item in self.pending_grants.values()
        ]
        if now < self.demand_at + CONFIRMATION_TIMEOUT_S:
            values.append(self.held.get(upstream_id, 0))
        lent = may_lend and self.is_absent(now)
        if not self.is_confirmed(now) and not lent:
            values.append(self.static_share.get(upstream_id, 0))
        return max(values, default=0)

    def is_confirmed(self, now: float) -> bool:
        """Return whether the member is known to apply its grants."""
        return now < self.confirmed_at + CONFIRMATION_TIMEOUT_S

    def is_absent(self, now: float) -> bool:
        """Return whether no demand arrived for ``ABSENCE_TIMEOUT_S``."""
        return now >= max(self.known_since, self.demand_at) + ABSENCE_TIMEOUT_S

    def has_recent_demand(self, now: float) -> bool:
        """Return whether a demand arrived within ``CONFIRMATION_TIMEOUT_S``.

        A member whose last demand is older, but not yet by
        ``ABSENCE_TIMEOUT_S``, is neither planned for nor absent.
        """
        return now < self.demand_at + CONFIRMATION_TIMEOUT_S
