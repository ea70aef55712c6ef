"""Requests that wait, and the slots that they wait for."""

from collections.abc import Callable
from collections.abc import Container
from typing import Protocol

import attrs
from result import Result

from hawthornmast.common import Upstream
from hawthornmast.limits.admission import Admission
from hawthornmast.limits.admission import Refusal


class Pool(Protocol):
    """Upstream slots from which requests are granted."""

    def take(
        self, exclude: Container[str], *, repeatable: bool, patience: float
    ) -> Upstream | None:
        """Take a slot of the best upstream; None when there is none.

        Parameters
        ----------
        exclude
            Upstreams that must not be taken.
        repeatable
            The request may be sent again after a failure.
        patience
            Share of its time that the request has left, from 1 to 0.
        """

    def release(self, upstream_id: str) -> None:
        """Give back a slot."""

    def count_usable(self) -> int:
        """Return the slots that may be in use now, free or not."""

    def has_candidate(self, exclude: Container[str]) -> bool:
        """Tell whether any upstream may serve, whatever its free slots."""


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """One request in a queue.

    ``outcome`` is None while it waits. ``notify`` is called once when the
    outcome is set after ``enqueue`` returned.
    """

    entry: str
    deadline: float
    arrived: float
    exclude: frozenset[str]
    notify: Callable[[], None] | None = None
    outcome: Result[Admission, Refusal] | None = None

    def patience(self, now: float) -> float:
        """Return the share of the request's time that is left."""
        allowed = self.deadline - self.arrived
        return (self.deadline - now) / allowed if allowed > 0 else 0.0
