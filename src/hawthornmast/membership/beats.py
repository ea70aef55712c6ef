"""What daemons know and tell each other of the daemons that live."""

import math
from typing import Any

import attrs

from hawthornmast.common import Instance
from hawthornmast.common import State

Row = list[Any]


@attrs.define(kw_only=True, eq=False)
class Member:
    """Another daemon as this one knows it.

    Parameters
    ----------
    instance
        Its name, zone and addresses.
    incarnation
        Start of its process in nanoseconds since the epoch.
    heard_at
        Monotonic time at which it was heard itself, or a speaker vouched
        for it.
    met
        Whether it was heard itself in this incarnation.
    redirected_at
        Monotonic time at which it was last told the speaker of this zone.
    """

    instance: Instance
    incarnation: int
    ready: bool
    heard_at: float
    met: bool = False
    redirected_at: float = -math.inf


@attrs.frozen(kw_only=True)
class Beat:
    """One sign of life, ready to be sent to an address."""

    host: str
    rows: list[Row]


@attrs.frozen(kw_only=True)
class Report:
    """What a row says of a daemon.

    Parameters
    ----------
    instance
        Its name, zone, addresses and state.
    ready
        Whether clients should connect to it.
    incarnation
        Start of its process in nanoseconds since the epoch.
    age_s
        Seconds since the sender heard of it.
    """

    instance: Instance
    ready: bool
    incarnation: int
    age_s: float


def encode_row(
    instance: Instance, *, ready: bool, incarnation: int, age_s: float
) -> Row:
    """Return the row that reports a daemon."""
    return [
        instance.instance_id,
        instance.zone,
        instance.host,
        instance.port,
        instance.peer_port,
        instance.state is State.LEAVING,
        ready,
        incarnation,
        round(age_s, 2),
        instance.capacity,
    ]


def decode_row(row: Row) -> Report:
    """Return what a row says.

    Raises ValueError or TypeError for a malformed row.
    """
    (
        name,
        zone,
        host,
        port,
        peer_port,
        leaving,
        ready,
        incarnation,
        age_s,
        capacity,
    ) = row
    return Report(
        instance=Instance(
            instance_id=name,
            zone=zone,
            host=host,
            port=int(port),
            peer_port=int(peer_port),
            state=State.LEAVING if leaving else State.LIVE,
            capacity=float(capacity),
        ),
        ready=bool(ready),
        incarnation=int(incarnation),
        age_s=float(age_s),
    )
