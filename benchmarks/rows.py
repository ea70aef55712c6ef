"""Benchmark rows compared with the aims in docs/design.md, section 1.2."""

from collections.abc import Iterable
import math
from typing import Any

from hdrh.histogram import HdrHistogram


def check(
    measure: str,
    figure: float,
    *,
    at_least: float | None = None,
    at_most: float | None = None,
    exemption: str = "",
) -> dict[str, Any]:
    """Compare one figure with its aim.

    Parameters
    ----------
    measure
        Name and unit of the figure.
    at_least, at_most
        Bound that the aim sets; without one the figure is only reported.
    exemption
        Why the aim does not apply, such as an offered load above the
        capacity. The figure then counts neither as held nor as missed.
    """
    aim, held = "", None
    if at_least is not None:
        aim, held = f">= {at_least:g}", figure >= at_least
    elif at_most is not None:
        aim, held = f"<= {at_most:g}", figure <= at_most
    return {
        "measure": measure,
        "figure": figure if math.isfinite(figure) else None,
        "aim": aim,
        "held": None if exemption else held,
        "note": exemption,
    }


def is_missed(row: dict[str, Any]) -> bool:
    """Return whether a row misses any of its aims."""
    return any(item["held"] is False for item in row["checks"])


def compute_percentile_ms(micros: Iterable[int], percentile: float) -> float:
    """Return a percentile of times in microseconds, in milliseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for value in micros:
        histogram.record_value(value)
    return float(histogram.get_value_at_percentile(percentile)) / 1000
