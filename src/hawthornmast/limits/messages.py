"""Messages that divide slots among the members of an owner group."""

import attrs


@attrs.frozen(kw_only=True)
class SlotDemand:
    """Demand of a member, sent to the allocator.

    Parameters
    ----------
    service
        Name of the service.
    view
        Digest of the upstream list and the group that the member uses.
    number
        Sequence number of the demand, echoed by the grant.
    applied
        Number of the last grant applied from this allocator; 0 for none.
    demand
        Running and waiting requests, most urgent rank first.
    upstreams
        Identifiers of the upstreams in ``held``.
    held
        For each upstream, the larger of the slots allowed and in use.
    """

    service: str
    view: str
    number: int
    applied: int
    demand: list[int]
    upstreams: list[str]
    held: list[int]


@attrs.frozen(kw_only=True)
class SlotGrant:
    """Slots granted to a member for one term from the time of its demand.

    Parameters
    ----------
    service
        Name of the service.
    view
        Digest of the upstream list and the group that the allocator uses.
    number
        Sequence number of the grant, from a random start.
    asked
        Number of the demand; the term starts when the demand was sent.
    upstreams
        Identifiers of the upstreams in ``slots``.
    slots
        Slots granted for each upstream.
    """

    service: str
    view: str
    number: int
    asked: int
    upstreams: list[str]
    slots: list[int]
