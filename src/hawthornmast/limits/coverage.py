"""Use of a service's healthy upstreams.

The operators set a floor: while a part of a service's requests fails, at least
this share of its healthy upstreams must receive requests. An upstream without
requests is capacity that selection has removed, as ejection would.
"""

from collections import deque
from collections.abc import Callable

import attrs

RECOVERY_S = 2.0
"""Time after its last failure at which an upstream counts as healthy again;
also the window in which failed requests of the service are counted."""

COVERAGE_WINDOW_S = 2.0
"""Time within which a healthy upstream must receive a request."""

FLOOR_FAILURE_SHARE = 0.05
"""Fraction of failed requests of the service, within ``RECOVERY_S``, above
which all healthy upstreams must receive requests."""

FLOOR_MIN_FAILURES = 3
"""Minimum number of these failed requests, so that one or two failures among
few requests have no effect."""


@attrs.frozen(kw_only=True)
class Coverage:
    """Healthy upstreams of a service and those that receive requests.

    Parameters
    ----------
    healthy
        Eligible upstreams without a failure in the last ``RECOVERY_S``.
    receiving
        Those of them that received a request in the last
        ``COVERAGE_WINDOW_S``.
    avoided
        Those of them that are still believed to fail.
    failed, finished
        Requests of the service that failed, and all that ended, in the last
        ``RECOVERY_S``.
    """

    healthy: int = 0
    receiving: int = 0
    avoided: int = 0
    failed: int = 0
    finished: int = 0

    @property
    def share(self) -> float:
        """Share of healthy upstreams that receive requests; 1 for none."""
        return self.receiving / self.healthy if self.healthy else 1.0


class OutcomeWindow:
    """Outcomes of a service's requests in the last ``RECOVERY_S``.

    Parameters
    ----------
    clock
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # Time and success of each finished request.
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._failed = 0

    def record(self, *, succeeded: bool) -> None:
        """Record a finished request."""
        self._outcomes.append((self._clock(), succeeded))
        self._failed += not succeeded

    def count(self) -> tuple[int, int]:
        """Return the failed requests and all finished ones."""
        oldest_at = self._clock() - RECOVERY_S
        while self._outcomes and self._outcomes[0][0] < oldest_at:
            _, succeeded = self._outcomes.popleft()
            self._failed -= not succeeded
        return self._failed, len(self._outcomes)

    def exceeds_floor_share(self) -> bool:
        """Return whether so many requests fail that the floor applies."""
        failed, finished = self.count()
        return (
            failed >= FLOOR_MIN_FAILURES
            and failed > FLOOR_FAILURE_SHARE * finished
        )
