"""Prometheus metrics of one process.

Label values come from the catalogue or from closed sets, never from client
input, so that clients can't increase the number of series.
"""

import enum

import attrs
import prometheus_client
from prometheus_client import CollectorRegistry

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Outcome
from hawthornmast.common import Rank

# The range ends at 10 s, the longest deadline in examples/ except one of 15 s.
# The resolution is finest around 2.5 ms, the target for the latency that a
# daemon adds (docs/design.md, section 1.2).
LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

REFUSAL_REASONS = frozenset(
    {
        "bad-count",
        "bad-ticket",
        "client-left",
        "closing",
        "connections",
        "deadline",
        "displaced",
        "method",
        "no-entry",
        "no-owner",
        "no-page",
        "no-service",
        "no-upstream",
        "queue-full",
        "shed",
        "ticket-of-another-request",
        "ticket-required",
        "ticket-void",
        "wrong-instance",
    }
)
OTHER_REASON = "other"
"""Label value of all reasons that aren't in ``REFUSAL_REASONS``."""


class BadInput(enum.StrEnum):
    """Kinds of malformed input, as values of the label ``kind``."""

    BAD_TARGET = "bad-target"
    BAD_TICKET = "bad-ticket"
    BAD_TIMEOUT = "bad-timeout"
    BARE_LINE_FEED = "bare-line-feed"
    BODIES_TOO_LONG = "bodies-too-long"
    BODY_TOO_LONG = "body-too-long"
    CHUNKED_IN_1_0 = "chunked-in-1.0"
    CLOSING = "closing"
    CONNECT = "connect"
    CONNECTIONS = "connections"
    CUT_BODY = "cut-body"
    FOLDED_HEADER = "folded-header"
    FORGED_RELAY = "forged-relay"
    HEADER_TOO_LONG = "header-too-long"
    NO_HOST = "no-host"
    OTHER = "other"
    PROTOCOL = "protocol"
    REPEATED_HEADER = "repeated-header"
    SLOW_BODY = "slow-body"
    SLOW_HEADER = "slow-header"
    TOO_MANY_HEADERS = "too-many-headers"
    TWO_BODY_LENGTHS = "two-body-lengths"
    UPGRADE = "upgrade"

    @classmethod
    def _missing_(cls, value: object) -> "BadInput":
        return cls.OTHER


class Direction(enum.StrEnum):
    """Direction of traffic with other daemons."""

    SENT = "sent"
    RECEIVED = "received"


@attrs.frozen(kw_only=True)
class _Series:
    """The series that a request with one set of labels updates."""

    requests: prometheus_client.Counter
    request_seconds: prometheus_client.Histogram
    queue_seconds: prometheus_client.Histogram | None


_SeriesKey = tuple[str, str, Rank, Outcome, bool]


class Metrics:
    """All metrics of one process.

    Parameters
    ----------
    registry
        Registry of the metrics; by default a new one.
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = registry or CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "hawthornmast_requests_total",
            "Requests by service, entry, rank and outcome",
            ["service", "entry", "rank", "outcome"],
            registry=self.registry,
        )
        self._refusals = prometheus_client.Counter(
            "hawthornmast_refusals_total",
            "Requests that were refused and not run, by reason",
            ["service", "entry", "reason"],
            registry=self.registry,
        )
        self._request_seconds = prometheus_client.Histogram(
            "hawthornmast_request_seconds",
            "Time from a request's arrival to the end of its response",
            ["service", "entry"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._queue_seconds = prometheus_client.Histogram(
            "hawthornmast_queue_seconds",
            "Time that a request waited for a slot",
            ["service", "entry"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._ejections = prometheus_client.Counter(
            "hawthornmast_ejections_total",
            "Ejections that came into effect on this daemon",
            ["service"],
            registry=self.registry,
        )
        self._ejected = prometheus_client.Gauge(
            "hawthornmast_ejected_upstreams",
            "Upstreams that are ejected at present",
            ["service"],
            registry=self.registry,
        )
        self._bad_input = prometheus_client.Counter(
            "hawthornmast_bad_input_total",
            "Malformed input that was refused, by kind",
            ["kind"],
            registry=self.registry,
        )
        self._peers = prometheus_client.Gauge(
            "hawthornmast_reachable_peers",
            "Other daemons with a live stream",
            registry=self.registry,
        )
        self._revision = prometheus_client.Gauge(
            "hawthornmast_configuration_revision",
            "Highest revision of the platform that is in effect",
            registry=self.registry,
        )
        # Cached, since ``labels()`` costs more than updating a metric.
        self._series_by_key: dict[_SeriesKey, _Series] = {}
        self._peer_bytes = prometheus_client.Counter(
            "hawthornmast_peer_bytes_total",
            "Bytes on streams to other daemons",
            ["direction"],
            registry=self.registry,
        )

    def count_request(
        self,
        service: Service,
        entry: Entry,
        *,
        outcome: Outcome,
        seconds: float,
        queue_seconds: float | None = None,
    ) -> None:
        """Count a finished request.

        Parameters
        ----------
        service, entry
            Service and entry that the request matched.
        outcome
            Outcome of the request.
        seconds
            Time from its arrival to the end of the response.
        queue_seconds
            Time in the queue for a slot; None if it didn't request one.
        """
        has_queue_time = queue_seconds is not None
        key = (service.name, entry.name, entry.rank, outcome, has_queue_time)
        series = self._series_by_key.get(key)
        if series is None:
            labels = (service.name, entry.name)
            series = self._series_by_key[key] = _Series(
                requests=self._requests.labels(
                    *labels, entry.rank.label, outcome.value
                ),
                request_seconds=self._request_seconds.labels(*labels),
                queue_seconds=self._queue_seconds.labels(*labels)
                if has_queue_time
                else None,
            )
        series.requests.inc()
        series.request_seconds.observe(seconds)
        if series.queue_seconds is not None and queue_seconds is not None:
            series.queue_seconds.observe(queue_seconds)

    def count_refusal(
        self,
        reason: str,
        *,
        service: Service | None = None,
        entry: Entry | None = None,
    ) -> None:
        """Count a refused request; unknown reasons count as ``other``."""
        self._refusals.labels(
            service.name if service else "",
            entry.name if entry else "",
            reason if reason in REFUSAL_REASONS else OTHER_REASON,
        ).inc()

    def count_ejection(self, service: Service) -> None:
        """Count an ejection that came into effect on this daemon."""
        self._ejections.labels(service.name).inc()

    def set_ejected(self, service: Service, count: int) -> None:
        """Set the number of upstreams that are currently ejected."""
        self._ejected.labels(service.name).set(count)

    def count_bad_input(self, kind: BadInput) -> None:
        """Count malformed input by its kind."""
        self._bad_input.labels(kind.value).inc()

    def set_peers(self, count: int) -> None:
        """Set the number of other daemons with an open stream."""
        self._peers.set(count)

    def set_revision(self, revision: int) -> None:
        """Set the highest configuration revision in effect."""
        self._revision.set(revision)

    def count_peer_bytes(self, direction: Direction, amount: int) -> None:
        """Add bytes sent to or received from other daemons."""
        self._peer_bytes.labels(direction.value).inc(amount)

    def forget_service(self, name: str) -> None:
        """Remove the series of a service that this daemon no longer serves."""
        for key in [key for key in self._series_by_key if key[0] == name]:
            del self._series_by_key[key]
        for metric in (
            self._requests,
            self._refusals,
            self._request_seconds,
            self._queue_seconds,
            self._ejections,
            self._ejected,
        ):
            metric.remove_by_labels({"service": name})
