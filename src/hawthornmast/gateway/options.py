"""What one member has to know of its deployment."""

import attrs

from hawthornmast.common import Instance


@attrs.frozen(kw_only=True)
class Bounds:
    """Limits that the deployment's operators set.

    Parameters
    ----------
    retry_ratio
        Second attempts allowed per request of a service, fleet-wide.
    retry_slack
        Second attempts allowed besides in any window.
    retry_window_s
        Length of that window in seconds.
    grace_s
        Seconds from SIGTERM until the process is killed.
    address_ttl_s
        Seconds for which clients keep an answer with addresses.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    grace_s: float = 6.0
    address_ttl_s: float = 1.0


@attrs.frozen(kw_only=True)
class GatewayOptions:
    """Addresses and limits of one member.

    Parameters
    ----------
    instance
        This daemon; ``peer_port`` is used for TCP and UDP between daemons.
    seeds
        IP addresses of daemons that may be running.
    connections
        Client connections at once.
    bounds
        Limits that the operators set.
    """

    instance: Instance
    seeds: tuple[str, ...] = ()
    connections: int = 2000
    bounds: Bounds = Bounds()
