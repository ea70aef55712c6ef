"""Selection of the documents that a daemon keeps."""

from collections.abc import Callable

from hawthornmast.catalogue import MAX_OWNERS_PER_ZONE
from hawthornmast.common import Instance
from hawthornmast.configuration import ConfigurationStore
from hawthornmast.daemon.services import SERVICES_PREFIX
from hawthornmast.membership import Directory
from hawthornmast.membership import is_daemons_key
from hawthornmast.membership.directory import UPSTREAMS_PREFIX

KEEP_ALL_MAX_SERVICES = 256
"""Up to this number of services, each daemon keeps all catalogue documents.

Above it, a daemon keeps the documents of the services that it may have to
serve.
"""


class DocumentRetention:
    """Decides which documents this daemon keeps.

    Parameters
    ----------
    instance
        This daemon.
    directory
        Accepted lists of daemons, from which owners are computed.
    store
        Store of the accepted documents, with the index of all keys.
    is_recently_requested
        Returns whether clients recently requested a service.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        directory: Directory,
        store: ConfigurationStore,
        is_recently_requested: Callable[[str], bool],
    ) -> None:
        self._instance = instance
        self._directory = directory
        self._store = store
        self._is_recently_requested = is_recently_requested
        self._has_many_services = False
        self.refresh_due = False

    def update_service_count(self) -> None:
        """Recount the services, to decide whether all documents are kept."""
        self.refresh_due = False
        self._has_many_services = (
            self._count_services() > KEEP_ALL_MAX_SERVICES
        )

    def request_refresh(self) -> None:
        """Request a refresh because documents may no longer be needed."""
        self.refresh_due = True

    def is_needed(self, key: str) -> bool:
        """Return whether this daemon keeps the document of a key."""
        if is_daemons_key(key):
            return True
        name = key.removeprefix(SERVICES_PREFIX)
        if name == key:
            name = key.removeprefix(UPSTREAMS_PREFIX)
        if name == key:
            return False
        # Counting iterates over all keys, so above the limit the services
        # are recounted only when the documents are refreshed.
        if not self._has_many_services:
            if self._count_services() <= KEEP_ALL_MAX_SERVICES:
                return True
            self._has_many_services = self.refresh_due = True
        if key.startswith(SERVICES_PREFIX) and self._is_recently_requested(
            name
        ):
            return True
        return self._instance.instance_id in self.find_holders(key)

    def find_holders(self, key: str) -> list[str]:
        """Return the daemons of this zone that keep a service's documents.

        These are all candidate owners: how many daemons of a zone own the
        service is known only from its document.
        """
        name = key.rpartition("/")[2]
        candidates = self._directory.candidates(
            name, self._instance.zone, MAX_OWNERS_PER_ZONE
        )
        return [item.instance_id for item in candidates]

    def _count_services(self) -> int:
        return self._store.count_keys(SERVICES_PREFIX)
