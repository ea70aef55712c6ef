"""Evidence about upstreams and their resulting permitted use."""

import enum

import attrs


class Evidence(enum.StrEnum):
    """Result of one request, as input of the sequential test.

    ``HealthMonitor`` uses evidence; ``SharedPool`` uses ``Observation``
    instead.
    """

    OK = "ok"
    FAILED = "failed"
    SLOW = "slow"
    SHED = "shed"
    """The upstream refused the request under load without running it; ignored
    for health."""

    NEUTRAL = "neutral"
    """The result says nothing about the upstream, such as a 4xx response or a
    client disconnect; ignored for health."""


@attrs.frozen(kw_only=True)
class Standing:
    """Permitted use of an upstream by one daemon.

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
