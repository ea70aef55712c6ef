"""Exchange of upstream use and request outcomes between members.

Members that receive client requests report to each other the slots that they
use and the outcomes that they observe, so that each member selects upstreams
by the observations of all. Failures are sent immediately, the rest in batches.
"""

from collections.abc import Callable
from typing import Any

import trio

from hawthornmast.gateway.services import ServiceRegistry
from hawthornmast.health.belief import Observation

FLUSH_INTERVAL_S = 0.06
"""Interval of batched reports; failures are sent immediately."""

MAX_EQUAL_OUTCOMES = 3
"""Maximum number of equal outcomes applied from one report; further ones add
nothing to the estimated failure probability."""

REFRESH_INTERVAL_S = 1.0
"""Interval at which slots in use are reported again, because datagrams may be
lost."""


class EvidenceExchange:
    """Sends and applies reports of slots in use and request outcomes.

    Parameters
    ----------
    services
        Services that this member forwards to.
    send
        Sends a report to the other advertised members.
    """

    def __init__(
        self, services: ServiceRegistry, *, send: Callable[[list[Any]], None]
    ) -> None:
        self._services = services
        self._send = send
        # Counts by outcome since the last report.
        self._pending_counts: dict[tuple[str, str], list[int]] = {}
        self._reported_in_use: dict[tuple[str, str], int] = {}
        self._next_flush_at = 0.0
        self._next_refresh_at = 0.0

    def note_outcome(
        self,
        service: str,
        upstream_id: str,
        outcome: Observation,
        *,
        sent_at: float,
    ) -> None:
        """Apply the outcome of a request and queue it for the next report."""
        state = self._services.find(service)
        if state is None or not state.pool.record_observation(
            upstream_id, outcome, sent_at=sent_at
        ):
            return
        counts = self._pending_counts.setdefault(
            (service, upstream_id), [0] * len(Observation)
        )
        counts[outcome] += 1
        if outcome is not Observation.SUCCEEDED:
            self.flush()

    def tick(self) -> None:
        """Send the reports that are due."""
        now = trio.current_time()
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_INTERVAL_S
            self._reported_in_use = {
                key: -1
                for key, count in self._reported_in_use.items()
                if count > 0
            }
            self.flush()
        elif now >= self._next_flush_at:
            self.flush()

    def flush(self) -> None:
        """Report all changes since the last report."""
        self._next_flush_at = trio.current_time() + FLUSH_INTERVAL_S
        report: list[list[Any]] = []
        for state in self._services:
            changes: list[Any] = []
            for key, member in state.pool.members.items():
                name = (state.name, key)
                counts = self._pending_counts.get(name)
                if counts is None and self._reported_in_use.get(name, 0) == (
                    member.in_use
                ):
                    continue
                changes.append([key, member.in_use, *(counts or ())])
                self._reported_in_use[name] = member.in_use
            if changes:
                report.append([state.name, changes])
        self._pending_counts.clear()
        if report:
            self._send(report)

    def receive(self, report: list[Any], peer: str) -> None:
        """Apply the report of another member.

        Raises
        ------
        ValueError, TypeError
            If the report is malformed.
        """
        now = trio.current_time()
        for name, changes in report:
            state = self._services.find(name)
            if state is None:
                continue
            for key, in_use, *counts in changes:
                state.pool.record_peer_use(key, peer, int(in_use))
                for outcome, count in zip(Observation, counts, strict=False):
                    for _ in range(min(int(count), MAX_EQUAL_OUTCOMES)):
                        state.pool.record_observation(
                            key, outcome, sent_at=now, peer=peer
                        )
            state.dispatcher.redispatch()
