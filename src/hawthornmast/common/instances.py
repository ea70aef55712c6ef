"""Instances of the fleet and upstreams, as published by the platform."""

import enum

import attrs


class State(enum.StrEnum):
    """Published state of an instance or an upstream."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Instance:
    """A daemon of the fleet.

    Parameters
    ----------
    instance_id
        Name that is unique in the fleet.
    zone
        Availability zone.
    host
        IP address without a port.
    port
        TCP port for clients.
    peer_port
        TCP port for other daemons.
    state
        Published state.
    capacity
        Available CPU time in cores. Where daemons find each other by gossip,
        those with the highest capacity rank first in their zone: the first
        one receives most of the zone's requests and distributes what it
        reads from the platform. Where the platform publishes the list of
        daemons, the capacity has no effect.
    """

    instance_id: str
    zone: str
    host: str
    port: int
    peer_port: int
    state: State = State.LIVE
    capacity: float = 1.0

    @property
    def address(self) -> str:
        """Address for clients as ``host:port``."""
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class Upstream:
    """A back end that executes the requests of one service.

    Parameters
    ----------
    upstream_id
        Name that is unique within its service.
    zone
        Availability zone.
    host
        IP address without a port.
    port
        TCP port.
    slots
        Maximum of concurrent requests.
    connections
        Maximum of concurrent connections.
    state
        Published state.
    started_ms
        Start time of its process in milliseconds since the epoch, 0 when
        unknown; distinguishes processes that reuse an identifier.
    """

    upstream_id: str
    zone: str
    host: str
    port: int
    slots: int
    connections: int = 400
    state: State = State.LIVE
    started_ms: int = 0

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return f"{self.host}:{self.port}"
