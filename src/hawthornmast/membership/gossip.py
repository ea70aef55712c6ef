"""Membership of a fleet whose daemons are published nowhere.

Daemons find each other through a few seeds. Within a zone, each daemon sends
beats to all others. One speaker a zone, the first in the order of duties,
exchanges beats with the speakers of other zones and tells its own zone of
them. Of another zone, a daemon knows the first few, so that the traffic
between zones and the size of a beat don't grow with the daemons.

A daemon is identified by its name and its incarnation; a higher incarnation
replaces a lower one. Membership serves efficiency only: no promise rests on
daemons agreeing on it.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random

import attrs

from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.membership.beats import Beat
from hawthornmast.membership.beats import decode_row
from hawthornmast.membership.beats import encode_row
from hawthornmast.membership.beats import Member
from hawthornmast.membership.beats import Report
from hawthornmast.membership.beats import Row
from hawthornmast.membership.placement import duty_rank
from hawthornmast.membership.placement import group_by_zone

BEAT_S = 0.4
"""Period of beats between two daemons of a zone."""

LOST_BEATS = 3.5
"""Periods of silence after which a daemon is taken as lost."""

SEED_S = 1.0
"""Period at which a daemon tries its seeds and lost daemons again."""

BEATS_PER_S = 120.0
"""Most beats that a daemon sends; larger zones beat less often."""

SEEDING_S = 6.0
"""Seconds after its start in which each daemon tries its seeds; later on only
speakers do."""

TOLD_ROWS = 3
"""Daemons of a zone of which other zones are told, the first in duty order:
the one with the duties and those that would follow it."""

VIEW_S = 0.1
"""Seconds for which a list of living daemons is reused; one that is found or
leaves ends it at once."""

ZONE_ROWS = 2
"""Daemons of its own zone that a speaker tells the zone with each beat, in
turns."""

REDIRECT_S = 0.3
"""Seconds between two answers to a daemon that mistakes the speaker, less
than the period of its beats."""

FORGET_S = 60.0
"""Seconds after which a lost daemon is no longer tried."""


class Gossip:
    """Finds daemons through seeds and tells which of them live.

    Parameters
    ----------
    instance
        This daemon.
    incarnation
        Start of this process in nanoseconds since the epoch.
    seeds
        IP addresses of daemons that may be running.
    clock
        Monotonic time in seconds.
    random_source
        Source of the choice of daemons to try.

    Attributes
    ----------
    period_s
        Seconds between two beats to the same daemon.
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
        self.period_s = BEAT_S
        self._clock = clock
        self._random = random_source
        self._members: dict[str, Member] = {}
        # Living members and the time up to which the list holds.
        self._found: list[Member] = []
        self._found_until = -math.inf
        self._changes = 0
        self._order: list[Instance] | None = None
        self._speakers: list[Instance] | None = None
        self._beat_at = 0.0
        self._seed_at = 0.0
        self._started_at = clock()
        self._zone_place = 0

    def live(self) -> list[Instance]:
        """Return the daemons that live and stay, this one included.

        They are all of this zone and the first of each other zone.
        """
        found = [item.instance for item in self._living() if item.ready]
        if self.ready and self.instance.state is State.LIVE:
            found.append(self.instance)
        return found

    def mates(self) -> list[Instance]:
        """Return the other living daemons of the zone."""
        return [
            member.instance
            for member in self._living()
            if member.instance.zone == self.instance.zone
        ]

    def others(self) -> list[Instance]:
        """Return the living daemons of other zones."""
        return [
            member.instance
            for member in self._living()
            if member.instance.zone != self.instance.zone
        ]

    def find(self, host: str) -> Instance | None:
        """Return the daemon with an IP address."""
        for member in self._members.values():
            if member.instance.host == host:
                return member.instance
        return None

    def count_changes(self) -> int:
        """Return how often the living daemons or their data changed."""
        self._living()
        return self._changes

    def order_zone(self) -> list[Instance]:
        """Return the zone's living daemons in duty order.

        The order ranks the daemons for duties of the zone; the first is its
        speaker.
        """
        self._living()
        if self._order is None:
            daemons = self.mates()
            if self.instance.state is State.LIVE:
                daemons.append(self.instance)
            self._order = sorted(daemons, key=duty_rank)
        return self._order

    def is_speaker(self) -> bool:
        """Tell whether this daemon speaks for its zone."""
        order = self.order_zone()
        return not order or order[0] is self.instance

    def speakers(self) -> list[Instance]:
        """Return the speakers of the other zones as this daemon sees them."""
        self._living()
        if self._speakers is None:
            self._speakers = [
                min(items, key=duty_rank)
                for items in group_by_zone(self.others()).values()
            ]
        return self._speakers

    def rank(self) -> int:
        """Return this daemon's place in the order of all duties.

        The speakers come first, then the others in the order of their zone.
        """
        order = self.order_zone()
        speakers = self.speakers()
        if self.instance not in order:
            return len(speakers) + len(order)
        place = order.index(self.instance)
        if place:
            return len(speakers) + place
        own = duty_rank(self.instance)
        return sum(duty_rank(speaker) < own for speaker in speakers)

    def next_beats(self) -> list[Beat]:
        """Return the beats that are due now."""
        now = self._clock()
        if now < self._beat_at:
            return []
        mates = sum(
            member.instance.zone == self.instance.zone
            for member in self._members.values()
        )
        self.period_s = max(BEAT_S, mates / BEATS_PER_S)
        self._beat_at = now + self.period_s
        speaker = self.is_speaker()
        own = [self._own_row()]
        for_zone = own
        if speaker:
            for_zone = own + self._next_zone_rows() + self._foreign_rows()
        beats = [Beat(host=m.host, rows=for_zone) for m in self.mates()]
        if speaker:
            first = own + self._first_rows(self.mates(), TOLD_ROWS - 1)
            beats += [Beat(host=m.host, rows=first) for m in self.speakers()]
        if now >= self._seed_at:
            self._seed_at = now + SEED_S
            self._forget()
            if speaker or now - self._started_at < SEEDING_S:
                beats += [
                    Beat(host=host, rows=own) for host in self._strangers()
                ]
        return beats

    def leave(self) -> list[Beat]:
        """Return the beats that announce this daemon's end."""
        self.instance = attrs.evolve(self.instance, state=State.LEAVING)
        self._note_change()
        rows = [self._own_row()]
        return [Beat(host=m.instance.host, rows=rows) for m in self._living()]

    def receive(self, rows: list[Row], sender: str) -> list[Beat]:
        """Apply a beat from an address; return the beats that answer it.

        Raises ValueError, TypeError or IndexError for malformed rows.
        """
        now = self._clock()
        reports = [decode_row(row) for row in rows]
        name = reports[0].instance.instance_id
        incarnation = reports[0].incarnation
        known = self._members.get(name)
        if known is not None and incarnation < known.incarnation:
            # It started again after its time of day stepped back; told of
            # its former incarnation, it takes a higher one.
            former = encode_row(
                known.instance,
                ready=False,
                incarnation=known.incarnation,
                age_s=0.0,
            )
            return [Beat(host=sender, rows=[self._own_row(), former])]
        met = (
            known is not None
            and known.met
            and known.incarnation == incarnation
            and not self._is_silent(known)
        )
        for index, report in enumerate(reports):
            self._apply(report, now, direct=index == 0)
        if name == self.instance.instance_id:
            return []
        self._members[name].met = True
        if not met:
            # A daemon that starts, or comes back from a cut, learns its zone
            # from the first of it that it meets.
            rows = [self._own_row(), *self._rows(self.mates())]
            return [Beat(host=sender, rows=rows + self._foreign_rows())]
        if self._must_redirect(self._members[name], now):
            first = self._first_rows(self.mates(), TOLD_ROWS)
            rows = [self._own_row(), *first]
            return [Beat(host=sender, rows=rows)]
        return []

    def _must_redirect(self, sender: Member, now: float) -> bool:
        """Return whether a speaker of another zone mistook this daemon.

        It took this daemon as the speaker here and hears of the right one
        from nobody else. The pause keeps two daemons from answering each
        other's answers.
        """
        if (
            sender.instance.zone == self.instance.zone
            or now - sender.redirected_at < REDIRECT_S
            or self.is_speaker()
        ):
            return False
        sender.redirected_at = now
        return True

    def _apply(self, report: Report, now: float, *, direct: bool) -> None:
        instance, incarnation = report.instance, report.incarnation
        name = instance.instance_id
        if name == self.instance.instance_id:
            if incarnation > self.incarnation:
                self.incarnation = incarnation + 1
            return
        heard = now if direct else now - report.age_s
        member = self._members.get(name)
        if member is not None and incarnation < member.incarnation:
            return
        if member is None:
            self._members[name] = Member(
                instance=instance,
                incarnation=incarnation,
                ready=report.ready,
                heard_at=heard,
            )
            self._note_change()
            return
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            member.met = False
            member.heard_at = heard
        elif heard < member.heard_at:
            return
        elif member.instance.state is State.LEAVING and not direct:
            member.heard_at = heard
            return
        if not self._lives(member):
            self._found_until = -math.inf
        member.heard_at = heard
        if member.instance != instance or member.ready != report.ready:
            member.instance = instance
            member.ready = report.ready
            self._note_change()

    def _note_change(self) -> None:
        self._changes += 1
        self._found_until = -math.inf
        self._order = self._speakers = None

    def _living(self) -> list[Member]:
        """Return the members that live, up to ``VIEW_S`` ago."""
        now = self._clock()
        if now >= self._found_until:
            found = [
                member
                for member in self._members.values()
                if self._lives(member)
            ]
            if found != self._found:
                self._found = found
                self._note_change()
            self._found_until = now + VIEW_S
        return self._found

    def _lives(self, member: Member) -> bool:
        return member.instance.state is State.LIVE and not self._is_silent(
            member
        )

    def _is_silent(self, member: Member) -> bool:
        age = self._clock() - member.heard_at
        limit = LOST_BEATS * self.period_s
        if member.instance.zone != self.instance.zone:
            # Speakers report the others' daemons once a period, and the
            # report passes two daemons.
            limit *= 2.0
        return age > limit

    def _own_row(self) -> Row:
        return encode_row(
            self.instance,
            ready=self.ready,
            incarnation=self.incarnation,
            age_s=0.0,
        )

    def _rows(self, instances: Iterable[Instance]) -> list[Row]:
        now = self._clock()
        members = [self._members[item.instance_id] for item in instances]
        return [
            encode_row(
                member.instance,
                ready=member.ready,
                incarnation=member.incarnation,
                age_s=now - member.heard_at,
            )
            for member in members
        ]

    def _first_rows(
        self, instances: Iterable[Instance], most: int
    ) -> list[Row]:
        return self._rows(sorted(instances, key=duty_rank)[:most])

    def _next_zone_rows(self) -> list[Row]:
        """Return rows of the zone, others with each call.

        Two daemons that missed each other's start find each other by them.
        """
        mates = self.mates()
        start = self._zone_place % max(1, len(mates))
        self._zone_place = start + ZONE_ROWS
        return self._rows(mates[start : start + ZONE_ROWS])

    def _foreign_rows(self) -> list[Row]:
        """Return the rows of the first daemons of each other zone."""
        return [
            row
            for items in group_by_zone(self.others()).values()
            for row in self._first_rows(items, TOLD_ROWS)
        ]

    def _forget(self) -> None:
        now = self._clock()
        for name, member in list(self._members.items()):
            if now - member.heard_at > FORGET_S:
                del self._members[name]

    def _strangers(self) -> list[str]:
        """Return addresses where a daemon may be that isn't known to live."""
        lost = [
            member.instance
            for member in self._members.values()
            if not self._lives(member)
        ]
        known = {item.host for item in (*self.mates(), *self.others())}
        wanted = [
            host
            for host in self.seeds
            if host not in known and host != self.instance.host
        ]
        own = self.instance.zone
        for group in (
            [item.host for item in lost if item.zone == own],
            [item.host for item in lost if item.zone != own],
        ):
            if group:
                wanted.append(self._random.choice(group))
        return wanted
