"""Evidence about upstreams and the standing that follows from it."""

import enum

import attrs


class Evidence(enum.StrEnum):
    """What one request showed about the upstream that ran it."""

    OK = "ok"
    FAILED = "failed"
    SLOW = "slow"
    SHED = "shed"
    NEUTRAL = "neutral"


@attrs.frozen(kw_only=True)
class Standing:
    """How a daemon may use an upstream at this moment.

    Parameters
    ----------
    ejected
        The upstream receives no work.
    avoided
        The upstream receives work only when no other has a free slot.
    weight
        Share of its slots that may be used, from 0 to 1; below 1 while the
        upstream is new or returns.
    """

    ejected: bool = False
    avoided: bool = False
    weight: float = 1.0
