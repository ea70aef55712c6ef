"""Which requests a member takes while it stops.

After SIGTERM, the member has the grace period until it is killed. Clients may
still use its address for a while, because they cache addresses. A request that
is taken must end before the kill; any other is rejected at once, before it
runs, so that its client can go on elsewhere.
"""

import attrs

END_MARGIN_S = 0.3
"""Time before the kill at which the last requests end. Their answers are sent,
connections are closed and the process exits in it."""

EXIT_MARGIN_S = 0.2
"""Time before the kill at which the process exits even if connections are
open."""

ADDRESS_LIFETIMES = 3
"""Lifetimes of an address for which clients may use it after it was last
named, because some keep addresses longer than asked."""

MAX_ACCEPT_FRACTION = 0.5
"""Maximum fraction of the grace period in which new connections are accepted,
however long clients may use an address."""


@attrs.frozen(kw_only=True)
class StopSchedule:
    """Times of one stop, and the decision which requests it leaves room for.

    Parameters
    ----------
    started_at
        Monotonic time in seconds of the signal to stop.
    grace_s
        Seconds from the signal to the kill.
    address_ttl_s
        Lifetime in seconds of the addresses that clients are given.
    """

    started_at: float
    grace_s: float
    address_ttl_s: float

    @property
    def end_at(self) -> float:
        """Time at which the last requests end."""
        return self.started_at + max(0.0, self.grace_s - END_MARGIN_S)

    @property
    def exit_at(self) -> float:
        """Time at which the process exits, with or without connections."""
        return self.started_at + max(0.0, self.grace_s - EXIT_MARGIN_S)

    @property
    def accept_s(self) -> float:
        """Seconds from the signal in which new connections are accepted.

        For this time, clients that know no newer addresses may come.
        """
        return min(
            ADDRESS_LIFETIMES * self.address_ttl_s,
            MAX_ACCEPT_FRACTION * self.grace_s,
        )

    def admits(
        self,
        now: float,
        *,
        received_at: float,
        deadline: float,
        idempotent: bool,
        usual_latency_s: float,
    ) -> bool:
        """Return whether to take a request, or to go on with a queued one.

        A request whose deadline is before the end always ends in time. One
        that may be repeated is also taken while clients still use cached
        addresses, if its route usually takes less than what is left: few of
        these end with a timeout, whereas most of their clients would fail if
        all were rejected.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        received_at
            Time at which the request arrived.
        deadline
            Time at which the request has ended in any case.
        idempotent
            Whether the request may be repeated.
        usual_latency_s
            Latency in seconds that few requests of the route exceed.
        """
        if deadline <= self.end_at:
            return True
        return (
            idempotent
            and received_at <= self.started_at + self.accept_s
            and now + usual_latency_s <= self.end_at
        )
