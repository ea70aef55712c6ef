"""What the allocator of a service knows about each member."""

from collections.abc import Sequence

import attrs

MISSING_S = 2.25
"""Age of the last confirmed grant at which a static share is reserved.

Without change a grant is confirmed by the demand a second later, so the age
reaches 2 s in regular operation.
"""

RESERVE_S = 10.0
"""Silence after which the static share of a member is lent to the others.

The list of instances may lag for minutes behind a crash, which is far more
frequent than a member that is cut off for this long and still has clients.
"""


@attrs.define(kw_only=True, eq=False)
class SentGrant:
    """A grant that was sent and not yet confirmed or expired."""

    slots: dict[str, int]
    asked_at: float


@attrs.define(kw_only=True, eq=False)
class GroupMember:
    """What the allocator knows about a member."""

    static: dict[str, int]
    known_since: float
    demand: Sequence[int] = ()
    held: dict[str, int] = attrs.field(factory=dict)
    asked: int = 0
    asked_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    sent: dict[int, SentGrant] = attrs.field(factory=dict)
    sent_at: float = float("-inf")
    granted: dict[str, int] | None = None
    owed: bool = False

    def count_committed(
        self, upstream_id: str, now: float, *, lend: bool
    ) -> int:
        """Return the slots that the member may use or be using.

        With ``lend`` the static share of an absent member is free.
        """
        values = [
            item.slots.get(upstream_id, 0) for item in self.sent.values()
        ]
        if now < self.asked_at + MISSING_S:
            values.append(self.held.get(upstream_id, 0))
        lent = lend and self.is_absent(now)
        if not self.is_confirmed(now) and not lent:
            values.append(self.static.get(upstream_id, 0))
        return max(values, default=0)

    def is_confirmed(self, now: float) -> bool:
        """Tell whether the member applies the grants sent to it."""
        return now < self.confirmed_at + MISSING_S

    def is_absent(self, now: float) -> bool:
        """Tell whether the member was silent for long."""
        return now >= max(self.known_since, self.asked_at) + RESERVE_S

    def is_present(self, now: float) -> bool:
        """Tell whether the member asks."""
        return now < self.asked_at + MISSING_S
