"""Allocation of upstream slots to the members of an owner group.

The allocator grants slots for a limited term.

As long as all members have the same view of the upstreams and the group, the
slots that the allocator commits to members never exceed those of an upstream:
a slot is moved only after its holder has reported that it neither may use nor
uses it. The static share of a member that the allocator can't confirm stays
reserved for ``ABSENCE_TIMEOUT_S``, so the member may fall back to this share
without a grant.

An upstream may receive more requests than it has slots in these cases:

- A member restarts under the same identifier: by at most its static share,
  until its first demand arrives. If it is the allocator, by at most the static
  shares of the group, until each member has sent a demand or its term ended.
- Members have different views of the upstreams or the group: by at most the
  slots that one other view allows, until the lists agree.
- A member loses contact with the allocator and returns to its static share
  while other members still run requests on slots of that share: by those
  requests, until they finish.
- A minority of the members is partitioned or paused for longer than
  ``ABSENCE_TIMEOUT_S``: by their static shares, until the allocator receives
  their demands and one term has passed.
- The allocator changed and the old one still serves part of the group: by at
  most the static shares of the other part, until the old one detects their
  absence, at most ``GRANT_TERM_S`` plus ``CONFIRMATION_TIMEOUT_S`` after the
  partition.

The static share of an unconfirmed member is idle until ``ABSENCE_TIMEOUT_S``
has passed or, where no majority is left, for as long as the member is listed.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import hashlib
import random as random_module

from hawthornmast.catalogue import Service
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.limits.division import divide_statically
from hawthornmast.limits.division import order_group
from hawthornmast.limits.division import SlotsByMember
from hawthornmast.limits.members import CONFIRMATION_TIMEOUT_S
from hawthornmast.limits.members import GroupMember
from hawthornmast.limits.members import PendingGrant
from hawthornmast.limits.messages import SlotDemand
from hawthornmast.limits.messages import SlotGrant
from hawthornmast.limits.planning import plan_grants

GRANT_TERM_S = 2.0
"""Validity of a grant by the member's clock, from the time of its demand."""

MIN_MESSAGE_INTERVAL_S = 0.25
"""Minimum interval between two messages to or from one member."""

IDLE_DEMAND_INTERVAL_S = 1.0
"""Interval between two demands without changes."""

_STATIC_SHARE_DELAY_S = 1.0
"""Delay after a term before a member returns to its full static share.

The allocator reserves the share within ``CONFIRMATION_TIMEOUT_S`` and needs a
tick and a message to reclaim it from other members.
"""


_MIN_PLAN_INTERVAL_S = 0.05
"""Minimum interval between plans; one for 16 members takes about 0.4 ms."""


class SlotAllocator:
    """Determines the slots of one service that this daemon may use.

    Every member has a ``SlotAllocator``. It requests slots from the allocator
    of the owner group, which is the one of the first reachable member, and
    acts as that allocator if this daemon is the first reachable member.

    Parameters
    ----------
    service
        Service whose slots are divided.
    self_id
        Instance identifier of this daemon.
    clock
        Monotonic time in seconds.
    random
        Random number generator for the first grant number.
    post
        Sends a message to an instance; returns False if it can't be sent.
    reachable
        Returns whether an instance can be reached.
    on_change
        Called with the allowed slots by upstream when they change.
    demand
        Returns running and waiting requests, most urgent rank first.
    in_use
        Returns the slots in use by upstream.
    """

    def __init__(
        self,
        service: Service,
        *,
        self_id: str,
        clock: Callable[[], float],
        random: random_module.Random,
        post: Callable[[str, object], bool],
        reachable: Callable[[str], bool],
        on_change: Callable[[dict[str, int]], None],
        demand: Callable[[], Sequence[int]],
        in_use: Callable[[], Mapping[str, int]],
    ) -> None:
        self._service = service
        self._self_id = self_id
        self._clock = clock
        self._post = post
        self._reachable = reachable
        self._on_change = on_change
        self._demand = demand
        self._in_use = in_use
        # A random start distinguishes the grants of a restarted allocator
        # from those of its previous incarnation.
        self._grant_count = random.getrandbits(48)
        self._view = ""
        self._group: list[str] = []
        self._slots: dict[str, int] = {}
        self._static: SlotsByMember = {}
        self._allowed: dict[str, int] = {}
        self._pending_demands: dict[int, tuple[float, str]] = {}
        self._demand_count = 0
        self._last_demand_at = float("-inf")
        self._last_demand: tuple[object, ...] = ()
        self._grant: SlotGrant | None = None
        self._grant_from = ""
        self._expires_at = float("inf")
        self._static_share_at = float("inf")
        # All members of the group, including this daemon.
        self._members: dict[str, GroupMember] = {}
        self._allocating_since: float | None = None
        self._planned_at = float("-inf")

    @property
    def allowed(self) -> dict[str, int]:
        """Slots that this daemon may use now, by upstream."""
        self.check_term()
        return dict(self._allowed)

    def update(
        self, upstreams: Iterable[Upstream], group: Iterable[str]
    ) -> None:
        """Divide the slots again if the upstreams or the group changed."""
        listed = list(upstreams)
        members = order_group(self._service, group)
        slots = {
            item.upstream_id: item.slots
            for item in listed
            if item.state is not State.LEAVING
        }
        text = repr((members, sorted(slots.items()))).encode()
        view = hashlib.blake2b(text, digest_size=8).hexdigest()
        if view == self._view:
            return
        self._view, self._group, self._slots = view, members, slots
        self._static = divide_statically(self._service, listed, members)
        self._pending_demands.clear()
        self._grant = None
        self._expires_at = self._static_share_at = float("inf")
        self._last_demand_at = float("-inf")
        self._members = {
            name: GroupMember(
                static_share=self._static[name], known_since=self._clock()
            )
            for name in members
        }
        self._allocating_since = None
        self._apply(self._static.get(self._self_id, {}))

    def check_term(self) -> None:
        """Drop slots whose term has ended.

        It is cheap enough to call before each use of a slot, so that a
        process that was paused does not use an expired grant.
        """
        now = self._clock()
        if now < self._expires_at and now < self._static_share_at:
            return
        static = self._static.get(self._self_id, {})
        if now >= self._static_share_at:
            self._expires_at = self._static_share_at = float("inf")
            self._apply(static)
            return
        self._grant = None
        self._expires_at = float("inf")
        self._apply(
            {
                key: min(slots, static.get(key, 0))
                for key, slots in self._allowed.items()
            }
        )

    def tick(self) -> None:
        """Send due messages; must be called at least every 100 ms."""
        self.check_term()
        if self._self_id not in self._group:
            return
        target = self._select_allocator()
        if target != self._self_id:
            self._allocating_since = None
        elif self._allocating_since is None:
            self._allocating_since = self._clock()
            self._members = {
                name: GroupMember(
                    static_share=self._static[name], known_since=self._clock()
                )
                for name in self._group
            }
        self._send_demand(target)
        self._send_grants()

    @functools.singledispatchmethod
    def handle(self, message: object, sender: str) -> None:
        """Handle a message from another member."""
        raise TypeError(
            f"message must be SlotDemand or SlotGrant, got {type(message)}"
        )

    @handle.register
    def _handle_demand(self, message: SlotDemand, sender: str) -> None:
        member = self._members.get(sender)
        if (
            self._allocating_since is None
            or member is None
            or message.view != self._view
            or message.service != self._service.name
        ):
            return
        now = self._clock()
        if message.number <= member.demand_number:
            # A restarted member restarts its numbers, uses its static share
            # and has no grants. Grants in transit to it still count.
            member.confirmed_at = float("-inf")
            member.last_grant = None
        member.demand = [max(0, count) for count in message.demand]
        member.held = dict(zip(message.upstreams, message.held, strict=False))
        member.demand_number, member.demand_at = message.number, now
        applied = member.pending_grants.get(message.applied)
        if applied is not None:
            member.confirmed_at = max(member.confirmed_at, applied.demand_at)
            # Grants are kept in sending order; earlier ones are superseded.
            for number in list(member.pending_grants):
                if number == message.applied:
                    break
                del member.pending_grants[number]
        member.grant_due = True

    @handle.register
    def _handle_grant(self, message: SlotGrant, sender: str) -> None:
        # Time and recipient of the demand.
        pending_demand = self._pending_demands.get(message.asked)
        if (
            message.view != self._view
            or pending_demand is None
            or pending_demand[1] != sender
        ):
            return
        now = self._clock()
        last = self._grant
        if now >= pending_demand[0] + GRANT_TERM_S or (
            last is not None
            and self._grant_from == sender
            and (message.asked, message.number) <= (last.asked, last.number)
        ):
            return
        self._grant, self._grant_from = message, sender
        self._expires_at = pending_demand[0] + GRANT_TERM_S
        self._static_share_at = self._expires_at + _STATIC_SHARE_DELAY_S
        self._apply(
            {
                key: min(max(0, slots), self._slots[key])
                for key, slots in zip(
                    message.upstreams, message.slots, strict=False
                )
                if key in self._slots
            }
        )

    def _select_allocator(self) -> str:
        for name in self._group:
            if name == self._self_id or self._reachable(name):
                return name
        return self._self_id

    def _apply(self, allowed: Mapping[str, int]) -> None:
        kept = {key: slots for key, slots in allowed.items() if slots}
        if kept != self._allowed:
            self._allowed = kept
            self._on_change(dict(kept))

    def _send_demand(self, target: str) -> None:
        now = self._clock()
        # The tolerance, here and below, keeps a tick from missing its
        # interval by a rounding error of the clock.
        if now < self._last_demand_at + MIN_MESSAGE_INTERVAL_S - 1e-9:
            return
        in_use = self._in_use()
        held = {
            key: max(self._allowed.get(key, 0), in_use.get(key, 0))
            for key in self._slots
        }
        applied = 0
        if self._grant is not None and self._grant_from == target:
            applied = self._grant.number
        demand = list(self._demand())
        change = (target, demand, held, self._grant and self._grant.slots)
        if (
            change == self._last_demand
            and now < self._last_demand_at + IDLE_DEMAND_INTERVAL_S - 1e-9
        ):
            return
        self._last_demand = change
        self._demand_count += 1
        self._last_demand_at = now
        self._pending_demands[self._demand_count] = (now, target)
        for number in list(self._pending_demands):
            if self._pending_demands[number][0] + GRANT_TERM_S > now:
                break
            del self._pending_demands[number]
        self._deliver(
            target,
            SlotDemand(
                service=self._service.name,
                view=self._view,
                number=self._demand_count,
                applied=applied,
                demand=demand,
                upstreams=list(held),
                held=list(held.values()),
            ),
        )

    def _deliver(self, target: str, message: object) -> None:
        if target == self._self_id:
            self.handle(message, self._self_id)
        else:
            self._post(target, message)

    def _send_grants(self) -> None:
        now = self._clock()
        since = self._allocating_since
        if since is None:
            return
        if now < self._planned_at + _MIN_PLAN_INTERVAL_S - 1e-9:
            return
        self._planned_at = now
        if now < since + GRANT_TERM_S:
            # A new allocator only grants static shares for one term, which
            # confirms the members by its end.
            plan = {
                name: dict(member.static_share)
                for name, member in self._members.items()
                if member.has_recent_demand(now)
            }
        else:
            plan = self._plan_slots(now)
        for name, slots in plan.items():
            member = self._members[name]
            if now < member.last_grant_at + MIN_MESSAGE_INTERVAL_S - 1e-9:
                continue
            grant = self._limit_grant(member, slots, now)
            if not member.grant_due and grant == member.last_grant:
                continue
            self._grant_count += 1
            member.pending_grants[self._grant_count] = PendingGrant(
                slots=grant, demand_at=member.demand_at
            )
            member.last_grant_at, member.last_grant, member.grant_due = (
                now,
                grant,
                False,
            )
            self._deliver(
                name,
                SlotGrant(
                    service=self._service.name,
                    view=self._view,
                    number=self._grant_count,
                    asked=member.demand_number,
                    upstreams=list(grant),
                    slots=list(grant.values()),
                ),
            )

    def _plan_slots(self, now: float) -> SlotsByMember:
        """Return the planned slots of the members that send demands."""
        may_lend = self._may_lend(now)
        reserved = dict.fromkeys(self._slots, 0)
        current: SlotsByMember = {}
        demand: dict[str, Sequence[int]] = {}
        for name, member in self._members.items():
            for number, item in list(member.pending_grants.items()):
                # The grant has expired: the member's term started before its
                # demand arrived here.
                if now >= item.demand_at + CONFIRMATION_TIMEOUT_S:
                    del member.pending_grants[number]
            if member.is_confirmed(now) and member.has_recent_demand(now):
                current[name] = (
                    member.last_grant
                    if member.last_grant is not None
                    else member.static_share
                )
                demand[name] = member.demand
                continue
            for key in reserved:
                reserved[key] += member.count_committed(
                    key, now, may_lend=may_lend
                )
        plan = plan_grants(self._slots, reserved, current, demand)
        for name, member in self._members.items():
            if name not in plan and member.has_recent_demand(now):
                # The member has had no grant yet, or grants don't reach it.
                plan[name] = dict(member.static_share)
        return plan

    def _may_lend(self, now: float) -> bool:
        """Return whether the shares of absent members may be lent.

        Of two partitions of a group, only one has a majority, or half of the
        members including the first one.
        """
        present = sum(
            member.has_recent_demand(now) for member in self._members.values()
        )
        size = len(self._group)
        if 2 * present == size:
            return self._members[self._group[0]].has_recent_demand(now)
        return 2 * present > size

    def _limit_grant(
        self, member: GroupMember, planned: Mapping[str, int], now: float
    ) -> dict[str, int]:
        """Limit a planned grant to slots not committed to other members."""
        may_lend = self._may_lend(now)
        limited = {}
        for key, slots in self._slots.items():
            others = sum(
                item.count_committed(key, now, may_lend=may_lend)
                for item in self._members.values()
                if item is not member
            )
            limited[key] = max(0, min(planned.get(key, 0), slots - others))
        return limited
