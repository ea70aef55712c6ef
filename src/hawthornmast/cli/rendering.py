"""Text output of explanations, in the terms of the catalogue."""

from collections.abc import Mapping
from typing import Any

Facts = Mapping[str, Any]

_LABEL_WIDTH = 11


def render_explanation(kind: str, response: Facts) -> str:
    """Return the text of a response to ``/v1/explain``.

    Parameters
    ----------
    kind
        ``request``, ``upstream`` or ``entry``.
    response
        Response with the facts under ``kind`` and the records under
        ``audit``.
    """
    facts = response.get(kind)
    lines = []
    if facts is None:
        # With much traffic the request log covers a shorter time than the
        # audit trail.
        lines.append(f"The {kind} itself is no longer kept.")
    else:
        lines += _RENDERERS[kind](facts)
    records = response.get("audit", [])
    if records:
        lines.append("actions, the latest last:")
        lines += [f"  {render_record(record)}" for record in records]
    else:
        lines.append("actions: none recorded")
    return "\n".join(lines)


def render_record(record: Facts) -> str:
    """Format an audit record as one line without empty fields."""
    age = record.get("age_s")
    parts = [f"{age:.1f} s ago" if age is not None else "", record["act"]]
    parts += [
        f"{name}={value}"
        for name, value in record.items()
        if name not in ("act", "time", "age_s") and value not in ("", 0)
    ]
    return "  ".join(part for part in parts if part)


def _render_request(facts: Facts) -> list[str]:
    reason = f", reason {facts['reason']}" if facts["reason"] else ""
    lines = [
        f"request {facts['request_id']}: {facts['outcome']}{reason},"
        f" status {facts['status']}"
    ]
    if "age_s" in facts:
        lines.append(_format_field("ended", f"{facts['age_s']:.1f} s ago"))
    lines.append(_format_field("service", facts["service"] or "none"))
    if facts["entry"]:
        lines.append(
            _format_field(
                "entry",
                f"{facts['entry']}, owner {facts['owner']},"
                f" rank {facts['rank']}, revision {facts['revision']}",
            )
        )
    else:
        lines.append(_format_field("entry", "none selected on this daemon"))
    upstreams_tried = ", then ".join(facts["upstreams"]) or "none tried"
    lines.append(_format_field("upstreams", upstreams_tried))
    lines.append(
        _format_field(
            "times",
            f"{facts['queue_ms']:.1f} ms waiting for a slot,"
            f" {facts['upstream_ms']:.1f} ms for the rest,"
            f" {facts['total_ms']:.1f} ms in all",
        )
    )
    return lines


def _render_upstream(facts: Facts) -> list[str]:
    upstream = facts["upstream"]
    health = facts["health"]
    lines = [
        f"upstream {facts['service']}/{upstream['upstream_id']} at"
        f" {upstream['host']}:{upstream['port']} in {upstream['zone']}:"
        f" {_describe_use(facts)}",
        _format_field(
            "service",
            f"{facts['service']}, owner {facts['owner']},"
            f" revision {facts['revision']}",
        ),
        _format_field(
            "floor",
            f"{facts['floor']}: ejection leaves at least"
            f" {facts['floor_upstreams']} of {facts['listed']} upstreams;"
            f" {health.get('permits_of_group', 0)} may be ejected at once",
        ),
        _format_field(
            "slots",
            f"{facts['slots_allowed']} of {upstream['slots']} are this"
            f" daemon's, {facts['slots_in_use']} in use",
        ),
    ]
    if health:
        # A run of the detector starts with the first failure or with a
        # trial, and ends when successes have offset the failures.
        lines.append(
            _format_field(
                "evidence",
                f"{health['failed_in_run']} failed and {health['ok_in_run']}"
                f" ok in the current run, score {health['score']}",
            )
        )
        if health["denied"]:
            lines.append(
                _format_field("denied", "an ejection would go below the floor")
            )
        if health["hold_off_for_s"]:
            lines.append(
                _format_field(
                    "return",
                    f"trial in {health['hold_off_for_s']:.1f} s at the"
                    " earliest",
                )
            )
    return lines


def _describe_use(facts: Facts) -> str:
    standing = facts["standing"]
    if facts["upstream"]["state"] == "leaving":
        return "leaving, gets no new requests"
    if standing["ejected"]:
        return "ejected, gets no requests"
    if standing["avoided"]:
        return "avoided, used only when no other has a free slot"
    if standing["weight"] < 1:
        return f"returning, at weight {standing['weight']}"
    return "in use"


def _render_entry(facts: Facts) -> list[str]:
    entry = facts["entry"]
    ticket = (
        "idempotent" if entry["idempotent"] else "runs at most once, by ticket"
    )
    served = (
        f"here; {facts['waiting']} requests of the service wait"
        if facts["served_here"]
        else "by other daemons"
    )
    methods = ", ".join(entry["methods"]) or "all methods"
    return [
        f"entry {facts['service']}/{entry['name']}: owner {entry['owner']},"
        f" rank {entry['rank']}, {ticket}",
        _format_field("matches", f"{methods} on {entry['path']}"),
        _format_field(
            "limits",
            f"share={entry['share']} queue_limit={entry['queue_limit']}"
            f" deadline_ms={entry['deadline_ms']}"
            f" retry_ratio={entry['retry_ratio']}",
        ),
        _format_field("revision", str(facts["revision"])),
        _format_field("served", served),
    ]


def _format_field(name: str, text: str) -> str:
    return f"  {name:<{_LABEL_WIDTH}}{text}"


_RENDERERS = {
    "request": _render_request,
    "upstream": _render_upstream,
    "entry": _render_entry,
}
