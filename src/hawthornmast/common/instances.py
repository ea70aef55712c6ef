"""Instances of the fleet and upstreams, as the platform publishes them."""

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
        TCP port on which callers connect.
    peer_port
        TCP port on which other daemons connect.
    state
        Published state.
    capacity
        Processor time that its machine gives it, in cores. It orders the
        daemons of a zone for duties where they find each other by
        themselves; a published list may state it, without effect.
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
        """The callers' address as ``host:port``."""
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
        Requests that it executes at the same time.
    connections
        Connections that it accepts at the same time.
    state
        Published state.
    """

    upstream_id: str
    zone: str
    host: str
    port: int
    slots: int
    connections: int = 400
    state: State = State.LIVE

    @property
    def address(self) -> str:
        """The address as ``host:port``."""
        return f"{self.host}:{self.port}"
