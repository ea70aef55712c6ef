"""What a request gets when it asks for admission."""

from collections.abc import Callable
import enum

import attrs

from hawthornmast.common import Upstream


class Reason(enum.StrEnum):
    """Why a request was refused before it ran."""

    QUEUE_FULL = "queue-full"
    DISPLACED = "displaced"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no-upstream"
    CLOSING = "closing"


@attrs.frozen(kw_only=True)
class Refusal:
    """A refusal; the request was not run.

    Parameters
    ----------
    reason
        Why the request was refused.
    retry_after
        Seconds after which a new attempt makes sense, with jitter.
    limit
        The catalogue limit that applied, such as ``"queue_limit=64"``.
    """

    reason: Reason
    retry_after: float
    limit: str = ""


@attrs.define(kw_only=True, eq=False)
class Admission:
    """The right to run one request on one upstream.

    It holds one slot until ``release`` is called; a second call does
    nothing.

    Parameters
    ----------
    upstream
        Where to run the request.
    waited
        Seconds that the request spent in the queue.
    """

    upstream: Upstream
    waited: float
    _release: Callable[[], None]
    _released: bool = attrs.field(default=False, init=False)

    def release(self) -> None:
        """Give the slot back."""
        if not self._released:
            self._released = True
            self._release()
