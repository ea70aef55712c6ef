"""Confirmation of the published lists by the platform."""

from collections.abc import Callable

import trio

from hawthornmast.configuration import ConfigurationStore
from hawthornmast.configuration import PlatformClient
from hawthornmast.daemon.runtime import Runtime
from hawthornmast.daemon.services import Services
from hawthornmast.membership import is_daemons_key
from hawthornmast.membership.directory import UPSTREAMS_PREFIX

PERIOD_S = 2.0
"""Time between two questions; a confirmation is valid for 5 s."""


class ViewConfirmation:
    """Asks the platform whether the lists of a group are still in force.

    Owners confirm their view to each other as a rule. A member that crashed
    stays listed for a while and confirms nothing; without the platform no
    owner of its groups could eject an upstream until the list changes.

    Parameters
    ----------
    platform
        Client of the platform.
    store
        Accepted revisions.
    services
        Services that this daemon serves.
    reachable
        Tells whether another daemon can be reached.
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
        """Check until ``close``."""
        with self._scope:
            while True:
                await trio.sleep(PERIOD_S)
                await self.check()

    def close(self) -> None:
        """Stop checking."""
        self._scope.cancel()

    async def check(self) -> None:
        """Confirm the views that the members can't confirm themselves."""
        waiting = [
            runtime
            for runtime in self._services
            if len(runtime.group) == 1
            or not all(map(self._reachable, runtime.group))
        ]
        if not waiting:
            return
        views = {id(runtime): runtime.view for runtime in waiting}
        highest = self._store.highest_revision
        sent_at = trio.current_time()
        done = await self._platform.poll(highest)
        if done.is_err():
            return
        page = done.unwrap()
        # A platform that answers with an older revision is stale.
        if page.revision < highest or page.more:
            return
        changed = {key for key, _, _ in page.entries}
        for runtime in waiting:
            if not _is_affected(runtime, changed):
                runtime.monitor.confirm_view(views[id(runtime)], sent_at)


def _is_affected(runtime: Runtime, changed: set[str]) -> bool:
    name = runtime.service.name
    return UPSTREAMS_PREFIX + name in changed or any(
        map(is_daemons_key, changed)
    )
