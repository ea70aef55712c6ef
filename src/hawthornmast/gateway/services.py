"""State of the services that a member forwards to.

Routes and services are passed to the dispatcher in the types of
``hawthornmast.catalogue``. A route becomes an ``Entry`` owned by its host;
services have no owner.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import logging
import math
import random

import attrs
import trio

from hawthornmast.audit import log_event
from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Rank
from hawthornmast.common import Upstream
from hawthornmast.gateway.coverage import CoverageLog
from hawthornmast.gateway.options import Bounds
from hawthornmast.gateway.shares import ADVERTISED_SLACK_FRACTION
from hawthornmast.gateway.shares import INITIAL_SLACK_FRACTION
from hawthornmast.limits import Dispatcher
from hawthornmast.limits import FleetRetryBudget
from hawthornmast.limits import SharedPool
from hawthornmast.limits import StatementRegistry
from hawthornmast.limits import UpstreamStatement
from hawthornmast.limits.shared import SILENCE_TIMEOUT_S
from hawthornmast.membership.entries import ListedUpstream
from hawthornmast.routing import Configuration
from hawthornmast.routing import Route

_LOG = logging.getLogger("hawthornmast.gateway.services")

INITIAL_ADVERTISED_MEMBERS = 8
"""Number of advertised members assumed until the membership is known. It
determines the retry slack of a member that starts; a smaller number would give
each member more."""

MAX_QUEUED_REQUESTS = 2000
"""Maximum number of requests queued for a service in one member; in practice,
request deadlines bound the queue first."""

MIN_TRIAL_BUDGET_FRACTION = 0.5
"""Fraction of the retry budget below which no trial requests are sent, so that
the rest can cover other failures."""

START_MARGIN_SERVICE_TIMES = 1.0
"""Time until its deadline that a queued request must have left to be sent, in
mean durations of the service's requests. It is shorter than the dispatcher's
default because clients are assumed not to retry after a refusal: a request
that will probably finish in time is sent rather than refused."""

SILENCE_TIMEOUT_FACTOR = 4.0
"""Time without any response after which an upstream receives no further
requests, in mean latencies of the slowest route. ``SILENCE_TIMEOUT_S`` is the
minimum."""

LATENCY_SAMPLES = 128
"""Number of the newest latencies of a route from which quantiles are taken."""

USUAL_LATENCY_QUANTILE = 0.95
"""Quantile of a route's latencies that few of its requests exceed."""

LATENCY_EWMA_WEIGHT = 0.05
"""Weight of the newest sample in the moving average of a route's latency."""


def make_catalogue_entry(route: Route) -> Entry:
    """Return the catalogue entry by which the dispatcher ranks a route."""
    return Entry(
        name=route.name,
        owner=route.host,
        rank=route.rank,
        path=route.prefix,
        idempotent=route.idempotent,
        share=1.0,
        queue_limit=MAX_QUEUED_REQUESTS,
        deadline_ms=round(route.timeout_s * 1000),
    )


class ServiceState:
    """Upstreams, queue and retry budget of one service.

    Parameters
    ----------
    name
        Name of the service.
    bounds
        Limits that the operators set.
    zone
        Zone of this member.
    random_source
        Random generator for jitter and for ties between upstreams.
    statements
        What upstreams stated of themselves, also before this state existed.
    on_leaving
        Called when an upstream first states that it leaves.
    """

    def __init__(
        self,
        name: str,
        *,
        bounds: Bounds,
        zone: str,
        random_source: random.Random,
        statements: StatementRegistry | None = None,
        on_leaving: Callable[[Upstream], None] | None = None,
    ) -> None:
        self.name = name
        self._on_leaving = on_leaving
        self.budget = FleetRetryBudget(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack
            * ADVERTISED_SLACK_FRACTION
            * INITIAL_SLACK_FRACTION
            / INITIAL_ADVERTISED_MEMBERS,
            window_s=bounds.retry_window_s,
            clock=trio.current_time,
        )
        self.pool = SharedPool(
            clock=trio.current_time,
            random=random_source,
            zone=zone,
            floor_share=bounds.floor_share,
            may_send_trial=lambda: (
                self.budget.remaining_fraction() >= MIN_TRIAL_BUDGET_FRACTION
            ),
            statements=statements,
            on_change=self._log_upstream_change,
        )
        self._coverage_log = CoverageLog(
            name, floor_share=bounds.floor_share, clock=trio.current_time
        )
        self._mean_latency_s: dict[str, float] = {}
        self._latencies_s: dict[str, collections.deque[float]] = {}
        self.dispatcher = Dispatcher(
            Service(
                name=name,
                owner="",
                queue_limit=MAX_QUEUED_REQUESTS,
                entries=(),
            ),
            self.pool,
            clock=trio.current_time,
            random=random_source,
            margin=START_MARGIN_SERVICE_TIMES,
        )

    def update(self, upstreams: list[Upstream]) -> None:
        """Apply a new list of upstreams."""
        self.pool.update(upstreams)
        self.dispatcher.redispatch()

    def mean_latency_s(self, route: str) -> float:
        """Return the mean latency of a route's successful responses.

        It is infinite before the first one.
        """
        return self._mean_latency_s.get(route, math.inf)

    def usual_latency_s(self, route: str) -> float:
        """Return the latency that few successful responses of a route exceed.

        It is infinite before the first one.
        """
        latencies_s = sorted(self._latencies_s.get(route, ()))
        if not latencies_s:
            return math.inf
        return latencies_s[int(USUAL_LATENCY_QUANTILE * len(latencies_s))]

    def count_latencies(self, route: str) -> int:
        """Return how many of a route's newest latencies are known."""
        return len(self._latencies_s.get(route, ()))

    def record_latency(self, route: str, latency_s: float) -> None:
        """Update the latencies of a route with a successful response.

        Failures don't count: if they lowered the mean to milliseconds, an
        upstream that executes long requests would exceed the silence timeout.
        """
        self._latencies_s.setdefault(
            route, collections.deque(maxlen=LATENCY_SAMPLES)
        ).append(latency_s)
        mean_s = self._mean_latency_s.get(route, latency_s)
        self._mean_latency_s[route] = mean_s + LATENCY_EWMA_WEIGHT * (
            latency_s - mean_s
        )
        self.pool.silence_timeout_s = max(
            SILENCE_TIMEOUT_S,
            SILENCE_TIMEOUT_FACTOR * max(self._mean_latency_s.values()),
        )

    def _log_upstream_change(
        self,
        transition: str,
        upstream_id: str,
        failure_probability: float,
        peer: str,
    ) -> None:
        log_event(
            _LOG,
            f"upstream-{transition}",
            service=self.name,
            upstream=upstream_id,
            likely=round(failure_probability, 3),
            usable_slots=self.pool.count_usable(),
            seen_by=peer or "self",
        )

    def record_statement(
        self, upstream: Upstream, statement: UpstreamStatement
    ) -> None:
        """Apply what an upstream stated of itself in a response.

        Parameters
        ----------
        upstream
            The upstream as it was listed when the request was sent.
        statement
            What the response states.
        """
        if not self.pool.record_statement(upstream, statement):
            return
        self._log_statement(upstream, statement, peer="")
        if statement.leaving and self._on_leaving is not None:
            self._on_leaving(upstream)

    def record_leaving(
        self, upstream_id: str, started_ms: int, peer: str
    ) -> bool:
        """Apply what a peer learned from an upstream that leaves.

        Return whether it is new.
        """
        if not self.pool.record_leaving(upstream_id, started_ms):
            return False
        self._log_statement(
            self.pool.members[upstream_id].upstream,
            UpstreamStatement(leaving=True),
            peer=peer,
        )
        return True

    def _log_statement(
        self, upstream: Upstream, statement: UpstreamStatement, *, peer: str
    ) -> None:
        stated = self.pool.members[upstream.upstream_id].stated
        log_event(
            _LOG,
            "upstream-statement",
            service=self.name,
            upstream=upstream.upstream_id,
            started_ms=upstream.started_ms,
            leaving=statement.leaving,
            hold_off_s=round(stated.hold_off_s(trio.current_time()), 3),
            limit=(
                "-"
                if statement.rate_limit_per_s is None
                else statement.rate_limit_per_s
            ),
            share=round(self.pool.rate_share, 4),
            malformed=statement.malformed or "-",
            seen_by=peer or "self",
        )

    def tick(
        self, *, slack: float, rate_share: float, is_advertised: bool
    ) -> None:
        """Update the retry slack, dispatch queued requests, log the coverage.

        Called periodically by the member.

        Parameters
        ----------
        slack
            This member's share of the retry slack.
        rate_share
            This member's share of the rates that upstreams state.
        is_advertised
            Whether clients are given the address of this member, so that it
            receives most requests of its zone.
        """
        self.budget.slack = slack
        self.pool.rate_share = rate_share
        # Only advertised members send requests to upstreams that are new or
        # may have recovered. The others receive few requests, and each
        # upstream tried costs a connection.
        self.pool.explores = is_advertised
        if self.dispatcher.count_waiting():
            # Failure probabilities change with time, without any event.
            self.dispatcher.redispatch()
        if is_advertised:
            self._coverage_log.tick(self.pool.measure_coverage)

    def update_entries(self, entries: tuple[Entry, ...], version: int) -> None:
        """Apply the routes of a new configuration."""
        self.dispatcher.update_service(
            Service(
                name=self.name,
                owner="",
                queue_limit=MAX_QUEUED_REQUESTS,
                entries=entries,
                revision=version,
            )
        )


class ServiceRegistry:
    """All services of the configuration in force.

    Parameters
    ----------
    make_state
        Returns the initial state of a new service, given its name and the
        statements of all upstreams.

    Attributes
    ----------
    statements
        What upstreams stated of themselves. They outlast the states of their
        services, which end with a configuration that drops the service.
    """

    def __init__(
        self, make_state: Callable[[str, StatementRegistry], ServiceState]
    ) -> None:
        self._make_state = make_state
        self.statements = StatementRegistry()
        self._states: dict[str, ServiceState] = {}
        self._entries: dict[str, Entry] = {}
        self._listed: dict[str, ListedUpstream] = {}
        self._configuration: Configuration | None = None

    def __iter__(self) -> Iterator[ServiceState]:
        return iter(self._states.values())

    def find(self, name: str) -> ServiceState | None:
        """Return the state of a service, None if it is unknown."""
        return self._states.get(name)

    def entry_for(self, route: Route, rank: Rank | None = None) -> Entry:
        """Return the entry of a route.

        Parameters
        ----------
        rank
            Priority class that replaces that of the route, if any. Requests
            of the same route and of different ranks wait in separate queues.
        """
        entry = self._entries.get(route.name)
        if entry is None:
            entry = make_catalogue_entry(route)
        if rank is None or rank is entry.rank:
            return entry
        name = f"{route.name} {rank.label}"
        return attrs.evolve(entry, name=name, rank=rank)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._configuration = configuration
        self._entries = {
            route.name: make_catalogue_entry(route)
            for route in configuration.routes
        }
        entries_by_service: dict[str, list[Entry]] = {}
        for route in configuration.routes:
            for target in route.targets:
                entries_by_service.setdefault(target.service, []).append(
                    self._entries[route.name]
                )
        for service in configuration.services:
            entries_by_service.setdefault(service.name, [])
        listed = self._group_listed()
        for name, entries in entries_by_service.items():
            state = self._states.get(name)
            if state is None:
                state = self._make_state(name, self.statements)
                self._states[name] = state
                self._update_upstreams(state, listed.get(name, []))
            state.update_entries(tuple(entries), configuration.version)
        for name in self._states.keys() - entries_by_service.keys():
            # Queued requests are refused; running requests finish.
            self._states.pop(name).dispatcher.close()
        self.apply_listing(self._listed)

    def apply_listing(self, listed: dict[str, ListedUpstream]) -> None:
        """Apply a new list of upstreams."""
        self._listed = listed
        self.statements.discard_unlisted(listed)
        entries = self._group_listed()
        for state in self._states.values():
            self._update_upstreams(state, entries.get(state.name, []))

    def _group_listed(self) -> dict[str, list[ListedUpstream]]:
        """Return the listed upstreams of each service."""
        entries: dict[str, list[ListedUpstream]] = {}
        for item in self._listed.values():
            entries.setdefault(item.service, []).append(item)
        return entries

    def _update_upstreams(
        self, state: ServiceState, entries: list[ListedUpstream]
    ) -> None:
        # Default of ``ServiceOptions``, for services without options.
        connections = 400
        if self._configuration is not None:
            options = self._configuration.find_service(state.name)
            if options is not None:
                connections = options.connections
        state.update(
            [
                attrs.evolve(item.upstream, connections=connections)
                for item in entries
            ]
        )
