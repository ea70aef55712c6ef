"""Log of services whose healthy upstreams receive too few requests."""

from collections.abc import Callable
import logging

from hawthornmast.audit import log_event
from hawthornmast.limits import Coverage

_LOG = logging.getLogger("hawthornmast.gateway.services")

CHECK_INTERVAL_S = 0.25
"""Interval at which the coverage is measured, which reads every upstream."""

REPEAT_INTERVAL_S = 1.0
"""Interval at which a coverage below the floor is logged again."""


class CoverageLog:
    """Logs when the coverage of a service falls below the floor and recovers.

    Parameters
    ----------
    service
        Name of the service.
    floor_share
        Share of healthy upstreams that must receive requests.
    clock
        Monotonic time in seconds.
    """

    def __init__(
        self, service: str, *, floor_share: float, clock: Callable[[], float]
    ) -> None:
        self._service = service
        self._floor_share = floor_share
        self._clock = clock
        self._is_low = False
        self._next_check_at = 0.0
        self._next_repeat_at = 0.0

    def tick(self, measure: Callable[[], Coverage]) -> None:
        """Measure the coverage if due, and log it if it is or was low.

        A service without requests is not below its floor.
        """
        now = self._clock()
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        coverage = measure()
        is_low = coverage.receiving > 0 and coverage.share < self._floor_share
        must_repeat = is_low and now >= self._next_repeat_at
        if is_low == self._is_low and not must_repeat:
            return
        self._is_low = is_low
        self._next_repeat_at = now + REPEAT_INTERVAL_S
        log_event(
            _LOG,
            "coverage-low" if is_low else "coverage-regained",
            service=self._service,
            healthy=coverage.healthy,
            receiving=coverage.receiving,
            avoided=coverage.avoided,
            failed=coverage.failed,
            finished=coverage.finished,
            floor=self._floor_share,
        )
