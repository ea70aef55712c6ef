"""What this daemon knows of the other owners of the service."""

import hashlib

import attrs

from hawthornmast.health.messages import HealthReport
from hawthornmast.health.messages import Stamp


def digest_group(service: str, group: tuple[str, ...], allowed: int) -> str:
    """Return a short name of the ordered owners and number of permits.

    The number is part of it, so that a daemon with an old list cannot keep
    confirming permits that a shorter list or a higher floor took away.
    """
    text = "\n".join((service, str(allowed), *group))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@attrs.define(kw_only=True)
class _Owner:
    """Latest facts from one other owner."""

    stamp: Stamp
    confirmed: float | None = None
    announced: dict[str, float] = attrs.field(factory=dict)


class OwnerGroup:
    """Stamps, confirmations and announcements of the other owners.

    Parameters
    ----------
    self_id
        Instance id of this daemon.
    incarnation
        Number of this process; stamps of a former one are ignored.
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
        """Take over a group; confirmations of the old one end."""
        digest = digest_group(service, members, allowed)
        if digest == self.digest:
            return
        self.members = members
        self.digest = digest
        for owner in self._owners.values():
            owner.confirmed = None

    def get_echo(self, peer: str) -> Stamp | None:
        """Return the latest stamp of an owner."""
        owner = self._owners.get(peer)
        return owner.stamp if owner else None

    def accept(self, report: HealthReport, sender: str, now: float) -> bool:
        """Record a report; return False when a newer one was seen."""
        known = self._owners.get(sender)
        if (
            known is not None
            and known.stamp.incarnation == report.stamp.incarnation
            and known.stamp.time >= report.stamp.time
        ):
            return False
        echoed = self.read_echo(report.echo, now)
        owner = _Owner(stamp=report.stamp)
        if echoed is not None:
            if report.group == self.digest:
                owner.confirmed = echoed
            # The report was made after the echoed stamp, so this deadline
            # is never later than the sender's, however long it travelled.
            owner.announced = {
                a.upstream_id: echoed + a.remaining_s
                for a in report.announcements
                if echoed + a.remaining_s > now
            }
        self._owners[sender] = owner
        return True

    def read_echo(self, echo: Stamp | None, now: float) -> float | None:
        """Return the time of an own stamp, or None for a foreign one."""
        if echo is None or echo.incarnation != self._incarnation:
            return None
        return echo.time if echo.time <= now else None

    def find_confirmed(self) -> float | None:
        """Return since when every other member is known to agree."""
        times: list[float] = []
        for member in self.others:
            owner = self._owners.get(member)
            if owner is None or owner.confirmed is None:
                return None
            times.append(owner.confirmed)
        return min(times) if times else None

    def list_announced(self, now: float) -> dict[str, tuple[float, str]]:
        """Return the deadline and holder of each announced ejection."""
        found: dict[str, tuple[float, str]] = {}
        for peer, owner in self._owners.items():
            for upstream_id, deadline in owner.announced.items():
                if (
                    deadline > now
                    and deadline > found.get(upstream_id, (now, ""))[0]
                ):
                    found[upstream_id] = (deadline, peer)
        return found
