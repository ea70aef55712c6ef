"""Results of an admission request."""

from collections.abc import Callable
import enum

import attrs

from hawthornmast.common import Upstream


class Reason(enum.StrEnum):
    """Reason for which a request was refused before it ran."""

    QUEUE_FULL = "queue-full"
    DISPLACED = "displaced"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no-upstream"
    CLOSING = "closing"


@attrs.frozen(kw_only=True)
class Refusal:
    """Refusal of a request that was not run.

    Parameters
    ----------
    reason
        Reason for the refusal.
    retry_after
        Delay in seconds before a retry, with jitter.
    limit
        Catalogue limit that applied, such as ``"queue_limit=64"``.
    """

    reason: Reason
    retry_after: float
    limit: str = ""


@attrs.define(kw_only=True, eq=False)
class Admission:
    """Admission of one request to one upstream.

    It holds one slot until ``release`` is called; further calls have no
    effect.

    Parameters
    ----------
    upstream
        Upstream that runs the request.
    waited
        Seconds that the request spent in the queue.
    """

    upstream: Upstream
    waited: float
    _release: Callable[[], None]
    _released: bool = attrs.field(default=False, init=False)

    def release(self) -> None:
        """Release the slot."""
        if not self._released:
            self._released = True
            self._release()
