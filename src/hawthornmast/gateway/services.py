"""The services that a member forwards to."""

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
from hawthornmast.common import Upstream
from hawthornmast.gateway.options import Bounds
from hawthornmast.limits import Dispatcher
from hawthornmast.limits import SharedPool
from hawthornmast.limits import WindowBudget
from hawthornmast.limits.shared import SILENCE_TIMEOUT_S
from hawthornmast.membership.listing import ListedUpstream
from hawthornmast.routing import Configuration
from hawthornmast.routing import Route

_LOG = logging.getLogger("hawthornmast.gateway.services")

MOST_TOLD = 8
"""Members that clients may be told, before the real number is known."""

QUEUE_LIMIT = 2000
"""Requests that may wait for a service in one member; their deadlines bound
the queue before this number does."""

TOLD_SLACK = 0.45
"""Part of a retry budget's fixed number for the members that clients are
told; as much again is left for those that take over from them."""

OTHER_SLACK = 0.1
"""Part of it for all other members."""

START_SLACK = 0.3
"""Part of its own part that a member has when it starts."""


TRIAL_SHARE = 0.5
"""Part of a retry budget that trial requests leave for other failures."""

START_MARGIN = 1.0
"""Mean service times that a request has left when it starts. Refused clients
don't return, so that one which probably ends in time is worth its slot."""


SILENT_FACTOR = 4.0
"""Mean times of the slowest route's answers, without any answer, after which
an upstream counts as silent."""

SMOOTHING = 0.05
"""Weight of the newest answer in the mean time of a route's answers."""


def divide_slack(
    bounds: Bounds,
    *,
    told: int,
    is_told: bool,
    zones: int,
    zone_live: int,
    uptime_s: float,
) -> float:
    """Return the part of a retry budget's fixed number for one member.

    It grows within a window after the start, since the process before may
    have spent its part just now.

    Parameters
    ----------
    bounds
        Limits that the operators set.
    told
        Members that clients are told.
    is_told
        Whether this member is one of them.
    zones
        Zones with live members.
    zone_live
        Live members of this member's zone.
    uptime_s
        Seconds since this member started.
    """
    if is_told:
        part = bounds.retry_slack * TOLD_SLACK / max(1, told)
    else:
        part = bounds.retry_slack * OTHER_SLACK
        part /= max(1, zones) * max(1, zone_live)
    age = min(1.0, uptime_s / bounds.retry_window_s)
    return part * (START_SLACK + (1.0 - START_SLACK) * age)


def make_entry(route: Route) -> Entry:
    """Return the catalogue entry by which a route's work is ranked."""
    return Entry(
        name=route.name,
        owner=route.host,
        rank=route.rank,
        path=route.prefix,
        idempotent=route.idempotent,
        share=1.0,
        queue_limit=QUEUE_LIMIT,
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
        Zone of this daemon.
    random_source
        Source of jitter and of choices between equals.
    """

    def __init__(
        self,
        name: str,
        *,
        bounds: Bounds,
        zone: str,
        random_source: random.Random,
    ) -> None:
        self.name = name
        self.budget = WindowBudget(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack * TOLD_SLACK * START_SLACK / MOST_TOLD,
            window_s=bounds.retry_window_s,
            clock=trio.current_time,
        )
        self.pool = SharedPool(
            clock=trio.current_time,
            random=random_source,
            zone=zone,
            may_send_trial=lambda: (
                self.budget.remaining_fraction() >= TRIAL_SHARE
            ),
            on_change=self._log_change,
        )
        self._answer_s: dict[str, float] = {}
        self.dispatcher = Dispatcher(
            Service(name=name, owner="", queue_limit=QUEUE_LIMIT, entries=()),
            self.pool,
            clock=trio.current_time,
            random=random_source,
            margin=START_MARGIN,
        )

    def update(self, upstreams: list[Upstream]) -> None:
        """Apply a new list of upstreams."""
        self.pool.update(upstreams)
        self.dispatcher.redispatch()

    def answer_time(self, route: str) -> float:
        """Return the mean seconds of a route's successful answers."""
        return self._answer_s.get(route, math.inf)

    def note_answer_time(self, route: str, seconds: float) -> None:
        """Count the time of a successful answer.

        Failures are left out: those that come within milliseconds would
        make an upstream look silent that only works on long requests.
        """
        known = self._answer_s.get(route, seconds)
        self._answer_s[route] = known + SMOOTHING * (seconds - known)
        self.pool.silence_timeout_s = max(
            SILENCE_TIMEOUT_S, SILENT_FACTOR * max(self._answer_s.values())
        )

    def _log_change(
        self, change: str, upstream_id: str, likely: float, peer: str
    ) -> None:
        log_event(
            _LOG,
            f"upstream-{change}",
            service=self.name,
            upstream=upstream_id,
            likely=round(likely, 3),
            usable_slots=self.pool.count_usable(),
            seen_by=peer or "self",
        )

    def tick(self, *, slack: float, is_told: bool) -> None:
        """Run what is due; called every few milliseconds.

        Parameters
        ----------
        slack
            This member's part of the retry budget's fixed number.
        is_told
            Whether clients are told this member, so that it gets most of
            the requests of its zone.
        """
        self.budget.slack = slack
        self.pool.explores = is_told
        if self.dispatcher.count_waiting():
            # Beliefs change with time alone.
            self.dispatcher.redispatch()

    def update_entries(self, entries: tuple[Entry, ...], version: int) -> None:
        """Apply the routes of a new configuration."""
        self.dispatcher.update_service(
            Service(
                name=self.name,
                owner="",
                queue_limit=QUEUE_LIMIT,
                entries=entries,
                revision=version,
            )
        )


class ServiceStates:
    """All services of the configuration in force.

    Parameters
    ----------
    make
        Returns the state of a service that is new.
    """

    def __init__(self, make: Callable[[str], ServiceState]) -> None:
        self._make = make
        self._states: dict[str, ServiceState] = {}
        self._entries: dict[str, Entry] = {}
        self._listed: dict[str, ListedUpstream] = {}
        self._configuration: Configuration | None = None

    def __iter__(self) -> Iterator[ServiceState]:
        return iter(self._states.values())

    def find(self, name: str) -> ServiceState | None:
        """Return the state of a service."""
        return self._states.get(name)

    def entry(self, route: Route) -> Entry:
        """Return the entry of a route in force."""
        entry = self._entries.get(route.name)
        return entry if entry is not None else make_entry(route)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self._configuration = configuration
        self._entries = {
            route.name: make_entry(route) for route in configuration.routes
        }
        used: dict[str, list[Entry]] = {}
        for route in configuration.routes:
            for target in route.targets:
                used.setdefault(target.service, []).append(
                    self._entries[route.name]
                )
        for service in configuration.services:
            used.setdefault(service.name, [])
        for name, entries in used.items():
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = self._make(name)
                self._refresh(state)
            state.update_entries(tuple(entries), configuration.version)
        for name in self._states.keys() - used.keys():
            # Requests that wait are refused; those that run finish.
            self._states.pop(name).dispatcher.close()
        self.apply_listing(self._listed)

    def apply_listing(self, listed: dict[str, ListedUpstream]) -> None:
        """Put a list of upstreams in force."""
        self._listed = listed
        for state in self._states.values():
            self._refresh(state)

    def _refresh(self, state: ServiceState) -> None:
        connections = 400
        if self._configuration is not None:
            options = self._configuration.find_service(state.name)
            if options is not None:
                connections = options.connections
        state.update(
            [
                attrs.evolve(item.upstream, connections=connections)
                for item in self._listed.values()
                if item.service == state.name
            ]
        )
