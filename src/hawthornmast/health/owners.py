"""State that the other owners of a service have reported."""

import hashlib

import attrs

from hawthornmast.health.messages import HealthReport
from hawthornmast.health.messages import Stamp


def digest_group(service: str, group: tuple[str, ...], allowed: int) -> str:
    """Return a digest of the ordered owners and the number of permits.

    The digest includes the number of permits, so that a daemon with an
    outdated list cannot confirm permits that a shorter list or a higher floor
    has removed.
    """
    text = "\n".join((service, str(allowed), *group))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@attrs.define(kw_only=True)
class _Owner:
    """Latest report of one other owner."""

    stamp: Stamp
    confirmed_at: float | None = None
    announced: dict[str, float] = attrs.field(factory=dict)


class OwnerGroup:
    """Stamps, confirmations and announcements of the other owners.

    Parameters
    ----------
    self_id
        Instance id of this daemon.
    incarnation
        Identifier of this run of the daemon; echoes of stamps from an
        earlier run are ignored.
    """

    def __init__(self, self_id: str, incarnation: int) -> None:
        self._self_id = self_id
        self._incarnation = incarnation
        self._owners: dict[str, _Owner] = {}
        self.members: tuple[str, ...] = ()
        self.digest = ""

    @property
    def others(self) -> tuple[str, ...]:
        """Members of the group without this daemon."""
        return tuple(m for m in self.members if m != self._self_id)

    def update(
        self, service: str, members: tuple[str, ...], allowed: int
    ) -> None:
        """Set the group; a changed group discards all confirmations."""
        digest = digest_group(service, members, allowed)
        if digest == self.digest:
            return
        self.members = members
        self.digest = digest
        for owner in self._owners.values():
            owner.confirmed_at = None

    def get_echo(self, peer: str) -> Stamp | None:
        """Return the latest stamp received from an owner."""
        owner = self._owners.get(peer)
        return owner.stamp if owner else None

    def accept(self, report: HealthReport, sender: str, now: float) -> bool:
        """Record a report; return False if it is not newer than the last."""
        known = self._owners.get(sender)
        if (
            known is not None
            and known.stamp.incarnation == report.stamp.incarnation
            and known.stamp.time >= report.stamp.time
        ):
            return False
        echoed = self.resolve_echo(report.echo, now)
        owner = _Owner(stamp=report.stamp)
        if echoed is not None:
            if report.group == self.digest:
                owner.confirmed_at = echoed
            # The report was made after the echoed stamp, so this deadline is
            # never later than the sender's, whatever the network delay.
            owner.announced = {
                a.upstream_id: echoed + a.remaining_s
                for a in report.announcements
                if echoed + a.remaining_s > now
            }
        self._owners[sender] = owner
        return True

    def resolve_echo(self, echo: Stamp | None, now: float) -> float | None:
        """Return the time of an echoed stamp; None if it is not our own."""
        if echo is None or echo.incarnation != self._incarnation:
            return None
        return echo.time if echo.time <= now else None

    def get_confirmed_since(self) -> float | None:
        """Return the time since which every other member confirms the group.

        None if any of them has not confirmed it.
        """
        times: list[float] = []
        for member in self.others:
            owner = self._owners.get(member)
            if owner is None or owner.confirmed_at is None:
                return None
            times.append(owner.confirmed_at)
        return min(times) if times else None

    def list_announced(self, now: float) -> dict[str, tuple[float, str]]:
        """Return the deadline and permit holder of each announced ejection."""
        found: dict[str, tuple[float, str]] = {}
        for peer, owner in self._owners.items():
            for upstream_id, deadline in owner.announced.items():
                if (
                    deadline > now
                    and deadline > found.get(upstream_id, (now, ""))[0]
                ):
                    found[upstream_id] = (deadline, peer)
        return found
