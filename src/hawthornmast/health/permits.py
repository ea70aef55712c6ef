"""Permits to eject: native ones by position, transferred ones by term."""

import math

import attrs

CONFIRM_S = 5.0
"""Native permits are valid this long after the group was confirmed."""

HOLD_S = 15.0
"""Must exceed twice CONFIRM_S plus the lag of the list, and TRANSFER_S."""

TRANSFER_S = 10.0
FOLLOW_S = 2.0


@attrs.define(kw_only=True)
class _Permit:
    """Use of one permit index by this daemon."""

    usable_from: float = math.inf
    blocked_until: float = -math.inf
    given_to: str = ""
    upstream_id: str = ""
    expires: float = math.inf
    native: bool = True


class PermitBook:
    """Permits that this daemon may use at a given time.

    Permit ``i`` belongs to member ``i`` modulo the size of the group. All
    times are seconds of this daemon's own clock.

    Parameters
    ----------
    self_id
        Instance id of this daemon.
    hold_s
        Seconds before a permit of a new group is used.
    """

    def __init__(self, self_id: str, *, hold_s: float = HOLD_S) -> None:
        self._self_id = self_id
        self._hold_s = hold_s
        self._group: tuple[str, ...] = ()
        self._budget = 0
        self._permits: dict[int, _Permit] = {}
        self._confirmed = -math.inf

    @property
    def budget(self) -> int:
        """Number of permits in the whole group."""
        return self._budget

    @property
    def confirmed_until(self) -> float:
        """Time until which native permits are valid."""
        return self._confirmed + CONFIRM_S

    def update(self, group: tuple[str, ...], budget: int, now: float) -> None:
        """Take over a group and a number of permits."""
        changed = group != self._group
        self._group, self._budget = group, budget
        for index in list(self._permits):
            permit = self._permits[index]
            # A permit beyond the budget keeps its blocking times, in case
            # the budget rises again before they are over.
            if index >= budget and permit.upstream_id:
                self.release(permit.upstream_id, now)
            if changed and (not permit.native or not self._owns(index)):
                del self._permits[index]
        if changed:
            self._permits = {
                i: p for i, p in self._permits.items() if self._owns(i)
            }
        for index in range(budget):
            if self._owns(index) and index not in self._permits:
                # Only a change of the group moves a permit to this daemon; a
                # larger budget creates permits that nobody else can hold.
                # Both wait, since the former incarnation may have used it.
                self._permits[index] = _Permit(usable_from=now + self._hold_s)

    def confirm(self, stamp: float, now: float) -> None:
        """Record that the group was the published one at ``stamp``."""
        if stamp <= self._confirmed:
            return
        if stamp - self._confirmed > CONFIRM_S:
            # Another group may have used the permits in the gap.
            for permit in self._permits.values():
                if permit.native:
                    permit.upstream_id = ""
                    permit.usable_from = now + self._hold_s
        self._confirmed = stamp

    def find_deadline(self, upstream_id: str, now: float) -> float:
        """Return until when a permit covers an upstream, or -inf."""
        latest = -math.inf
        for index, permit in self._permits.items():
            if permit.upstream_id == upstream_id and index < self._budget:
                latest = max(latest, self._get_expiry(permit))
        return latest if latest > now else -math.inf

    def list_used(self, now: float) -> list[tuple[str, float]]:
        """Return the upstreams that valid permits cover, with deadlines."""
        return [
            (permit.upstream_id, self._get_expiry(permit))
            for index, permit in self._permits.items()
            if permit.upstream_id
            and index < self._budget
            and now < self._get_expiry(permit)
        ]

    def take(self, upstream_id: str, now: float) -> bool:
        """Use a free permit for an upstream."""
        for index, permit in self._permits.items():
            if self._is_free(index, permit, now):
                permit.upstream_id = upstream_id
                return True
        return False

    def release(self, upstream_id: str, now: float) -> None:
        """End the use of a permit.

        Other owners may follow the last announcement for FOLLOW_S more.
        """
        for permit in self._permits.values():
            if permit.upstream_id == upstream_id:
                permit.upstream_id = ""
                permit.blocked_until = max(
                    permit.blocked_until, now + FOLLOW_S
                )

    def give(self, peer: str, wanted: int, now: float) -> tuple[int, float]:
        """Give up an unused native permit; return its index and term.

        The index is -1 when there is none. A permit that the same peer holds
        is extended.
        """
        for index, permit in self._permits.items():
            if wanted not in (-1, index) or not permit.native:
                continue
            held = permit.given_to == peer and now < permit.blocked_until
            valid = (
                index < self._budget
                and permit.usable_from <= now < self.confirmed_until
            )
            if (held and wanted == index and valid) or (
                wanted == -1 and self._is_free(index, permit, now)
            ):
                permit.given_to = peer
                # Two terms by this clock outlast one by the peer's clock.
                permit.blocked_until = now + 2 * TRANSFER_S
                return index, min(TRANSFER_S, self.confirmed_until - now)
        return -1, 0.0

    def receive(self, index: int, expires: float, now: float) -> None:
        """Take over a permit that another member gave up."""
        if expires <= now or self._owns(index):
            return
        permit = self._permits.get(index)
        if permit is None:
            permit = _Permit(usable_from=now, native=False, expires=expires)
            self._permits[index] = permit
        permit.expires = max(permit.expires, expires)

    def list_borrowed(self, now: float) -> list[tuple[int, str, float]]:
        """Return index, upstream and expiry of received permits."""
        expired = [
            i
            for i, p in self._permits.items()
            if not p.native and p.expires <= now
        ]
        for index in expired:
            del self._permits[index]
        return [
            (i, p.upstream_id, p.expires)
            for i, p in self._permits.items()
            if not p.native
        ]

    def owner_of(self, index: int) -> str:
        """Return the member to which a permit natively belongs."""
        return self._group[index % len(self._group)]

    def _owns(self, index: int) -> bool:
        return bool(self._group) and self.owner_of(index) == self._self_id

    def _get_expiry(self, permit: _Permit) -> float:
        return self.confirmed_until if permit.native else permit.expires

    def _is_free(self, index: int, permit: _Permit, now: float) -> bool:
        return (
            index < self._budget
            and not permit.upstream_id
            and permit.usable_from <= now
            and permit.blocked_until <= now
            and now < self._get_expiry(permit)
        )
