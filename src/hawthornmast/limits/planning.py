"""Planning of the slots granted to each member of an owner group."""

from collections.abc import Mapping
from collections.abc import Sequence
import heapq

from hawthornmast.limits.division import Shares

_INVERSION = 2
"""Least deficit of a rank for which others give up slots of lower ranks."""

_UNFAIR_FRACTION = 4
"""Part of its target that a member must lack before equals give up slots.

Demand varies with each request, and a moved slot stays idle until its new
owner hears of it, so small differences cost more than they bring.
"""


def share_demand(
    total: int, demand: Mapping[str, Sequence[int]]
) -> dict[str, int]:
    """Return the target of each member: by rank max-min, rest evenly.

    Parameters
    ----------
    total
        Slots to divide.
    demand
        Running and waiting requests of each member, most urgent rank first.
    """
    targets = dict.fromkeys(demand, 0)
    ranks = max((len(item) for item in demand.values()), default=0)
    for rank in range(ranks):
        wanted = {
            name: item[rank]
            for name, item in demand.items()
            if rank < len(item) and item[rank] > 0
        }
        total = _fill(total, targets, wanted)
    if targets:
        _fill(total, targets, dict.fromkeys(targets, total))
    return targets


def _fill(total: int, targets: dict[str, int], wanted: dict[str, int]) -> int:
    """Raise the lowest targets by what is wanted; return what remains.

    Targets are levelled with those of higher ranks included. Levelling each
    rank by itself moved slots with each change of the urgent demand.
    """
    heap = [(targets[name], name) for name in wanted]
    heapq.heapify(heap)
    while total > 0 and heap:
        level, name = heap[0]
        targets[name] = level + 1
        wanted[name] -= 1
        total -= 1
        if wanted[name] > 0:
            heapq.heapreplace(heap, (level + 1, name))
        else:
            heapq.heappop(heap)
    return total


def plan_grants(
    slots: Mapping[str, int],
    reserved: Mapping[str, int],
    current: Shares,
    demand: Mapping[str, Sequence[int]],
) -> Shares:
    """Change ``current`` as little as the demand of the members needs.

    Parameters
    ----------
    slots
        Slots by upstream.
    reserved
        Slots by upstream that must stay with members not planned here.
    current
        Slots of each planned member by upstream.
    demand
        Running and waiting requests of each planned member by rank.

    Returns
    -------
    dict
        Slots of each planned member by upstream. For each upstream the sum
        with ``reserved`` is at most its slots.
    """
    room = {key: max(0, n - reserved.get(key, 0)) for key, n in slots.items()}
    plan: Shares = {
        name: {key: current[name].get(key, 0) for key in room}
        for name in demand
    }
    free: dict[str, int] = {}
    for key, limit in room.items():
        over = sum(item[key] for item in plan.values()) - limit
        while over > 0:
            most = max(plan, key=lambda name: plan[name][key])
            plan[most][key] -= 1
            over -= 1
        free[key] = -over
    held = {name: sum(item.values()) for name, item in plan.items()}
    targets = share_demand(sum(room.values()), demand)
    wanted = {
        name: min(targets[name], sum(demand[name])) - held[name]
        for name in demand
    }
    while any(free.values()) and plan:
        # Deficits come first; the rest goes to the smallest holdings.
        name = max(plan, key=lambda item: (wanted[item] > 0, -held[item]))
        key = max(free, key=lambda item: (free[item], -plan[name][item]))
        free[key] -= 1
        plan[name][key] += 1
        held[name] += 1
        wanted[name] -= 1
    _move(plan, held, targets, demand)
    return plan


def _move(
    plan: Shares,
    held: dict[str, int],
    targets: Mapping[str, int],
    demand: Mapping[str, Sequence[int]],
) -> None:
    """Move slots from members above their target to members in need."""
    names = list(plan)
    ranks = max((len(item) for item in demand.values()), default=0)
    # A slot that its holder spends on lower ranks, or on nothing, moves to a
    # member that lacks it for a higher rank.
    for rank in range(ranks):
        upto = {name: sum(demand[name][: rank + 1]) for name in names}
        total = {name: sum(demand[name]) for name in names}
        start = {
            name: min(upto[name], targets[name]) - held[name] for name in names
        }
        while True:
            needy = [
                name
                for name in names
                if held[name] < min(upto[name], targets[name])
            ]
            if not needy:
                break
            name = max(needy, key=lambda item: upto[item] - held[item])
            donors = [
                item
                for item in names
                if held[item] > max(targets[item], upto[item])
                and (start[name] >= _INVERSION or held[item] > total[item])
            ]
            if not donors:
                break
            _move_one(plan, held, targets, donors, name)
    for name in names:
        lack = min(targets[name], sum(demand[name])) - held[name]
        if lack < max(_INVERSION, targets[name] // _UNFAIR_FRACTION):
            continue
        for _ in range(lack):
            donors = [item for item in names if held[item] > targets[item]]
            if not donors:
                break
            _move_one(plan, held, targets, donors, name)


def _move_one(
    plan: Shares,
    held: dict[str, int],
    targets: Mapping[str, int],
    donors: list[str],
    name: str,
) -> None:
    """Move one slot from the donor furthest above its target."""
    donor = max(donors, key=lambda item: held[item] - targets[item])
    own = plan[donor]
    key = max(own, key=lambda item: (own[item], -plan[name][item]))
    own[key] -= 1
    held[donor] -= 1
    plan[name][key] += 1
    held[name] += 1
