"""Pool of upstream slots that several daemons share without dividing them.

Each daemon reports its requests in flight on each upstream to its peers, so
that every daemon selects by the total use. Reports are delayed, so an
upstream may receive more requests than it has slots; it queues or sheds the
excess.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
import math
import random as random_module

import attrs

from hawthornmast.common import Upstream
from hawthornmast.health.belief import Belief
from hawthornmast.health.belief import Observation
from hawthornmast.limits.coverage import Coverage
from hawthornmast.limits.coverage import COVERAGE_DELAY_S
from hawthornmast.limits.coverage import COVERAGE_INTERVAL_S
from hawthornmast.limits.coverage import COVERAGE_WINDOW_S
from hawthornmast.limits.coverage import CoverageAllowance
from hawthornmast.limits.coverage import OutcomeWindow
from hawthornmast.limits.pooled import PooledUpstream
from hawthornmast.limits.statements import StatementRegistry
from hawthornmast.limits.statements import UpstreamStatement

UTILIZATION_COST = 0.03
"""Cost of a fully used upstream over an idle one, in the same unit as the
probability of failure."""

CROSS_ZONE_COST = 0.05
"""Cost of an upstream in another zone, in the same unit as the probability
of failure."""

MAX_FAILURE_PROBABILITY = 0.6
"""Highest probability of failure at which an upstream is selected. For a
waiting request the bound rises linearly and reaches 1 when half of its time
has passed."""

TRIAL_MIN_PROBABILITY = 0.25
"""Probability of failure above which an upstream receives trial requests."""

TRIAL_INTERVAL_S = 1.2
"""Minimum interval between trial requests to one upstream."""

SILENCE_TIMEOUT_S = 1.5
"""Time without any response, while requests are in flight, after which this
daemon sends an upstream no further requests."""

FLOOR_CHECK_INTERVAL_S = 0.05
"""Time for which the count of upstreams that receive requests holds."""

TRIAL_PRIORITY = 2.0
"""Deduction from the cost of an upstream that receives a trial request."""

COVERAGE_PRIORITY = 1.0
"""Deduction from the cost of an upstream that is due for a request."""


@attrs.frozen(kw_only=True)
class _Selection:
    """What the selection of an upstream for one request depends on.

    Parameters
    ----------
    now
        Monotonic time in seconds.
    max_probability
        Highest probability of failure at which an upstream is selected.
    may_try
        Whether the request may be a trial of a doubtful upstream.
    may_cover
        Whether the request may go to an upstream because it is due for one.
    due_after_s
        Time without a request after which an upstream of this zone is due.
    is_below_floor
        Whether upstreams that are believed to fail are due as well.
    """

    now: float
    max_probability: float
    may_try: bool
    may_cover: bool
    due_after_s: float
    is_below_floor: bool


class SharedPool:
    """Selects the upstream with the lowest probability of failure.

    While ``explores`` is set, some requests are sent to upstreams that are
    new, may have recovered or had no request for a while. Without the latter,
    requests would stay on as many upstreams as they fill: the probability of
    the others rises while nothing is observed. Daemons that receive few
    requests leave this to their peers, because each upstream tried costs a
    connection.

    Parameters
    ----------
    clock
        Monotonic time in seconds.
    random
        Random number generator that breaks ties.
    zone
        Zone of this daemon; upstreams in it are preferred.
    floor_share
        Share of the healthy upstreams that must receive requests, even if
        they are believed to fail.
    may_send_trial
        Returns whether the retry budget has room for trial requests, which
        are likely to need a second attempt.
    statements
        What upstreams stated of themselves; by default a registry of this
        pool alone.
    on_change
        Called when an upstream changes, with the kind of change
        (``avoided``, ``trusted``, ``unreachable`` or ``moved``), the upstream
        identifier, its probability of failure and the daemon that observed
        the change (empty for this one).

    Attributes
    ----------
    rate_share
        This daemon's share of the rates that upstreams state for all daemons
        together, from 0 to 1.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        random: random_module.Random,
        zone: str = "",
        floor_share: float = 0.7,
        may_send_trial: Callable[[], bool] = lambda: True,
        statements: StatementRegistry | None = None,
        on_change: Callable[[str, str, float, str], None] | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._zone = zone
        self._floor_share = floor_share
        self._may_send_trial = may_send_trial
        self._statements = statements or StatementRegistry()
        self._on_change = on_change
        self.members: dict[str, PooledUpstream] = {}
        self.silence_timeout_s = SILENCE_TIMEOUT_S
        self.explores = True
        self.rate_share = 1.0
        self.use_changes = 0
        self._outcomes = OutcomeWindow(clock)
        # Whether the floor was kept when last counted, and until when the
        # count holds.
        self._below_floor = False
        self._below_floor_until = -math.inf
        self._allowance = CoverageAllowance()

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the upstreams; requests on removed ones may finish."""
        listed = {item.upstream_id: item for item in upstreams}
        for key, member in list(self.members.items()):
            if key not in listed:
                member.listed = False
                if not member.in_use:
                    del self.members[key]
        now = self._clock()
        for key, upstream in listed.items():
            known = self.members.get(key)
            stated = self._statements.find(upstream)
            if known is None:
                self.members[key] = PooledUpstream(
                    upstream=upstream, belief=Belief(now), stated=stated
                )
                continue
            if (
                known.upstream.address != upstream.address
                or known.upstream.started_ms != upstream.started_ms
            ):
                known.moved = False
            known.stated = stated
            known.upstream = upstream
            known.listed = True

    def take(
        self,
        exclude: Container[str] = (),
        *,
        retryable: bool = True,
        time_left_fraction: float = 1.0,
    ) -> Upstream | None:
        """Take a slot of the best upstream not in ``exclude``.

        Parameters
        ----------
        exclude
            Identifiers of upstreams that must not be selected.
        retryable
            Whether the request may be retried after a failure, and so may be
            used as a trial of an upstream that probably fails.
        time_left_fraction
            Fraction of the request's time that is left, from 1 to 0.
        """
        now = self._clock()
        selection = self._make_selection(
            now,
            retryable=retryable,
            is_retry=bool(exclude),
            time_left_fraction=time_left_fraction,
        )
        best: PooledUpstream | None = None
        best_cost = math.inf
        for key, member in self.members.items():
            if key in exclude or not self._is_reachable(member, now):
                continue
            use = member.count_use(now)
            if use >= member.upstream.slots:
                continue
            cost = self._compute_cost(member, use, selection)
            if cost is None:
                continue
            # The random term breaks ties.
            cost += self._random.random() * 1e-3
            if cost < best_cost:
                best, best_cost = member, cost
        if best is None:
            return None
        self._allowance.count_request()
        if self._is_due(best, selection):
            self._allowance.spend()
        best.record_request(now)
        self.use_changes += 1
        return best.upstream

    def _make_selection(
        self,
        now: float,
        *,
        retryable: bool,
        is_retry: bool,
        time_left_fraction: float,
    ) -> _Selection:
        may_cover = self.explores and self._allowance.is_available()
        waited_fraction = min(1.0, 2.0 * (1.0 - time_left_fraction))
        return _Selection(
            now=now,
            max_probability=MAX_FAILURE_PROBABILITY
            + (1.0 - MAX_FAILURE_PROBABILITY) * waited_fraction,
            may_try=(
                self.explores
                and retryable
                and not is_retry
                and self._may_send_trial()
            ),
            may_cover=may_cover,
            due_after_s=COVERAGE_INTERVAL_S
            + (0.0 if retryable else COVERAGE_DELAY_S),
            is_below_floor=may_cover and self._is_below_floor(now),
        )

    def _is_below_floor(self, now: float) -> bool:
        """Return whether too few healthy upstreams receive requests.

        Counted at most once in ``FLOOR_CHECK_INTERVAL_S``, since it is part
        of each selection and takes a time that grows with the upstreams.
        """
        if now >= self._below_floor_until:
            self._below_floor = self._count_below_floor(now)
            self._below_floor_until = now + FLOOR_CHECK_INTERVAL_S
        return self._below_floor

    def _count_below_floor(self, now: float) -> bool:
        latest_due_s = COVERAGE_INTERVAL_S + 2 * COVERAGE_DELAY_S
        healthy = 0
        receiving = 0
        for member in self.members.values():
            if member.is_healthy(now):
                healthy += 1
                receiving += now - member.last_request_at <= latest_due_s
        return receiving < self._floor_share * healthy

    def _is_reachable(self, member: PooledUpstream, now: float) -> bool:
        """Return whether an upstream may be sent requests by this daemon."""
        if not member.is_candidate() or now < member.backoff_until:
            return False
        is_silent = now - member.waiting_since > self.silence_timeout_s
        if member.in_use and is_silent:
            return False
        return not member.statement_wait_s(now, share=self.rate_share)

    def _compute_cost(
        self, member: PooledUpstream, use: int, selection: _Selection
    ) -> float | None:
        """Return the cost of an upstream, None if it is not eligible.

        The lowest cost is selected: trials first, then upstreams that are
        due, then by probability of failure and use.
        """
        probability = member.belief.probability_at(selection.now)
        cost = probability + UTILIZATION_COST * use / member.upstream.slots
        if member.upstream.zone != self._zone:
            cost += CROSS_ZONE_COST
        idle_s = selection.now - member.last_request_at
        if (
            selection.may_try
            and probability > TRIAL_MIN_PROBABILITY
            and not use
            and idle_s > TRIAL_INTERVAL_S
        ):
            return cost - TRIAL_PRIORITY
        if idle_s > COVERAGE_INTERVAL_S and self._is_due(member, selection):
            return cost - COVERAGE_PRIORITY
        if probability > selection.max_probability:
            return None
        return cost

    def _is_due(self, member: PooledUpstream, selection: _Selection) -> bool:
        """Return whether a healthy upstream had no request for too long."""
        due_after_s = selection.due_after_s
        if member.upstream.zone != self._zone:
            due_after_s += COVERAGE_DELAY_S
        return (
            selection.may_cover
            and selection.now - member.last_request_at > due_after_s
            and member.is_healthy(selection.now)
            and (selection.is_below_floor or not member.belief.is_doubtful())
        )

    def release(self, upstream_id: str) -> None:
        """Release a slot taken by ``take``."""
        member = self.members.get(upstream_id)
        if member is None or member.in_use <= 0:
            raise ValueError(
                f"cannot release a slot of {upstream_id!r}: no slot in use"
            )
        member.in_use -= 1
        self.use_changes += 1
        if not member.listed and not member.in_use:
            del self.members[upstream_id]

    def count_usable(self) -> int:
        """Return the slots, free or not, of upstreams that may be selected."""
        now = self._clock()
        return sum(
            member.upstream.slots
            for member in self.members.values()
            if member.is_candidate()
            and now >= member.stated.held_until
            and member.belief.probability_at(now) <= MAX_FAILURE_PROBABILITY
        )

    def has_candidate(self, exclude: Container[str] = ()) -> bool:
        """Return whether any upstream is eligible, even with no free slot."""
        return any(
            member.is_candidate() and key not in exclude
            for key, member in self.members.items()
        )

    def count_allowed(
        self, seconds: float, exclude: Container[str] = ()
    ) -> float:
        """Return how many requests the statements allow within a time.

        It is infinite while an eligible upstream states no limit.
        """
        now = self._clock()
        return sum(
            member.count_allowed(now, seconds, share=self.rate_share)
            for key, member in self.members.items()
            if member.is_candidate() and key not in exclude
        )

    def failure_probability(self, upstream_id: str) -> float:
        """Return the probability that an upstream is failing now."""
        member = self.members.get(upstream_id)
        return member.belief.probability_at(self._clock()) if member else 0.0

    def record_observation(
        self,
        upstream_id: str,
        observation: Observation,
        *,
        sent_at: float,
        peer: str = "",
    ) -> bool:
        """Apply the outcome of a request of this daemon or of a peer.

        Return False if the outcome was ignored.
        """
        member = self.members.get(upstream_id)
        if member is None:
            return False
        if not member.belief.observe(
            self._clock(), observation, sent_at=sent_at
        ):
            return False
        avoided = (
            member.belief.probability_at(self._clock())
            > MAX_FAILURE_PROBABILITY
        )
        if avoided != member.avoided:
            member.avoided = avoided
            self._notify("avoided" if avoided else "trusted", member, peer)
        return True

    def record_response(self, upstream_id: str) -> None:
        """Record a response to this daemon and end any backoff."""
        member = self.members.get(upstream_id)
        if member is not None:
            member.record_response(self._clock())

    def next_allowed_s(self, exclude: Container[str] = ()) -> float:
        """Return the seconds until some upstream's statements allow a request.

        It is infinite without an eligible upstream.
        """
        now = self._clock()
        return min(
            (
                member.statement_wait_s(now, share=self.rate_share)
                for key, member in self.members.items()
                if member.is_candidate() and key not in exclude
            ),
            default=math.inf,
        )

    def record_statement(
        self, upstream: Upstream, statement: UpstreamStatement
    ) -> bool:
        """Record what a response states of its upstream.

        Return whether it changes what holds. A process that was replaced
        states nothing of the present one.

        Parameters
        ----------
        upstream
            The upstream as it was listed when the request was sent.
        statement
            What the response states.
        """
        member = self._find_process(upstream.upstream_id, upstream.started_ms)
        return member is not None and member.stated.record(
            statement, self._clock(), share=self.rate_share
        )

    def record_leaving(self, upstream_id: str, started_ms: int) -> bool:
        """Record that a peer learned from an upstream that it leaves.

        Return whether that is new and concerns the present process.
        """
        member = self._find_process(upstream_id, started_ms)
        return member is not None and member.stated.record_leaving(
            self._clock()
        )

    def _find_process(
        self, upstream_id: str, started_ms: int
    ) -> PooledUpstream | None:
        member = self.members.get(upstream_id)
        if member is None or member.upstream.started_ms != started_ms:
            return None
        return member

    def count_stated(self) -> dict[str, int]:
        """Return how many listed upstreams hold off, leave or state a limit.

        The keys are ``held_off``, ``leaving`` and ``limited``.
        """
        now = self._clock()
        stated = [m.stated for m in self.members.values() if m.listed]
        return {
            "held_off": sum(item.hold_off_s(now) > 0 for item in stated),
            "leaving": sum(item.left_at is not None for item in stated),
            "limited": sum(item.limit is not None for item in stated),
        }

    def mark_unreachable(self, upstream_id: str) -> None:
        """Back off from an upstream after a failed connection.

        Peers may still reach it, so its probability of failure is unchanged.
        """
        member = self.members.get(upstream_id)
        if member is not None:
            member.back_off(self._clock())
            self._notify("unreachable", member)

    def record_peer_use(self, upstream_id: str, peer: str, count: int) -> None:
        """Record the slots of an upstream that a peer uses."""
        member = self.members.get(upstream_id)
        if member is not None:
            member.record_peer_use(peer, count, self._clock())

    def mark_moved(self, upstream_id: str) -> None:
        """Stop using an upstream whose address now serves another one."""
        member = self.members.get(upstream_id)
        if member is not None:
            member.moved = True
            self._notify("moved", member)

    def _notify(
        self, change: str, member: PooledUpstream, peer: str = ""
    ) -> None:
        if self._on_change is not None:
            name = member.upstream.upstream_id
            probability = member.belief.probability_at(self._clock())
            self._on_change(change, name, probability, peer)

    def record_request_outcome(self, *, succeeded: bool) -> None:
        """Record whether a finished request of the service succeeded."""
        self._outcomes.record(succeeded=succeeded)

    def measure_coverage(self) -> Coverage:
        """Return how many healthy upstreams receive requests now."""
        now = self._clock()
        healthy = [
            member
            for member in self.members.values()
            if member.is_healthy(now)
        ]
        failed, finished = self._outcomes.count()
        return Coverage(
            healthy=len(healthy),
            receiving=sum(
                now - member.last_request_at <= COVERAGE_WINDOW_S
                for member in healthy
            ),
            avoided=sum(
                member.belief.probability_at(now) > MAX_FAILURE_PROBABILITY
                for member in healthy
            ),
            failed=failed,
            finished=finished,
        )
