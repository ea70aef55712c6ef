"""Evidence about upstreams and the resulting health state."""

import enum

import attrs


class Evidence(enum.StrEnum):
    """Result of one request, as evidence about its upstream."""

    OK = "ok"
    FAILED = "failed"
    SLOW = "slow"
    SHED = "shed"
    NEUTRAL = "neutral"


@attrs.frozen(kw_only=True)
class Standing:
    """Health state of an upstream, as one daemon applies it.

    Parameters
    ----------
    ejected
        Whether the upstream receives no requests.
    avoided
        Whether the upstream receives requests only if no other upstream has
        a free slot.
    weight
        Fraction of its slots that may be used, from 0 to 1; below 1 during
        the slow start of a new or returning upstream.
    """

    ejected: bool = False
    avoided: bool = False
    weight: float = 1.0
