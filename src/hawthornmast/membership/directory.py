"""Accepted lists of daemons and upstreams of one process."""

from collections.abc import Callable

from result import Ok
from result import Result

from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.membership import lists
from hawthornmast.membership import placement

DAEMONS_KEY = "instances/daemons"
UPSTREAMS_PREFIX = "instances/upstreams/"


class Directory:
    """Holds the accepted lists and the notices of leaving peers.

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
        self._owners: dict[tuple[str, int], tuple[Instance, ...]] = {}
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

        The key is that of the list; a leaving notice counts as a change of
        the list of daemons.
        """
        self._watchers.append(callback)

    def apply(
        self, key: str, revision: int, text: str | None
    ) -> Result[None, StepError]:
        """Put an accepted list in force; None empties it."""
        if key == DAEMONS_KEY:
            daemons = lists.parse_daemons(text or "[]")
            if daemons.is_err():
                return daemons.map(lambda _: None)
            listed = {d.instance_id: d for d in daemons.unwrap()}
            self._daemons = listed
            self._leaving &= listed.keys()
            self._owners.clear()
            self.daemons_revision = revision
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

    def note_leaving(self, instance_id: str) -> None:
        """Record a peer's notice that it leaves.

        Placement doesn't change: it follows the published list only, so that
        daemons with the same list agree.
        """
        if instance_id in self._daemons and instance_id not in self._leaving:
            self._leaving.add(instance_id)
            self._notify(DAEMONS_KEY)

    def clear_leaving(self, instance_id: str) -> None:
        """Forget a notice, when the instance was started again."""
        if instance_id in self._leaving:
            self._leaving.remove(instance_id)
            self._notify(DAEMONS_KEY)

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether a peer gave notice that it leaves."""
        return instance_id in self._leaving

    def owners(
        self, service_name: str, *, per_zone: int = 1
    ) -> tuple[Instance, ...]:
        """Return the owner group, computed once per list revision."""
        key = (service_name, per_zone)
        found = self._owners.get(key)
        if found is None:
            found = placement.owners_of(
                service_name, self._daemons.values(), per_zone=per_zone
            )
            self._owners[key] = found
        return found

    def neighbours(self) -> tuple[Instance, ...]:
        """Return this daemon's neighbours, also before it is listed.

        A new daemon needs peers at once, while the list still lags.
        """
        return placement.neighbours_of(self._instance, self._daemons.values())

    def is_reader(self) -> bool:
        """Return whether this daemon watches the platform."""
        readers = placement.readers_of(self._daemons.values())
        return any(
            r.instance_id == self._instance.instance_id for r in readers
        )

    def _notify(self, key: str) -> None:
        for callback in list(self._watchers):
            callback(key)
