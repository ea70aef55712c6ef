"""Reports of evidence and ejections to the other owners."""

from collections.abc import Callable
from typing import Any

import attrs

from hawthornmast.health.budget import EjectionBudget
from hawthornmast.health.messages import Count
from hawthornmast.health.messages import HealthReport
from hawthornmast.health.messages import Stamp

RESULTS_INTERVAL_S = 0.25
"""Interval between reports while there are results to report."""

EJECTIONS_INTERVAL_S = 0.5
"""Interval between reports while an ejection is in force or announced."""

IDLE_INTERVAL_S = 1.0
"""Interval between reports otherwise. Reports also confirm the group, so this
must be well below ``permits.CONFIRMATION_TERM_S``."""

MIN_FAILURE_INTERVAL_S = 0.05
"""Limits the failure reports to one owner to 20 per second."""

MAX_UPSTREAMS_PER_REPORT = 256
"""Maximum number of upstreams whose results one report contains. Results of
further upstreams are dropped."""


@attrs.define(kw_only=True)
class _Outbox:
    """Results not yet reported to one owner."""

    sent_at: float = float("-inf")
    counts: dict[str, list[int]] = attrs.field(factory=dict)
    """Numbers of successes and failures, in this order, by upstream."""

    failed: bool = False
    immediate: bool = False


class Reporter:
    """Batches successes into periodic reports and reports failures promptly.

    Parameters
    ----------
    service
        Name of the service.
    incarnation
        Identifier of this run of the daemon.
    post
        Sends a message to a peer; returns whether it was queued.
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
        """Count one result in the next report to every other owner."""
        for outbox in self._outboxes.values():
            counts = outbox.counts.get(upstream_id)
            if counts is None:
                if len(outbox.counts) >= MAX_UPSTREAMS_PER_REPORT:
                    continue
                counts = outbox.counts[upstream_id] = [0, 0]
            counts[failed] += 1
            outbox.failed = outbox.failed or failed

    def send(
        self, budget: EjectionBudget, now: float, *, immediate: bool
    ) -> None:
        """Send the reports that are due."""
        others = budget.owners.others
        for gone in self._outboxes.keys() - set(others):
            del self._outboxes[gone]
        for peer in others:
            outbox = self._outboxes.get(peer)
            if outbox is None:
                outbox = self._outboxes[peer] = _Outbox()
            outbox.immediate = outbox.immediate or immediate
            if self._is_due(outbox, budget, now):
                self._send_one(peer, outbox, budget, now)

    def _is_due(
        self, outbox: _Outbox, budget: EjectionBudget, now: float
    ) -> bool:
        # The tolerance keeps a tick from missing its period by a rounding
        # error of the clock.
        age = now - outbox.sent_at + 1e-6
        if outbox.immediate:
            # Ejections are rare, and a delayed one costs failed requests.
            return True
        if outbox.failed:
            return age >= MIN_FAILURE_INTERVAL_S
        if outbox.counts and age >= RESULTS_INTERVAL_S:
            return True
        return age >= (
            EJECTIONS_INTERVAL_S if budget.is_active(now) else IDLE_INTERVAL_S
        )

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
        outbox.sent_at = now
        if self._post(peer, report):
            outbox.counts = {}
            outbox.failed = outbox.immediate = False
