"""Documents that a daemon fetches when a client asks for their service."""

from collections import OrderedDict
from collections.abc import Callable

import trio

from hawthornmast.configuration import ConfigurationStore
from hawthornmast.daemon.services import Services
from hawthornmast.daemon.services import SERVICES_PREFIX

CAPACITY = 512
"""Documents kept beside those of the own services; about 4 kB each."""

WAIT_S = 2.0
_POLL_S = 0.01


class OnDemandDocuments:
    """Keeps the documents of the services that clients asked for last.

    In a large fleet a daemon keeps the documents only of the services that
    it may have to serve, yet any daemon is asked which addresses serve a
    service.

    Parameters
    ----------
    store
        Index of all keys, which tells whether a service exists.
    services
        Accepted services.
    fetch
        Starts to fetch the document of a key.
    refresh
        Called when a document is needed no longer.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        services: Services,
        fetch: Callable[[str], None],
        refresh: Callable[[], None],
    ) -> None:
        self._store = store
        self._services = services
        self._fetch = fetch
        self._refresh = refresh
        self._names: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, service_name: str) -> bool:
        return service_name in self._names

    async def prepare(self, service_name: str) -> None:
        """Fetch the document of a service and wait for it a short while."""
        key = SERVICES_PREFIX + service_name
        entry = self._store.entry(key)
        if entry is None or not entry[1]:
            return
        self._names[service_name] = None
        self._names.move_to_end(service_name)
        if len(self._names) > CAPACITY:
            self._names.popitem(last=False)
            self._refresh()
        self._fetch(key)
        with trio.move_on_after(WAIT_S):
            while service_name not in self._services.known:
                await trio.sleep(_POLL_S)
