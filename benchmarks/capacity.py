"""Slopes of a daemon's control cost and what they give at the target.

Run it as ``python -m benchmarks.capacity [--seed N] [--no-fleet]``. For each
resource it prints the slope, the value at the target by the fitted line, and
the budget, and it exits with 1 when a budget is missed at the target.
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import concurrent.futures
import math
import multiprocessing
import sys
import time
from typing import Any

import attrs
import trio

from benchmarks import capacity_target as target
from benchmarks import control
from benchmarks import control_daemon
from benchmarks.capacity_fleet import FleetCost
from benchmarks.capacity_fleet import measure_fleet


@attrs.frozen(kw_only=True)
class Slope:
    """A least-squares line through measured points.

    Parameters
    ----------
    resource
        Name of the cost and its unit.
    per
        What the cost was measured over.
    points
        Pairs of size and cost.
    at
        Size at the target.
    budget
        Largest value at the target; infinite when only the sum has one.
    """

    resource: str
    per: str
    points: Sequence[tuple[float, float]]
    at: float
    budget: float = math.inf

    @property
    def slope(self) -> float:
        """Cost per unit of size."""
        return self._fit()[0]

    @property
    def intercept(self) -> float:
        """Cost at size 0."""
        return self._fit()[1]

    @property
    def at_target(self) -> float:
        """Cost at the target by the fitted line."""
        slope, intercept = self._fit()
        return intercept + slope * self.at

    def _fit(self) -> tuple[float, float]:
        count = len(self.points)
        x_mean = sum(x for x, _ in self.points) / count
        y_mean = sum(y for _, y in self.points) / count
        spread = sum((x - x_mean) ** 2 for x, _ in self.points)
        both = sum((x - x_mean) * (y - y_mean) for x, y in self.points)
        slope = both / spread if spread else 0.0
        return slope, y_mean - slope * x_mean

    def describe(self) -> str:
        """Return the line that is printed."""
        measured = ",".join(f"{x:g}:{y:.4g}" for x, y in self.points)
        return (
            f"resource={self.resource} per={self.per} slope={self.slope:.4g} "
            f"at_target={self.at_target:.4g} budget={self.budget:g} "
            f"at={self.at:g} points={measured}"
        )


def run_apart(function: Callable[..., Any], **options: Any) -> Any:
    """Measure in a fresh process, so that no memory is reused."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(1, mp_context=context) as pool:
        return pool.submit(function, **options).result()


def _sweep(
    function: Callable[..., Any], key: str, sizes: Sequence[int], **fixed: Any
) -> list[tuple[int, Any]]:
    return [
        (size, run_apart(function, **fixed, **{key: size})) for size in sizes
    ]


def _slopes(
    found: Sequence[tuple[float, Any]],
    names: dict[str, str],
    *,
    per: str,
    at: float,
) -> dict[str, Slope]:
    """Return one slope for each named field of the measured costs."""
    return {
        field: Slope(
            resource=resource,
            per=per,
            points=[(size, getattr(cost, field)) for size, cost in found],
            at=at,
        )
        for field, resource in names.items()
    }


RUNTIME = {
    "cpu": "owned_cpu_s",
    "sent": "owned_sent_bytes",
    "rss": "owned_rss_bytes",
}


LINK = {
    "cpu": "link_cpu_s",
    "sent": "link_sent_bytes",
    "rss": "link_rss_bytes",
}


def measure_owned(seed: int) -> dict[str, dict[str, Slope]]:
    """Return the slopes of the owned services by what they grow with."""
    fixed = {"members": target.GROUP, "seed": seed}
    sweeps = {
        "services": ((2, 6, 20, 60), target.OWNED),
        "upstreams": ((19, 60, 190), target.UPSTREAMS_EACH),
        "routes": ((30, 100, 300), target.ROUTES_EACH),
        "members": ((3, 6, 16, 32), target.GROUP),
        "requests_per_s": ((10, 30, 100), target.REQUESTS_EACH),
    }
    return {
        key: _slopes(
            _sweep(
                control.measure_runtimes,
                key,
                sizes,
                **{k: v for k, v in fixed.items() if k != key},
            ),
            RUNTIME,
            per=key,
            at=at,
        )
        for key, (sizes, at) in sweeps.items()
    }


def measure_rest(*, large: bool) -> dict[str, dict[str, Slope]]:
    """Return the slopes of links, index and lists."""
    close = _sweep(control.measure_links, "peers", (8, 24, 80), close=True)
    distant = _sweep(control.measure_links, "peers", (8, 24, 80), close=False)
    announce = _sweep(control.measure_announce, "peers", (8, 24, 80))
    keys = _sweep(control.measure_store, "keys", (1720, 5000, 17200))
    daemons = (720, 2160, 7200)
    lists = _sweep(
        control_daemon.measure_lists,
        "daemons",
        daemons,
        services=500 if large else 30,
    )
    services = _sweep(
        control_daemon.measure_lists,
        "services",
        (500, 1500, 5000) if large else (30, 100, 300),
        daemons=target.DAEMONS if large else 720,
    )
    listed = {
        "change_cpu": "restart_cpu_s",
        "longest_cpu": "longest_list_change_cpu_s",
        "rack_cpu": "rack_cpu_s",
        "zone_cpu": "zone_cpu_s",
        "change_bytes": "restart_bytes",
        "first_cpu": "start_cpu_s",
        "rss": "lists_rss_bytes",
    }
    return {
        "close": _slopes(
            close, LINK, per="close_peers", at=target.GROUP_PEERS
        ),
        "distant": _slopes(
            distant, LINK, per="distant_peers", at=target.DISTANT_PEERS
        ),
        "announce": _slopes(
            announce,
            {"cpu": "announce_cpu_s", "sent": "announce_bytes"},
            per="peers",
            at=target.NEIGHBOURS,
        ),
        "keys": _slopes(
            keys,
            {
                "rss": "index_rss_bytes",
                "change_cpu": "index_change_cpu_s",
                "repair_cpu": "index_repair_cpu_s",
            },
            per="keys",
            at=target.KEYS,
        ),
        "daemons": _slopes(lists, listed, per="daemons", at=target.DAEMONS),
        "known": _slopes(services, listed, per="services", at=target.SERVICES),
    }


def sum_up(
    owned: dict[str, dict[str, Slope]],
    rest: dict[str, dict[str, Slope]],
    base: control_daemon.BaseCost,
) -> list[Slope]:
    """Return the sums that the budgets of one daemon apply to."""
    changes = target.CHANGES_PER_S + target.LIST_CHANGES_PER_S
    # The traffic sweep holds two services.
    traffic = owned["requests_per_s"]
    share = target.OWNED / 2
    announces = changes * target.NEIGHBOURS
    cpu = {
        "base": base.cpu,
        "close_links": rest["close"]["cpu"].at_target,
        "distant_links": rest["distant"]["cpu"].at_target,
        # Contains what each request costs the health slice.
        "owned": traffic["cpu"].at_target * share,
        # Each announcement is sent and received as often.
        "announce": 2 * announces * rest["announce"]["cpu"].at_target,
        "index": changes * rest["keys"]["change_cpu"].at_target,
        "lists": rest["known"]["change_cpu"].at_target * target.RESTARTS_PER_S,
    }
    sent = {
        "close_links": rest["close"]["sent"].at_target,
        "distant_links": rest["distant"]["sent"].at_target,
        "owned": traffic["sent"].at_target * share,
        "announce": announces * rest["announce"]["sent"].at_target,
        "lists": rest["daemons"]["change_bytes"].at_target
        * target.RESTARTS_PER_S,
    }
    rss = {
        "base": base.rss,
        "close_links": rest["close"]["rss"].at_target,
        "distant_links": rest["distant"]["rss"].at_target,
        "owned": owned["services"]["rss"].at_target,
        "index": rest["keys"]["rss"].at_target,
        "lists": rest["known"]["rss"].at_target,
    }
    often = ("announce", "index", "lists")
    burst = {
        key: value * (target.BURST if key in often else 1)
        for key, value in cpu.items()
    }
    sums = []
    for name, parts, budget in (
        ("control_cpu_s", cpu, target.CPU_BUDGET),
        ("burst_cpu_s", burst, math.inf),
        ("control_sent_bytes", sent, target.BYTES_BUDGET),
        ("control_rss_bytes", rss, target.RSS_BUDGET),
    ):
        print(
            f"parts={name} "
            + " ".join(f"{key}={value:.4g}" for key, value in parts.items())
        )
        total = sum(parts.values())
        sums.append(
            Slope(
                resource=name,
                per="daemon",
                points=[(0, 0), (1, total)],
                at=1,
                budget=budget,
            )
        )
    return sums


def describe_fleet(costs: list[FleetCost]) -> list[Slope]:
    """Return the slopes of the fleet of processes."""
    hops = [math.log(cost.daemons, 4) for cost in costs]
    peers = target.DISTANT_PEERS + target.GROUP_PEERS
    found = []
    for field in attrs.fields_dict(FleetCost):
        if field in ("daemons", "peers"):
            continue
        by_peers = field not in ("in_force_s", "idle_calls", "busy_calls")
        sizes = [cost.peers for cost in costs] if by_peers else hops
        at = peers if by_peers else math.log(target.DAEMONS, 4)
        budget = {
            "in_force_s": target.IN_FORCE_BUDGET_S,
            "rss": target.RSS_BUDGET,
        }.get(field, math.inf)
        found.append(
            Slope(
                resource=f"fleet_{field}",
                per="peers" if by_peers else "log4_daemons",
                points=[
                    (x, getattr(cost, field))
                    for x, cost in zip(sizes, costs, strict=True)
                ],
                at=at,
                budget=budget,
            )
        )
    # Only readers call the platform; two in each zone, of three here.
    per_change = [
        (c.busy_calls - c.idle_calls) / target.FLEET_CHANGES_PER_S / 6
        for c in costs
    ]
    calls = max(per_change) * target.READERS
    changes = target.CHANGES_PER_S + target.LIST_CHANGES_PER_S
    found.append(
        Slope(
            resource="platform_calls_per_s",
            per="changes_per_s",
            points=[(0, target.READERS / 30), (changes, changes * calls)],
            at=changes,
            budget=target.PLATFORM_BUDGET,
        )
    )
    return found


def main() -> int:
    """Measure all slopes and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--no-fleet", action="store_true", help="leave the processes out"
    )
    parser.add_argument(
        "--small-lists",
        action="store_true",
        help="measure lists with at most 300 services",
    )
    options = parser.parse_args()
    began = time.monotonic()
    print(f"seed={options.seed}", flush=True)
    base = run_apart(control_daemon.measure_base)
    print(f"base {base}", flush=True)
    owned = measure_owned(options.seed)
    rest = measure_rest(large=not options.small_lists)
    rows = [
        slope
        for group in (*owned.values(), *rest.values())
        for slope in group.values()
    ]
    for row in rows:
        print(row.describe(), flush=True)
    sums = sum_up(owned, rest, base)
    if not options.no_fleet:
        sums += describe_fleet(trio.run(measure_fleet))
    missed = [row.resource for row in sums if row.at_target > row.budget]
    for row in sums:
        print(row.describe(), flush=True)
    print(
        f"result={'missed' if missed else 'ok'} missed={','.join(missed)} "
        f"seconds={time.monotonic() - began:.0f}"
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
