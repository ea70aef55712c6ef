"""Gossip membership for fleets without a published list of daemons.

Daemons discover each other through a few seeds. Within a zone, each daemon
sends heartbeats to all others. The highest-ranked daemon of a zone is its
representative: it exchanges heartbeats with the representatives of the other
zones and reports their daemons to its own zone. Of another zone, a daemon
knows only the highest-ranked few, so that neither the traffic between zones
nor the size of a heartbeat grows with the number of daemons.

A daemon is identified by its name and its incarnation; a higher incarnation
replaces a lower one. Membership is an optimization only: no guarantee depends
on daemons having the same view.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random

import attrs

from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.membership.heartbeats import decode_row
from hawthornmast.membership.heartbeats import encode_row
from hawthornmast.membership.heartbeats import HeartbeatDatagram
from hawthornmast.membership.heartbeats import Member
from hawthornmast.membership.heartbeats import Report
from hawthornmast.membership.heartbeats import Row
from hawthornmast.membership.placement import group_by_zone
from hawthornmast.membership.placement import zone_rank_key

HEARTBEAT_S = 0.4
"""Heartbeat period between two daemons of a zone."""

LOSS_PERIODS = 3.5
"""Periods without a heartbeat after which a daemon counts as lost."""

HEARTBEAT_TOLERANCE_S = 0.02
"""Time by which a heartbeat may be early. Heartbeats are sent at ticks, and a
tick that comes on time after a late one must not be missed."""

SEED_RETRY_S = 1.0
"""Interval between attempts to contact seeds and lost daemons."""

MAX_HEARTBEATS_PER_S = 120.0
"""Heartbeats that a daemon sends per second at most; in larger zones the
heartbeat period is longer."""

SEED_RETRY_WINDOW_S = 6.0
"""Time after its start during which every daemon contacts its seeds; after
that only representatives do."""

REPORTED_PER_ZONE = 3
"""Highest-ranked daemons of a zone that are reported to other zones: the
representative and those that would succeed it."""

LIVE_CACHE_S = 0.1
"""Time for which the list of live daemons is cached; a daemon that joins or
leaves invalidates the cache at once."""

ZONE_ROWS_PER_HEARTBEAT = 2
"""Daemons of its own zone that a representative reports to the zone in each
heartbeat, in rotation."""

REDIRECT_INTERVAL_S = 0.3
"""Minimum time between two redirects of the same daemon to the right
representative; less than its heartbeat period."""

MAX_LEAVE_REPORTS = 2
"""Heartbeats of a leaving daemon of another zone that the representative
passes on to its own zone; more than one, because datagrams may be lost."""

MEMBER_EXPIRY_S = 60.0
"""Time without a heartbeat after which a lost daemon is dropped."""


class Gossip:
    """Discovers daemons through seeds and tracks which of them are live.

    Parameters
    ----------
    instance
        This daemon.
    incarnation
        Start time of this process in nanoseconds since the epoch.
    seeds
        IP addresses at which daemons may be running.
    clock
        Monotonic time in seconds.
    random_source
        Random source for the choice of lost daemons to contact.

    Attributes
    ----------
    period_s
        Seconds between two heartbeats to the same daemon.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        incarnation: int,
        seeds: Iterable[str],
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.seeds = tuple(seeds)
        self.ready = False
        self.period_s = HEARTBEAT_S
        self._clock = clock
        self._random = random_source
        self._members: dict[str, Member] = {}
        # Cached list of live members and the time at which it expires.
        self._live_members: list[Member] = []
        self._live_members_until = -math.inf
        self._change_count = 0
        self._members_by_host: dict[str, Member] | None = None
        self._ranked_zone: list[Instance] | None = None
        self._representatives: list[Instance] | None = None
        self._next_heartbeat_at = 0.0
        self._next_seed_at = 0.0
        self._started_at = clock()
        self._zone_cursor = 0

    def live(self) -> list[Instance]:
        """Return the live and ready daemons, including this one.

        These are all of this zone and the highest-ranked of each other zone.
        """
        found = [
            item.instance for item in self._get_live_members() if item.ready
        ]
        if self.ready and self.instance.state is State.LIVE:
            found.append(self.instance)
        return found

    def zone_peers(self) -> list[Instance]:
        """Return the other live daemons of this zone."""
        return [
            member.instance
            for member in self._get_live_members()
            if member.instance.zone == self.instance.zone
        ]

    def remote_peers(self) -> list[Instance]:
        """Return the known live daemons of other zones."""
        return [
            member.instance
            for member in self._get_live_members()
            if member.instance.zone != self.instance.zone
        ]

    def find(self, host: str) -> Instance | None:
        """Return the known daemon with an IP address, live or lost."""
        member = self._find_member(host)
        return None if member is None else member.instance

    def _find_member(self, host: str) -> Member | None:
        if self._members_by_host is None:
            self._members_by_host = {}
            for member in self._members.values():
                self._members_by_host.setdefault(member.instance.host, member)
        return self._members_by_host.get(host)

    def count_changes(self) -> int:
        """Return how often the live daemons or their data have changed."""
        self._get_live_members()
        return self._change_count

    def ranked_zone_members(self) -> list[Instance]:
        """Return the zone's live daemons, ordered by rank.

        The first is the zone's representative.
        """
        self._get_live_members()
        if self._ranked_zone is None:
            daemons = self.zone_peers()
            if self.instance.state is State.LIVE:
                daemons.append(self.instance)
            self._ranked_zone = sorted(daemons, key=zone_rank_key)
        return self._ranked_zone

    def is_representative(self) -> bool:
        """Return whether this daemon is the representative of its zone."""
        order = self.ranked_zone_members()
        return not order or order[0] is self.instance

    def count_zone_contacts(self) -> tuple[int, int]:
        """Return how many ready daemons of this zone are live, and are known.

        Both include this daemon. The known ones include those that were lost
        within ``MEMBER_EXPIRY_S`` without a message that they are leaving.
        """
        in_contact = known = 1
        for member in self._members.values():
            if (
                member.instance.zone == self.instance.zone
                and member.instance.state is State.LIVE
                and member.ready
            ):
                known += 1
                in_contact += not self._is_lost(member, self._clock())
        return in_contact, known

    def representatives(self) -> list[Instance]:
        """Return the representatives of the other zones in this view."""
        self._get_live_members()
        if self._representatives is None:
            self._representatives = [
                min(items, key=zone_rank_key)
                for items in group_by_zone(self.remote_peers()).values()
            ]
        return self._representatives

    def rank(self) -> int:
        """Return this daemon's position in the order of reading the platform.

        Daemons take over reading the platform in this order. The
        representatives come first, then the other daemons in the order of
        their zone.
        """
        order = self.ranked_zone_members()
        representatives = self.representatives()
        if self.instance not in order:
            return len(representatives) + len(order)
        position = order.index(self.instance)
        if position:
            return len(representatives) + position
        own = zone_rank_key(self.instance)
        return sum(zone_rank_key(item) < own for item in representatives)

    def due_heartbeats(self) -> list[HeartbeatDatagram]:
        """Return the heartbeats that are due now."""
        now = self._clock()
        if now < self._next_heartbeat_at - HEARTBEAT_TOLERANCE_S:
            return []
        zone_peer_count = sum(
            member.instance.zone == self.instance.zone
            for member in self._members.values()
        )
        self.period_s = max(
            HEARTBEAT_S, zone_peer_count / MAX_HEARTBEATS_PER_S
        )
        self._next_heartbeat_at += self.period_s
        if self._next_heartbeat_at <= now:
            self._next_heartbeat_at = now + self.period_s
        is_representative = self.is_representative()
        own_rows = [self._own_row()]
        zone_rows = own_rows
        if is_representative:
            zone_rows = (
                own_rows + self._next_zone_rows() + self._remote_zone_rows()
            )
        heartbeats = [
            HeartbeatDatagram(host=m.host, rows=zone_rows)
            for m in self.zone_peers()
        ]
        if is_representative:
            top_rows = own_rows + self._encode_top_ranked(
                self.zone_peers(), REPORTED_PER_ZONE - 1
            )
            heartbeats += [
                HeartbeatDatagram(host=m.host, rows=top_rows)
                for m in self.representatives()
            ]
        elif self.instance.state is State.LEAVING:
            heartbeats += [
                HeartbeatDatagram(host=m.host, rows=own_rows)
                for m in self.remote_peers()
            ]
        if now >= self._next_seed_at:
            self._next_seed_at = now + SEED_RETRY_S
            self._expire_members()
            if (
                is_representative
                or now - self._started_at < SEED_RETRY_WINDOW_S
            ):
                heartbeats += [
                    HeartbeatDatagram(host=host, rows=own_rows)
                    for host in self._list_discovery_hosts()
                ]
        return heartbeats

    def leave(self) -> list[HeartbeatDatagram]:
        """Mark this daemon as leaving; return the heartbeats that say so."""
        self.instance = attrs.evolve(self.instance, state=State.LEAVING)
        self._record_change()
        rows = [self._own_row()]
        return [
            HeartbeatDatagram(host=m.instance.host, rows=rows)
            for m in self._get_live_members()
        ]

    def receive(
        self, rows: list[Row], sender: str, waited_s: float = 0.0
    ) -> list[HeartbeatDatagram]:
        """Apply a heartbeat from an address; return the replies to send.

        Raises ValueError, TypeError or IndexError for malformed rows.

        Parameters
        ----------
        waited_s
            Time that the heartbeat may have waited since it arrived. It
            counts as heard before, so that a lost daemon isn't noticed later.
        """
        now = self._clock() - waited_s
        if self._receive_unchanged(rows, sender, now, waited_s):
            return []
        reports = [decode_row(row) for row in rows]
        name = reports[0].instance.instance_id
        incarnation = reports[0].incarnation
        known = self._members.get(name)
        if known is not None and incarnation < known.incarnation:
            # The daemon restarted after its wall clock stepped back. The
            # reply carries its former incarnation, and it then takes a
            # higher one.
            former = encode_row(
                known.instance,
                ready=False,
                incarnation=known.incarnation,
                age_s=0.0,
            )
            return [
                HeartbeatDatagram(host=sender, rows=[self._own_row(), former])
            ]
        was_in_contact = (
            known is not None
            and known.heard_directly
            and known.incarnation == incarnation
            and not self._is_lost(known, self._clock())
        )
        for index, report in enumerate(reports):
            self._apply_report(report, now, direct=index == 0)
        if name == self.instance.instance_id:
            return []
        sending = self._members[name]
        sending.heard_directly = True
        if len(rows) == 1 and sending.agrees_with(reports[0]):
            sending.last_rows = rows
        if reports[0].instance.state is State.LEAVING:
            return self._report_leave(self._members[name])
        if not was_in_contact:
            # A daemon that has started, or that was partitioned, gets the
            # members of the zone from the first daemon it contacts.
            rows = [self._own_row(), *self._encode_members(self.zone_peers())]
            return [
                HeartbeatDatagram(
                    host=sender, rows=rows + self._remote_zone_rows()
                )
            ]
        if self._should_redirect(self._members[name], now):
            top_rows = self._encode_top_ranked(
                self.zone_peers(), REPORTED_PER_ZONE
            )
            rows = [self._own_row(), *top_rows]
            return [HeartbeatDatagram(host=sender, rows=rows)]
        return []

    def _receive_unchanged(
        self, rows: list[Row], sender: str, now: float, waited_s: float
    ) -> bool:
        """Apply a heartbeat of a live daemon of the zone like its last one.

        Nearly all heartbeats are of this kind. Returns False for any other.
        """
        member = self._find_member(sender)
        if (
            member is None
            or rows != member.last_rows
            or member.instance.zone != self.instance.zone
            or now < member.last_heard_at
            or member.instance.state is not State.LIVE
            or self._is_lost(member, now + waited_s)
        ):
            return False
        member.last_heard_at = now
        return True

    def _report_leave(self, leaving: Member) -> list[HeartbeatDatagram]:
        """Return reports to this zone that a daemon of another one leaves.

        The leaving daemon knows only the highest-ranked daemons of this zone,
        and clients may ask any for addresses.
        """
        if (
            leaving.instance.zone == self.instance.zone
            or leaving.leave_reports >= MAX_LEAVE_REPORTS
            or not self.is_representative()
        ):
            return []
        leaving.leave_reports += 1
        rows = [self._own_row(), *self._encode_members([leaving.instance])]
        return [
            HeartbeatDatagram(host=item.host, rows=rows)
            for item in self.zone_peers()
        ]

    def _should_redirect(self, sender: Member, now: float) -> bool:
        """Return whether a sender of another zone needs a redirect.

        It sent its heartbeat here because it takes this daemon for the
        representative of the zone, and no other daemon tells it the right
        one. The minimum interval keeps two daemons from replying to each
        other's replies.
        """
        if (
            sender.instance.zone == self.instance.zone
            or now - sender.last_redirect_at < REDIRECT_INTERVAL_S
            or self.is_representative()
        ):
            return False
        sender.last_redirect_at = now
        return True

    def _apply_report(
        self, report: Report, now: float, *, direct: bool
    ) -> None:
        instance, incarnation = report.instance, report.incarnation
        name = instance.instance_id
        if name == self.instance.instance_id:
            if incarnation > self.incarnation:
                self.incarnation = incarnation + 1
            return
        heard_at = now if direct else now - report.age_s
        member = self._members.get(name)
        if member is not None and incarnation < member.incarnation:
            return
        if member is None:
            self._members[name] = Member(
                instance=instance,
                incarnation=incarnation,
                ready=report.ready,
                last_heard_at=heard_at,
            )
            self._record_change()
            return
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            member.heard_directly = False
            member.last_rows = None
            member.leave_reports = 0
            member.last_heard_at = heard_at
        elif heard_at < member.last_heard_at:
            return
        elif member.instance.state is State.LEAVING and not direct:
            member.last_heard_at = heard_at
            return
        if not self._is_live(member):
            self._live_members_until = -math.inf
        member.last_heard_at = heard_at
        if member.instance != instance or member.ready != report.ready:
            member.instance = instance
            member.ready = report.ready
            member.last_rows = None
            self._record_change()

    def _record_change(self) -> None:
        self._change_count += 1
        self._live_members_until = -math.inf
        self._ranked_zone = self._representatives = None
        self._members_by_host = None

    def _get_live_members(self) -> list[Member]:
        """Return the live members, cached for up to ``LIVE_CACHE_S``."""
        now = self._clock()
        if now >= self._live_members_until:
            found = [
                member
                for member in self._members.values()
                if member.instance.state is State.LIVE
                and not self._is_lost(member, now)
            ]
            if found != self._live_members:
                self._live_members = found
                self._record_change()
            self._live_members_until = now + LIVE_CACHE_S
        return self._live_members

    def _is_live(self, member: Member) -> bool:
        return member.instance.state is State.LIVE and not self._is_lost(
            member, self._clock()
        )

    def _is_lost(self, member: Member, now: float) -> bool:
        """Return whether heartbeats from or about a member stopped."""
        age = now - member.last_heard_at
        limit = LOSS_PERIODS * self.period_s
        if member.instance.zone != self.instance.zone:
            # Representatives report the daemons of other zones once a
            # period, and a report is relayed by two daemons.
            limit *= 2.0
        return age > limit

    def _own_row(self) -> Row:
        return encode_row(
            self.instance,
            ready=self.ready,
            incarnation=self.incarnation,
            age_s=0.0,
        )

    def _encode_members(self, instances: Iterable[Instance]) -> list[Row]:
        now = self._clock()
        members = [self._members[item.instance_id] for item in instances]
        return [
            encode_row(
                member.instance,
                ready=member.ready,
                incarnation=member.incarnation,
                age_s=now - member.last_heard_at,
            )
            for member in members
        ]

    def _encode_top_ranked(
        self, instances: Iterable[Instance], limit: int
    ) -> list[Row]:
        return self._encode_members(
            sorted(instances, key=zone_rank_key)[:limit]
        )

    def _next_zone_rows(self) -> list[Row]:
        """Return rows of the zone's members, in rotation between calls.

        They let two daemons that missed each other's start find each other.
        """
        zone_peers = self.zone_peers()
        start = self._zone_cursor % max(1, len(zone_peers))
        self._zone_cursor = start + ZONE_ROWS_PER_HEARTBEAT
        return self._encode_members(
            zone_peers[start : start + ZONE_ROWS_PER_HEARTBEAT]
        )

    def _remote_zone_rows(self) -> list[Row]:
        """Return the rows of the highest-ranked daemons of other zones."""
        return [
            row
            for items in group_by_zone(self.remote_peers()).values()
            for row in self._encode_top_ranked(items, REPORTED_PER_ZONE)
        ]

    def _expire_members(self) -> None:
        now = self._clock()
        for name, member in list(self._members.items()):
            if now - member.last_heard_at > MEMBER_EXPIRY_S:
                del self._members[name]
                self._members_by_host = None

    def _list_discovery_hosts(self) -> list[str]:
        """Return addresses of seeds and of daemons to contact again.

        The latter are lost or announced that they are leaving.
        """
        not_live = [
            member.instance
            for member in self._members.values()
            if not self._is_live(member)
        ]
        known = {
            item.host for item in (*self.zone_peers(), *self.remote_peers())
        }
        wanted = [
            host
            for host in self.seeds
            if host not in known and host != self.instance.host
        ]
        own = self.instance.zone
        for group in (
            [item.host for item in not_live if item.zone == own],
            [item.host for item in not_live if item.zone != own],
        ):
            if group:
                wanted.append(self._random.choice(group))
        return wanted
