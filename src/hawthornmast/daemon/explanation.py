"""Descriptions of a daemon's state for the administration API."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs

from hawthornmast.common import Instance
from hawthornmast.configuration import ConfigurationStore
from hawthornmast.daemon.runtime import Runtime
from hawthornmast.daemon.services import Services
from hawthornmast.membership import Directory
from hawthornmast.peers import PeerNetwork

JsonObject = Mapping[str, Any]


class StateDescriber:
    """Describes this daemon, its upstreams and its entries."""

    def __init__(
        self,
        *,
        instance: Instance,
        incarnation: int,
        services: Services,
        directory: Directory,
        network: PeerNetwork,
        store: ConfigurationStore,
        is_ready: Callable[[], bool],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._services = services
        self._directory = directory
        self._network = network
        self._store = store
        self._is_ready = is_ready
        self._is_leaving = is_leaving

    def describe_status(self) -> JsonObject:
        """Return the state of this daemon and of the services it serves."""
        state = "starting"
        if self._is_leaving():
            state = "leaving"
        elif self._is_ready():
            state = "serving"
        return {
            "instance": self._instance.instance_id,
            "zone": self._instance.zone,
            "incarnation": f"{self._incarnation:016x}",
            "state": state,
            "daemons": len(self._directory.daemons),
            "neighbours": self._network.neighbours,
            "reachable": self._network.reachable_peers(),
            "configuration": {
                "keys": len(self._store),
                "highest_revision": self._store.highest_revision,
                "daemons_revision": self._directory.daemons_revision,
            },
            "services": [
                self._describe_service(item) for item in self._services
            ],
        }

    def describe_upstream(
        self, service_name: str, upstream_id: str
    ) -> JsonObject | None:
        """Return the health and slots of an upstream, or None if unlisted."""
        runtime = self._services.runtime(service_name)
        upstream = runtime and runtime.find_upstream(upstream_id)
        if runtime is None or not upstream:
            return None
        standing = runtime.monitor.standing(upstream_id)
        live_upstreams = [u for u in runtime.upstreams if u.state == "live"]
        return {
            "service": service_name,
            "owner": runtime.service.owner,
            "revision": runtime.service.revision,
            "upstream": attrs.asdict(upstream),
            "standing": attrs.asdict(standing),
            "floor": runtime.service.floor,
            "floor_upstreams": runtime.service.count_floor(
                len(live_upstreams)
            ),
            "listed": len(live_upstreams),
            "slots_allowed": runtime.allocator.allowed.get(upstream_id, 0),
            "slots_in_use": runtime.pool.in_use().get(upstream_id, 0),
            "health": runtime.monitor.describe(upstream_id),
        }

    def describe_entry(
        self, service_name: str, name: str
    ) -> JsonObject | None:
        """Return the catalogue entry in force, or None if it is unknown."""
        service = self._services.known.get(service_name)
        entry = service and service.entry_named(name)
        if service is None or not entry:
            return None
        runtime = self._services.runtime(service_name)
        return {
            "service": service_name,
            "revision": service.revision,
            "entry": {**attrs.asdict(entry), "rank": entry.rank.label},
            "served_here": runtime is not None,
            "waiting": runtime.dispatcher.count_waiting() if runtime else 0,
        }

    def _describe_service(self, runtime: Runtime) -> JsonObject:
        service = runtime.service
        standings = [
            runtime.monitor.standing(item.upstream_id)
            for item in runtime.upstreams
        ]
        demand = runtime.dispatcher.count_demand()
        return {
            "name": service.name,
            "owner": service.owner,
            "revision": service.revision,
            "group": list(runtime.group),
            "upstreams": len(runtime.upstreams),
            "ejected": sum(item.ejected for item in standings),
            "avoided": sum(item.avoided for item in standings),
            "slots_allowed": sum(runtime.allocator.allowed.values()),
            "slots_in_use": sum(runtime.pool.in_use().values()),
            "waiting": runtime.dispatcher.count_waiting(),
            "demand": {rank.label: count for rank, count in demand.items()},
        }
