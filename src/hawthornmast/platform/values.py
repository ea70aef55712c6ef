"""Decoders of durations, addresses and the values of the store."""

import base64
import json
import math
import re
import reprlib
from typing import Any

from hawthornmast.common import Rank
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.routing import Configuration
from hawthornmast.routing import digest_key
from hawthornmast.routing import RequestLimits
from hawthornmast.routing import Route
from hawthornmast.routing import ServiceOptions
from hawthornmast.routing import Target
from hawthornmast.routing import Team

_DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_HEADER_TEXT = re.compile(r"[!-~](?:[ -~]{0,198}[!-~])?")
_STATES_BY_NAME = {"ready": State.LIVE, "draining": State.LEAVING}
_IDEMPOTENT_BY_ROUTE_TYPE = {
    "idempotent": True,
    "download": True,
    "non_idempotent": False,
}


def parse_duration(text: str) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``; return seconds.

    Raises ValueError for any other format.
    """
    match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(
            f"duration is {text!r}, allowed: a number with ms or s"
        )
    amount = float(match[1])
    return amount / 1000 if match[2] == "ms" else amount


def parse_share(text: str) -> float:
    """Parse a share from 0 to 1.

    Raises ValueError for any other value.
    """
    try:
        share = float(text)
    except ValueError:
        share = math.nan
    if not 0.0 <= share <= 1.0:
        raise ValueError(f"share is {text!r}, allowed: 0 to 1")
    return share


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``address:port``; return the IP address and the port.

    Raises ValueError for any other format.
    """
    host, _, port = text.rpartition(":")
    number = int(port) if _PORT_PATTERN.fullmatch(port) else 0
    if not host or not 0 < number < 65_536:
        raise ValueError(
            f"address is {reprlib.repr(text)}, allowed: IP:PORT with a port"
            " from 1 to 65535"
        )
    return host, number


def decode_value(item: dict[str, Any]) -> Any:
    """Return the decoded JSON value of an item of the store.

    Raises ValueError, KeyError or TypeError if it can't be decoded.
    """
    return json.loads(base64.b64decode(item["Value"], validate=True))


def decode_configuration(value: Any) -> Configuration:
    """Decode the operator's configuration.

    Raises ValueError, KeyError, TypeError or AttributeError for an invalid
    value.
    """
    limits = value["Limits"]
    return Configuration(
        version=int(value["Version"]),
        routes=tuple(
            _decode_route(host["Host"], path)
            for host in value["VirtualHosts"]
            for path in host["Paths"]
        ),
        services=tuple(
            ServiceOptions(
                name=item["Name"],
                health_path=item.get("HealthPath", "/health"),
                connections=int(item.get("MaxConns", 400)),
            )
            for item in value["Services"]
        ),
        limits=RequestLimits(
            header_bytes=int(limits["MaxHeaderBytes"]),
            body_bytes=int(limits["MaxBodyBytes"]),
            header_s=parse_duration(limits["HeaderTimeout"]),
            idle_s=parse_duration(limits["IdleTimeout"]),
        ),
        teams=_decode_teams(value),
    )


def _decode_teams(value: Any) -> tuple[Team, ...] | None:
    if value.get("Tenants") is None:
        return None
    teams = tuple(_decode_team(item) for item in value["Tenants"])
    owners: dict[bytes, str] = {}
    for team in teams:
        for digest in team.key_digests:
            other = owners.setdefault(digest, team.name)
            if other != team.name:
                raise ValueError(
                    f"a key belongs to {other!r} and to {team.name!r},"
                    " allowed: one team a key"
                )
    return teams


def _decode_team(value: Any) -> Team:
    name = value["Name"]
    # The name is sent to upstreams in a header.
    if not isinstance(name, str) or _HEADER_TEXT.fullmatch(name) is None:
        raise ValueError(
            f"team name is {reprlib.repr(name)}, allowed: 1 to 200 printable"
            " ASCII characters without a space at either end"
        )
    keys = value.get("ApiKeys") or []
    if not isinstance(keys, list):
        raise ValueError(f"keys of team {name!r} are no list")
    priority = value.get("Priority")
    return Team(
        name=name,
        key_digests=tuple(digest_key(key.encode()) for key in keys),
        rank=None if priority is None else _decode_rank(priority),
        rate_per_s=_parse_amount("RatePerS", value) or None,
        burst=_parse_amount("Burst", value),
    )


def _parse_amount(field: str, value: Any) -> float:
    amount = float(value.get(field) or 0.0)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"{field} is {amount}, allowed: 0 or more")
    return amount


def _decode_rank(priority: Any) -> Rank:
    return Rank(min(max(int(priority), 0), max(Rank)))


def _decode_route(host: str, value: Any) -> Route:
    traffic_split = value.get("TrafficSplit")
    if traffic_split:
        targets = tuple(
            Target(part["Service"], float(part["Weight"]))
            for part in traffic_split
        )
    else:
        targets = (Target(value["Service"]),)
    return Route(
        name=value["Name"],
        host=host.lower(),
        prefix=value["PathPrefix"],
        targets=targets,
        # Unknown route types are treated as non-idempotent, the stricter of
        # the two.
        idempotent=_IDEMPOTENT_BY_ROUTE_TYPE.get(value["RouteType"], False),
        timeout_s=parse_duration(value["Timeout"]),
        target_latency_s=parse_duration(value["TargetLatency"]),
        max_attempts=int(value.get("MaxAttempts", 1)),
        rank=_decode_rank(value["Priority"]),
        public=value.get("Public") is True,
    )


def _read_counter(field: str, value: Any) -> int:
    """Return a counter, 0 if it is missing or no integer."""
    counter = value.get(field)
    return counter if type(counter) is int else 0


def decode_upstream(key: str, item: dict[str, Any]) -> ListedUpstream:
    """Decode an upstream from an item of the store.

    Raises ValueError, KeyError, TypeError or AttributeError for an item that
    describes no upstream, such as one written by another program.
    """
    value = decode_value(item)
    state = value["State"]
    if state not in _STATES_BY_NAME:
        raise ValueError(
            f"state is {reprlib.repr(state)},"
            f" allowed: {', '.join(_STATES_BY_NAME)}"
        )
    host, port = parse_address(value["Address"])
    return ListedUpstream(
        service=value["Service"],
        upstream=Upstream(
            upstream_id=key,
            zone=value["Zone"],
            host=host,
            port=port,
            slots=value["Slots"],
            state=_STATES_BY_NAME[state],
            started_ms=value.get("born", 0),
        ),
        revision=_read_counter("Revision", item),
        sequence=_read_counter("Sequence", value),
    )
