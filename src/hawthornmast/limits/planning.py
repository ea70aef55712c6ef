"""Planning of the slots granted to each member of an owner group."""

from collections.abc import Mapping
from collections.abc import Sequence

from hawthornmast.limits.division import Shares

_MOVE_FRACTION = 8
"""A busy member gives up slots only for a deficit of an eighth of a target.

Demand by rank varies with each request, and a moved slot stays idle until
its new owner hears of it.
"""


def _fill(amount: int, wanted: dict[str, int]) -> dict[str, int]:
    """Divide ``amount`` max-min fairly among integer demands."""
    given = dict.fromkeys(wanted, 0)
    open_to = [name for name in wanted if wanted[name] > 0]
    while amount > 0 and open_to:
        part = max(1, amount // len(open_to))
        for name in list(open_to):
            step = min(part, wanted[name] - given[name], amount)
            given[name] += step
            amount -= step
            if given[name] >= wanted[name]:
                open_to.remove(name)
    return given


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
            name: item[rank] if rank < len(item) else 0
            for name, item in demand.items()
        }
        for name, count in _fill(total, wanted).items():
            targets[name] += count
            total -= count
    while total > 0 and targets:
        least = min(targets, key=lambda name: targets[name])
        targets[least] += 1
        total -= 1
    return targets


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
    _move(plan, held, targets, wanted, demand)
    return plan


def _move(
    plan: Shares,
    held: dict[str, int],
    targets: Mapping[str, int],
    wanted: dict[str, int],
    demand: Mapping[str, Sequence[int]],
) -> None:
    """Move slots from members above their target to members in need."""
    large = {
        name: wanted[name] >= max(2, targets[name] // _MOVE_FRACTION)
        for name in plan
    }
    while True:
        needy = [name for name in plan if wanted[name] > 0]
        if not needy:
            return
        name = max(needy, key=lambda item: wanted[item])
        donors = [
            item
            for item in plan
            if held[item] > targets[item]
            and (large[name] or held[item] > sum(demand[item]))
        ]
        if not donors:
            # A smaller deficit has no more donors than the largest one.
            return
        donor = max(donors, key=lambda item: held[item] - targets[item])
        key = max(
            plan[donor],
            key=lambda item: (plan[donor][item], -plan[name][item]),
        )
        plan[donor][key] -= 1
        held[donor] -= 1
        plan[name][key] += 1
        held[name] += 1
        wanted[name] -= 1
