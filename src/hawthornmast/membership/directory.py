"""Accepted lists of daemons and upstreams."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from result import Err
from result import Ok
from result import Result

from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.membership import lists
from hawthornmast.membership import placement
from hawthornmast.membership.zone import Ranked
from hawthornmast.membership.zone import ZoneMembers

DAEMONS_KEY = "instances/daemons"
ZONE_DAEMONS_PREFIX = "instances/daemons/"
"""Prefix of the lists of single zones. With them, a restart publishes the list
of one zone instead of that of the whole fleet."""

UPSTREAMS_PREFIX = "instances/upstreams/"


class Directory:
    """Holds the accepted lists and the daemons that announced their leaving.

    There are two leaving states. ``State.LEAVING`` in a published list takes
    a daemon out of placement. The leaving mark records the announcement of a
    running daemon (``mark_leaving``). It doesn't change placement, but clients
    are not sent to the daemon while a service has other owners.

    Parameters
    ----------
    instance
        This daemon.
    """

    def __init__(self, *, instance: Instance) -> None:
        self._instance = instance
        self._daemons: dict[str, Instance] = {}
        self._upstreams: dict[str, tuple[Upstream, ...]] = {}
        self._leaving: set[str] = set()
        self._lists: dict[str, tuple[Instance, ...]] = {}
        self._zones: dict[str, ZoneMembers] = {}
        self._zone_daemon_ids: dict[str, set[str]] = {}
        self._changed_zones: set[str] = set()
        self._watchers: list[Callable[[str], None]] = []
        self.daemons_revision = 0

    @property
    def daemons(self) -> tuple[Instance, ...]:
        """The accepted list of daemons."""
        return tuple(self._daemons.values())

    def daemon(self, instance_id: str) -> Instance | None:
        """Return a listed daemon."""
        return self._daemons.get(instance_id)

    def upstreams(self, service_name: str) -> tuple[Upstream, ...]:
        """Return the listed upstreams of a service."""
        return self._upstreams.get(service_name, ())

    def watch(self, callback: Callable[[str], None]) -> None:
        """Call ``callback(key)`` after each changed list.

        The key is that of the list; a leaving mark counts as a change of
        the list of daemons.
        """
        self._watchers.append(callback)

    def apply(
        self, key: str, revision: int, text: str | None
    ) -> Result[None, StepError]:
        """Apply an accepted list; None as its text removes it."""
        if is_daemons_key(key):
            daemons = parse_daemons_at_key(key, text or "[]")
            if isinstance(daemons, Err):
                return daemons
            if text is None:
                self._lists.pop(key, None)
            else:
                self._lists[key] = daemons.unwrap()
            self._merge_lists(key)
            self.daemons_revision = max(revision, self.daemons_revision)
        elif key.startswith(UPSTREAMS_PREFIX):
            upstreams = lists.parse_upstreams(text or "[]")
            if upstreams.is_err():
                return upstreams.map(lambda _: None)
            name = key.removeprefix(UPSTREAMS_PREFIX)
            if text is None:
                self._upstreams.pop(name, None)
            else:
                self._upstreams[name] = upstreams.unwrap()
        else:
            return Ok(None)
        self._notify(key)
        return Ok(None)

    def _merge_lists(self, key: str) -> None:
        """Apply a changed list of daemons to the zones it covers.

        The list of a single zone overrides that zone's entries in the list
        of the whole fleet.
        """
        if key == DAEMONS_KEY:
            grouped: dict[str, list[Instance]] = {
                zone: [] for zone in self._zones
            }
            for daemon in self._lists.get(DAEMONS_KEY, ()):
                grouped.setdefault(daemon.zone, []).append(daemon)
            for zone, members in grouped.items():
                if ZONE_DAEMONS_PREFIX + zone not in self._lists:
                    self._set_zone(zone, members)
        else:
            zone = key.removeprefix(ZONE_DAEMONS_PREFIX)
            listed = self._lists.get(key)
            if listed is None:
                whole = self._lists.get(DAEMONS_KEY, ())
                listed = tuple(d for d in whole if d.zone == zone)
            self._set_zone(zone, listed)
        self._leaving &= self._daemons.keys()

    def _set_zone(self, zone: str, members: Iterable[Instance]) -> None:
        zone_members = self._zones.setdefault(zone, ZoneMembers())
        listed = {d.instance_id: d for d in members}
        for name in self._zone_daemon_ids.get(zone, set()) - listed.keys():
            if self._daemons[name].zone == zone:
                del self._daemons[name]
        self._zone_daemon_ids[zone] = set(listed)
        self._daemons.update(listed)
        if zone_members.update(listed.values()):
            self._changed_zones.add(zone)

    def pop_changed_zones(self) -> set[str]:
        """Return the zones whose live daemons changed since the last call."""
        changed, self._changed_zones = self._changed_zones, set()
        return changed

    def candidates(self, name: str, zone: str, count: int) -> list[Instance]:
        """Return the daemons of a zone with the highest hashes for a name.

        These are the possible owners of a service, or the readers.
        """
        members = self._zones.get(zone)
        if members is None:
            return []
        return [daemon for _, daemon in members.select(name, count)]

    def mark_leaving(self, instance_id: str) -> None:
        """Record a peer's announcement that it is leaving.

        Placement doesn't change: it depends only on the published list, so
        that daemons with the same list compute the same placement.
        """
        if instance_id in self._daemons and instance_id not in self._leaving:
            self._leaving.add(instance_id)
            self._notify(DAEMONS_KEY)

    def clear_leaving(self, instance_id: str) -> None:
        """Remove the leaving mark of an instance that was started again."""
        if instance_id in self._leaving:
            self._leaving.remove(instance_id)
            self._notify(DAEMONS_KEY)

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether a peer announced that it is leaving."""
        return instance_id in self._leaving

    def owners(
        self,
        service_name: str,
        *,
        per_zone: int = 1,
        zones: Collection[str] = (),
    ) -> tuple[Instance, ...]:
        """Return the owner group, in hash order.

        Parameters
        ----------
        service_name
            Name of the service.
        per_zone
            Daemons selected in each zone.
        zones
            Zones with owners. All zones when it is empty or when none of
            them has a live daemon, so that a service always has an owner.
        """
        if per_zone < 1:
            raise ValueError(f"per_zone is {per_zone}, allowed: 1 or more")
        selected = self._select_owners(service_name, per_zone, zones)
        if zones and not selected:
            selected = self._select_owners(service_name, per_zone, ())
        selected.sort(key=lambda pair: pair[0], reverse=True)
        return tuple(daemon for _, daemon in selected)

    def _select_owners(
        self, service_name: str, per_zone: int, zones: Collection[str]
    ) -> list[Ranked]:
        return [
            pair
            for zone, members in self._zones.items()
            if not zones or zone in zones
            for pair in members.select(service_name, per_zone)
        ]

    def discard_remote_selections(self, service_name: str) -> None:
        """Drop the cached owners of a service in other zones.

        The selection in this daemon's own zone stays cached.
        """
        for zone, members in self._zones.items():
            if zone != self._instance.zone:
                members.discard_selection(service_name)

    def neighbours(self) -> tuple[Instance, ...]:
        """Return this daemon's neighbours, even if it isn't listed yet.

        A new daemon needs peers at once, before it appears in the published
        list.
        """
        own = self._instance
        found: dict[str, Instance] = {}
        for zone, members in sorted(self._zones.items()):
            if zone == own.zone:
                for daemon in members.neighbours(own):
                    found[daemon.instance_id] = daemon
                continue
            successor = members.find_successor(own)
            if successor is not None:
                found[successor.instance_id] = successor
        return tuple(found.values())

    def is_reader(self) -> bool:
        """Return whether this daemon watches the platform."""
        readers = self.candidates(
            placement.READERS_HASH_NAME,
            self._instance.zone,
            placement.READERS_PER_ZONE,
        )
        own_id = self._instance.instance_id
        return any(r.instance_id == own_id for r in readers)

    def _notify(self, key: str) -> None:
        for callback in list(self._watchers):
            callback(key)


def is_daemons_key(key: str) -> bool:
    """Return whether a key holds a list of daemons."""
    return key == DAEMONS_KEY or key.startswith(ZONE_DAEMONS_PREFIX)


def parse_daemons_at_key(
    key: str, text: str
) -> Result[tuple[Instance, ...], StepError]:
    """Parse the list of daemons under a key.

    A list under the key of a zone that contains a daemon of another zone is
    invalid.
    """
    parsed = lists.parse_daemons(text)
    if isinstance(parsed, Err) or key == DAEMONS_KEY:
        return parsed
    zone = key.removeprefix(ZONE_DAEMONS_PREFIX)
    for daemon in parsed.ok_value:
        if daemon.zone != zone:
            detail = (
                f"zone of {daemon.instance_id!r} is {daemon.zone!r}, "
                f"allowed: {zone!r} as in the document's key"
            )
            return Err(StepError(step="parse-daemons", detail=detail))
    return parsed
