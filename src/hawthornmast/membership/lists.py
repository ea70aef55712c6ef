"""Strict parsing of the JSON lists that operators publish.

``listing.py`` holds the list in which upstreams register themselves.
"""

from collections.abc import Callable
import functools
import ipaddress
import json
import math
from typing import Any
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.membership.entries import MAX_STARTED_MS

_T = TypeVar("_T")
_Check = Callable[[Any], bool]


def _is_name(value: Any) -> bool:
    return (
        isinstance(value, str)
        and 0 < len(value) <= 128
        and value.isprintable()
        and " " not in value
    )


def _is_capacity(value: Any) -> bool:
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 < value < math.inf
    )


def _is_port(value: Any) -> bool:
    return type(value) is int and 0 < value < 65536


def _is_count(value: Any) -> bool:
    return type(value) is int and value > 0


def _is_start_time(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_STARTED_MS


def _is_host(value: Any) -> bool:
    try:
        return isinstance(value, str) and bool(ipaddress.ip_address(value))
    except ValueError:
        return False


def _is_state(value: Any) -> bool:
    return value in list(State)


_COMMON: dict[str, tuple[_Check, str]] = {
    "zone": (_is_name, "a name without spaces"),
    "host": (_is_host, "an IP address"),
    "port": (_is_port, "1 to 65535"),
    "state": (_is_state, ", ".join(State)),
}
_DAEMON = {
    "instance_id": (_is_name, "a name without spaces"),
    "peer_port": (_is_port, "1 to 65535"),
    "capacity": (_is_capacity, "a number above 0"),
    **_COMMON,
}
_UPSTREAM = {
    "upstream_id": (_is_name, "a name without spaces"),
    "slots": (_is_count, "an integer of 1 or more"),
    "connections": (_is_count, "an integer of 1 or more"),
    "started_ms": (_is_start_time, f"an integer from 0 to {MAX_STARTED_MS}"),
    **_COMMON,
}
_OPTIONAL = {"state", "connections", "capacity", "started_ms"}


# Cached because a list is parsed once to validate and once to apply it.
@functools.lru_cache(maxsize=1)
def parse_daemons(text: str) -> Result[tuple[Instance, ...], StepError]:
    """Parse a list of daemons; doesn't compare it with the zone of its key."""
    return _parse(text, "parse-daemons", "instance_id", _DAEMON, Instance)


def parse_upstreams(text: str) -> Result[tuple[Upstream, ...], StepError]:
    """Parse ``instances/upstreams/<service>``."""
    return _parse(text, "parse-upstreams", "upstream_id", _UPSTREAM, Upstream)


def _parse(
    text: str,
    step: str,
    identity: str,
    checks: dict[str, tuple[_Check, str]],
    build: Callable[..., _T],
) -> Result[tuple[_T, ...], StepError]:
    """Return all entries, or the first problem found in the list."""
    try:
        entries = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Err(StepError(step=step, detail=f"not JSON: {error}"))
    if not isinstance(entries, list):
        kind = type(entries).__name__
        detail = f"document is a {kind}, allowed: an array"
        return Err(StepError(step=step, detail=detail))
    found: dict[str, _T] = {}
    for number, entry in enumerate(entries):
        problem = _find_problem(entry, checks)
        if not problem and entry[identity] in found:
            problem = f"{identity} {entry[identity]!r} occurs twice"
        if problem:
            detail = f"entry {number}: {problem}"
            return Err(StepError(step=step, detail=detail))
        fields = dict(entry)
        if "state" in fields:
            fields["state"] = State(fields["state"])
        found[entry[identity]] = build(**fields)
    return Ok(tuple(found.values()))


def _find_problem(entry: Any, checks: dict[str, tuple[_Check, str]]) -> str:
    if not isinstance(entry, dict):
        return f"is a {type(entry).__name__}, allowed: an object"
    for name in entry:
        if name not in checks:
            allowed = ", ".join(sorted(checks))
            return f"unknown field {name!r}, allowed: {allowed}"
    for name, (check, allowed) in checks.items():
        if name not in entry:
            if name not in _OPTIONAL:
                return f"field {name!r} is missing"
        elif not check(entry[name]):
            return f"{name} is {entry[name]!r:.80}, allowed: {allowed}"
    return ""
