"""Queued requests, and the interface of the pools that grant them slots."""

from collections.abc import Callable
from collections.abc import Container
from typing import Protocol

import attrs
from result import Result

from hawthornmast.common import Upstream
from hawthornmast.limits.admission import Admission
from hawthornmast.limits.admission import Refusal


class SlotPool(Protocol):
    """Pool of upstream slots."""

    def take(
        self,
        exclude: Container[str],
        *,
        retryable: bool,
        time_left_fraction: float,
    ) -> Upstream | None:
        """Take a slot of the best upstream; None if none is available.

        Parameters
        ----------
        exclude
            Identifiers of upstreams that must not be selected.
        retryable
            Whether the request may be retried after a failure.
        time_left_fraction
            Fraction of the request's time that is left, from 1 to 0.
        """

    def release(self, upstream_id: str) -> None:
        """Release a slot taken by ``take``."""

    def count_usable(self) -> int:
        """Return the number of usable slots, free or in use."""

    def count_allowed(self, seconds: float, exclude: Container[str]) -> float:
        """Return how many requests rate limits allow within a time.

        It is infinite without limits.
        """

    def next_allowed_s(self, exclude: Container[str]) -> float:
        """Return the seconds until rate limits allow a request."""

    def has_candidate(self, exclude: Container[str]) -> bool:
        """Return whether any upstream is eligible, even with no free slot."""


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """One queued request.

    ``outcome`` is None while the request waits. ``notify`` is called once if
    the outcome is set after ``enqueue`` returned.
    """

    entry: str
    team: str = ""
    deadline: float
    arrived: float
    exclude: frozenset[str]
    notify: Callable[[], None] | None = None
    outcome: Result[Admission, Refusal] | None = None

    def time_left_fraction(self, now: float) -> float:
        """Return the fraction of the request's time that is left."""
        allowed = self.deadline - self.arrived
        return (self.deadline - now) / allowed if allowed > 0 else 0.0
