"""Gauges of one member."""

from collections.abc import Mapping
import functools

from hawthornmast.forwarding.memory import ResponseMemory
from hawthornmast.gateway.datagrams import DatagramTransport
from hawthornmast.gateway.metrics import GatewayMetrics
from hawthornmast.gateway.services import ServiceRegistry
from hawthornmast.gateway.sources import StateSynchronizer
from hawthornmast.membership.gossip import Gossip

_COVERAGE_GAUGES = {
    "hawthornmast_healthy_upstreams": (
        "healthy",
        "Eligible upstreams without a recent failure.",
    ),
    "hawthornmast_receiving_upstreams": (
        "receiving",
        "Healthy upstreams with a recent request.",
    ),
    "hawthornmast_avoided_upstreams": (
        "avoided",
        "Healthy upstreams that are still believed to fail.",
    ),
}
"""Field of ``Coverage`` and documentation of each gauge by service."""

_STATEMENT_GAUGES = {
    "hawthornmast_held_off_upstreams": (
        "held_off",
        "Upstreams that take no requests from this member for a time.",
    ),
    "hawthornmast_leaving_upstreams": (
        "leaving",
        "Upstreams that stated in a response that they leave.",
    ),
    "hawthornmast_limited_upstreams": (
        "limited",
        "Upstreams that state how many requests per second they take.",
    ),
}
"""Key of ``SharedPool.count_stated`` and documentation of each gauge."""


def register_gauges(
    metrics: GatewayMetrics,
    *,
    synchronizer: StateSynchronizer,
    datagrams: DatagramTransport,
    gossip: Gossip,
    services: ServiceRegistry,
    response_memory: ResponseMemory,
) -> None:
    """Export the state of a member's parts."""
    metrics.register_gauge(
        "hawthornmast_platform_calls",
        "Calls of the platform.",
        lambda: synchronizer.platform_calls.calls,
    )
    metrics.register_gauge(
        "hawthornmast_platform_failures",
        "Calls of the platform that failed.",
        lambda: synchronizer.platform_calls.failures,
    )
    metrics.register_gauge(
        "hawthornmast_platform_era",
        "Era of the list of upstreams in force, which increases when the"
        " platform returns to an older copy.",
        lambda: synchronizer.summarize().eras.era,
    )
    metrics.register_gauge(
        "hawthornmast_datagram_bytes",
        "Bytes of datagrams sent to other members.",
        lambda: datagrams.sent_bytes,
    )
    metrics.register_gauge(
        "hawthornmast_held_response_bytes",
        "Bytes of responses that wait in memory for clients.",
        lambda: response_memory.held_bytes,
    )
    # Gossip knows all members of this zone, but only the highest-ranked few
    # of each other zone, so the gauge is not the size of the fleet.
    metrics.register_gauge(
        "hawthornmast_live_members",
        "Members that live and are ready: all of the zone and the first of"
        " the others.",
        lambda: len(gossip.live()),
    )
    for name, (field, documentation) in _COVERAGE_GAUGES.items():
        metrics.register_service_gauge(
            name,
            documentation,
            functools.partial(_read_coverage, services, field),
        )
    for name, (key, documentation) in _STATEMENT_GAUGES.items():
        metrics.register_service_gauge(
            name,
            documentation,
            functools.partial(_read_statements, services, key),
        )


def _read_statements(
    services: ServiceRegistry, key: str
) -> Mapping[str, float]:
    """Return one count of the statements of each service."""
    return {
        state.name: float(state.pool.count_stated()[key]) for state in services
    }


def _read_coverage(
    services: ServiceRegistry, field: str
) -> Mapping[str, float]:
    """Return one field of the coverage of each service."""
    return {
        state.name: float(getattr(state.pool.measure_coverage(), field))
        for state in services
    }
