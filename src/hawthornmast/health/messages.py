"""Messages between the owners of one service."""

import attrs


@attrs.frozen(kw_only=True)
class Stamp:
    """Time of a message by its sender's own clock.

    A receiver returns the latest stamp of its peer. The peer then knows by
    its own clock a moment before which the answer cannot have been made.
    """

    incarnation: int
    time: float


@attrs.frozen(kw_only=True)
class Count:
    """New evidence of the sender about one upstream."""

    upstream_id: str
    ok: int
    failed: int


@attrs.frozen(kw_only=True)
class Announcement:
    """An ejection that rests on a permit of the sender."""

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
    """Question for one unused permit; ``index`` is -1 for any."""

    service: str
    stamp: Stamp
    group: str
    index: int


@attrs.frozen(kw_only=True)
class PermitGrant:
    """A permit that the sender gave up for a limited time."""

    service: str
    echo: Stamp
    group: str
    index: int
    remaining_s: float
