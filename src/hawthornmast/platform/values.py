"""Decoders of durations, addresses and the values of the store."""

import base64
import json
import math
import re
from typing import Any

from hawthornmast.common import Rank
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.membership.listing import ListedUpstream
from hawthornmast.routing import Configuration
from hawthornmast.routing import RequestLimits
from hawthornmast.routing import Route
from hawthornmast.routing import ServiceOptions
from hawthornmast.routing import Target

_DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_STATES_BY_NAME = {"ready": State.LIVE, "draining": State.LEAVING}
_IDEMPOTENT_BY_ROUTE_TYPE = {"idempotent": True, "non_idempotent": False}


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
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"address is {text!r}, allowed: IP:PORT")
    return host, int(port)


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
    )


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
        rank=Rank(min(max(int(value["Priority"]), 0), max(Rank))),
    )


def decode_upstream(key: str, item: dict[str, Any]) -> ListedUpstream:
    """Decode an upstream from an item of the store.

    Raises ValueError, KeyError, TypeError or AttributeError for an item that
    describes no upstream, such as one written by another program.
    """
    value = decode_value(item)
    service, state, slots = value["Service"], value["State"], value["Slots"]
    zone, born = value["Zone"], value.get("born", 0)
    if not isinstance(service, str) or not isinstance(zone, str):
        raise TypeError("Service and Zone must be strings")
    if state not in _STATES_BY_NAME:
        raise ValueError(
            f"state is {state!r}, allowed: {', '.join(_STATES_BY_NAME)}"
        )
    if type(slots) is not int or slots < 1:
        raise ValueError(f"slots is {slots!r}, allowed: 1 or more")
    if type(born) is not int:
        raise TypeError("born must be an integer")
    host, port = parse_address(value["Address"])
    return ListedUpstream(
        service=service,
        upstream=Upstream(
            upstream_id=key,
            zone=zone,
            host=host,
            port=port,
            slots=slots,
            state=_STATES_BY_NAME[state],
        ),
        started_ms=born,
    )
