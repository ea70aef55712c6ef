"""Member records and the encoding of member reports in heartbeats."""

import math
from typing import Any

import attrs

from hawthornmast.common import Instance
from hawthornmast.common import State

Row = list[Any]


@attrs.frozen(kw_only=True)
class Report:
    """Decoded row about one daemon.

    Parameters
    ----------
    instance
        Its name, zone, addresses and state.
    ready
        Whether clients should connect to it.
    incarnation
        Start time of its process in nanoseconds since the epoch.
    age_s
        Seconds between the daemon's last heartbeat known to the sender and
        the sending of the row.
    """

    instance: Instance
    ready: bool
    incarnation: int
    age_s: float


@attrs.define(kw_only=True, eq=False)
class Member:
    """Local record of another daemon.

    Parameters
    ----------
    instance
        Its name, zone and addresses.
    incarnation
        Start time of its process in nanoseconds since the epoch.
    ready
        Whether clients should connect to it.
    last_heard_at
        Monotonic time of the last heartbeat from the daemon itself or, if
        later, of the last one that another daemon reported.
    heard_directly
        Whether a heartbeat from the daemon itself arrived in this
        incarnation.
    last_redirect_at
        Monotonic time of the last redirect: a reply to a daemon of another
        zone that took this daemon for the representative of its zone, which
        names the right one.
    leave_reports
        Number of times this daemon reported to its zone that the daemon is
        leaving.
    last_rows
        Rows of its last heartbeat if its record agrees with them. A heartbeat
        with the same rows changes only the time of the last one.
    """

    instance: Instance
    incarnation: int
    ready: bool
    last_heard_at: float
    heard_directly: bool = False
    last_redirect_at: float = -math.inf
    leave_reports: int = 0
    last_rows: list[Row] | None = None

    def agrees_with(self, report: Report) -> bool:
        """Return whether a report of the daemon would change nothing."""
        return (
            self.incarnation == report.incarnation
            and self.ready == report.ready
            and self.instance == report.instance
        )


@attrs.frozen(kw_only=True)
class HeartbeatDatagram:
    """Rows of one heartbeat and the address to send them to."""

    host: str
    rows: list[Row]


def encode_row(
    instance: Instance, *, ready: bool, incarnation: int, age_s: float
) -> Row:
    """Encode the state of a daemon as a row of a heartbeat."""
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
    """Decode a row of a heartbeat.

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
