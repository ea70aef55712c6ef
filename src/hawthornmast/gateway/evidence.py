"""Exchange of evidence about upstreams between members.

Evidence is the number of slots that a member uses on an upstream and its
observations there (``Observation``, the outcome of one request). Members that
receive client requests send it to each other in reports, so that each member
selects upstreams by the observations of all. Failures are reported
immediately, the rest in batches.
"""

from collections.abc import Callable
from typing import Any

import trio

from hawthornmast.gateway.services import ServiceRegistry
from hawthornmast.health.belief import Observation
from hawthornmast.limits import SharedPool

FLUSH_INTERVAL_S = 0.06
"""Interval of batched reports; failures are sent immediately."""

MAX_EQUAL_OBSERVATIONS = 3
"""Maximum number of equal observations applied from one report; further ones
add nothing to the estimated failure probability."""

REFRESH_INTERVAL_S = 1.0
"""Interval at which slots in use are reported again, because datagrams may be
lost."""


class EvidenceExchange:
    """Sends and applies reports of slots in use and observations.

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
        # Both dicts are keyed by the names of a service and of an upstream.
        # Counts by kind of observation since the last report.
        self._pending_counts: dict[tuple[str, str], list[int]] = {}
        # Slots in use as last reported.
        self._reported_in_use: dict[tuple[str, str], int] = {}
        # Pools with the number of changes of their use at the last report.
        self._reported_pools: list[tuple[SharedPool, int]] = []
        self._next_flush_at = 0.0
        self._next_refresh_at = 0.0

    def record_observation(
        self,
        service: str,
        upstream_id: str,
        observation: Observation,
        *,
        sent_at: float,
    ) -> None:
        """Apply an observation and queue it for the next report."""
        state = self._services.find(service)
        if state is None or not state.pool.record_observation(
            upstream_id, observation, sent_at=sent_at
        ):
            return
        counts = self._pending_counts.setdefault(
            (service, upstream_id), [0] * len(Observation)
        )
        counts[observation] += 1
        if observation is not Observation.SUCCEEDED:
            self.flush()

    def tick(self) -> None:
        """Send the reports that are due."""
        now = trio.current_time()
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_INTERVAL_S
            # -1 differs from every count, so these counts are sent again.
            self._reported_in_use = {
                key: -1
                for key, count in self._reported_in_use.items()
                if count > 0
            }
            if self._reported_in_use:
                self._reported_pools = []
            self.flush()
        elif now >= self._next_flush_at:
            self.flush()

    def flush(self) -> None:
        """Report all changes since the last report."""
        self._next_flush_at = trio.current_time() + FLUSH_INTERVAL_S
        pools = [
            (state.pool, state.pool.use_changes) for state in self._services
        ]
        if not self._pending_counts and pools == self._reported_pools:
            return
        self._reported_pools = pools
        report: list[list[Any]] = []
        for state in self._services:
            changes: list[Any] = []
            for upstream_id, pool_member in state.pool.members.items():
                key = (state.name, upstream_id)
                counts = self._pending_counts.get(key)
                if counts is None and self._reported_in_use.get(key, 0) == (
                    pool_member.in_use
                ):
                    continue
                changes.append(
                    [upstream_id, pool_member.in_use, *(counts or ())]
                )
                self._reported_in_use[key] = pool_member.in_use
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
        for service, changes in report:
            state = self._services.find(service)
            if state is None:
                continue
            for upstream_id, in_use, *counts in changes:
                state.pool.record_peer_use(upstream_id, peer, int(in_use))
                for observation, count in zip(
                    Observation, counts, strict=False
                ):
                    for _ in range(min(int(count), MAX_EQUAL_OBSERVATIONS)):
                        state.pool.record_observation(
                            upstream_id, observation, sent_at=now, peer=peer
                        )
            state.dispatcher.redispatch()
