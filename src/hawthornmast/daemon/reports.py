"""Request log, metrics and audit records of finished requests."""

from collections.abc import Iterable

import trio

from hawthornmast.administration import BadInput
from hawthornmast.administration import Metrics
from hawthornmast.administration import RequestLog
from hawthornmast.administration import RequestRecord
from hawthornmast.audit import Action
from hawthornmast.audit import AuditTrail
from hawthornmast.common import Outcome
from hawthornmast.daemon.runtime import Runtime
from hawthornmast.daemon.services import Services
from hawthornmast.forwarding import RequestReport


class RequestReporter:
    """Records each finished request once in log, metrics and audit trail.

    Parameters
    ----------
    services
        Accepted services, from which metric labels are taken.
    requests
        Log of the latest requests.
    metrics
        Metrics of the process.
    audit
        Audit trail; retries and refusals are recorded there.
    """

    def __init__(
        self,
        *,
        services: Services,
        requests: RequestLog,
        metrics: Metrics,
        audit: AuditTrail,
    ) -> None:
        self._services = services
        self._requests = requests
        self._metrics = metrics
        self._audit = audit

    def record_request(self, report: RequestReport) -> None:
        """Record a finished request."""
        self._requests.append(
            RequestRecord(
                request_id=report.request_id,
                time=trio.current_time(),
                service=report.service,
                entry=report.entry,
                owner=report.owner,
                rank=report.rank,
                outcome=report.outcome,
                status=report.status,
                reason=report.reason,
                upstreams=report.upstreams,
                queue_ms=report.queue_s * 1000,
                upstream_ms=(report.total_s - report.queue_s) * 1000,
                total_ms=report.total_s * 1000,
                revision=report.revision,
            )
        )
        self._count(report)
        if len(report.upstreams) > 1:
            self._audit.append(
                Action.RETRY,
                service=report.service,
                entry=report.entry,
                owner=report.owner,
                revision=report.revision,
                evidence=f"tried={','.join(report.upstreams)}",
                step="attempt",
                peer=report.upstreams[-1],
                request_id=report.request_id,
            )
        if report.outcome is Outcome.NOT_RUN and report.entry:
            self._audit.append(
                Action.REFUSE,
                service=report.service,
                entry=report.entry,
                owner=report.owner,
                revision=report.revision,
                evidence=f"reason={report.reason}",
                step="admit",
                peer=report.client,
                request_id=report.request_id,
            )

    def count_bad_input(self, kind: str) -> None:
        """Count malformed input of a client."""
        self._metrics.count_bad_input(BadInput(kind))

    def _count(self, report: RequestReport) -> None:
        service = self._services.known.get(report.service)
        entry = None
        if service is not None and report.entry:
            entry = service.entry_named(report.entry)
        if service is not None and entry is not None:
            self._metrics.count_request(
                service,
                entry,
                outcome=report.outcome,
                seconds=report.total_s,
                queue_seconds=report.queue_s,
            )
        if report.outcome is Outcome.NOT_RUN:
            self._metrics.count_refusal(
                report.reason, service=service, entry=entry
            )


class EjectionMetrics:
    """Updates the metrics of ejections by service."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._ejected: dict[str, frozenset[str]] = {}

    def update(self, runtimes: Iterable[Runtime]) -> None:
        """Update the metrics and count the ejections since the last call.

        Ejections last for seconds and this is called every 100 ms, so none
        is missed.
        """
        current = {}
        for runtime in runtimes:
            service = runtime.service
            ejected = frozenset(runtime.monitor.list_ejected())
            previous = self._ejected.get(service.name, frozenset())
            for _ in ejected - previous:
                self._metrics.count_ejection(service)
            self._metrics.set_ejected(service, len(ejected))
            current[service.name] = ejected
        self._ejected = current
