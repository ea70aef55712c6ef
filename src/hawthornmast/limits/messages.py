"""Messages by which members of an owner group divide slots."""

import attrs


@attrs.frozen(kw_only=True)
class SlotDemand:
    """A member's demand, sent to the allocator.

    Parameters
    ----------
    service
        Name of the service.
    view
        Digest of the list and the group that the member divides by.
    number
        Count of the member's demands; a grant repeats it.
    applied
        Number of the last grant applied from this allocator, 0 for none.
    demand
        Running and waiting requests, most urgent rank first.
    upstreams
        Identifiers of the upstreams in ``held``.
    held
        For each upstream the larger of the slots allowed and in use.
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
    """Slots that a member may use for one term from the time it asked.

    Parameters
    ----------
    service
        Name of the service.
    view
        Digest of the list and the group that the allocator divides by.
    number
        Count of the allocator's grants, from a random start.
    asked
        Number of the demand from whose sending the term runs.
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
