"""Which upstreams this daemon may eject, by permits and announcements."""

from collections.abc import Callable
from collections.abc import Mapping
import hashlib
import math
from typing import Any

from hawthornmast.audit import Act
from hawthornmast.audit import AuditTrail
from hawthornmast.health import permits
from hawthornmast.health.messages import Announcement
from hawthornmast.health.messages import HealthReport
from hawthornmast.health.messages import PermitGrant
from hawthornmast.health.messages import PermitRequest
from hawthornmast.health.messages import Stamp
from hawthornmast.health.owners import OwnerGroup
from hawthornmast.health.state import UpstreamState

STAGGER_S = 0.05
"""Owners eject in turn, so that one upstream takes one permit."""

ASK_S = 0.3
RENEW_S = 2.0
"""Received permits are extended when less than this remains."""


class EjectionBudget:
    """Permits of this daemon and ejections of the other owners.

    Parameters
    ----------
    service
        Name of the service.
    self_id
        Instance id of this daemon.
    incarnation
        Number of this process.
    post
        Function that sends a message and returns whether it was queued.
    reachable
        Function that tells whether a daemon can be asked.
    audit
        Trail of automatic acts.
    hold_s
        Seconds before permits of a new group are used.
    """

    def __init__(
        self,
        service: str,
        *,
        self_id: str,
        incarnation: int,
        post: Callable[[str, Any], bool],
        reachable: Callable[[str], bool],
        audit: AuditTrail,
        hold_s: float,
    ) -> None:
        self._service = service
        self._self_id = self_id
        self._incarnation = incarnation
        self._post = post
        self._reachable = reachable
        self._audit = audit
        self._asked_at = -math.inf
        self._renewed: dict[int, float] = {}
        self._asked = 0
        self.permits = permits.PermitBook(self_id, hold_s=hold_s)
        self.owners = OwnerGroup(self_id, incarnation)

    def update(self, group: tuple[str, ...], allowed: int, now: float) -> None:
        """Take over a group and a number of permits."""
        self.owners.update(self._service, group, allowed)
        self.permits.update(group, allowed, now)

    def accept_report(
        self, report: HealthReport, sender: str, now: float
    ) -> bool:
        """Record a report; return False when it is outdated."""
        if not self.owners.accept(report, sender, now):
            return False
        confirmed = self.owners.find_confirmed()
        if confirmed is not None:
            self.permits.confirm(confirmed, now)
        return True

    def settle(self, states: Mapping[str, UpstreamState], now: float) -> None:
        """Take, ask for, renew and release permits."""
        announced = self.owners.list_announced(now)
        for upstream_id, state in states.items():
            own = self.permits.find_deadline(upstream_id, now)
            if own > now:
                over = state.was_ejected and now >= state.holdoff.until
                if over or self._is_redundant(upstream_id, announced):
                    self.permits.release(upstream_id, now)
            elif state.was_ejected and now < state.holdoff.until:
                # A permit that lapsed must not stay bound to the upstream.
                self.permits.release(upstream_id, now)
        wanted = [
            s
            for u, s in states.items()
            if s.sick
            and u not in announced
            and self.permits.find_deadline(u, now) <= now
        ]
        for state in wanted:
            self._try_eject(state, states, announced, now)
        self._renew(now)

    def list_deadlines(
        self, states: Mapping[str, UpstreamState], now: float
    ) -> dict[str, float]:
        """Return until when each upstream is ejected here."""
        found: dict[str, float] = {}
        for upstream_id in states:
            own = self.permits.find_deadline(upstream_id, now)
            if own > now:
                found[upstream_id] = own
        # The cap keeps the floor by this daemon's own list, also when an
        # announcement rests on a list with more upstreams.
        for upstream_id, (deadline, _) in sorted(
            self.owners.list_announced(now).items()
        ):
            if upstream_id in found:
                found[upstream_id] = max(found[upstream_id], deadline)
            elif upstream_id in states and len(found) < self.permits.budget:
                found[upstream_id] = deadline
        return found

    def list_announcements(self, now: float) -> list[Announcement]:
        """Return the ejections that rest on this daemon's permits."""
        return [
            Announcement(
                upstream_id=upstream_id,
                remaining_s=min(permits.FOLLOW_S, deadline - now),
            )
            for upstream_id, deadline in self.permits.list_used(now)
        ]

    def is_active(self, now: float) -> bool:
        """Tell whether ejections are in force or announced."""
        return bool(
            self.permits.list_used(now) or self.owners.list_announced(now)
        )

    def find_holder(self, upstream_id: str, now: float) -> str:
        """Return the daemon whose permit covers an upstream."""
        if self.permits.find_deadline(upstream_id, now) > now:
            return self._self_id
        announced = self.owners.list_announced(now)
        return announced.get(upstream_id, (0.0, ""))[1]

    def answer(self, request: PermitRequest, sender: str, now: float) -> None:
        """Give an unused permit to a member of the same group."""
        if request.group != self.owners.digest:
            return
        if sender not in self.owners.others:
            return
        index, remaining = self.permits.give(sender, request.index, now)
        if index < 0:
            return
        # Given up before it is sent: a lost grant loses the permit for its
        # term and never lets two daemons use it.
        self._post(
            sender,
            PermitGrant(
                service=self._service,
                echo=request.stamp,
                group=request.group,
                index=index,
                remaining_s=remaining,
            ),
        )
        if request.index < 0:
            self._append(Act.PERMIT_GRANTED, f"index={index}", peer=sender)

    def receive(self, grant: PermitGrant, now: float) -> bool:
        """Record a permit that another member gave up."""
        asked = self.owners.read_echo(grant.echo, now)
        if asked is None or grant.group != self.owners.digest:
            return False
        if not 0 <= grant.index < self.permits.budget:
            return False
        # Counted from the request, which was sent before the grant was made.
        expires = asked + grant.remaining_s
        self.permits.receive(grant.index, expires, now)
        return True

    def _try_eject(
        self,
        state: UpstreamState,
        states: Mapping[str, UpstreamState],
        announced: Mapping[str, tuple[float, str]],
        now: float,
    ) -> None:
        upstream_id = state.upstream_id
        lost = {u for u in announced if u in states}
        lost.update(u for u, _ in self.permits.list_used(now))
        lost.update(u for u, s in states.items() if s.sick)
        if len(lost) > self.permits.budget:
            if not state.denied:
                state.denied = True
                evidence = f"failed={len(lost)} allowed={self.permits.budget}"
                self._append(Act.EJECT_DENIED, evidence, peer=upstream_id)
            return
        state.denied = False
        turn = self._find_turn(upstream_id)
        if now < state.sick_since + turn * STAGGER_S:
            return
        if not self.permits.take(upstream_id, now):
            self._ask(-1, now)

    def _find_turn(self, upstream_id: str) -> int:
        order = self._rank_holders(upstream_id)
        if self._self_id in order:
            return order.index(self._self_id)
        return len(order)

    def _rank_holders(self, upstream_id: str) -> list[str]:
        members = self.owners.members
        holders = list(members[: min(self.permits.budget, len(members))])
        if not holders:
            return []
        digest = hashlib.sha256(upstream_id.encode()).digest()
        first = digest[0] % len(holders)
        return holders[first:] + holders[:first]

    def _is_redundant(
        self, upstream_id: str, announced: Mapping[str, tuple[float, str]]
    ) -> bool:
        if upstream_id not in announced:
            return False
        holder = announced[upstream_id][1]
        members = self.owners.members
        if holder not in members or self._self_id not in members:
            return False
        return members.index(holder) < members.index(self._self_id)

    def _ask(self, index: int, now: float) -> None:
        others = [m for m in self.owners.others if self._reachable(m)]
        if not others or now < self._asked_at + ASK_S:
            return
        self._asked_at = now
        self._asked += 1
        peer = others[self._asked % len(others)]
        self._request(peer, index, now)

    def _renew(self, now: float) -> None:
        for index, upstream_id, expires in self.permits.list_borrowed(now):
            if not upstream_id or expires - now >= RENEW_S:
                continue
            # A grant may have little left itself; asking again with each of
            # them would never end.
            if now >= self._renewed.get(index, -math.inf) + ASK_S:
                self._renewed[index] = now
                self._request(self.permits.owner_of(index), index, now)

    def _request(self, peer: str, index: int, now: float) -> None:
        self._post(
            peer,
            PermitRequest(
                service=self._service,
                stamp=Stamp(incarnation=self._incarnation, time=now),
                group=self.owners.digest,
                index=index,
            ),
        )

    def _append(self, act: Act, evidence: str, *, peer: str) -> None:
        self._audit.append(
            act,
            service=self._service,
            limit=f"permits={self.permits.budget}",
            evidence=evidence,
            step="permits",
            peer=peer,
        )
