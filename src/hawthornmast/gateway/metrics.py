"""Counters and histograms of one member.

They are plain numbers until they are rendered, since the import of the client
library of Prometheus is a considerable part of a start.
"""

import bisect
from collections.abc import Callable
from collections.abc import Mapping
import time
from typing import TYPE_CHECKING

import attrs

from hawthornmast.common import Outcome

if TYPE_CHECKING:
    from prometheus_client.registry import Collector

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

Labels = tuple[str, ...]


@attrs.define(kw_only=True, eq=False)
class Count:
    """A counter with the time at which it was created."""

    value: int = 0
    created_at: float = attrs.field(factory=time.time)


@attrs.define(kw_only=True, eq=False)
class Histogram:
    """Latencies, counted by the upper bound of their bucket.

    The last bucket has those above all bounds.
    """

    counts: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1)
    )
    sum_s: float = 0.0
    created_at: float = attrs.field(factory=time.time)

    def observe(self, latency_s: float) -> None:
        """Count a latency."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        self.sum_s += latency_s


@attrs.frozen(kw_only=True)
class Gauge:
    """A value that is read at each scrape, or one of each service."""

    name: str
    documentation: str
    get_value: Callable[[], float] | None = None
    get_service_values: Callable[[], Mapping[str, float]] | None = None


class GatewayMetrics:
    """Metrics of one process.

    Label values come from the configuration or from closed sets, never from
    clients, which bounds the number of time series.

    Attributes
    ----------
    requests
        Finished requests by route, outcome and status.
    latencies
        Time from a request's head to its answer, by route.
    team_requests
        Finished requests by team and class of status.
    bad_input
        Refused input of clients, by kind.
    gauges
        Values that are read at each scrape.
    make_collectors
        Functions that return further collectors, called at each scrape.
    """

    def __init__(self) -> None:
        self.requests: dict[Labels, Count] = {}
        self.latencies: dict[Labels, Histogram] = {}
        self.team_requests: dict[Labels, Count] = {}
        self.bad_input: dict[Labels, Count] = {}
        self.gauges: list[Gauge] = []
        self.make_collectors: list[Callable[[], Collector]] = []

    def count_request(
        self, route: str, outcome: Outcome, status: int, latency_s: float
    ) -> None:
        """Count a finished request and observe its latency."""
        labels = (route, outcome.value, str(status))
        count = self.requests.get(labels)
        if count is None:
            count = self.requests[labels] = Count()
        count.value += 1
        histogram = self.latencies.get((route,))
        if histogram is None:
            histogram = self.latencies[(route,)] = Histogram()
        histogram.observe(latency_s)

    def count_team_request(self, team: str, status: int) -> None:
        """Count a finished request by its team.

        The status is counted by its class, to bound the number of series,
        except for refusals of keys and rates.
        """
        label = str(status) if status in (401, 429) else f"{status // 100}xx"
        self.team_requests.setdefault((team, label), Count()).value += 1

    def count_bad_input(self, kind: str) -> None:
        """Count refused input."""
        self.bad_input.setdefault((kind,), Count()).value += 1

    def register_gauge(
        self, name: str, documentation: str, get_value: Callable[[], float]
    ) -> None:
        """Export a value that is read at each scrape."""
        self.gauges.append(
            Gauge(name=name, documentation=documentation, get_value=get_value)
        )

    def register_service_gauge(
        self,
        name: str,
        documentation: str,
        get_values: Callable[[], Mapping[str, float]],
    ) -> None:
        """Export a value of each service that is read at each scrape."""
        self.gauges.append(
            Gauge(
                name=name,
                documentation=documentation,
                get_service_values=get_values,
            )
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from hawthornmast.gateway.exposition import render_metrics

        return render_metrics(self)
