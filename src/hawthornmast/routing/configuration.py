"""Routing configuration of the gateway, applied one whole version at a time.

It is not to be confused with the documents that ``hawthornmast.configuration``
distributes, each of which has a revision of its own.
"""

import functools
import hashlib
from typing import Any

import attrs

from hawthornmast.common import Rank


@attrs.frozen
class Target:
    """A service that receives a share of a route's requests.

    This is not the request target, which is ``target`` in ``find_route``.

    Parameters
    ----------
    service
        Name of the service.
    weight
        Share of the requests, relative to the route's other targets.
    """

    service: str
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Route:
    """Rule for the requests to one host whose path has a prefix.

    Routes govern the requests to ``hawthornmast.gateway``; the entries of
    ``hawthornmast.catalogue`` govern those to ``hawthornmast.forwarding``.

    Parameters
    ----------
    name
        Unique name within the configuration.
    host
        Value of ``Host`` in lower case, without a port.
    prefix
        Path prefix that begins and ends with a slash.
    targets
        Services among which the requests are divided.
    idempotent
        Whether a request may run more than once.
    timeout_s
        Seconds within which a client gets its final response.
    target_latency_s
        Response time in seconds that the route aims for. Unlike
        ``timeout_s``, it does not end a request.
    max_attempts
        Maximum number of upstreams to which one request is sent.
    rank
        Priority class, unless the request's team has its own.
    public
        Requests need no key, even if the configuration has teams.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int = 1
    rank: Rank = Rank.STANDARD
    public: bool = False


@attrs.frozen(kw_only=True)
class Team:
    """A group of clients that is identified by its keys.

    Parameters
    ----------
    name
        Unique name within the configuration.
    key_digests
        Digests of its valid keys, as ``digest_key`` returns them.
    rank
        Priority class of its requests; None for that of each route.
    rate_per_s
        Requests per second that all members together admit; None without a
        limit.
    burst
        Requests that they admit at once in addition.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    rank: Rank | None = None
    rate_per_s: float | None = None
    burst: float = 0.0


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is looked up.

    Keys themselves are kept neither in the configuration nor in messages.
    """
    return hashlib.sha256(key).digest()


@attrs.frozen(kw_only=True)
class ServiceOptions:
    """Options of a service to which routes refer.

    Parameters
    ----------
    name
        Name of the service.
    health_path
        Path of the health endpoint of its upstreams.
    connections
        Maximum number of connections that one upstream accepts, counting all
        of its clients together.
    """

    name: str
    health_path: str = "/health"
    connections: int = 400


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits on what clients may send.

    Parameters
    ----------
    header_bytes, body_bytes
        Maximum size of a request's head and of its body, in bytes.
    header_s, idle_s
        Timeouts in seconds for a complete head and for the start of the next
        request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_s: float = 5.0
    idle_s: float = 60.0


@attrs.frozen(kw_only=True)
class Configuration:
    """All routes and services of one version.

    Parameters
    ----------
    version
        Number that increases with each configuration.
    teams
        Teams whose keys requests need; None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceOptions, ...] = ()
    limits: RequestLimits = RequestLimits()
    teams: tuple[Team, ...] | None = None

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        Parameters
        ----------
        host
            Host in lower case, without a port.
        target
            Request target in origin form; its query is ignored.
        """
        prefixes = self._routes_by_host.get(host)
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_service(self, name: str) -> ServiceOptions | None:
        """Return the options of a service."""
        return self._services_by_name.get(name)

    def find_team(self, key_digest: bytes) -> Team | None:
        """Return the team that holds a key, None if the key is unknown.

        Parameters
        ----------
        key_digest
            Digest of the key. The time of the lookup depends on the digest
            and not on how much of the key is right.
        """
        return self._teams_by_digest.get(key_digest)

    @functools.cached_property
    def _teams_by_digest(self) -> dict[bytes, Team]:
        return {
            digest: team
            for team in self.teams or ()
            for digest in team.key_digests
        }

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, dict[str, Route]]:
        index: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            index.setdefault(route.host, {})[route.prefix] = route
        return index

    @functools.cached_property
    def _services_by_name(self) -> dict[str, ServiceOptions]:
        return {service.name: service for service in self.services}


def encode_configuration(configuration: Configuration) -> list[Any]:
    """Encode a configuration as plain lists for other daemons.

    Without teams, earlier versions can decode it. They refuse one with teams,
    which they could not enforce.
    """
    fields: list[Any] = [
        configuration.version,
        [
            [
                route.name,
                route.host,
                route.prefix,
                [[item.service, item.weight] for item in route.targets],
                route.idempotent,
                route.timeout_s,
                route.target_latency_s,
                route.max_attempts,
                int(route.rank),
                route.public,
            ]
            for route in configuration.routes
        ],
        [list(attrs.astuple(item)) for item in configuration.services],
        list(attrs.astuple(configuration.limits)),
    ]
    if configuration.teams is not None:
        fields.append([_encode_team(team) for team in configuration.teams])
    return fields


def _encode_team(team: Team) -> list[Any]:
    return [
        team.name,
        list(team.key_digests),
        None if team.rank is None else int(team.rank),
        team.rate_per_s,
        team.burst,
    ]


def _decode_team(value: Any) -> Team:
    name, key_digests, rank, rate_per_s, burst = value
    return Team(
        name=str(name),
        key_digests=tuple(bytes(digest) for digest in key_digests),
        rank=None if rank is None else Rank(rank),
        rate_per_s=None if rate_per_s is None else float(rate_per_s),
        burst=float(burst),
    )


def decode_configuration(value: Any) -> Configuration:
    """Decode a configuration from another daemon.

    Raises ValueError, TypeError or IndexError for anything else.
    """
    version, routes, services, limits, *optional = value
    header_bytes, body_bytes, header_s, idle_s = limits
    return Configuration(
        version=int(version),
        routes=tuple(_decode_route(item) for item in routes),
        services=tuple(
            ServiceOptions(name=name, health_path=path, connections=count)
            for name, path, count in services
        ),
        limits=RequestLimits(
            header_bytes=header_bytes,
            body_bytes=body_bytes,
            header_s=header_s,
            idle_s=idle_s,
        ),
        teams=(
            tuple(_decode_team(item) for item in optional[0])
            if optional
            else None
        ),
    )


def _decode_route(value: Any) -> Route:
    name, host, prefix, targets, idempotent, timeout_s, latency_s = value[:7]
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        targets=tuple(Target(*item) for item in targets),
        idempotent=bool(idempotent),
        timeout_s=float(timeout_s),
        target_latency_s=float(latency_s),
        max_attempts=int(value[7]),
        rank=Rank(value[8]),
        # Earlier versions end with the rank.
        public=bool(value[9]) if len(value) > 9 else False,
    )
