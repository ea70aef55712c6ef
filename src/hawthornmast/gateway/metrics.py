"""Counters and histograms of one member."""

from collections.abc import Callable

import prometheus_client
from prometheus_client import CollectorRegistry

from hawthornmast.common import Outcome

LATENCY_BUCKETS_S = (
    0.005,
    0.025,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    4.0,
    8.0,
    16.0,
)


class GatewayMetrics:
    """Metrics of one process in a registry of their own.

    Label values come from the configuration or from closed sets, never from
    clients.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._requests = prometheus_client.Counter(
            "hawthornmast_requests",
            "Finished requests.",
            ["route", "outcome", "status"],
            registry=self.registry,
        )
        self._seconds = prometheus_client.Histogram(
            "hawthornmast_request_seconds",
            "Time from a request's head to its answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._bad_input = prometheus_client.Counter(
            "hawthornmast_bad_input",
            "Input of clients that was refused.",
            ["kind"],
            registry=self.registry,
        )

    def count_request(
        self, route: str, outcome: Outcome, status: int, seconds: float
    ) -> None:
        """Count a finished request."""
        self._requests.labels(route, outcome.value, str(status)).inc()
        self._seconds.labels(route).observe(seconds)

    def count_bad_input(self, kind: str) -> None:
        """Count refused input."""
        self._bad_input.labels(kind).inc()

    def watch(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Show a number that another part keeps."""
        gauge = prometheus_client.Gauge(name, text, registry=self.registry)
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return prometheus_client.generate_latest(self.registry)
