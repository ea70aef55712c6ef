"""Ejections that permits and the announcements of other owners allow."""

from collections.abc import Callable
from collections.abc import Mapping
import hashlib
import math
from typing import Any

from hawthornmast.audit import Action
from hawthornmast.audit import AuditTrail
from hawthornmast.health import permits
from hawthornmast.health.messages import Announcement
from hawthornmast.health.messages import HealthReport
from hawthornmast.health.messages import PermitGrant
from hawthornmast.health.messages import PermitRequest
from hawthornmast.health.messages import Stamp
from hawthornmast.health.owners import OwnerGroup
from hawthornmast.health.state import UpstreamState

EJECTION_STAGGER_S = 0.05
"""Delay between the turns of the owners to eject one upstream, so that they
use a single permit for it."""

REQUEST_INTERVAL_S = 0.3
RENEW_BEFORE_S = 2.0
"""Remaining term at which a transferred permit in use is renewed."""


class EjectionBudget:
    """Applies permits of this daemon and announcements of the other owners.

    The members of the group are the owners of the service; a peer or sender
    is another member that a message is sent to or received from.

    Parameters
    ----------
    service
        Name of the service.
    self_id
        Instance id of this daemon.
    incarnation
        Identifier of this run of the daemon.
    post
        Sends a message to a peer; returns whether it was queued.
    reachable
        Returns whether a peer can be reached.
    audit
        Audit trail of automatic actions.
    activation_delay_s
        Delay in seconds before permits of a new group are used.
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
        activation_delay_s: float,
    ) -> None:
        self._service = service
        self._self_id = self_id
        self._incarnation = incarnation
        self._post = post
        self._reachable = reachable
        self._audit = audit
        self._last_request_at = -math.inf
        self._last_renewal_at: dict[int, float] = {}
        self._request_count = 0
        self.permits = permits.PermitTable(
            self_id, activation_delay_s=activation_delay_s
        )
        self.owners = OwnerGroup(self_id, incarnation)

    def update(self, group: tuple[str, ...], allowed: int, now: float) -> None:
        """Set the group and the number of its permits."""
        self.owners.update(self._service, group, allowed)
        self.permits.update(group, allowed, now)

    def accept_report(
        self, report: HealthReport, sender: str, now: float
    ) -> bool:
        """Record a report; return False if it is outdated."""
        if not self.owners.accept(report, sender, now):
            return False
        confirmed_since = self.owners.get_confirmed_since()
        if confirmed_since is not None:
            self.permits.confirm(confirmed_since, now)
        return True

    def reconcile(
        self, states: Mapping[str, UpstreamState], now: float
    ) -> None:
        """Acquire, request, renew and release permits."""
        announced = self.owners.list_announced(now)
        for upstream_id, state in states.items():
            own = self.permits.find_expiry(upstream_id, now)
            if own > now:
                over = state.was_ejected and now >= state.holdoff.until
                if over or self._is_redundant(upstream_id, announced):
                    self.permits.release(upstream_id, now)
            elif state.was_ejected and now < state.holdoff.until:
                # An expired permit must not stay assigned to the upstream.
                self.permits.release(upstream_id, now)
        wanted = [
            s
            for u, s in states.items()
            if s.failing
            and u not in announced
            and self.permits.find_expiry(u, now) <= now
        ]
        for state in wanted:
            self._try_eject(state, states, announced, now)
        self._renew(now)

    def list_deadlines(
        self, states: Mapping[str, UpstreamState], now: float
    ) -> dict[str, float]:
        """Return the time until which each upstream is ejected here."""
        found: dict[str, float] = {}
        for upstream_id in states:
            own = self.permits.find_expiry(upstream_id, now)
            if own > now:
                found[upstream_id] = own
        # The limit preserves the floor of this daemon's own list even if an
        # announcement is based on a list with more upstreams.
        for upstream_id, (deadline, _) in sorted(
            self.owners.list_announced(now).items()
        ):
            if upstream_id in found:
                found[upstream_id] = max(found[upstream_id], deadline)
            elif (
                upstream_id in states
                and len(found) < self.permits.permit_count
            ):
                found[upstream_id] = deadline
        return found

    def list_announcements(self, now: float) -> list[Announcement]:
        """Return the ejections covered by this daemon's permits."""
        return [
            Announcement(
                upstream_id=upstream_id,
                remaining_s=min(permits.ANNOUNCEMENT_TERM_S, deadline - now),
            )
            for upstream_id, deadline in self.permits.list_used(now)
        ]

    def is_active(self, now: float) -> bool:
        """Return whether any ejection is in force or announced."""
        return bool(
            self.permits.list_used(now) or self.owners.list_announced(now)
        )

    def find_holder(self, upstream_id: str, now: float) -> str:
        """Return the daemon whose permit covers an upstream, or ''."""
        if self.permits.find_expiry(upstream_id, now) > now:
            return self._self_id
        announced = self.owners.list_announced(now)
        return announced.get(upstream_id, (0.0, ""))[1]

    def handle_request(
        self, request: PermitRequest, sender: str, now: float
    ) -> None:
        """Transfer an unused permit to a member of the same group."""
        if request.group != self.owners.digest:
            return
        if sender not in self.owners.others:
            return
        index, remaining = self.permits.transfer(sender, request.index, now)
        if index < 0:
            return
        # The permit is blocked before the grant is sent, so a dropped grant
        # wastes the permit for its term but never lets two daemons use it.
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
            self._append(Action.PERMIT_GRANTED, f"index={index}", peer=sender)

    def handle_grant(self, grant: PermitGrant, now: float) -> bool:
        """Record a transferred permit; return whether it was accepted."""
        asked = self.owners.resolve_echo(grant.echo, now)
        if asked is None or grant.group != self.owners.digest:
            return False
        if not 0 <= grant.index < self.permits.permit_count:
            return False
        # The term runs from the request, which was sent before the grant was
        # made, so it ends no later here than on the sender.
        expires_at = asked + grant.remaining_s
        self.permits.receive_transfer(grant.index, expires_at, now)
        return True

    def _try_eject(
        self,
        state: UpstreamState,
        states: Mapping[str, UpstreamState],
        announced: Mapping[str, tuple[float, str]],
        now: float,
    ) -> None:
        upstream_id = state.upstream_id
        unavailable = {u for u in announced if u in states}
        unavailable.update(u for u, _ in self.permits.list_used(now))
        unavailable.update(u for u, s in states.items() if s.failing)
        if len(unavailable) > self.permits.permit_count:
            if not state.denied:
                state.denied = True
                evidence = (
                    f"failed={len(unavailable)} "
                    f"allowed={self.permits.permit_count}"
                )
                self._append(Action.EJECT_DENIED, evidence, peer=upstream_id)
            return
        state.denied = False
        turn = self._compute_turn(upstream_id)
        if now < state.failing_since + turn * EJECTION_STAGGER_S:
            return
        if not self.permits.acquire(upstream_id, now):
            self._request_permit(-1, now)

    def _compute_turn(self, upstream_id: str) -> int:
        order = self._rank_holders(upstream_id)
        if self._self_id in order:
            return order.index(self._self_id)
        return len(order)

    def _rank_holders(self, upstream_id: str) -> list[str]:
        members = self.owners.members
        holders = list(members[: min(self.permits.permit_count, len(members))])
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

    def _request_permit(self, index: int, now: float) -> None:
        others = [m for m in self.owners.others if self._reachable(m)]
        if not others or now < self._last_request_at + REQUEST_INTERVAL_S:
            return
        self._last_request_at = now
        self._request_count += 1
        peer = others[self._request_count % len(others)]
        self._send_request(peer, index, now)

    def _renew(self, now: float) -> None:
        for index, upstream_id, expires_at in self.permits.list_received(now):
            if not upstream_id or expires_at - now >= RENEW_BEFORE_S:
                continue
            # A new grant may itself have little time left. Without a minimum
            # interval, each grant would cause another request at once.
            if (
                now
                >= self._last_renewal_at.get(index, -math.inf)
                + REQUEST_INTERVAL_S
            ):
                self._last_renewal_at[index] = now
                self._send_request(
                    self.permits.get_native_owner(index), index, now
                )

    def _send_request(self, peer: str, index: int, now: float) -> None:
        self._post(
            peer,
            PermitRequest(
                service=self._service,
                stamp=Stamp(incarnation=self._incarnation, time=now),
                group=self.owners.digest,
                index=index,
            ),
        )

    def _append(self, act: Action, evidence: str, *, peer: str) -> None:
        self._audit.append(
            act,
            service=self._service,
            limit=f"permits={self.permits.permit_count}",
            evidence=evidence,
            step="permits",
            peer=peer,
        )
