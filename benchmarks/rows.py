"""Rows of figures with the aims of the design page, section 1.2."""

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
    excuse: str = "",
) -> dict[str, Any]:
    """Return one figure beside its aim.

    Parameters
    ----------
    measure
        What the figure is.
    at_least, at_most
        The aim; without either the figure is a baseline.
    excuse
        Why the aim does not apply, such as a load that does not fit. The row
        then counts neither as held nor as missed.
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
        "held": None if excuse else held,
        "note": excuse,
    }


def is_missed(row: dict[str, Any]) -> bool:
    """Tell whether a row misses one of its aims."""
    return any(item["held"] is False for item in row["checks"])


def compute_quantile_ms(micros: Iterable[int], quantile: float) -> float:
    """Return a quantile, in percent, of times in microseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for value in micros:
        histogram.record_value(value)
    return float(histogram.get_value_at_percentile(quantile)) / 1000
