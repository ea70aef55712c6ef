"""What members tell each other of upstreams.

Members that receive clients' requests report the slots that they use and the
outcomes that they see to each other, failures at once and the rest in short
intervals, so that each acts on what all have seen.
"""

from collections.abc import Callable
from typing import Any

import trio

from hawthornmast.gateway.services import ServiceStates
from hawthornmast.health.belief import Observation

FLUSH_S = 0.06
"""Period of reports; a failure is reported at once."""

MOST_SIGNS = 3
"""Equal signs of one report that count; more add nothing to a belief."""

REFRESH_S = 1.0
"""Period at which use is reported again, in case a report was lost."""


class EvidenceExchange:
    """Reports of use and outcomes to other members.

    Parameters
    ----------
    services
        Services that this member forwards to.
    send
        Sends a report to the members that receive requests.
    """

    def __init__(
        self, services: ServiceStates, *, send: Callable[[list[Any]], None]
    ) -> None:
        self._services = services
        self._send = send
        # Counts by sign since the last report.
        self._outcomes: dict[tuple[str, str], list[int]] = {}
        self._reported: dict[tuple[str, str], int] = {}
        self._flush_at = 0.0
        self._refresh_at = 0.0

    def note_outcome(
        self,
        service: str,
        upstream_id: str,
        sign: Observation,
        *,
        sent_at: float,
    ) -> None:
        """Apply what a request showed here, and report it."""
        state = self._services.find(service)
        if state is None or not state.pool.record_observation(
            upstream_id, sign, sent_at=sent_at
        ):
            return
        counts = self._outcomes.setdefault(
            (service, upstream_id), [0] * len(Observation)
        )
        counts[sign] += 1
        if sign is not Observation.SUCCEEDED:
            self.flush()

    def tick(self) -> None:
        """Report what is due."""
        now = trio.current_time()
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_S
            self._reported = {
                key: -1 for key, count in self._reported.items() if count > 0
            }
            self.flush()
        elif now >= self._flush_at:
            self.flush()

    def flush(self) -> None:
        """Report all that changed since the last report."""
        self._flush_at = trio.current_time() + FLUSH_S
        rows: list[list[Any]] = []
        for state in self._services:
            changed: list[Any] = []
            for key, member in state.pool.members.items():
                name = (state.name, key)
                counts = self._outcomes.get(name)
                if counts is None and self._reported.get(name, 0) == (
                    member.in_use
                ):
                    continue
                changed.append([key, member.in_use, *(counts or ())])
                self._reported[name] = member.in_use
            if changed:
                rows.append([state.name, changed])
        self._outcomes.clear()
        if rows:
            self._send(rows)

    def receive(self, rows: list[Any], peer: str) -> None:
        """Apply the report of another member.

        Raises ValueError or TypeError for a malformed report.
        """
        now = trio.current_time()
        for name, changed in rows:
            state = self._services.find(name)
            if state is None:
                continue
            for key, in_use, *counts in changed:
                state.pool.record_peer_use(key, peer, int(in_use))
                for sign, count in zip(Observation, counts, strict=False):
                    for _ in range(min(int(count), MOST_SIGNS)):
                        state.pool.record_observation(
                            key, sign, sent_at=now, peer=peer
                        )
            state.dispatcher.redispatch()
