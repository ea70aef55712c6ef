"""Which documents a daemon keeps."""

from collections.abc import Callable

from hawthornmast.catalogue import MAX_OWNERS_PER_ZONE
from hawthornmast.common import Instance
from hawthornmast.configuration import ConfigurationStore
from hawthornmast.daemon.services import SERVICES_PREFIX
from hawthornmast.membership import Directory
from hawthornmast.membership import is_daemons_key
from hawthornmast.membership.directory import UPSTREAMS_PREFIX

SMALL_FLEET_SERVICES = 256
"""Up to this many services every daemon keeps all catalogue documents.

Above it a daemon keeps those that it may have to serve.
"""


class DocumentNeeds:
    """Tells which documents this daemon keeps.

    Parameters
    ----------
    instance
        This daemon.
    directory
        Accepted lists of daemons.
    store
        Index of all keys.
    is_asked_for
        Tells whether clients asked for a service lately.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        directory: Directory,
        store: ConfigurationStore,
        is_asked_for: Callable[[str], bool],
    ) -> None:
        self._instance = instance
        self._directory = directory
        self._store = store
        self._is_asked_for = is_asked_for
        self._is_large = False
        self.refresh_due = False

    def count_again(self) -> None:
        """Decide anew whether the fleet is large."""
        self.refresh_due = False
        self._is_large = self._count_services() > SMALL_FLEET_SERVICES

    def request_refresh(self) -> None:
        """Note that documents may be needed no longer."""
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
        # Counting looks at every key, so a large fleet is counted again only
        # when the documents are refreshed.
        if not self._is_large:
            if self._count_services() <= SMALL_FLEET_SERVICES:
                return True
            self._is_large = self.refresh_due = True
        if key.startswith(SERVICES_PREFIX) and self._is_asked_for(name):
            return True
        return self._instance.instance_id in self.find_holders(key)

    def find_holders(self, key: str) -> list[str]:
        """Return the daemons of this zone that keep a service's documents.

        They are all that may be its owners, since only the document tells
        how many daemons of a zone are.
        """
        name = key.rpartition("/")[2]
        candidates = self._directory.candidates(
            name, self._instance.zone, MAX_OWNERS_PER_ZONE
        )
        return [item.instance_id for item in candidates]

    def _count_services(self) -> int:
        return self._store.count_keys(SERVICES_PREFIX)
