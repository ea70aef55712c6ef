"""Accepted services of the fleet and the runtimes of the served ones."""

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
from hawthornmast.daemon.runtime import Runtime
from hawthornmast.daemon.runtime import RuntimeContext
from hawthornmast.membership import Directory
from hawthornmast.membership import is_daemons_key
from hawthornmast.membership import parse_daemons_at_key
from hawthornmast.membership import parse_upstreams
from hawthornmast.membership.directory import UPSTREAMS_PREFIX

SERVICES_PREFIX = "catalogue/services/"


class Services:
    """Accepted services, with a runtime for each service that is served here.

    Parameters
    ----------
    directory
        Accepted lists of daemons and upstreams.
    context
        State and callbacks of the daemon that the runtimes use.
    is_reachable
        Returns whether a daemon is reachable; unreachable owners are listed
        last.
    on_closed
        Called with the name of a service that this daemon no longer serves.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        context: RuntimeContext,
        is_reachable: Callable[[str], bool],
        on_closed: Callable[[str], None],
    ) -> None:
        self._directory = directory
        self._context = context
        self._is_reachable = is_reachable
        self._on_closed = on_closed
        self.on_unknown: Callable[[str], Awaitable[None]] | None = None
        self._services: dict[str, Service] = {}
        self._runtimes: dict[str, Runtime] = {}

    def __iter__(self) -> Iterator[Runtime]:
        """Iterate over the runtimes of the services that this daemon owns."""
        return iter(list(self._runtimes.values()))

    @property
    def known(self) -> dict[str, Service]:
        """Accepted services whose documents this daemon keeps, by name."""
        return self._services

    def is_known(self, service_name: str) -> bool:
        """Return whether this daemon keeps the document of a service."""
        return service_name in self._services

    async def fetch_if_unknown(self, service_name: str) -> None:
        """Fetch the document of a service that isn't known here."""
        if self.on_unknown is not None:
            await self.on_unknown(service_name)

    def runtime(self, service_name: str) -> Runtime | None:
        """Return the runtime of a service, or None if it isn't served here."""
        return self._runtimes.get(service_name)

    def owners(self, service_name: str) -> list[Instance] | None:
        """Return the daemons that serve a service, in order of preference.

        Leaving daemons are omitted unless all owners are leaving.
        Unreachable daemons come last rather than being omitted, since a
        one-way partition may affect only this daemon.
        """
        service = self._services.get(service_name)
        if service is None:
            return None
        group = self._find_owners(service)
        remaining = [
            owner
            for owner in group
            if not self._directory.is_leaving(owner.instance_id)
        ]
        return sorted(
            remaining or group,
            key=lambda owner: not self._is_reachable(owner.instance_id),
        )

    def ticketed_entries(self, service_name: str) -> list[str]:
        """Return the names of the entries that require a ticket."""
        service = self._services.get(service_name)
        if service is None:
            return []
        return [item.name for item in service.entries if not item.idempotent]

    def apply_document(self, key: str, revision: int, text: str) -> None:
        """Apply an accepted catalogue document."""
        parsed = parse_service(text, source=key)
        # unwrap() can't fail: the store validates a document before it
        # accepts it.
        service = attrs.evolve(parsed.unwrap(), revision=revision)
        self._services[service.name] = service
        runtime = self._runtimes.get(service.name)
        if runtime is not None:
            runtime.update_service(service)
        self.update_runtime(service.name)

    def remove_document(self, key: str) -> None:
        """Remove a service whose document was deleted."""
        name = key.removeprefix(SERVICES_PREFIX)
        if self._services.pop(name, None) is not None:
            self.update_runtime(name)
            self._directory.discard_remote_selections(name)

    def update_runtime(self, service_name: str) -> None:
        """Create, update or close the runtime of a service."""
        service = self._services.get(service_name)
        group: tuple[Instance, ...] = ()
        if service is not None:
            group = self._find_owners(service)
        self_id = self._context.instance.instance_id
        if service is None or self_id not in {d.instance_id for d in group}:
            self._close_runtime(service_name)
            return
        runtime = self._runtimes.get(service_name)
        if runtime is None:
            runtime = Runtime(service, context=self._context)
            self._runtimes[service_name] = runtime
        runtime.update_lists(
            self._directory.upstreams(service_name),
            [daemon.instance_id for daemon in group],
            view=str(self._directory.daemons_revision),
        )

    def update_runtimes(self) -> None:
        """Update the runtimes of the services whose owner group changed."""
        self_id = self._context.instance.instance_id
        for name, service in list(self._services.items()):
            owners = self._find_owners(service)
            group = tuple(daemon.instance_id for daemon in owners)
            runtime = self._runtimes.get(name)
            if runtime is None:
                changed = self_id in group
            else:
                changed = runtime.group != group
            if changed:
                self.update_runtime(name)

    def remove_dropped(self, is_held: Callable[[str], bool]) -> None:
        """Remove the services whose documents the store no longer holds."""
        for name in list(self._services):
            if not is_held(SERVICES_PREFIX + name):
                self.remove_document(SERVICES_PREFIX + name)

    def _find_owners(self, service: Service) -> tuple[Instance, ...]:
        return self._directory.owners(
            service.name,
            per_zone=service.owners_per_zone,
            zones=service.zones,
        )

    def _close_runtime(self, service_name: str) -> None:
        runtime = self._runtimes.pop(service_name, None)
        if runtime is not None:
            runtime.close()
            self._on_closed(service_name)


def validate_document(key: str, text: str) -> Result[object, object]:
    """Validate a published document before it is accepted."""
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
    """Check that the name in a document matches its key."""
    if service.name == name:
        return Ok(service)
    return Err(
        f"name is {service.name!r}, allowed: {name!r} as in the document's key"
    )
