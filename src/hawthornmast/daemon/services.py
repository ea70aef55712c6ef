"""The services of the fleet as one daemon sees them."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue import parse_service
from hawthornmast.catalogue import Service
from hawthornmast.common import Instance
from hawthornmast.daemon.runtime import Links
from hawthornmast.daemon.runtime import Runtime
from hawthornmast.membership import Directory
from hawthornmast.membership import is_daemons_key
from hawthornmast.membership import parse_daemons_at_key
from hawthornmast.membership import parse_upstreams
from hawthornmast.membership.directory import UPSTREAMS_PREFIX

SERVICES_PREFIX = "catalogue/services/"


class Services:
    """Accepted services, with a runtime for each that this daemon serves.

    Parameters
    ----------
    directory
        Accepted lists of daemons and upstreams.
    links
        What the runtimes need of the daemon.
    is_reachable
        Tells whether a daemon can be reached; unreachable owners are handed
        out last.
    on_forgotten
        Called with the name of a service that is served no longer.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        links: Links,
        is_reachable: Callable[[str], bool],
        on_forgotten: Callable[[str], None],
    ) -> None:
        self._directory = directory
        self._links = links
        self._is_reachable = is_reachable
        self._on_forgotten = on_forgotten
        self.on_unknown: Callable[[str], Awaitable[None]] | None = None
        self._services: dict[str, Service] = {}
        self._runtimes: dict[str, Runtime] = {}

    def __iter__(self) -> Iterator[Runtime]:
        return iter(list(self._runtimes.values()))

    @property
    def known(self) -> dict[str, Service]:
        """All accepted services that this daemon holds, by name."""
        return self._services

    def is_known(self, service_name: str) -> bool:
        """Tell whether this daemon holds the document of a service."""
        return service_name in self._services

    async def prepare(self, service_name: str) -> None:
        """Fetch the document of a service that this daemon lacks."""
        if self.on_unknown is not None:
            await self.on_unknown(service_name)

    def runtime(self, service_name: str) -> Runtime | None:
        """Return the runtime of a service that this daemon serves."""
        return self._runtimes.get(service_name)

    def owners(self, service_name: str) -> list[Instance] | None:
        """Return the daemons that serve a service, the best first.

        Daemons that leave are not handed out; those that this daemon can't
        reach come last, since a one-way cut may concern only itself.
        """
        service = self._services.get(service_name)
        if service is None:
            return None
        group = self._find_owners(service)
        staying = [
            owner
            for owner in group
            if not self._directory.is_leaving(owner.instance_id)
        ]
        return sorted(
            staying or group,
            key=lambda owner: not self._is_reachable(owner.instance_id),
        )

    def ticketed_entries(self, service_name: str) -> list[str]:
        """Return the names of the entries that need a ticket."""
        service = self._services.get(service_name)
        if service is None:
            return []
        return [item.name for item in service.entries if not item.idempotent]

    def apply_document(self, key: str, revision: int, text: str) -> None:
        """Put an accepted catalogue document in force."""
        parsed = parse_service(text, source=key)
        # The store validated the document before it accepted it.
        service = attrs.evolve(parsed.unwrap(), revision=revision)
        self._services[service.name] = service
        runtime = self._runtimes.get(service.name)
        if runtime is not None:
            runtime.update_service(service)
        self.refresh(service.name)

    def remove_document(self, key: str) -> None:
        """Stop serving a service whose document was deleted."""
        name = key.removeprefix(SERVICES_PREFIX)
        if self._services.pop(name, None) is not None:
            self.refresh(name)
            self._directory.discard_remote_selections(name)

    def refresh(self, service_name: str) -> None:
        """Start, update or close the runtime of a service."""
        service = self._services.get(service_name)
        group: tuple[Instance, ...] = ()
        if service is not None:
            group = self._find_owners(service)
        own = self._links.instance.instance_id
        if service is None or own not in {d.instance_id for d in group}:
            self._forget(service_name)
            return
        runtime = self._runtimes.get(service_name)
        if runtime is None:
            runtime = Runtime(service, links=self._links)
            self._runtimes[service_name] = runtime
        runtime.update_lists(
            self._directory.upstreams(service_name),
            [daemon.instance_id for daemon in group],
            view=str(self._directory.daemons_revision),
        )

    def refresh_all(self) -> None:
        """Apply a new list of daemons to the services whose group changed."""
        own = self._links.instance.instance_id
        for name, service in list(self._services.items()):
            owners = self._find_owners(service)
            group = tuple(daemon.instance_id for daemon in owners)
            runtime = self._runtimes.get(name)
            if runtime is None:
                changed = own in group
            else:
                changed = runtime.group != group
            if changed:
                self.refresh(name)

    def forget_dropped(self, is_held: Callable[[str], bool]) -> None:
        """Forget the services whose documents were dropped."""
        for name in list(self._services):
            if not is_held(SERVICES_PREFIX + name):
                self.remove_document(SERVICES_PREFIX + name)

    def _find_owners(self, service: Service) -> tuple[Instance, ...]:
        return self._directory.owners(
            service.name,
            per_zone=service.owners_per_zone,
            zones=service.zones,
        )

    def _forget(self, service_name: str) -> None:
        runtime = self._runtimes.pop(service_name, None)
        if runtime is not None:
            runtime.close()
            self._on_forgotten(service_name)


def validate_document(key: str, text: str) -> Result[object, object]:
    """Check a published document as a whole before it is accepted."""
    if key.startswith(SERVICES_PREFIX):
        parsed = parse_service(text, source=key)
        if parsed.is_err():
            return parsed.map_err(
                lambda problems: "; ".join(str(item) for item in problems)
            )
        name = key.removeprefix(SERVICES_PREFIX)
        return check_name(parsed.unwrap(), name)
    if is_daemons_key(key):
        return parse_daemons_at_key(key, text)
    if key.startswith(UPSTREAMS_PREFIX):
        return parse_upstreams(text)
    return Ok(None)


def check_name(service: Service, name: str) -> Result[object, object]:
    """Check that a document is published under its own name."""
    if service.name == name:
        return Ok(service)
    return Err(
        f"name is {service.name!r}, allowed: {name!r} as in the document's key"
    )
