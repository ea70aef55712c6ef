"""Pool of upstream slots that several daemons share without dividing them.

Each daemon reports its requests in flight on each upstream to its peers, so
that every daemon selects by the total use. Reports are delayed, so an
upstream may receive more requests than it has slots; it queues or sheds the
excess.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
import random as random_module

import attrs

from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health.belief import Belief
from hawthornmast.health.belief import Observation
from hawthornmast.limits.coverage import Coverage
from hawthornmast.limits.coverage import COVERAGE_WINDOW_S
from hawthornmast.limits.coverage import OutcomeWindow
from hawthornmast.limits.coverage import RECOVERY_S

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

INITIAL_BACKOFF_S = 1.5
"""Backoff after a failed connection; doubles with each further failure up to
``MAX_BACKOFF_S``."""

MAX_BACKOFF_S = 6.0

SILENCE_TIMEOUT_S = 1.5
"""Time without any response, while requests are in flight, after which this
daemon sends an upstream no further requests."""

PEER_USE_TTL_S = 2.5
"""Validity of the use that a peer reported."""

FLOOR_INTERVAL_S = 1.0
"""Interval in which each healthy upstream receives at least one request while
more than ``FLOOR_FAILURE_SHARE`` of the service's requests fail. The floor
then limits how many healthy upstreams may be left without requests."""


@attrs.define(kw_only=True, eq=False)
class PooledUpstream:
    """Use and estimated health of one upstream."""

    upstream: Upstream
    belief: Belief
    in_use: int = 0
    listed: bool = True
    # Whether the address now serves another upstream.
    moved: bool = False
    # Time of the last request by any daemon, as known here; -1 for none yet.
    last_request_at: float = -1.0
    # Time since which requests of this daemon have had no response.
    waiting_since: float = 0.0
    backoff_until: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    # Whether the probability of failure exceeds MAX_FAILURE_PROBABILITY.
    # Unlike ``Standing.avoided``, this is only reported by ``on_change``.
    avoided: bool = False
    # Slots in use by each peer, with the time of the report.
    peer_use: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def count_use(self, now: float) -> int:
        """Return the slots in use by all daemons."""
        use = self.in_use
        for count, at in self.peer_use.values():
            if now - at <= PEER_USE_TTL_S:
                use += count
        return use

    def is_candidate(self) -> bool:
        """Return whether the upstream may receive new requests."""
        return (
            self.listed
            and not self.moved
            and self.upstream.state is State.LIVE
        )


class SharedPool:
    """Selects the upstream with the lowest probability of failure.

    While ``explores`` is set, some requests are sent to upstreams that are
    new or may have recovered. Daemons that receive few requests leave this
    to their peers, because each upstream tried costs a connection.

    Parameters
    ----------
    clock
        Monotonic time in seconds.
    random
        Random number generator that breaks ties.
    zone
        Zone of this daemon; upstreams in it are preferred.
    may_send_trial
        Returns whether the retry budget has room for trial requests, which
        are likely to need a second attempt.
    on_change
        Called when an upstream changes, with the kind of change
        (``avoided``, ``trusted``, ``unreachable`` or ``moved``), the upstream
        identifier, its probability of failure and the daemon that observed
        the change (empty for this one).
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        random: random_module.Random,
        zone: str = "",
        may_send_trial: Callable[[], bool] = lambda: True,
        on_change: Callable[[str, str, float, str], None] | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._zone = zone
        self._may_send_trial = may_send_trial
        self._on_change = on_change
        self.members: dict[str, PooledUpstream] = {}
        self.silence_timeout_s = SILENCE_TIMEOUT_S
        self.explores = True
        self._outcomes = OutcomeWindow(clock)

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
            if known is None:
                self.members[key] = PooledUpstream(
                    upstream=upstream, belief=Belief(now)
                )
                continue
            if known.upstream.address != upstream.address:
                known.moved = False
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
        trial = (
            self.explores
            and retryable
            and not exclude
            and self._may_send_trial()
        )
        limit = MAX_FAILURE_PROBABILITY + (
            1.0 - MAX_FAILURE_PROBABILITY
        ) * min(1.0, 2.0 * (1.0 - time_left_fraction))
        must_spread = self.explores and self._outcomes.exceeds_floor_share()
        # The lowest cost wins. Offsets put trials (-2) first, then upstreams
        # that are new or due for a request under the floor (-1 each); the
        # random term up to 0.001 breaks ties. The initial cost exceeds any
        # other.
        best: PooledUpstream | None = None
        best_cost = 1e9
        for key, member in self.members.items():
            if key in exclude or not member.is_candidate():
                continue
            slots = member.upstream.slots
            use = member.count_use(now)
            if use >= slots:
                continue
            if now < member.backoff_until or (
                member.in_use
                and now - member.waiting_since > self.silence_timeout_s
            ):
                continue
            probability = member.belief.probability_at(now)
            cost = probability + UTILIZATION_COST * use / slots
            if member.upstream.zone != self._zone:
                cost += CROSS_ZONE_COST
            if (
                trial
                and probability > TRIAL_MIN_PROBABILITY
                and not use
                and now - member.last_request_at > TRIAL_INTERVAL_S
            ):
                cost -= 2.0
            elif probability > limit:
                continue
            if self.explores and member.last_request_at < 0.0:
                # A new upstream has no observations until it receives one
                # request.
                cost -= 1.0
            if (
                must_spread
                and now - member.last_request_at > FLOOR_INTERVAL_S
                and now - member.belief.last_failure_at > RECOVERY_S
            ):
                cost -= 1.0
            cost += self._random.random() * 1e-3
            if cost < best_cost:
                best, best_cost = member, cost
        if best is None:
            return None
        if not best.in_use:
            best.waiting_since = now
        best.in_use += 1
        best.last_request_at = now
        return best.upstream

    def release(self, upstream_id: str) -> None:
        """Release a slot taken by ``take``."""
        member = self.members.get(upstream_id)
        if member is None or member.in_use <= 0:
            raise ValueError(
                f"cannot release a slot of {upstream_id!r}: no slot in use"
            )
        member.in_use -= 1
        if not member.listed and not member.in_use:
            del self.members[upstream_id]

    def count_usable(self) -> int:
        """Return the slots, free or not, of upstreams that may be selected."""
        now = self._clock()
        return sum(
            member.upstream.slots
            for member in self.members.values()
            if member.is_candidate()
            and member.belief.probability_at(now) <= MAX_FAILURE_PROBABILITY
        )

    def has_candidate(self, exclude: Container[str] = ()) -> bool:
        """Return whether any upstream is eligible, even with no free slot."""
        return any(
            member.is_candidate() and key not in exclude
            for key, member in self.members.items()
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
            member.waiting_since = self._clock()
            member.backoff_until = 0.0
            member.backoff_s = INITIAL_BACKOFF_S

    def mark_unreachable(self, upstream_id: str) -> None:
        """Back off from an upstream after a failed connection.

        Peers may still reach it, so its probability of failure is unchanged.
        """
        member = self.members.get(upstream_id)
        if member is not None:
            member.backoff_until = self._clock() + member.backoff_s
            member.backoff_s = min(MAX_BACKOFF_S, 2.0 * member.backoff_s)
            self._notify("unreachable", member)

    def record_peer_use(self, upstream_id: str, peer: str, count: int) -> None:
        """Record the slots of an upstream that a peer uses."""
        member = self.members.get(upstream_id)
        if member is None:
            return
        now = self._clock()
        if count:
            if count > member.peer_use.get(peer, (0, 0.0))[0]:
                member.last_request_at = now
            member.peer_use[peer] = (count, now)
        else:
            member.peer_use.pop(peer, None)

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
            if member.is_candidate()
            and now - member.belief.last_failure_at > RECOVERY_S
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
