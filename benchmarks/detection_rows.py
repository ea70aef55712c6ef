"""Post-processes the rows of the detection benchmark."""

from typing import Any

from benchmarks.rows import check

_MEASURES = {
    "1s": ("found within 1 s", "within_1s"),
    "avoid-1s": ("avoided within 1 s", "within_1s"),
    "5-failed": ("found within 5 failed", "within_5_failed"),
}
_AIM_SHARE = 0.99


def add_checks(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row with checks that compare its figures with the aims.

    The verdict in ``met`` is kept, because an aim may combine several figures,
    such as an upstream that is avoided but never ejected.
    """
    has_verdict = row.get("met") is not None
    title = f"{row['row']} {row['rate']:g}/s" if "rate" in row else row["row"]
    if "ejections" in row:
        figure, name, aim = row["ejections"], "wrong ejections", row["aim"]
        hours = row["upstream_hours"]
        checks = [check(name, figure), check("upstream hours", hours)]
        checks[0].update(aim=aim, held=row["met"])
    elif row.get("aim") == "no-ejection":
        checks = [check("ejected by any", row["ejected_by_any"], at_most=0)]
        checks[0]["held"] = row["met"]
    elif row.get("aim") in _MEASURES:
        name, key = _MEASURES[row["aim"]]
        aim_share = _AIM_SHARE if has_verdict else None
        checks = [check(name, row[key], at_least=aim_share)]
        checks[0]["held"] = row["met"]
    else:
        checks = [check("found within 1 s", row.get("within_1s", 0.0))]
    return {**row, "row": title, "checks": checks}


def collect_detection_times(
    rows: list[dict[str, Any]],
) -> dict[str, list[float]]:
    """Return the detection times of the pooled monitor by fault."""
    return {
        row["row"]: row["times_s"]
        for row in rows
        if row.get("times_s") and row.get("monitor") == "pooled"
    }
