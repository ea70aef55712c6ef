"""Counters and histograms of one member."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import attrs
import prometheus_client
from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

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


@attrs.frozen
class _ServiceGauge(Collector):
    """A value of each service that is read at each scrape."""

    name: str
    documentation: str
    get_values: Callable[[], Mapping[str, float]]

    def describe(self) -> Iterator[GaugeMetricFamily]:
        """Return the metric without samples; the services are not read."""
        yield self._make_family({})

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Return one sample for each service."""
        yield self._make_family(self.get_values())

    def _make_family(self, values: Mapping[str, float]) -> GaugeMetricFamily:
        family = GaugeMetricFamily(
            self.name, self.documentation, labels=["service"]
        )
        for service, value in values.items():
            family.add_metric([service], value)
        return family


class GatewayMetrics:
    """Metrics of one process in a separate registry.

    Label values come from the configuration or from closed sets, never from
    clients, which bounds the number of time series.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._requests = prometheus_client.Counter(
            "hawthornmast_requests",
            "Finished requests.",
            ["route", "outcome", "status"],
            registry=self.registry,
        )
        self._latency = prometheus_client.Histogram(
            "hawthornmast_request_seconds",
            "Time from a request's head to its answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._team_requests = prometheus_client.Counter(
            "hawthornmast_team_requests",
            "Finished requests by team, empty without a valid key.",
            ["team", "status"],
            registry=self.registry,
        )
        self._bad_input = prometheus_client.Counter(
            "hawthornmast_bad_input",
            "Input of clients that was refused.",
            ["kind"],
            registry=self.registry,
        )

    def count_request(
        self, route: str, outcome: Outcome, status: int, latency_s: float
    ) -> None:
        """Count a finished request and observe its latency."""
        self._requests.labels(route, outcome.value, str(status)).inc()
        self._latency.labels(route).observe(latency_s)

    def count_team_request(self, team: str, status: int) -> None:
        """Count a finished request by its team.

        The status is counted by its class, to bound the number of series,
        except for refusals of keys and rates.
        """
        label = str(status) if status in (401, 429) else f"{status // 100}xx"
        self._team_requests.labels(team, label).inc()

    def count_bad_input(self, kind: str) -> None:
        """Count refused input."""
        self._bad_input.labels(kind).inc()

    def register_gauge(
        self, name: str, documentation: str, get_value: Callable[[], float]
    ) -> None:
        """Export a value that is read at each scrape."""
        gauge = prometheus_client.Gauge(
            name, documentation, registry=self.registry
        )
        gauge.set_function(get_value)

    def register_service_gauge(
        self,
        name: str,
        documentation: str,
        get_values: Callable[[], Mapping[str, float]],
    ) -> None:
        """Export a value of each service that is read at each scrape."""
        self.registry.register(_ServiceGauge(name, documentation, get_values))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
