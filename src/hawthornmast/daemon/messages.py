"""Notices between daemons that belong to no other slice."""

import attrs


@attrs.frozen(kw_only=True)
class DaemonLeaving:
    """The sender shuts down and must not be handed out any more."""

    incarnation: int


@attrs.frozen(kw_only=True)
class UpstreamLeaving:
    """An upstream of a service announced that it leaves."""

    service: str
    upstream_id: str
