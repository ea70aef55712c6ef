"""Messages between daemons that are handled by the daemon itself."""

import attrs


@attrs.frozen(kw_only=True)
class DaemonLeaving:
    """The sender is shutting down.

    Receivers leave it out of the owners whose addresses they give to clients.
    """

    incarnation: int


@attrs.frozen(kw_only=True)
class UpstreamLeaving:
    """An upstream of a service announced that it is leaving."""

    service: str
    upstream_id: str
