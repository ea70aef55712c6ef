"""Documents that are fetched when a client requests their service."""

from collections import OrderedDict
from collections.abc import Callable

import trio

from hawthornmast.configuration import ConfigurationStore
from hawthornmast.daemon.services import Services
from hawthornmast.daemon.services import SERVICES_PREFIX

MAX_DOCUMENTS = 512
"""Limit on the fetched documents, which take about 4 kB each."""

FETCH_TIMEOUT_S = 2.0
_POLL_INTERVAL_S = 0.01


class OnDemandDocuments:
    """LRU cache of the documents of services that clients requested.

    In a large fleet a daemon keeps only the documents of the services that it
    may have to serve, but clients request the addresses of any service from
    any daemon. The cache holds the documents of the other services.

    Parameters
    ----------
    store
        Store of the accepted documents; its index of all keys tells whether a
        service exists.
    services
        Accepted services, to which fetched documents are added.
    fetch
        Starts to fetch the document of a key in the background.
    request_refresh
        Called when a document is evicted, so that it is dropped.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        services: Services,
        fetch: Callable[[str], None],
        request_refresh: Callable[[], None],
    ) -> None:
        self._store = store
        self._services = services
        self._fetch = fetch
        self._request_refresh = request_refresh
        self._recent_names: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, service_name: str) -> bool:
        return service_name in self._recent_names

    async def fetch_and_wait(self, service_name: str) -> None:
        """Fetch a service's document and wait up to ``FETCH_TIMEOUT_S``.

        A service without an index entry, or with a deleted document, is not
        fetched.
        """
        key = SERVICES_PREFIX + service_name
        # Revision and digest; the digest of a deleted document is empty.
        index_entry = self._store.entry(key)
        if index_entry is None or not index_entry[1]:
            return
        self._recent_names[service_name] = None
        self._recent_names.move_to_end(service_name)
        if len(self._recent_names) > MAX_DOCUMENTS:
            self._recent_names.popitem(last=False)
            self._request_refresh()
        self._fetch(key)
        with trio.move_on_after(FETCH_TIMEOUT_S):
            while service_name not in self._services.known:
                await trio.sleep(_POLL_INTERVAL_S)
