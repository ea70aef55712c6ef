"""Upstream slots that several daemons use without dividing them.

Each daemon tells the others how many requests it has on each upstream, so
that all select by the use of all. The messages lag; an upstream that gets
more than its slots queues or sheds the rest.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
import random as random_module

import attrs

from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health.belief import Belief
from hawthornmast.health.belief import Sign

USE_WEIGHT = 0.03
"""What a fully used upstream counts more than an idle one, as probability
of failure."""

ZONE_WEIGHT = 0.05
"""What an upstream of another zone counts more, as probability of failure."""

MOST_LIKELY = 0.6
"""Probability of failure from which a request rather waits for another
upstream. The bound rises to 1 while the request uses up half of its time."""

TRIAL_FROM = 0.25
"""Probability of failure from which an upstream needs trial requests."""

TRIAL_S = 1.2
"""Seconds between two trial requests to an upstream."""

BLOCK_S = 1.5
"""Seconds without a try after an upstream could not be reached; they double
with each further failure."""

MOST_BLOCK_S = 6.0

SILENT_S = 1.5
"""Seconds without any answer, while requests wait, after which an upstream
gets no more work from this daemon."""

REPORT_S = 2.5
"""Seconds for which the use that another daemon reported counts."""

FLOOR_S = 1.0
"""Seconds within which each sound upstream gets a request when the service
fails more than ``FLOOR_SHARE`` of its requests."""

FLOOR_SHARE = 0.05
FLOOR_LEAST = 3
RECOVERED_S = 2.0
"""Seconds after its last failure when an upstream counts as sound again."""


@attrs.define(kw_only=True, eq=False)
class PoolMember:
    """One upstream with its use and the belief about it."""

    upstream: Upstream
    belief: Belief
    in_use: int = 0
    listed: bool = True
    gone: bool = False
    sent_at: float = -1.0
    # Since when requests of this daemon wait for any answer.
    silent_from: float = 0.0
    blocked_until: float = 0.0
    block_s: float = BLOCK_S
    avoided: bool = False
    # Use by other daemons and the time of its report.
    others: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def count_use(self, now: float) -> int:
        """Return the slots that all daemons use."""
        use = self.in_use
        for count, at in self.others.values():
            if now - at <= REPORT_S:
                use += count
        return use

    def is_candidate(self) -> bool:
        """Return whether the upstream may get new requests."""
        return (
            self.listed and not self.gone and self.upstream.state is State.LIVE
        )


class SharedPool:
    """Selects the upstream that is the least likely to fail a request.

    While ``explores`` is set, a part of the requests goes to upstreams of
    which nothing is known or that may work again. Daemons that get few
    requests leave that to the others, since each upstream that they try
    costs a connection.

    Parameters
    ----------
    clock
        Monotonic time in seconds.
    random
        Source of the choice among equals.
    zone
        Zone of this daemon; upstreams in it are preferred.
    may_try
        Tells whether the retry budget has room for trial requests, which are
        likely to need a second attempt.
    on_change
        Called with what changed about an upstream (``avoided``, ``trusted``,
        ``unreachable`` or ``moved``), its identifier, the probability that
        it fails, and which daemon saw it, empty for this one.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        random: random_module.Random,
        zone: str = "",
        may_try: Callable[[], bool] = lambda: True,
        on_change: Callable[[str, str, float, str], None] | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._zone = zone
        self._may_try = may_try
        self._on_change = on_change
        self.members: dict[str, PoolMember] = {}
        self.silent_s = SILENT_S
        self.explores = True
        self._served: list[tuple[float, bool]] = []

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the list; requests on removed upstreams may finish."""
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
                self.members[key] = PoolMember(
                    upstream=upstream, belief=Belief(now)
                )
                continue
            if known.upstream.address != upstream.address:
                known.gone = False
            known.upstream = upstream
            known.listed = True

    def take(
        self,
        exclude: Container[str] = (),
        *,
        repeatable: bool = True,
        patience: float = 1.0,
    ) -> Upstream | None:
        """Take a slot of the best upstream outside ``exclude``.

        Parameters
        ----------
        repeatable
            The request may be sent again after a failure, so that it may
            try an upstream that probably fails.
        patience
            Share of its time that the request has left, from 1 to 0.
        """
        now = self._clock()
        trial = (
            self.explores and repeatable and not exclude and self._may_try()
        )
        limit = MOST_LIKELY + (1.0 - MOST_LIKELY) * min(
            1.0, 2.0 * (1.0 - patience)
        )
        spread = self.explores and self._must_spread(now)
        best: PoolMember | None = None
        best_cost = 1e9
        for key, member in self.members.items():
            if key in exclude or not member.is_candidate():
                continue
            slots = member.upstream.slots
            use = member.count_use(now)
            if use >= slots:
                continue
            if now < member.blocked_until or (
                member.in_use and now - member.silent_from > self.silent_s
            ):
                continue
            likely = member.belief.at(now)
            cost = likely + USE_WEIGHT * use / slots
            if member.upstream.zone != self._zone:
                cost += ZONE_WEIGHT
            if (
                trial
                and likely > TRIAL_FROM
                and not use
                and now - member.sent_at > TRIAL_S
            ):
                cost -= 2.0
            elif likely > limit:
                continue
            if self.explores and member.sent_at < 0.0:
                # Nothing is known of a new upstream until it gets work.
                cost -= 1.0
            if (
                spread
                and now - member.sent_at > FLOOR_S
                and now - member.belief.failed_at > RECOVERED_S
            ):
                cost -= 1.0
            cost += self._random.random() * 1e-3
            if cost < best_cost:
                best, best_cost = member, cost
        if best is None:
            return None
        if not best.in_use:
            best.silent_from = now
        best.in_use += 1
        best.sent_at = now
        return best.upstream

    def release(self, upstream_id: str) -> None:
        """Give back one slot taken before."""
        member = self.members.get(upstream_id)
        if member is None or member.in_use <= 0:
            raise ValueError(
                f"release of {upstream_id!r}, which has no slot in use"
            )
        member.in_use -= 1
        if not member.listed and not member.in_use:
            del self.members[upstream_id]

    def count_usable(self) -> int:
        """Return the slots of upstreams that probably work, free or not."""
        now = self._clock()
        return sum(
            member.upstream.slots
            for member in self.members.values()
            if member.is_candidate() and member.belief.at(now) <= MOST_LIKELY
        )

    def has_candidate(self, exclude: Container[str] = ()) -> bool:
        """Tell whether any upstream may serve, whatever its free slots."""
        return any(
            member.is_candidate() and key not in exclude
            for key, member in self.members.items()
        )

    def likely_to_fail(self, upstream_id: str) -> float:
        """Return the probability that an upstream fails its work now."""
        member = self.members.get(upstream_id)
        return member.belief.at(self._clock()) if member else 0.0

    def note_sign(
        self, upstream_id: str, sign: Sign, *, sent_at: float, peer: str = ""
    ) -> bool:
        """Apply what a request of this or of another daemon showed.

        Returns whether it counts as evidence.
        """
        member = self.members.get(upstream_id)
        if member is None:
            return False
        if not member.belief.note(self._clock(), sign, sent_at=sent_at):
            return False
        avoided = member.belief.at(self._clock()) > MOST_LIKELY
        if avoided != member.avoided:
            member.avoided = avoided
            self._tell("avoided" if avoided else "trusted", member, peer)
        return True

    def note_answer(self, upstream_id: str) -> None:
        """Note that an upstream answered this daemon."""
        member = self.members.get(upstream_id)
        if member is not None:
            member.silent_from = self._clock()
            member.blocked_until = 0.0
            member.block_s = BLOCK_S

    def note_unreachable(self, upstream_id: str) -> None:
        """Stop trying an upstream that this daemon can't connect to.

        Others may reach it, so that this is no evidence against it.
        """
        member = self.members.get(upstream_id)
        if member is not None:
            member.blocked_until = self._clock() + member.block_s
            member.block_s = min(MOST_BLOCK_S, 2.0 * member.block_s)
            self._tell("unreachable", member)

    def note_use(self, upstream_id: str, peer: str, count: int) -> None:
        """Note the slots of an upstream that another daemon uses."""
        member = self.members.get(upstream_id)
        if member is None:
            return
        now = self._clock()
        if count:
            if count > member.others.get(peer, (0, 0.0))[0]:
                member.sent_at = now
            member.others[peer] = (count, now)
        else:
            member.others.pop(peer, None)

    def note_gone(self, upstream_id: str) -> None:
        """Stop using an upstream whose address has another owner now."""
        member = self.members.get(upstream_id)
        if member is not None:
            member.gone = True
            self._tell("moved", member)

    def _tell(self, change: str, member: PoolMember, peer: str = "") -> None:
        if self._on_change is not None:
            name = member.upstream.upstream_id
            likely = member.belief.at(self._clock())
            self._on_change(change, name, likely, peer)

    def note_served(self, *, served: bool) -> None:
        """Count a finished request of the service."""
        self._served.append((self._clock(), served))

    def _must_spread(self, now: float) -> bool:
        """Return whether all sound upstreams have to get requests.

        While a part of the requests fails, the owner's floor bounds how many
        sound upstreams may be passed over.
        """
        while self._served and self._served[0][0] < now - RECOVERED_S:
            self._served.pop(0)
        lost = sum(not served for _, served in self._served)
        return lost >= FLOOR_LEAST and lost > FLOOR_SHARE * len(self._served)
