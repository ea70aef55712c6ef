"""Metrics of a member in the text format of Prometheus."""

from collections.abc import Iterator
from collections.abc import Mapping
import itertools

import attrs
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.core import Metric
from prometheus_client.registry import Collector
from prometheus_client.utils import floatToGoString

from hawthornmast.gateway.metrics import Count
from hawthornmast.gateway.metrics import GatewayMetrics
from hawthornmast.gateway.metrics import Gauge
from hawthornmast.gateway.metrics import Labels
from hawthornmast.gateway.metrics import LATENCY_BUCKETS_S


def render_metrics(metrics: GatewayMetrics) -> bytes:
    """Return the metrics of a member in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_MemberCollector(metrics))
    for make_collector in metrics.make_collectors:
        registry.register(make_collector())
    return generate_latest(registry)


@attrs.frozen
class _MemberCollector(Collector):
    metrics: GatewayMetrics

    def describe(self) -> Iterator[Metric]:
        """Return no names; there is one collector."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Return all metrics with their samples."""
        metrics = self.metrics
        yield _make_counter(
            "hawthornmast_requests",
            "Finished requests.",
            ("route", "outcome", "status"),
            metrics.requests,
        )
        yield _make_latencies(metrics)
        yield _make_counter(
            "hawthornmast_team_requests",
            "Finished requests by team, empty without a valid key.",
            ("team", "status"),
            metrics.team_requests,
        )
        yield _make_counter(
            "hawthornmast_bad_input",
            "Input of clients that was refused.",
            ("kind",),
            metrics.bad_input,
        )
        for gauge in metrics.gauges:
            yield _make_gauge(gauge)


def _make_counter(
    name: str,
    documentation: str,
    labels: Labels,
    counts: Mapping[Labels, Count],
) -> Metric:
    family = CounterMetricFamily(name, documentation, labels=labels)
    for values, count in counts.items():
        family.add_metric(values, count.value, created=count.created_at)
    return family


def _make_latencies(metrics: GatewayMetrics) -> Metric:
    family = HistogramMetricFamily(
        "hawthornmast_request_seconds",
        "Time from a request's head to its answer.",
        labels=["route"],
    )
    bounds = [*map(floatToGoString, LATENCY_BUCKETS_S), "+Inf"]
    for values, histogram in metrics.latencies.items():
        totals = itertools.accumulate(histogram.counts)
        family.add_metric(
            values,
            list(zip(bounds, map(float, totals), strict=True)),
            histogram.sum_s,
        )
        family.add_sample(
            f"{family.name}_created",
            dict(zip(("route",), values, strict=True)),
            histogram.created_at,
        )
    return family


def _make_gauge(gauge: Gauge) -> Metric:
    if gauge.get_service_values is None:
        assert gauge.get_value is not None
        return GaugeMetricFamily(
            gauge.name, gauge.documentation, value=float(gauge.get_value())
        )
    family = GaugeMetricFamily(
        gauge.name, gauge.documentation, labels=["service"]
    )
    for service, value in gauge.get_service_values().items():
        family.add_metric([service], value)
    return family
