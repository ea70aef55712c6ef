"""Slots of this daemon by demand of the owner group, with terms.

While one view of list and group holds everywhere, slots that the allocator
commits to members never exceed those of an upstream: a slot moves only after
its former holder reported that it neither may use nor uses it. A member that
the allocator can't confirm keeps its static share reserved for ``RESERVE_S``,
so it may return to that share without asking.

An upstream may be offered more than its slots in these cases:

- A member restarts under its old identifier: by at most its static share,
  until its first demand arrives. When it is the allocator, by at most the
  static shares of the group, until each member asked again or its term ended.
- Views differ: by at most the slots of one other view, until the lists agree.
- A member lost the allocator while others ran requests on its static share:
  by those requests, until they finish.
- A minority of the members stays cut off, or is paused, for longer than
  ``RESERVE_S``: by their static shares, until the allocator hears of them and
  one term has passed.
- The allocator changed and the old one still serves a part of the group: by
  at most the static shares of the other part, until the old one misses them,
  at most ``TERM_S`` plus ``MISSING_S`` after the cut.

An unconfirmed member's static share is idle until ``RESERVE_S`` has passed,
and for as long as the list holds it where no majority is left.
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
from hawthornmast.limits.division import Shares
from hawthornmast.limits.members import GroupMember
from hawthornmast.limits.members import MISSING_S
from hawthornmast.limits.members import SentGrant
from hawthornmast.limits.messages import SlotDemand
from hawthornmast.limits.messages import SlotGrant
from hawthornmast.limits.planning import plan_grants

TERM_S = 2.0
"""Validity of a grant by the member's clock, from the time it asked."""

BUSY_S = 0.25
"""Least time between two messages of one member under change."""

IDLE_S = 1.0
"""Time between two demands without change."""

_REGROW_S = 1.0
"""Time after the term before a member regrows to its static share.

The allocator reserves the share within ``MISSING_S`` and needs a tick and a
message to take it back from the others.
"""


_PLAN_S = 0.05
"""Least time between two plans; one for 16 members takes about 0.4 ms."""


class SlotAllocator:
    """Keeps the slots of one service that this daemon may use.

    Parameters
    ----------
    service
        Service whose slots are divided.
    self_id
        Instance identifier of this daemon.
    clock
        Monotonic time in seconds.
    random
        Source of the first grant number.
    post
        Sends a message to an instance; False when it can't be sent.
    reachable
        Tells whether an instance can be reached.
    on_change
        Called with the slots by upstream when they change.
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
        # A random start keeps a restarted allocator's grants apart from
        # those of its former incarnation.
        self._grants = random.getrandbits(48)
        self._view = ""
        self._group: list[str] = []
        self._slots: dict[str, int] = {}
        self._static: Shares = {}
        self._allowed: dict[str, int] = {}
        self._asks: dict[int, tuple[float, str]] = {}
        self._asked = 0
        self._asked_at = float("-inf")
        self._last_ask: tuple[object, ...] = ()
        self._grant: SlotGrant | None = None
        self._grant_from = ""
        self._expires = float("inf")
        self._regrows = float("inf")
        self._peers: dict[str, GroupMember] = {}
        self._allocating_since: float | None = None
        self._planned_at = float("-inf")

    @property
    def allowed(self) -> dict[str, int]:
        """Slots by upstream that this daemon may use now."""
        self.check_term()
        return dict(self._allowed)

    def update(
        self, upstreams: Iterable[Upstream], group: Iterable[str]
    ) -> None:
        """Divide anew when the upstreams or the group changed."""
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
        self._asks.clear()
        self._grant = None
        self._expires = self._regrows = float("inf")
        self._asked_at = float("-inf")
        self._peers = {
            name: GroupMember(
                static=self._static[name], known_since=self._clock()
            )
            for name in members
        }
        self._allocating_since = None
        self._apply(self._static.get(self._self_id, {}))

    def check_term(self) -> None:
        """Apply the end of a grant's term; cheap, for use before each take.

        A process that was paused calls it before it uses a slot.
        """
        now = self._clock()
        if now < self._expires and now < self._regrows:
            return
        static = self._static.get(self._self_id, {})
        if now >= self._regrows:
            self._expires = self._regrows = float("inf")
            self._apply(static)
            return
        self._grant = None
        self._expires = float("inf")
        self._apply(
            {
                key: min(slots, static.get(key, 0))
                for key, slots in self._allowed.items()
            }
        )

    def tick(self) -> None:
        """Send what is due; call at least every 100 ms."""
        self.check_term()
        if self._self_id not in self._group:
            return
        target = self._find_allocator()
        if target != self._self_id:
            self._allocating_since = None
        elif self._allocating_since is None:
            self._allocating_since = self._clock()
            self._peers = {
                name: GroupMember(
                    static=self._static[name], known_since=self._clock()
                )
                for name in self._group
            }
        self._ask(target)
        self._send_grants()

    @functools.singledispatchmethod
    def handle(self, message: object, sender: str) -> None:
        """Take a message of another member."""
        raise TypeError(
            f"message must be SlotDemand or SlotGrant, got {type(message)}"
        )

    @handle.register
    def _handle_demand(self, message: SlotDemand, sender: str) -> None:
        peer = self._peers.get(sender)
        if (
            self._allocating_since is None
            or peer is None
            or message.view != self._view
            or message.service != self._service.name
        ):
            return
        now = self._clock()
        if message.number <= peer.asked:
            # A restarted member counts anew, uses its static share and has
            # no grants; grants on their way to it still count.
            peer.confirmed_at = float("-inf")
            peer.granted = None
        peer.demand = [max(0, count) for count in message.demand]
        peer.held = dict(zip(message.upstreams, message.held, strict=False))
        peer.asked, peer.asked_at = message.number, now
        applied = peer.sent.get(message.applied)
        if applied is not None:
            peer.confirmed_at = max(peer.confirmed_at, applied.asked_at)
            # Kept in order of sending, so earlier ones are superseded.
            for number in list(peer.sent):
                if number == message.applied:
                    break
                del peer.sent[number]
        peer.owed = True

    @handle.register
    def _handle_grant(self, message: SlotGrant, sender: str) -> None:
        asked = self._asks.get(message.asked)
        if message.view != self._view or asked is None or asked[1] != sender:
            return
        now = self._clock()
        last = self._grant
        if now >= asked[0] + TERM_S or (
            last is not None
            and self._grant_from == sender
            and (message.asked, message.number) <= (last.asked, last.number)
        ):
            return
        self._grant, self._grant_from = message, sender
        self._expires = asked[0] + TERM_S
        self._regrows = self._expires + _REGROW_S
        self._apply(
            {
                key: min(max(0, slots), self._slots[key])
                for key, slots in zip(
                    message.upstreams, message.slots, strict=False
                )
                if key in self._slots
            }
        )

    def _find_allocator(self) -> str:
        for name in self._group:
            if name == self._self_id or self._reachable(name):
                return name
        return self._self_id

    def _apply(self, allowed: Mapping[str, int]) -> None:
        kept = {key: slots for key, slots in allowed.items() if slots}
        if kept != self._allowed:
            self._allowed = kept
            self._on_change(dict(kept))

    def _ask(self, target: str) -> None:
        now = self._clock()
        if now < self._asked_at + BUSY_S - 1e-9:
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
        if change == self._last_ask and now < self._asked_at + IDLE_S - 1e-9:
            return
        self._last_ask = change
        self._asked += 1
        self._asked_at = now
        self._asks[self._asked] = (now, target)
        for number in list(self._asks):
            if self._asks[number][0] + TERM_S > now:
                break
            del self._asks[number]
        self._deliver(
            target,
            SlotDemand(
                service=self._service.name,
                view=self._view,
                number=self._asked,
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
        if now < self._planned_at + _PLAN_S - 1e-9:
            return
        self._planned_at = now
        if now < since + TERM_S:
            # A new allocator lends nothing for a term. Grants of the static
            # shares confirm the members by the end of it.
            plan = {
                name: dict(peer.static)
                for name, peer in self._peers.items()
                if peer.is_present(now)
            }
        else:
            plan = self._plan(now)
        for name, slots in plan.items():
            peer = self._peers[name]
            if now < peer.sent_at + BUSY_S - 1e-9:
                continue
            grant = self._limit(peer, slots, now)
            if not peer.owed and grant == peer.granted:
                continue
            self._grants += 1
            peer.sent[self._grants] = SentGrant(
                slots=grant, asked_at=peer.asked_at
            )
            peer.sent_at, peer.granted, peer.owed = now, grant, False
            self._deliver(
                name,
                SlotGrant(
                    service=self._service.name,
                    view=self._view,
                    number=self._grants,
                    asked=peer.asked,
                    upstreams=list(grant),
                    slots=list(grant.values()),
                ),
            )

    def _plan(self, now: float) -> Shares:
        """Return the grants to aim at for the members that ask."""
        lend = self._may_lend(now)
        reserved = dict.fromkeys(self._slots, 0)
        current: Shares = {}
        demand: dict[str, Sequence[int]] = {}
        for name, peer in self._peers.items():
            for number, item in list(peer.sent.items()):
                # The member's term started before its demand arrived.
                if now >= item.asked_at + MISSING_S:
                    del peer.sent[number]
            if peer.is_confirmed(now) and peer.is_present(now):
                current[name] = (
                    peer.granted if peer.granted is not None else peer.static
                )
                demand[name] = peer.demand
                continue
            for key in reserved:
                reserved[key] += peer.count_committed(key, now, lend=lend)
        plan = plan_grants(self._slots, reserved, current, demand)
        for name, peer in self._peers.items():
            if name not in plan and peer.is_present(now):
                # Its first grant, or grants that don't reach it.
                plan[name] = dict(peer.static)
        return plan

    def _may_lend(self, now: float) -> bool:
        """Tell whether shares of absent members may be lent.

        Of two parts of a group that is cut only one has the majority, or
        half of the members with the first one.
        """
        present = sum(peer.is_present(now) for peer in self._peers.values())
        size = len(self._group)
        if 2 * present == size:
            return self._peers[self._group[0]].is_present(now)
        return 2 * present > size

    def _limit(
        self, peer: GroupMember, aim: Mapping[str, int], now: float
    ) -> dict[str, int]:
        """Reduce a planned grant to the slots that no other may use."""
        lend = self._may_lend(now)
        limited = {}
        for key, slots in self._slots.items():
            others = sum(
                item.count_committed(key, now, lend=lend)
                for item in self._peers.values()
                if item is not peer
            )
            limited[key] = max(0, min(aim.get(key, 0), slots - others))
        return limited
