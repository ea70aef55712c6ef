"""Messages between the owners of one service."""

import attrs


@attrs.frozen(kw_only=True)
class Stamp:
    """Time at which a message was sent, by the sender's clock.

    A receiver echoes the latest stamp of its peer. The echo gives the peer a
    lower bound, by its own clock, of the time at which the reply was made.
    """

    incarnation: int
    time: float


@attrs.frozen(kw_only=True)
class Count:
    """Results observed on one upstream since the sender's last report."""

    upstream_id: str
    ok: int
    failed: int


@attrs.frozen(kw_only=True)
class Announcement:
    """An ejection covered by a permit of the sender."""

    upstream_id: str
    remaining_s: float


@attrs.frozen(kw_only=True)
class HealthReport:
    """Evidence, ejections and group of one owner of a service."""

    service: str
    stamp: Stamp
    echo: Stamp | None
    group: str
    counts: list[Count]
    announcements: list[Announcement]


@attrs.frozen(kw_only=True)
class PermitRequest:
    """Request for one unused permit; ``index`` is -1 for any."""

    service: str
    stamp: Stamp
    group: str
    index: int


@attrs.frozen(kw_only=True)
class PermitGrant:
    """A permit that the sender transfers for a limited time."""

    service: str
    echo: Stamp
    group: str
    index: int
    remaining_s: float


MESSAGE_TYPES = (HealthReport, PermitGrant, PermitRequest)
"""Types of the messages between the owners of a service."""
