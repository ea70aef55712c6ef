"""Tests of the metrics of a member."""

import re

import prometheus_client

from hawthornmast.common import Outcome
from hawthornmast.gateway.metrics import GatewayMetrics
from hawthornmast.gateway.metrics import LATENCY_BUCKETS_S


class TestServiceGauge:
    """A gauge has a sample for each service at the time of the scrape."""

    def test_services_come_and_go(self) -> None:
        # Guards against samples of a service that was removed.
        metrics = GatewayMetrics()
        values = {"boxes": 3.0}
        metrics.register_service_gauge("g", "Documentation.", lambda: values)
        assert b'g{service="boxes"} 3.0' in metrics.render()
        values["billing"] = values.pop("boxes")
        rendered = metrics.render()
        assert b'g{service="billing"} 3.0' in rendered
        assert b"boxes" not in rendered


class TestRender:
    def test_same_text_as_the_objects_of_the_client_library(self) -> None:
        # Guards against a change of the exported samples: counters are plain
        # numbers here until they are rendered.
        metrics = GatewayMetrics()
        registry = prometheus_client.CollectorRegistry()
        requests = prometheus_client.Counter(
            "hawthornmast_requests",
            "Finished requests.",
            ["route", "outcome", "status"],
            registry=registry,
        )
        latency = prometheus_client.Histogram(
            "hawthornmast_request_seconds",
            "Time from a request's head to its answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        team_requests = prometheus_client.Counter(
            "hawthornmast_team_requests",
            "Finished requests by team, empty without a valid key.",
            ["team", "status"],
            registry=registry,
        )
        bad_input = prometheus_client.Counter(
            "hawthornmast_bad_input",
            "Input of clients that was refused.",
            ["kind"],
            registry=registry,
        )
        gauge = prometheus_client.Gauge("g", "A gauge.", registry=registry)
        gauge.set(3)
        metrics.register_gauge("g", "A gauge.", lambda: 3)
        for number, outcome in enumerate(Outcome):
            latency_s = (0.0, 0.005, 0.3, 100.0)[number % 4]
            route = f"r-{number % 2}"
            metrics.count_request(route, outcome, 200, latency_s)
            requests.labels(route, outcome.value, "200").inc()
            latency.labels(route).observe(latency_s)
        for status, label in ((200, "2xx"), (401, "401"), (502, "5xx")):
            metrics.count_team_request("t", status)
            team_requests.labels("t", label).inc()
        metrics.count_bad_input("header")
        bad_input.labels("header").inc()
        expected = prometheus_client.generate_latest(registry)
        assert _without_times(metrics.render()) == _without_times(expected)


def _without_times(text: bytes) -> bytes:
    return re.sub(rb"(_created\{.*\}) .*", rb"\1", text)
