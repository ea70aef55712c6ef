"""Health monitoring of the upstreams of one service by one owner."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import functools
import math
import random
from typing import Any

import trio

from hawthornmast.audit import Action
from hawthornmast.audit import AuditTrail
from hawthornmast.catalogue import Service
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health import holdoff
from hawthornmast.health import permits
from hawthornmast.health import scores
from hawthornmast.health.attempts import Attempt
from hawthornmast.health.attempts import OutstandingAttempts
from hawthornmast.health.baseline import LatencyBaseline
from hawthornmast.health.budget import EjectionBudget
from hawthornmast.health.messages import HealthReport
from hawthornmast.health.messages import PermitGrant
from hawthornmast.health.messages import PermitRequest
from hawthornmast.health.reports import Reporter
from hawthornmast.health.standing import Evidence
from hawthornmast.health.standing import Standing
from hawthornmast.health.state import compute_slow_start_fraction
from hawthornmast.health.state import estimate_others_rate
from hawthornmast.health.state import UpstreamState

AVOID_DURATION_S = 5.0
SOURCE_DECAY_INTERVAL_S = 2.0

_EJECTED = Standing(ejected=True, avoided=True, weight=0.0)
_AVOIDED = Standing(avoided=True)
_NORMAL = Standing()


class HealthMonitor:
    """Decides which upstreams a daemon uses, avoids or ejects.

    Parameters
    ----------
    service
        Catalogue document that sets the floor.
    self_id
        Instance id of this daemon.
    clock
        Returns the time in seconds. It must advance while the process is
        paused.
    post
        Sends a message to a peer; returns whether it was queued.
    reachable
        Returns whether a peer can be asked for a permit.
    audit
        Audit trail of automatic actions.
    on_change
        Called with an upstream id and its new standing after each change.
    incarnation
        Identifier of this run of the daemon; random by default.
    activation_delay_s
        Delay in seconds before permits of a new group are used.
    """

    def __init__(
        self,
        service: Service,
        *,
        self_id: str,
        clock: Callable[[], float] = trio.current_time,
        post: Callable[[str, Any], bool],
        reachable: Callable[[str], bool] = lambda instance_id: True,
        audit: AuditTrail,
        on_change: Callable[[str, Standing], None] | None = None,
        incarnation: int | None = None,
        activation_delay_s: float = permits.NEW_GROUP_ACTIVATION_DELAY_S,
    ) -> None:
        if incarnation is None:
            incarnation = random.getrandbits(63)
        self._service = service
        self._self_id = self_id
        self._clock = clock
        self._audit = audit
        self._on_change = on_change
        self._view = ""
        self._slow_start_fraction = 1.0
        self._states: dict[str, UpstreamState] = {}
        self._baseline = LatencyBaseline()
        self._outstanding = OutstandingAttempts()
        self._last_decay = clock()
        self.budget = EjectionBudget(
            service.name,
            self_id=self_id,
            incarnation=incarnation,
            post=post,
            reachable=reachable,
            audit=audit,
            activation_delay_s=activation_delay_s,
        )
        self._reporter = Reporter(
            service.name, incarnation=incarnation, post=post
        )

    def begin(self, upstream_id: str, entry_name: str) -> Attempt:
        """Record that a request is about to be sent to an upstream."""
        attempt = Attempt(
            upstream_id=upstream_id,
            entry_name=entry_name,
            started=self._clock(),
        )
        self._outstanding.add(attempt)
        return attempt

    def finish(self, attempt: Attempt, evidence: Evidence) -> None:
        """Record the result of a request."""
        self._outstanding.remove(attempt)
        # Other requests of the entry may have become slow since the last
        # tick. Waiting for the next tick would delay their evidence by up to
        # 100 ms.
        self._count_slow(attempt.entry_name, self._clock())
        state = self._states.get(attempt.upstream_id)
        if evidence is Evidence.SHED or evidence is Evidence.NEUTRAL:
            return
        now = self._clock()
        latency = now - attempt.started
        if evidence is Evidence.OK or evidence is Evidence.SLOW:
            limit = self._baseline.get_limit(attempt.entry_name)
            self._baseline.add(attempt.entry_name, latency)
            if latency > limit:
                evidence = Evidence.SLOW
        if state is None or attempt.counted_as_slow:
            return
        if evidence is Evidence.SLOW and state.is_cold(now):
            return
        self._record(state, failed=evidence is not Evidence.OK, now=now)

    def standing(self, upstream_id: str) -> Standing:
        """Return how this daemon may use an upstream now."""
        state = self._states.get(upstream_id)
        if state is None:
            return _NORMAL
        return self._compute_standing(state, self._clock())

    def update(
        self,
        upstreams: Iterable[Upstream],
        group: Sequence[str],
        *,
        view: str,
        service: Service | None = None,
    ) -> None:
        """Apply published lists and, if given, a new catalogue document.

        Parameters
        ----------
        upstreams
            Published upstreams of the service.
        group
            Instance ids of the owners, in the same order on every daemon.
        view
            Identifier of the published lists, to be passed to
            ``confirm_view``.
        service
            New revision of the catalogue document.
        """
        now = self._clock()
        if service is not None:
            self._service = service
        self._view = view
        listed = {u.upstream_id for u in upstreams if u.state == State.LIVE}
        first = not self._states
        for upstream_id in sorted(listed - self._states.keys()):
            state = UpstreamState(upstream_id=upstream_id, listed_at=now)
            if not first:
                state.holdoff.begin_slow_start(now)
            self._states[upstream_id] = state
        for upstream_id in self._states.keys() - listed:
            del self._states[upstream_id]
            self.budget.permits.release(upstream_id, now)
        size = len(listed)
        allowed = max(0, size - self._service.count_floor(size))
        self.budget.update(tuple(group), allowed, now)
        self._apply(now)

    def confirm_view(self, view: str, sent_at: float) -> None:
        """Record that the platform still publishes a view.

        The platform is the system that publishes the lists of upstreams and
        daemons.

        Parameters
        ----------
        view
            Identifier of the lists in the platform's response.
        sent_at
            Time by this daemon's clock at which the platform was asked.
        """
        if view == self._view:
            self.budget.permits.confirm(sent_at, self._clock())
            self._apply(self._clock())

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle a message from another owner."""
        raise TypeError(
            f"message is {type(message).__name__}, allowed: HealthReport, "
            "PermitRequest, PermitGrant"
        )

    @handle.register
    def _(self, message: HealthReport, sender: str) -> None:
        now = self._clock()
        if not self.budget.accept_report(message, sender, now):
            return
        for count in message.counts:
            state = self._states.get(count.upstream_id)
            if state is None:
                continue
            if count.ok > 0:
                state.cusum.add_ok(sender, count.ok)
            if count.failed > 0:
                self._add_failed(state, sender, now, count.failed)
                self._evaluate(state, now)
        self._apply(now)

    @handle.register
    def _(self, message: PermitRequest, sender: str) -> None:
        self.budget.handle_request(message, sender, self._clock())

    @handle.register
    def _(self, message: PermitGrant, sender: str) -> None:
        now = self._clock()
        if self.budget.handle_grant(message, now):
            self._apply(now)

    def tick(self) -> None:
        """Run periodic work; called every 100 ms."""
        now = self._clock()
        for name in self._outstanding.entry_names:
            self._count_slow(name, now)
        if now - self._last_decay >= SOURCE_DECAY_INTERVAL_S:
            self._last_decay = now
            for state in self._states.values():
                state.cusum.decay_sources()
        self._apply(now)
        self._send(now)

    def _count_slow(self, entry_name: str, now: float) -> None:
        limit = self._baseline.get_limit(entry_name)
        for attempt in self._outstanding.pop_slow(entry_name, limit, now):
            attempt.counted_as_slow = True
            state = self._states.get(attempt.upstream_id)
            if state is not None and not state.is_cold(now):
                self._record(state, failed=True, now=now)

    def describe(self, upstream_id: str) -> dict[str, object]:
        """Return the evidence behind the standing of an upstream."""
        state = self._states.get(upstream_id)
        if state is None:
            return {}
        return {
            **state.describe(self._clock()),
            "permits_of_group": self.budget.permits.permit_count,
        }

    def list_ejected(self) -> list[str]:
        """Return the upstreams that are ejected now."""
        now = self._clock()
        return [u for u, s in self._states.items() if now < s.ejected_until]

    def _record(
        self, state: UpstreamState, *, failed: bool, now: float
    ) -> None:
        self._reporter.count(state.upstream_id, failed=failed)
        state.own_level = scores.step_level(state.own_level, failed=failed)
        if not failed:
            state.cusum.add_ok(self._self_id)
            return
        before = state.cusum.level
        self._add_failed(state, self._self_id, now, 1)
        self._evaluate(state, now)
        if state.failing:
            self._apply(now)
        # The failure that reaches the threshold bypasses the rate limit of
        # reports, because other owners may need it to use their permits.
        self._send(
            now, immediate=before < scores.LOW_THRESHOLD <= state.cusum.level
        )

    def _add_failed(
        self, state: UpstreamState, source: str, now: float, count: int
    ) -> None:
        if state.cusum.level <= 0.0:
            self._snapshot_others(state)
        state.cusum.add_failed(source, now, count)

    def _snapshot_others(self, state: UpstreamState) -> None:
        """Record the totals of the other upstreams when a run starts."""
        state.cusum.others_at_start = {
            upstream_id: (other.cusum.total, other.cusum.failures)
            for upstream_id, other in self._states.items()
            if other is not state
        }

    def _evaluate(
        self, state: UpstreamState, now: float, *, failed: bool = True
    ) -> None:
        """Evaluate whether to avoid an upstream and whether it is failing.

        Only a failure extends the avoidance, because an avoided upstream may
        receive no request that could show its recovery.
        """
        cusum = state.cusum
        if failed and (
            state.own_level >= scores.AVOID_THRESHOLD
            or (
                cusum.level >= scores.LOW_THRESHOLD
                and not cusum.is_contradicted()
            )
        ):
            state.avoid_until = now + AVOID_DURATION_S
        if cusum.level < scores.LOW_THRESHOLD:
            return
        rate = estimate_others_rate(
            state, self._states, self.budget.permits.permit_count
        )
        failing = cusum.is_failing(now, rate, len(self.budget.owners.members))
        if failing and not state.failing:
            state.failing_since = now
        state.failing = failing

    def _apply(self, now: float) -> None:
        """Update ejections by permits, announcements and elapsed time."""
        before = {u for u, state in self._states.items() if state.was_ejected}
        for state in self._states.values():
            if state.cusum.level <= 0.0:
                state.failing = False
            elif (
                not state.failing
                and state.cusum.level >= scores.LOW_THRESHOLD
                and now >= state.ejected_until
            ):
                # A run can reach its minimum duration without new evidence.
                self._evaluate(state, now, failed=False)
        self.budget.reconcile(self._states, now)
        deadlines = self.budget.list_deadlines(self._states, now)
        for upstream_id, state in self._states.items():
            state.ejected_until = deadlines.get(upstream_id, 0.0)
            ejected = now < state.ejected_until
            if ejected and upstream_id not in before:
                self._start_ejection(state, now)
            elif not ejected and upstream_id in before:
                self._end_ejection(state, now)
            state.was_ejected = ejected
        self._slow_start_fraction = compute_slow_start_fraction(
            self._states.values(), self.budget.permits.permit_count, now
        )
        for state in self._states.values():
            self._publish(state, now)

    def _start_ejection(self, state: UpstreamState, now: float) -> None:
        state.holdoff.start(now)
        holder = self.budget.find_holder(state.upstream_id, now)
        cusum = state.cusum
        self._append_audit(
            Action.EJECT,
            state,
            evidence=f"failed={cusum.run_failed} ok={cusum.run_ok} "
            f"score={cusum.level:.1f}",
            step="own-permit" if holder == self._self_id else "follow",
            peer=holder,
        )
        if holder == self._self_id:
            self._send(now, immediate=True)

    def _end_ejection(self, state: UpstreamState, now: float) -> None:
        state.failing = False
        state.cusum.start_trial(now)
        self._snapshot_others(state)
        state.holdoff.begin_slow_start(now)
        lapsed = now < state.holdoff.until
        if lapsed:
            state.avoid_until = now + AVOID_DURATION_S
        self._append_audit(
            Action.RETURN,
            state,
            evidence="permit-ended" if lapsed else "hold-off-over",
            step="trial",
        )

    def _publish(self, state: UpstreamState, now: float) -> None:
        standing = self._compute_standing(state, now)
        if standing == state.published:
            return
        newly_avoided = standing.avoided and not state.published.avoided
        if newly_avoided and not standing.ejected:
            self._append_audit(Action.AVOID, state, step="evaluate")
        state.published = standing
        if self._on_change is not None:
            self._on_change(state.upstream_id, standing)

    def _compute_standing(self, state: UpstreamState, now: float) -> Standing:
        # The expiry is checked at each decision, because a process that was
        # paused must not apply an ejection whose permit has expired.
        if now < state.ejected_until:
            return _EJECTED
        if now - state.holdoff.slow_start_at < holdoff.SLOW_START_S:
            missing = 1.0 - state.holdoff.get_weight(now)
            # Rounded to tenths to publish few changes, and rounded up to
            # withhold no more capacity than the budget allows.
            weight = (
                math.ceil((1.0 - missing * self._slow_start_fraction) * 10)
                / 10
            )
            return Standing(
                avoided=now < state.avoid_until, weight=min(1.0, weight)
            )
        return _AVOIDED if now < state.avoid_until else _NORMAL

    def _send(self, now: float, *, immediate: bool = False) -> None:
        self._reporter.send(self.budget, now, immediate=immediate)

    def _append_audit(
        self, act: Action, state: UpstreamState, **fields: Any
    ) -> None:
        fields.setdefault("peer", "")
        step = fields.pop("step")
        peer = fields.pop("peer")
        self._audit.append(
            act,
            service=self._service.name,
            owner=self._service.owner,
            limit=f"floor={self._service.floor}",
            revision=self._service.revision,
            step=step if not peer else f"{step}:{peer}",
            peer=state.upstream_id,
            **fields,
        )
