"""Decoding of what the platform's store holds."""

import base64
import json
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

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_STATES = {"ready": State.LIVE, "draining": State.LEAVING}
_IDEMPOTENT = {"idempotent": True, "non_idempotent": False}


def parse_duration(text: str) -> float:
    """Return the seconds of a text such as ``1500ms`` or ``2.5s``.

    Raises ValueError for anything else.
    """
    found = _DURATION.fullmatch(text)
    if found is None:
        raise ValueError(
            f"duration is {text!r}, allowed: a number with ms or s"
        )
    number = float(found[1])
    return number / 1000 if found[2] == "ms" else number


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of ``address:port``.

    Raises ValueError for anything else.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"address is {text!r}, allowed: IP:PORT")
    return host, int(port)


def decode_value(item: dict[str, Any]) -> Any:
    """Return the JSON value of an item of the store.

    Raises ValueError, KeyError or TypeError for bytes that can't be read.
    """
    return json.loads(base64.b64decode(item["Value"], validate=True))


def decode_configuration(value: Any) -> Configuration:
    """Return the operator's configuration.

    Raises ValueError, KeyError, TypeError or AttributeError for a value of
    another form.
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
    split = value.get("TrafficSplit")
    if split:
        targets = tuple(
            Target(part["Service"], float(part["Weight"])) for part in split
        )
    else:
        targets = (Target(value["Service"]),)
    return Route(
        name=value["Name"],
        host=host.lower(),
        prefix=value["PathPrefix"],
        targets=targets,
        # Other kinds are served with the care of the stricter one.
        idempotent=_IDEMPOTENT.get(value["RouteType"], False),
        timeout_s=parse_duration(value["Timeout"]),
        target_latency_s=parse_duration(value["TargetLatency"]),
        max_attempts=int(value.get("MaxAttempts", 1)),
        rank=Rank(min(max(int(value["Priority"]), 0), max(Rank))),
    )


def decode_upstream(key: str, item: dict[str, Any]) -> ListedUpstream:
    """Return a listed upstream.

    Raises ValueError, KeyError or TypeError for an entry of another writer,
    which names no upstream to use.
    """
    value = decode_value(item)
    service, state, slots = value["Service"], value["State"], value["Slots"]
    zone, born = value["Zone"], value.get("born", 0)
    if not isinstance(service, str) or not isinstance(zone, str):
        raise TypeError("service and zone must be texts")
    if state not in _STATES:
        raise ValueError(f"state is {state!r}, allowed: {', '.join(_STATES)}")
    if type(slots) is not int or slots < 1:
        raise ValueError(f"slots is {slots!r}, allowed: 1 or more")
    if type(born) is not int:
        raise TypeError("the time of its start must be a whole number")
    host, port = parse_address(value["Address"])
    return ListedUpstream(
        service=service,
        upstream=Upstream(
            upstream_id=key,
            zone=zone,
            host=host,
            port=port,
            slots=slots,
            state=_STATES[state],
        ),
        started_ms=born,
    )
