"""Tests of the metrics."""

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

    def test_unknown_reason_makes_no_series(self):
        # Guards against series created by text from clients.
        metrics = administration.Metrics()
        for reason in ("queue-full", "x1", "x2"):
            metrics.count_refusal(reason, service=SERVICE, entry=ENTRY)
        found = [
            line
            for line in _render(metrics)
            if line.startswith("hawthornmast_refusals_total")
        ]
        assert len(found) == 2
        assert any('reason="other"' in line for line in found)

    def test_forgotten_service_leaves_no_series(self):
        # Guards against series that pile up as services move.
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

    def test_service_that_comes_back_is_counted_again(self):
        # Guards against counting in a series that was dropped.
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
