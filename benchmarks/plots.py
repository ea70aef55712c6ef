"""Plots of benchmark rows."""

import pathlib
from typing import Any

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

SERVICE_PLOT = "service-by-rank.png"
DETECTION_PLOT = "detection-time.png"
_RANKS = ("urgent", "standard", "background")
_LOAD_FACTORS = (1, 2, 5, 10)
_STYLES = {"fleet": "o-", "static": "s--", "fifo": "^:", "priority": "x-."}


def plot_service_by_rank(
    rows: list[dict[str, Any]], path: pathlib.Path
) -> bool:
    """Plot the share answered on time by rank over load.

    Returns False without such rows.

    Parameters
    ----------
    rows
        Rows of ``benchmarks.overload``; only those of the upstream set on
        which the baseline policies ran are plotted.
    """
    baseline_sets = {
        row["upstreams"] for row in rows if row.get("policy") not in ("fleet",)
    }
    found: dict[tuple[str, int], dict[str, Any]] = {}
    for row in rows:
        name, _, load = row["row"].rpartition(" ")
        if name == "overload" and row["upstreams"] in baseline_sets:
            found[row["policy"], int(load.removesuffix("x"))] = row
    if not found:
        return False
    figure = Figure(figsize=(9, 3))
    axes = figure.subplots(1, 3, sharey=True)
    for rank, axis in zip(_RANKS, axes, strict=True):
        for policy, style in _STYLES.items():
            points = [
                (load, found[policy, load][rank])
                for load in _LOAD_FACTORS
                if (policy, load) in found
            ]
            if points:
                axis.plot(*zip(*points, strict=True), style, label=policy)
        axis.set_title(rank)
        axis.set_xscale("log")
        axis.set_xticks(_LOAD_FACTORS, [f"{load}x" for load in _LOAD_FACTORS])
        axis.minorticks_off()
        axis.set_xlabel("offered load / capacity")
        axis.grid(alpha=0.3)
    axes[0].set_ylabel("share answered on time")
    axes[-1].legend(fontsize=8)
    _save(figure, path)
    return True


def plot_detection_times(
    times: dict[str, list[float]], path: pathlib.Path
) -> bool:
    """Plot the distribution of detection times; return False without any.

    Parameters
    ----------
    times
        Seconds from the fault to its detection, by name of the fault.
    """
    if not times:
        return False
    figure = Figure(figsize=(6, 3.5))
    axis = figure.subplots()
    for name, values in times.items():
        ordered = sorted(values)
        shares = [(i + 1) / len(ordered) for i in range(len(ordered))]
        axis.step(ordered, shares, where="post", label=name)
    axis.axvline(1.0, color="black", linestyle=":", label="aim: 99% in 1 s")
    axis.axhline(0.99, color="black", linestyle=":")
    axis.set_xlabel("seconds from the fault to the decision")
    axis.set_ylabel("share of trials")
    axis.grid(alpha=0.3)
    axis.legend(fontsize=8)
    _save(figure, path)
    return True


def _save(figure: Figure, path: pathlib.Path) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    FigureCanvasAgg(figure)
    figure.tight_layout()
    # Omits the matplotlib version, so that equal rows give identical files.
    figure.savefig(path, dpi=90, metadata={"Software": None})
