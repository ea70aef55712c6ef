"""Reports of evidence and ejections to the other owners."""

from collections.abc import Callable
from typing import Any

import attrs

from hawthornmast.health.budget import EjectionBudget
from hawthornmast.health.messages import Count
from hawthornmast.health.messages import HealthReport
from hawthornmast.health.messages import Stamp

CHANGED_S = 0.25
ACTIVE_S = 0.5
QUIET_S = 1.0
"""Also confirms the group, so it must stay well below CONFIRM_S."""

SHORTEST_S = 0.05
"""Bounds the reports of failures to one owner to 20 a second."""

MOST_COUNTS = 256


@attrs.define(kw_only=True)
class _Outbox:
    """What one owner was not told yet."""

    sent: float = float("-inf")
    counts: dict[str, list[int]] = attrs.field(factory=dict)
    failed: bool = False
    at_once: bool = False


class Reporter:
    """Sends counts when they changed, and failures at once.

    Parameters
    ----------
    service
        Name of the service.
    incarnation
        Number of this process.
    post
        Function that sends a message and returns whether it was queued.
    """

    def __init__(
        self,
        service: str,
        *,
        incarnation: int,
        post: Callable[[str, Any], bool],
    ) -> None:
        self._service = service
        self._incarnation = incarnation
        self._post = post
        self._outboxes: dict[str, _Outbox] = {}

    def count(self, upstream_id: str, *, failed: bool) -> None:
        """Add one piece of evidence for every other owner."""
        for outbox in self._outboxes.values():
            counts = outbox.counts.get(upstream_id)
            if counts is None:
                if len(outbox.counts) >= MOST_COUNTS:
                    continue
                counts = outbox.counts[upstream_id] = [0, 0]
            counts[failed] += 1
            outbox.failed = outbox.failed or failed

    def send(
        self, budget: EjectionBudget, now: float, *, at_once: bool
    ) -> None:
        """Send to each owner what is due."""
        others = budget.owners.others
        for gone in self._outboxes.keys() - set(others):
            del self._outboxes[gone]
        for peer in others:
            outbox = self._outboxes.get(peer)
            if outbox is None:
                outbox = self._outboxes[peer] = _Outbox()
            outbox.at_once = outbox.at_once or at_once
            if self._is_due(outbox, budget, now):
                self._send_one(peer, outbox, budget, now)

    def _is_due(
        self, outbox: _Outbox, budget: EjectionBudget, now: float
    ) -> bool:
        # The margin keeps ticks of a rounded clock from missing a period.
        age = now - outbox.sent + 1e-6
        if outbox.at_once:
            # Ejections are rare, and each one that waits costs requests.
            return True
        if outbox.failed:
            return age >= SHORTEST_S
        if outbox.counts and age >= CHANGED_S:
            return True
        return age >= (ACTIVE_S if budget.is_active(now) else QUIET_S)

    def _send_one(
        self, peer: str, outbox: _Outbox, budget: EjectionBudget, now: float
    ) -> None:
        report = HealthReport(
            service=self._service,
            stamp=Stamp(incarnation=self._incarnation, time=now),
            echo=budget.owners.get_echo(peer),
            group=budget.owners.digest,
            counts=[
                Count(upstream_id=u, ok=ok, failed=failed)
                for u, (ok, failed) in outbox.counts.items()
            ],
            announcements=budget.list_announcements(now),
        )
        outbox.sent = now
        if self._post(peer, report):
            outbox.counts = {}
            outbox.failed = outbox.at_once = False
