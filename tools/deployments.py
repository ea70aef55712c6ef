"""The two deployments of ``docs/design.md``, with their sizes and requests.

They are the Bramblewick gateway and the Flexwerk demand response gateway;
their configuration is in ``examples/``.
"""

import attrs

from hawthornmast.common import Rank


@attrs.frozen(kw_only=True)
class RequestType:
    """One type of request that a deployment's clients send.

    Parameters
    ----------
    service, method, path
        Target of the request.
    rank
        Priority class of its catalogue entry.
    idempotent
        Whether it may be executed more than once.
    weight
        Frequency of this type relative to the others.
    """

    service: str
    method: str
    path: str
    rank: Rank
    idempotent: bool = True
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Deployment:
    """A fleet with its zones, services and request types.

    Parameters
    ----------
    name
        Name of the folder under ``examples/``.
    zones
        Availability zones.
    upstreams
        Number of upstreams by service.
    slots, connections
        Limits of each upstream.
    request_types
        Types of requests that clients send.
    """

    name: str
    zones: tuple[str, ...]
    upstreams: dict[str, int]
    slots: int
    connections: int
    request_types: tuple[RequestType, ...]


BRAMBLEWICK = Deployment(
    name="bramblewick",
    zones=("amman-a", "amman-b", "amman-c"),
    upstreams={"catalogue": 7, "subscriptions": 15, "billing": 12},
    slots=4,
    connections=400,
    request_types=(
        RequestType(
            service="billing",
            method="POST",
            path="/renewals",
            rank=Rank.URGENT,
            idempotent=False,
            weight=2,
        ),
        RequestType(
            service="billing",
            method="GET",
            path="/dispatch/boxes",
            rank=Rank.STANDARD,
        ),
        RequestType(
            service="subscriptions",
            method="POST",
            path="/boxes",
            rank=Rank.URGENT,
            idempotent=False,
        ),
        RequestType(
            service="subscriptions",
            method="POST",
            path="/pauses",
            rank=Rank.URGENT,
            idempotent=False,
        ),
        RequestType(
            service="subscriptions",
            method="GET",
            path="/delivery-dates",
            rank=Rank.STANDARD,
            weight=2,
        ),
        RequestType(
            service="catalogue",
            method="GET",
            path="/products",
            rank=Rank.BACKGROUND,
            weight=3,
        ),
        RequestType(
            service="catalogue",
            method="GET",
            path="/size-guide",
            rank=Rank.STANDARD,
        ),
    ),
)

FLEXWERK = Deployment(
    name="flexwerk",
    zones=("vienna-a", "vienna-b", "salzburg-a"),
    upstreams={"metering": 6, "dispatch": 10, "settlement": 9},
    slots=6,
    connections=330,
    request_types=(
        RequestType(
            service="dispatch",
            method="POST",
            path="/curtailments",
            rank=Rank.URGENT,
            idempotent=False,
            weight=2,
        ),
        RequestType(
            service="dispatch",
            method="GET",
            path="/curtailments",
            rank=Rank.STANDARD,
        ),
        RequestType(
            service="settlement",
            method="POST",
            path="/bids",
            rank=Rank.URGENT,
            idempotent=False,
            weight=2,
        ),
        RequestType(
            service="settlement",
            method="GET",
            path="/statements",
            rank=Rank.STANDARD,
        ),
        RequestType(
            service="metering",
            method="PUT",
            path="/reads",
            rank=Rank.STANDARD,
            weight=3,
        ),
        RequestType(
            service="metering",
            method="GET",
            path="/load-history",
            rank=Rank.BACKGROUND,
            weight=2,
        ),
    ),
)

DEPLOYMENTS = (BRAMBLEWICK, FLEXWERK)
