"""Membership of a fleet whose daemons are published nowhere.

Daemons find each other through a few seeds. Within a zone, each daemon sends
beats to all others. One speaker a zone, the first by hash, exchanges beats
with the speakers of other zones and tells its own zone of them, so that the
traffic between zones doesn't grow with the daemons.

A daemon is identified by its name and its incarnation; a higher incarnation
replaces a lower one. Membership serves efficiency only: no promise rests on
daemons agreeing on it.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import attrs

from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.membership.placement import score

BEAT_S = 0.4
"""Period of beats between two daemons of a zone."""

LOST_BEATS = 3.5
"""Periods of silence after which a daemon is taken as lost."""

SEED_S = 1.0
"""Period at which a daemon tries its seeds and lost daemons again."""

BEATS_PER_S = 120.0
"""Most beats that a daemon sends; larger zones beat less often."""

FORGET_S = 60.0
"""Seconds after which a lost daemon is no longer tried."""

Row = list[Any]


@attrs.define(kw_only=True, eq=False)
class Member:
    """Another daemon as this one knows it.

    Parameters
    ----------
    instance
        Its name, zone and addresses.
    incarnation
        Start of its process in nanoseconds since the epoch.
    heard_at
        Monotonic time at which it was heard itself, or a speaker vouched
        for it.
    """

    instance: Instance
    incarnation: int
    ready: bool
    heard_at: float


@attrs.frozen(kw_only=True)
class Beat:
    """One sign of life, ready to be sent to an address."""

    host: str
    rows: list[Row]


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
        self._clock = clock
        self._random = random_source
        self._members: dict[str, Member] = {}
        self._beat_at = 0.0
        self._seed_at = 0.0

    @property
    def period_s(self) -> float:
        """Seconds between two beats to the same daemon."""
        mates = sum(
            member.instance.zone == self.instance.zone
            for member in self._members.values()
        )
        return max(BEAT_S, mates / BEATS_PER_S)

    def live(self) -> list[Instance]:
        """Return the daemons that live and stay, this one included."""
        found = [
            member.instance
            for member in self._members.values()
            if self._lives(member) and member.ready
        ]
        if self.ready and self.instance.state is State.LIVE:
            found.append(self.instance)
        return found

    def mates(self) -> list[Instance]:
        """Return the other living daemons of the zone."""
        return [
            member.instance
            for member in self._members.values()
            if member.instance.zone == self.instance.zone
            and self._lives(member)
        ]

    def others(self) -> list[Instance]:
        """Return the living daemons of other zones."""
        return [
            member.instance
            for member in self._members.values()
            if member.instance.zone != self.instance.zone
            and self._lives(member)
        ]

    def find(self, host: str) -> Instance | None:
        """Return the daemon with an IP address."""
        for member in self._members.values():
            if member.instance.host == host:
                return member.instance
        return None

    def order_zone(self) -> list[str]:
        """Return the names of the zone's living daemons in hash order.

        The order ranks the daemons for duties of the zone; the first is its
        speaker.
        """
        names = [mate.instance_id for mate in self.mates()]
        if self.instance.state is State.LIVE:
            names.append(self.instance.instance_id)
        return sorted(names, key=lambda name: score("zone", name))

    def is_speaker(self) -> bool:
        """Tell whether this daemon speaks for its zone."""
        order = self.order_zone()
        return not order or order[0] == self.instance.instance_id

    def speakers(self) -> list[Instance]:
        """Return the speakers of the other zones as this daemon sees them."""
        zones: dict[str, list[Instance]] = {}
        for item in self.others():
            zones.setdefault(item.zone, []).append(item)
        return [
            min(items, key=lambda item: score("zone", item.instance_id))
            for items in zones.values()
        ]

    def rank(self) -> int:
        """Return this daemon's place in the order of all duties.

        The speakers come first, then the others in the order of their zone.
        """
        own = self.instance.instance_id
        order = self.order_zone()
        speakers = [item.instance_id for item in self.speakers()]
        if own not in order:
            return len(speakers) + len(order)
        place = order.index(own)
        if place:
            return len(speakers) + place
        ranked = sorted([*speakers, own], key=lambda n: score("zone", n))
        return ranked.index(own)

    def next_beats(self) -> list[Beat]:
        """Return the beats that are due now."""
        now = self._clock()
        if now < self._beat_at:
            return []
        self._beat_at = now + self.period_s
        speaker = self.is_speaker()
        own = [self._own_row()]
        everyone = own + self._rows(lambda member: True) if speaker else own
        beats = [Beat(host=m.host, rows=everyone) for m in self.mates()]
        if speaker:
            zone = own + self._rows(
                lambda member: member.instance.zone == self.instance.zone
            )
            beats += [Beat(host=m.host, rows=zone) for m in self.speakers()]
        if now >= self._seed_at:
            self._seed_at = now + SEED_S
            beats += [Beat(host=host, rows=own) for host in self._strangers()]
        return beats

    def leave(self) -> list[Beat]:
        """Return the beats that announce this daemon's end."""
        self.instance = attrs.evolve(self.instance, state=State.LEAVING)
        rows = [self._own_row()]
        return [
            Beat(host=member.instance.host, rows=rows)
            for member in self._members.values()
            if self._lives(member)
        ]

    def receive(self, rows: list[Row], sender: str) -> list[Beat]:
        """Apply a beat from an address; return the beats that answer it.

        Raises ValueError, TypeError or IndexError for malformed rows.
        """
        now = self._clock()
        stranger = self.find(sender) is None
        name, incarnation = rows[0][0], rows[0][7]
        known = self._members.get(name)
        if known is not None and incarnation < known.incarnation:
            # It started again after its time of day stepped back; told of
            # its former incarnation, it takes a higher one.
            former = self._row(
                known.instance, False, known.incarnation, age=0.0
            )
            return [Beat(host=sender, rows=[self._own_row(), former])]
        for index, row in enumerate(rows):
            self._apply(row, now, direct=index == 0)
        if not stranger:
            return []
        # A daemon that starts learns the fleet from the first that it meets.
        rows = [self._own_row(), *self._rows(self._lives)]
        return [Beat(host=sender, rows=rows)]

    def _apply(self, row: Row, now: float, *, direct: bool) -> None:
        name, zone, host, port, peer_port, leaving, ready, incarnation, age = (
            row
        )
        if name == self.instance.instance_id:
            if incarnation > self.incarnation:
                self.incarnation = incarnation + 1
            return
        heard = now if direct else now - float(age)
        member = self._members.get(name)
        if member is not None and incarnation < member.incarnation:
            return
        instance = Instance(
            instance_id=name,
            zone=zone,
            host=host,
            port=int(port),
            peer_port=int(peer_port),
            state=State.LEAVING if leaving else State.LIVE,
        )
        if member is None:
            self._members[name] = Member(
                instance=instance,
                incarnation=incarnation,
                ready=bool(ready),
                heard_at=heard,
            )
            return
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            member.heard_at = heard
        elif heard < member.heard_at:
            return
        elif member.instance.state is State.LEAVING and not direct:
            member.heard_at = heard
            return
        member.instance = instance
        member.ready = bool(ready)
        member.heard_at = heard

    def _lives(self, member: Member) -> bool:
        age = self._clock() - member.heard_at
        limit = LOST_BEATS * self.period_s
        if member.instance.zone != self.instance.zone:
            # Speakers report the others' daemons once a period, and the
            # report passes two daemons.
            limit *= 2.0
        return age <= limit and member.instance.state is State.LIVE

    def _own_row(self) -> Row:
        return self._row(self.instance, self.ready, self.incarnation, age=0.0)

    def _row(
        self, item: Instance, ready: bool, incarnation: int, *, age: float
    ) -> Row:
        return [
            item.instance_id,
            item.zone,
            item.host,
            item.port,
            item.peer_port,
            item.state is State.LEAVING,
            ready,
            incarnation,
            round(age, 2),
        ]

    def _rows(self, chosen: Callable[[Member], bool]) -> list[Row]:
        now = self._clock()
        return [
            self._row(
                member.instance,
                member.ready,
                member.incarnation,
                age=now - member.heard_at,
            )
            for member in self._members.values()
            if chosen(member) and self._lives(member)
        ]

    def _strangers(self) -> list[str]:
        """Return addresses where a daemon may be that isn't known to live."""
        now = self._clock()
        lost = []
        for name, member in list(self._members.items()):
            if self._lives(member):
                continue
            if now - member.heard_at > FORGET_S:
                del self._members[name]
            else:
                lost.append(member.instance.host)
        known = {item.host for item in (*self.mates(), *self.others())}
        wanted = [
            host
            for host in self.seeds
            if host not in known and host != self.instance.host
        ]
        if lost:
            wanted.append(self._random.choice(lost))
        return wanted
