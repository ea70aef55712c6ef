"""Permits to eject an upstream.

A native permit belongs to a member by its position in the group. A member may
transfer an unused native permit to another one for a limited term.
"""

import math

import attrs

CONFIRMATION_TERM_S = 5.0
"""Validity of native permits after a confirmation of the group."""

NEW_GROUP_ACTIVATION_DELAY_S = 15.0
"""Delay before permits of a new group are used, called hold in
``docs/floor.md``. Must exceed both ``TRANSFER_TERM_S`` and twice
``CONFIRMATION_TERM_S`` plus the propagation delay of the list."""

TRANSFER_TERM_S = 10.0
ANNOUNCEMENT_TERM_S = 2.0


@attrs.define(kw_only=True)
class _Permit:
    """State of one permit index on this daemon."""

    usable_from: float = math.inf
    blocked_until: float = -math.inf
    transferred_to: str = ""
    upstream_id: str = ""
    expires_at: float = math.inf
    native: bool = True


class PermitTable:
    """Permits held by this daemon.

    Permit ``i`` belongs to member ``i`` modulo the size of the group. All
    times are seconds of this daemon's own clock.

    Parameters
    ----------
    self_id
        Instance id of this daemon.
    activation_delay_s
        Delay in seconds before a permit of a new group is used.
    """

    def __init__(
        self,
        self_id: str,
        *,
        activation_delay_s: float = NEW_GROUP_ACTIVATION_DELAY_S,
    ) -> None:
        self._self_id = self_id
        self._activation_delay_s = activation_delay_s
        self._group: tuple[str, ...] = ()
        self._permit_count = 0
        self._permits: dict[int, _Permit] = {}
        self._confirmed_at = -math.inf

    @property
    def permit_count(self) -> int:
        """Number of permits in the whole group."""
        return self._permit_count

    @property
    def confirmed_until(self) -> float:
        """Expiry of native permits."""
        return self._confirmed_at + CONFIRMATION_TERM_S

    def update(
        self, group: tuple[str, ...], permit_count: int, now: float
    ) -> None:
        """Set the group and the number of its permits."""
        changed = group != self._group
        self._group, self._permit_count = group, permit_count
        for index in list(self._permits):
            permit = self._permits[index]
            # A permit beyond the permit count keeps its block, in case the
            # count rises again before the block ends.
            if index >= permit_count and permit.upstream_id:
                self.release(permit.upstream_id, now)
            if changed and (not permit.native or not self._is_native(index)):
                del self._permits[index]
        if changed:
            self._permits = {
                i: p for i, p in self._permits.items() if self._is_native(i)
            }
        for index in range(permit_count):
            if self._is_native(index) and index not in self._permits:
                # Only a change of the group can move a permit from another
                # member to this one; a larger count creates permits that no
                # other member can hold. The delay applies to both, because an
                # earlier incarnation of this daemon may have used the permit.
                self._permits[index] = _Permit(
                    usable_from=now + self._activation_delay_s
                )

    def confirm(self, confirmed_at: float, now: float) -> None:
        """Record that the group was current at ``confirmed_at``."""
        if confirmed_at <= self._confirmed_at:
            return
        if confirmed_at - self._confirmed_at > CONFIRMATION_TERM_S:
            # Another group may have used the permits since they expired.
            for permit in self._permits.values():
                if permit.native:
                    permit.upstream_id = ""
                    permit.usable_from = now + self._activation_delay_s
        self._confirmed_at = confirmed_at

    def find_expiry(self, upstream_id: str, now: float) -> float:
        """Return the expiry of the permit that covers an upstream, or -inf."""
        latest = -math.inf
        for index, permit in self._permits.items():
            if (
                permit.upstream_id == upstream_id
                and index < self._permit_count
            ):
                latest = max(latest, self._get_expiry(permit))
        return latest if latest > now else -math.inf

    def list_used(self, now: float) -> list[tuple[str, float]]:
        """Return each upstream covered by a valid permit, with its expiry."""
        return [
            (permit.upstream_id, self._get_expiry(permit))
            for index, permit in self._permits.items()
            if permit.upstream_id
            and index < self._permit_count
            and now < self._get_expiry(permit)
        ]

    def acquire(self, upstream_id: str, now: float) -> bool:
        """Use a free permit for an upstream; return False if there is none."""
        for index, permit in self._permits.items():
            if self._is_free(index, permit, now):
                permit.upstream_id = upstream_id
                return True
        return False

    def release(self, upstream_id: str, now: float) -> None:
        """Stop using a permit and block it until its announcement expires.

        Other owners may apply the last announcement for another
        ``ANNOUNCEMENT_TERM_S``.
        """
        for permit in self._permits.values():
            if permit.upstream_id == upstream_id:
                permit.upstream_id = ""
                permit.blocked_until = max(
                    permit.blocked_until, now + ANNOUNCEMENT_TERM_S
                )

    def transfer(
        self, peer: str, wanted: int, now: float
    ) -> tuple[int, float]:
        """Transfer an unused native permit; return its index and term.

        The index is -1 if none is free. A permit that the same peer already
        holds is extended.
        """
        for index, permit in self._permits.items():
            if wanted not in (-1, index) or not permit.native:
                continue
            held = permit.transferred_to == peer and now < permit.blocked_until
            valid = (
                index < self._permit_count
                and permit.usable_from <= now < self.confirmed_until
            )
            if (held and wanted == index and valid) or (
                wanted == -1 and self._is_free(index, permit, now)
            ):
                permit.transferred_to = peer
                # The block of two terms by this clock outlasts one term by
                # the peer's clock.
                permit.blocked_until = now + 2 * TRANSFER_TERM_S
                return index, min(TRANSFER_TERM_S, self.confirmed_until - now)
        return -1, 0.0

    def receive_transfer(
        self, index: int, expires_at: float, now: float
    ) -> None:
        """Record a permit transferred by another member."""
        if expires_at <= now or self._is_native(index):
            return
        permit = self._permits.get(index)
        if permit is None:
            permit = _Permit(
                usable_from=now, native=False, expires_at=expires_at
            )
            self._permits[index] = permit
        permit.expires_at = max(permit.expires_at, expires_at)

    def list_received(self, now: float) -> list[tuple[int, str, float]]:
        """Return index, upstream and expiry of permits received from peers."""
        expired = [
            i
            for i, p in self._permits.items()
            if not p.native and p.expires_at <= now
        ]
        for index in expired:
            del self._permits[index]
        return [
            (i, p.upstream_id, p.expires_at)
            for i, p in self._permits.items()
            if not p.native
        ]

    def get_native_owner(self, index: int) -> str:
        """Return the member whose native permit has this index."""
        return self._group[index % len(self._group)]

    def _is_native(self, index: int) -> bool:
        return (
            bool(self._group) and self.get_native_owner(index) == self._self_id
        )

    def _get_expiry(self, permit: _Permit) -> float:
        return self.confirmed_until if permit.native else permit.expires_at

    def _is_free(self, index: int, permit: _Permit, now: float) -> bool:
        return (
            index < self._permit_count
            and not permit.upstream_id
            and permit.usable_from <= now
            and permit.blocked_until <= now
            and now < self._get_expiry(permit)
        )
