"""Use of a service's healthy upstreams.

The operators set a floor: while a part of a service's requests fails, at least
this share of its healthy upstreams must receive requests. An upstream without
requests is capacity that selection has removed, as ejection would. The floor
is kept at all times, because a daemon sees many failures too late, and those
of requests that it loses with its process never.
"""

from collections import deque
from collections.abc import Callable

import attrs

RECOVERY_S = 2.0
"""Time after its last failure at which an upstream counts as healthy again;
also the window in which failed requests of the service are counted."""

COVERAGE_WINDOW_S = 2.0
"""Time within which a healthy upstream must receive a request."""

COVERAGE_INTERVAL_S = 1.0
"""Time without a request after which a healthy upstream is due for one."""

COVERAGE_DELAY_S = 0.3
"""Time by which an upstream is due later for a request that can't be retried,
and again for a member of another zone. Requests that can bear a failure and
stay in the zone thus go first. With both delays an upstream is still due
within ``COVERAGE_WINDOW_S``."""

MAX_COVERAGE_FRACTION = 0.5
"""Maximum fraction of requests that go to an upstream because it is due. A
service with few requests would otherwise send each one to an upstream about
which nothing recent is known."""

COVERAGE_BURST = 10.0
"""Number of these requests that may exceed ``MAX_COVERAGE_FRACTION`` for a
short time, such as when upstreams are added."""


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
        self._discard_expired()

    def count(self) -> tuple[int, int]:
        """Return the failed requests and all finished ones."""
        self._discard_expired()
        return self._failed, len(self._outcomes)

    def _discard_expired(self) -> None:
        oldest_at = self._clock() - RECOVERY_S
        while self._outcomes and self._outcomes[0][0] < oldest_at:
            _, succeeded = self._outcomes.popleft()
            self._failed -= not succeeded


class CoverageAllowance:
    """Token bucket of the requests that keep upstreams covered."""

    def __init__(self) -> None:
        self._tokens = COVERAGE_BURST

    def count_request(self) -> None:
        """Add the share of one request."""
        self._tokens = min(
            COVERAGE_BURST, self._tokens + MAX_COVERAGE_FRACTION
        )

    def is_available(self) -> bool:
        """Return whether a request may go to an upstream that is due."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Count a request that went to an upstream that is due."""
        self._tokens -= 1.0
