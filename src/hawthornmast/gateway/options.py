"""Options of one member."""

import attrs

from hawthornmast.common import Instance


@attrs.frozen(kw_only=True)
class Bounds:
    """Bounds that the operators of the deployment set.

    Parameters
    ----------
    retry_ratio
        Retries allowed per request of a service, fleet-wide.
    retry_slack
        Retries allowed in each window in addition to the ratio, fleet-wide.
    retry_window_s
        Length of the sliding window in seconds.
    grace_s
        Seconds between SIGTERM and the kill of the process.
    address_ttl_s
        Seconds for which clients may cache the addresses of members.
    floor_share
        Share of a service's healthy upstreams that must receive requests
        while a part of its requests fails.
    quota_window_s
        Length in seconds of the sliding window in which the requests of a
        team are counted against its rate.
    quota_overshoot
        Fraction by which they may exceed it, fleet-wide.
    quota_slack
        Requests by which they may exceed it in addition.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    grace_s: float = 6.0
    address_ttl_s: float = 1.0
    floor_share: float = 0.7
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.25
    quota_slack: float = 20.0


@attrs.frozen(kw_only=True)
class GatewayOptions:
    """Addresses and bounds of one member.

    Parameters
    ----------
    instance
        This member; ``peer_port`` is used for TCP and UDP between members.
    seeds
        IP addresses at which other members may be running.
    connections
        Maximum number of client connections.
    bounds
        Bounds that the operators set.
    zones
        Number of zones of the deployment, the same on all members.
    """

    instance: Instance
    seeds: tuple[str, ...] = ()
    connections: int = 2000
    bounds: Bounds = Bounds()
    zones: int = 1
