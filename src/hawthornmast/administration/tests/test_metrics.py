"""Tests of the Prometheus metrics."""

import prometheus_client

from hawthornmast import administration
from hawthornmast import catalogue
from hawthornmast.common import Outcome
from hawthornmast.common import Rank

ENTRY = catalogue.Entry(name="charge", owner="t", rank=Rank.URGENT)
SERVICE = catalogue.Service(name="billing", owner="t", entries=(ENTRY,))


def _render(metrics):
    text = prometheus_client.generate_latest(metrics.registry).decode()
    return [line for line in text.splitlines() if "_created" not in line]


class TestMetrics:
    def test_request_has_the_labels_of_its_entry(self):
        metrics = administration.Metrics()
        metrics.count_request(
            SERVICE,
            ENTRY,
            outcome=Outcome.NOT_RUN,
            seconds=0.2,
            queue_seconds=0.1,
        )
        lines = _render(metrics)
        assert (
            'hawthornmast_requests_total{entry="charge",outcome="not-run",'
            'rank="urgent",service="billing"} 1.0' in lines
        )

    def test_unknown_reason_is_counted_as_other(self):
        # Guards against a label whose values come from client input, with
        # which clients could create any number of series.
        metrics = administration.Metrics()
        for reason in ("queue-full", "x1", "x2"):
            metrics.count_refusal(reason, service=SERVICE, entry=ENTRY)
        refusals = [
            line
            for line in _render(metrics)
            if line.startswith("hawthornmast_refusals_total")
        ]
        assert len(refusals) == 2
        assert any('reason="other"' in line for line in refusals)

    def test_removes_the_series_of_a_forgotten_service(self):
        # Guards against series that accumulate as services move between
        # daemons.
        metrics = administration.Metrics()
        metrics.count_request(
            SERVICE, ENTRY, outcome=Outcome.COMPLETE, seconds=0.2
        )
        metrics.count_refusal("deadline", service=SERVICE)
        metrics.count_ejection(SERVICE)
        metrics.set_ejected(SERVICE, 1)
        metrics.forget_service("billing")
        metrics.count_bad_input(administration.BadInput.BAD_TICKET)
        metrics.count_peer_bytes(administration.Direction.SENT, 7)
        metrics.set_peers(3)
        metrics.set_revision(12)
        text = "\n".join(_render(metrics))
        assert "billing" not in text
        assert 'hawthornmast_peer_bytes_total{direction="sent"} 7.0' in text
        assert "hawthornmast_configuration_revision 12.0" in text

    def test_counts_a_service_that_is_served_again(self):
        # Guards against a cached series that is still incremented after it
        # was removed from the registry.
        metrics = administration.Metrics()
        for seconds in (0.1, 0.2):
            metrics.count_request(
                SERVICE, ENTRY, outcome=Outcome.COMPLETE, seconds=seconds
            )
            metrics.forget_service("billing")
        metrics.count_request(
            SERVICE, ENTRY, outcome=Outcome.COMPLETE, seconds=0.3
        )
        lines = _render(metrics)
        assert (
            'hawthornmast_requests_total{entry="charge",outcome="complete",'
            'rank="urgent",service="billing"} 1.0' in lines
        )
