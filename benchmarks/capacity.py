"""Extrapolates the control cost of a daemon to the target fleet size.

The control cost is what a daemon spends beside the forwarding of requests: on
peer links, configuration, lists, health and slots.

Run ``python -m benchmarks.capacity [--seed N] [--no-fleet]``. For each
resource it prints the slope, the value that the fitted line gives at the
target, and the budget. The exit status is 1 when a budget is exceeded at the
target.
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

from benchmarks import capacity_target
from benchmarks import control
from benchmarks import control_daemon
from benchmarks.capacity_fleet import FleetCost
from benchmarks.capacity_fleet import measure_fleet


@attrs.frozen(kw_only=True)
class LinearFit:
    """Least-squares fit of a cost over a size.

    Parameters
    ----------
    resource
        Name of the cost, with its unit.
    per
        Name of the size.
    points
        Measured pairs of size and cost.
    target_size
        Size at the target.
    budget
        Largest value allowed at the target; infinite when only the total has
        a budget.
    """

    resource: str
    per: str
    points: Sequence[tuple[float, float]]
    target_size: float
    budget: float = math.inf

    @property
    def slope(self) -> float:
        """Increase of the cost per unit of size."""
        return self._fit()[0]

    @property
    def intercept(self) -> float:
        """Fitted cost at size 0."""
        return self._fit()[1]

    @property
    def at_target(self) -> float:
        """Fitted cost at the target size."""
        slope, intercept = self._fit()
        return intercept + slope * self.target_size

    def _fit(self) -> tuple[float, float]:
        count = len(self.points)
        x_mean = sum(x for x, _ in self.points) / count
        y_mean = sum(y for _, y in self.points) / count
        sum_xx = sum((x - x_mean) ** 2 for x, _ in self.points)
        sum_xy = sum((x - x_mean) * (y - y_mean) for x, y in self.points)
        slope = sum_xy / sum_xx if sum_xx else 0.0
        return slope, y_mean - slope * x_mean

    def describe(self) -> str:
        """Return the fit as one line of output."""
        measured = ",".join(f"{x:g}:{y:.4g}" for x, y in self.points)
        return (
            f"resource={self.resource} per={self.per} slope={self.slope:.4g} "
            f"at_target={self.at_target:.4g} budget={self.budget:g} "
            f"at={self.target_size:g} points={measured}"
        )


def run_in_new_process(function: Callable[..., Any], **options: Any) -> Any:
    """Run a measurement in a new process, so that no memory is reused."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(1, mp_context=context) as pool:
        return pool.submit(function, **options).result()


def _measure_sizes(
    function: Callable[..., Any], key: str, sizes: Sequence[int], **fixed: Any
) -> list[tuple[int, Any]]:
    return [
        (size, run_in_new_process(function, **fixed, **{key: size}))
        for size in sizes
    ]


def _fit_fields(
    measured: Sequence[tuple[float, Any]],
    names: dict[str, str],
    *,
    per: str,
    target_size: float,
) -> dict[str, LinearFit]:
    """Return one fit per field in ``names``, which maps it to a resource."""
    return {
        field: LinearFit(
            resource=resource,
            per=per,
            points=[(size, getattr(cost, field)) for size, cost in measured],
            target_size=target_size,
        )
        for field, resource in names.items()
    }


RUNTIME_RESOURCES = {
    "cpu": "owned_cpu_s",
    "sent": "owned_sent_bytes",
    "rss": "owned_rss_bytes",
}


LINK_RESOURCES = {
    "cpu": "link_cpu_s",
    "sent": "link_sent_bytes",
    "rss": "link_rss_bytes",
}


def fit_owned_services(seed: int) -> dict[str, dict[str, LinearFit]]:
    """Return the fits of owned services, by the size that varies."""
    fixed = {"members": capacity_target.GROUP_SIZE, "seed": seed}
    sweeps = {
        "services": ((2, 6, 20, 60), capacity_target.OWNED_SERVICES),
        "upstreams": ((19, 60, 190), capacity_target.UPSTREAMS_PER_SERVICE),
        # Routes are entries of the catalogue.
        "routes": ((30, 100, 300), capacity_target.ROUTES_PER_SERVICE),
        "members": ((3, 6, 16, 32), capacity_target.GROUP_SIZE),
        "requests_per_s": (
            (10, 30, 100),
            capacity_target.REQUESTS_PER_S_PER_OWNER,
        ),
    }
    return {
        key: _fit_fields(
            _measure_sizes(
                control.measure_runtimes,
                key,
                sizes,
                **{k: v for k, v in fixed.items() if k != key},
            ),
            RUNTIME_RESOURCES,
            per=key,
            target_size=target_size,
        )
        for key, (sizes, target_size) in sweeps.items()
    }


def fit_links_and_lists(*, large: bool) -> dict[str, dict[str, LinearFit]]:
    """Return the fits of peer links, configuration index and lists.

    Close peers are in the same owner group; distant ones are the others.
    """
    group_links = _measure_sizes(
        control.measure_links, "peers", (8, 24, 80), same_group=True
    )
    other_links = _measure_sizes(
        control.measure_links, "peers", (8, 24, 80), same_group=False
    )
    announce = _measure_sizes(control.measure_announce, "peers", (8, 24, 80))
    keys = _measure_sizes(control.measure_index, "keys", (1720, 5000, 17200))
    daemons = (720, 2160, 7200)
    lists = _measure_sizes(
        control_daemon.measure_lists,
        "daemons",
        daemons,
        services=500 if large else 30,
    )
    services = _measure_sizes(
        control_daemon.measure_lists,
        "services",
        (500, 1500, 5000) if large else (30, 100, 300),
        daemons=capacity_target.DAEMONS if large else 720,
    )
    list_fields = {
        "restart_cpu": "restart_cpu_s",
        "longest_cpu": "longest_list_change_cpu_s",
        "rack_cpu": "rack_cpu_s",
        "zone_cpu": "zone_cpu_s",
        "restart_bytes": "restart_bytes",
        "first_cpu": "start_cpu_s",
        "rss": "lists_rss_bytes",
    }
    return {
        "close": _fit_fields(
            group_links,
            LINK_RESOURCES,
            per="close_peers",
            target_size=capacity_target.GROUP_PEERS,
        ),
        "distant": _fit_fields(
            other_links,
            LINK_RESOURCES,
            per="distant_peers",
            target_size=capacity_target.DISTANT_PEERS,
        ),
        "announce": _fit_fields(
            announce,
            {"cpu": "announce_cpu_s", "sent": "announce_bytes"},
            per="peers",
            target_size=capacity_target.NEIGHBOURS,
        ),
        "keys": _fit_fields(
            keys,
            {
                "rss": "index_rss_bytes",
                "update_cpu": "index_change_cpu_s",
                "digest_cpu": "index_repair_cpu_s",
            },
            per="keys",
            target_size=capacity_target.KEYS,
        ),
        "daemons": _fit_fields(
            lists,
            list_fields,
            per="daemons",
            target_size=capacity_target.DAEMONS,
        ),
        "known": _fit_fields(
            services,
            list_fields,
            per="services",
            target_size=capacity_target.SERVICES,
        ),
    }


def sum_control_cost(
    owned: dict[str, dict[str, LinearFit]],
    shared: dict[str, dict[str, LinearFit]],
    base: control_daemon.BaseCost,
) -> list[LinearFit]:
    """Return the totals of one daemon, to which the budgets apply."""
    changes = (
        capacity_target.CHANGES_PER_S + capacity_target.LIST_CHANGES_PER_S
    )
    # The sweep over requests_per_s measures two services.
    by_request_rate = owned["requests_per_s"]
    service_ratio = capacity_target.OWNED_SERVICES / 2
    announces = changes * capacity_target.NEIGHBOURS
    cpu = {
        "base": base.cpu,
        "close_links": shared["close"]["cpu"].at_target,
        "distant_links": shared["distant"]["cpu"].at_target,
        # Includes the CPU time of health monitoring per request.
        "owned": by_request_rate["cpu"].at_target * service_ratio,
        # A daemon receives as many announcements as it sends.
        "announce": 2 * announces * shared["announce"]["cpu"].at_target,
        "index": changes * shared["keys"]["update_cpu"].at_target,
        "lists": shared["known"]["restart_cpu"].at_target
        * capacity_target.RESTARTS_PER_S,
    }
    sent = {
        "close_links": shared["close"]["sent"].at_target,
        "distant_links": shared["distant"]["sent"].at_target,
        "owned": by_request_rate["sent"].at_target * service_ratio,
        "announce": announces * shared["announce"]["sent"].at_target,
        "lists": shared["daemons"]["restart_bytes"].at_target
        * capacity_target.RESTARTS_PER_S,
    }
    rss = {
        "base": base.rss,
        "close_links": shared["close"]["rss"].at_target,
        "distant_links": shared["distant"]["rss"].at_target,
        "owned": owned["services"]["rss"].at_target,
        "index": shared["keys"]["rss"].at_target,
        "lists": shared["known"]["rss"].at_target,
    }
    change_driven = ("announce", "index", "lists")
    burst = {
        key: value
        * (capacity_target.BURST_FACTOR if key in change_driven else 1)
        for key, value in cpu.items()
    }
    totals = []
    for name, parts, budget in (
        ("control_cpu_s", cpu, capacity_target.CPU_BUDGET_CORES),
        ("burst_cpu_s", burst, math.inf),
        ("control_sent_bytes", sent, capacity_target.SENT_BUDGET_BYTES_PER_S),
        ("control_rss_bytes", rss, capacity_target.RSS_BUDGET_BYTES),
    ):
        print(
            f"parts={name} "
            + " ".join(f"{key}={value:.4g}" for key, value in parts.items())
        )
        total = sum(parts.values())
        # A line through the origin, so that a total is compared with its
        # budget and printed like a fit.
        totals.append(
            LinearFit(
                resource=name,
                per="daemon",
                points=[(0, 0), (1, total)],
                target_size=1,
                budget=budget,
            )
        )
    return totals


def fit_fleet_costs(costs: list[FleetCost]) -> list[LinearFit]:
    """Return the fits of the fleet that runs as processes."""
    log4_daemons = [math.log(cost.daemons, 4) for cost in costs]
    peers = capacity_target.DISTANT_PEERS + capacity_target.GROUP_PEERS
    fits = []
    for field in attrs.fields_dict(FleetCost):
        if field in ("daemons", "peers"):
            continue
        by_peers = field not in ("in_force_s", "idle_calls", "busy_calls")
        sizes = [cost.peers for cost in costs] if by_peers else log4_daemons
        target_size = (
            peers if by_peers else math.log(capacity_target.DAEMONS, 4)
        )
        budget = {
            "in_force_s": capacity_target.IN_FORCE_BUDGET_S,
            "rss": capacity_target.RSS_BUDGET_BYTES,
        }.get(field, math.inf)
        fits.append(
            LinearFit(
                resource=f"fleet_{field}",
                per="peers" if by_peers else "log4_daemons",
                points=[
                    (x, getattr(cost, field))
                    for x, cost in zip(sizes, costs, strict=True)
                ],
                target_size=target_size,
                budget=budget,
            )
        )
    # Only readers call the platform: two in each of the three zones here.
    per_change = [
        (c.busy_calls - c.idle_calls) / capacity_target.FLEET_CHANGES_PER_S / 6
        for c in costs
    ]
    calls = max(per_change) * capacity_target.READERS
    # Without changes each reader calls once per 30 s, the wait of a watch
    # (``WATCH_WAIT_S``).
    changes = (
        capacity_target.CHANGES_PER_S + capacity_target.LIST_CHANGES_PER_S
    )
    fits.append(
        LinearFit(
            resource="platform_calls_per_s",
            per="changes_per_s",
            points=[
                (0, capacity_target.READERS / 30),
                (changes, changes * calls),
            ],
            target_size=changes,
            budget=capacity_target.PLATFORM_BUDGET_CALLS_PER_S,
        )
    )
    return fits


def main() -> int:
    """Measure and fit all costs; return 1 when a budget is exceeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--no-fleet",
        action="store_true",
        help="skip the fleet that runs as processes",
    )
    parser.add_argument(
        "--small-lists",
        action="store_true",
        help="measure lists with at most 300 services",
    )
    options = parser.parse_args()
    began = time.monotonic()
    print(f"seed={options.seed}", flush=True)
    base = run_in_new_process(control_daemon.measure_base)
    print(f"base {base}", flush=True)
    owned = fit_owned_services(options.seed)
    shared = fit_links_and_lists(large=not options.small_lists)
    rows = [
        fit
        for group in (*owned.values(), *shared.values())
        for fit in group.values()
    ]
    for row in rows:
        print(row.describe(), flush=True)
    totals = sum_control_cost(owned, shared, base)
    if not options.no_fleet:
        totals += fit_fleet_costs(trio.run(measure_fleet))
    missed = [row.resource for row in totals if row.at_target > row.budget]
    for row in totals:
        print(row.describe(), flush=True)
    print(
        f"result={'missed' if missed else 'ok'} missed={','.join(missed)} "
        f"seconds={time.monotonic() - began:.0f}"
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
