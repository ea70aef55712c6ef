"""Planning of the slot grants of an owner group."""

from collections.abc import Mapping
from collections.abc import Sequence
import heapq

from hawthornmast.limits.division import SlotsByMember

_MIN_PREEMPTION_DEFICIT = 2
"""Minimum deficit of slots at a rank that preempts lower ranks of others."""

_MIN_IMBALANCE_DIVISOR = 4
"""Divisor of a member's target that gives the minimum deficit at which slots
are moved to it from members with demand of the same rank.

Demand varies with each request, and a moved slot is idle until its new holder
receives the grant, so moving slots for small differences costs more than it
gains.
"""


def divide_by_demand(
    total: int, demand: Mapping[str, Sequence[int]]
) -> dict[str, int]:
    """Divide slots by demand and return each member's target.

    The targets are max-min fair by rank. Slots beyond the demand are divided
    evenly.

    Parameters
    ----------
    total
        Number of slots to divide.
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
        total = _fill_max_min(total, targets, wanted)
    if targets:
        _fill_max_min(total, targets, dict.fromkeys(targets, total))
    return targets


def _fill_max_min(
    total: int, targets: dict[str, int], wanted: dict[str, int]
) -> int:
    """Raise the lowest targets by progressive filling; return the remainder.

    The filling level is the target of the member that is raised next. It
    includes what the member received for more urgent ranks: if each rank were
    filled from 0, every change of the urgent demand would move slots.
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
    current: SlotsByMember,
    demand: Mapping[str, Sequence[int]],
) -> SlotsByMember:
    """Adapt ``current`` to the demand with as few changes as possible.

    Parameters
    ----------
    slots
        Slots by upstream.
    reserved
        Slots by upstream that are reserved for members not in the plan.
    current
        Slots of each planned member by upstream.
    demand
        Running and waiting requests of each planned member by rank.

    Returns
    -------
    dict
        Slots of each planned member by upstream. For each upstream, their sum
        including ``reserved`` is at most its slots.
    """
    room = {
        upstream_id: max(0, n - reserved.get(upstream_id, 0))
        for upstream_id, n in slots.items()
    }
    plan: SlotsByMember = {
        name: {
            upstream_id: current[name].get(upstream_id, 0)
            for upstream_id in room
        }
        for name in demand
    }
    free: dict[str, int] = {}
    for upstream_id, limit in room.items():
        over = sum(item[upstream_id] for item in plan.values()) - limit
        while over > 0:
            most = max(plan, key=lambda name: plan[name][upstream_id])
            plan[most][upstream_id] -= 1
            over -= 1
        free[upstream_id] = -over
    slot_counts = {name: sum(item.values()) for name, item in plan.items()}
    targets = divide_by_demand(sum(room.values()), demand)
    wanted = {
        name: min(targets[name], sum(demand[name])) - slot_counts[name]
        for name in demand
    }
    while any(free.values()) and plan:
        # Members with a deficit come first, then those with the fewest slots.
        name = max(
            plan, key=lambda item: (wanted[item] > 0, -slot_counts[item])
        )
        upstream_id = max(
            free, key=lambda item: (free[item], -plan[name][item])
        )
        free[upstream_id] -= 1
        plan[name][upstream_id] += 1
        slot_counts[name] += 1
        wanted[name] -= 1
    _rebalance(plan, slot_counts, targets, demand)
    return plan


def _rebalance(
    plan: SlotsByMember,
    slot_counts: dict[str, int],
    targets: Mapping[str, int],
    demand: Mapping[str, Sequence[int]],
) -> None:
    """Move slots from members above their target to members below it.

    ``slot_counts`` contains the slots of each member, summed over upstreams.
    """
    names = list(plan)
    ranks = max((len(item) for item in demand.values()), default=0)
    # A slot that is idle or used for a lower rank moves to a member that
    # lacks it for a higher rank.
    for rank in range(ranks):
        rank_demand = {name: sum(demand[name][: rank + 1]) for name in names}
        total = {name: sum(demand[name]) for name in names}
        # Deficit of each member before any slot is moved for this rank.
        initial_deficits = {
            name: min(rank_demand[name], targets[name]) - slot_counts[name]
            for name in names
        }
        while True:
            below_target = [
                name
                for name in names
                if slot_counts[name] < min(rank_demand[name], targets[name])
            ]
            if not below_target:
                break
            name = max(
                below_target,
                key=lambda item: rank_demand[item] - slot_counts[item],
            )
            donors = [
                item
                for item in names
                if slot_counts[item] > max(targets[item], rank_demand[item])
                and (
                    initial_deficits[name] >= _MIN_PREEMPTION_DEFICIT
                    or slot_counts[item] > total[item]
                )
            ]
            if not donors:
                break
            _move_slot(plan, slot_counts, targets, donors, name)
    for name in names:
        lack = min(targets[name], sum(demand[name])) - slot_counts[name]
        if lack < max(
            _MIN_PREEMPTION_DEFICIT, targets[name] // _MIN_IMBALANCE_DIVISOR
        ):
            continue
        for _ in range(lack):
            donors = [
                item for item in names if slot_counts[item] > targets[item]
            ]
            if not donors:
                break
            _move_slot(plan, slot_counts, targets, donors, name)


def _move_slot(
    plan: SlotsByMember,
    slot_counts: dict[str, int],
    targets: Mapping[str, int],
    donors: list[str],
    name: str,
) -> None:
    """Move one slot from the donor furthest above its target."""
    donor = max(donors, key=lambda item: slot_counts[item] - targets[item])
    own = plan[donor]
    upstream_id = max(own, key=lambda item: (own[item], -plan[name][item]))
    own[upstream_id] -= 1
    slot_counts[donor] -= 1
    plan[name][upstream_id] += 1
    slot_counts[name] += 1
