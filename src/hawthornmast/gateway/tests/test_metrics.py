"""Tests of the metrics of a member."""

from hawthornmast.gateway.metrics import GatewayMetrics


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
