"""Confirmation by the platform that published lists are still in force."""

from collections.abc import Callable

import trio

from hawthornmast.configuration import ConfigurationStore
from hawthornmast.configuration import PlatformClient
from hawthornmast.daemon.runtime import Runtime
from hawthornmast.daemon.services import Services
from hawthornmast.membership import is_daemons_key
from hawthornmast.membership.directory import UPSTREAMS_PREFIX

POLL_INTERVAL_S = 2.0
"""Interval of the requests; a confirmation is valid for 5 s."""


class ViewConfirmation:
    """Confirms the views of owner groups by polling the platform.

    An owner may eject an upstream only while its view of the owner group is
    confirmed. Owners normally confirm their views to each other. A crashed
    owner stays listed for a while and confirms nothing, so that without the
    platform no other owner of its groups could eject an upstream until the
    list changes.

    Parameters
    ----------
    platform
        Client of the platform.
    store
        Store of the accepted documents and their revisions.
    services
        Runtimes of the services that this daemon serves.
    reachable
        Returns whether another daemon is reachable.
    """

    def __init__(
        self,
        *,
        platform: PlatformClient,
        store: ConfigurationStore,
        services: Services,
        reachable: Callable[[str], bool],
    ) -> None:
        self._platform = platform
        self._store = store
        self._services = services
        self._reachable = reachable
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Poll the platform until ``close`` is called."""
        with self._scope:
            while True:
                await trio.sleep(POLL_INTERVAL_S)
                await self.check()

    def close(self) -> None:
        """Stop polling."""
        self._scope.cancel()

    async def check(self) -> None:
        """Confirm the views that owners can't confirm to each other."""
        unconfirmed = [
            runtime
            for runtime in self._services
            if len(runtime.group) == 1
            or not all(map(self._reachable, runtime.group))
        ]
        if not unconfirmed:
            return
        views = {id(runtime): runtime.view for runtime in unconfirmed}
        highest = self._store.highest_revision
        sent_at = trio.current_time()
        response = await self._platform.poll(highest)
        if response.is_err():
            return
        page = response.unwrap()
        # A response with an older revision is stale.
        if page.revision < highest or page.more:
            return
        changed = {key for key, _, _ in page.entries}
        for runtime in unconfirmed:
            if not _is_affected(runtime, changed):
                runtime.monitor.confirm_view(views[id(runtime)], sent_at)


def _is_affected(runtime: Runtime, changed: set[str]) -> bool:
    name = runtime.service.name
    return UPSTREAMS_PREFIX + name in changed or any(
        map(is_daemons_key, changed)
    )
