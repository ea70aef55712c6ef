"""Calls of the platform: their interface, their number and their failures."""

import logging
from typing import Any
from typing import Protocol

from result import Err
from result import Result

from hawthornmast.audit import log_event
from hawthornmast.common import StepError
from hawthornmast.membership.entries import UpstreamSnapshot
from hawthornmast.routing import PublishedConfiguration

# Operators know the lines by this name.
_LOG = logging.getLogger("hawthornmast.gateway.sources")


class PlatformSource(Protocol):
    """Read access to the platform.

    The platform is the environment of a deployment that publishes the
    configuration and the list of upstreams, for example in a key-value
    store.
    """

    async def read_listing(
        self, *, timeout_s: float
    ) -> Result[UpstreamSnapshot, StepError]:
        """Return the platform's current list of upstreams."""

    async def read_configuration(
        self, *, timeout_s: float
    ) -> Result[PublishedConfiguration | None, StepError]:
        """Return the latest configuration; None if there is none yet."""


class CallRecorder:
    """Counts the calls of one member and logs when the platform is lost.

    Attributes
    ----------
    calls, failures
        Number of calls, and of those that failed.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.failures = 0
        self._reachable = True

    def record(self, result: Result[Any, StepError]) -> bool:
        """Count a call to the platform; return whether it succeeded.

        Only a change of reachability is logged.
        """
        self.calls += 1
        if isinstance(result, Err):
            self.failures += 1
            error = result.err_value
            if self._reachable:
                log_event(
                    _LOG,
                    "platform-lost",
                    level=logging.WARNING,
                    step=error.step,
                    detail=error.detail,
                    peer=error.peer,
                )
            self._reachable = False
            return False
        if not self._reachable:
            log_event(_LOG, "platform-regained")
        self._reachable = True
        return True
