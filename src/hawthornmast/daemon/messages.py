"""Messages between daemons that are handled by the daemon itself."""

import attrs


@attrs.frozen(kw_only=True)
class DaemonLeaving:
    """The sender is shutting down and must not be returned to clients."""

    incarnation: int


@attrs.frozen(kw_only=True)
class UpstreamLeaving:
    """An upstream of a service announced that it is leaving."""

    service: str
    upstream_id: str
