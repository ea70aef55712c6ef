"""Pool of the upstream slots allowed to this daemon."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import math
import random as random_module

import attrs

from hawthornmast.catalogue import Service
from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health import Standing


@attrs.define(kw_only=True, eq=False)
class _PooledUpstream:
    """Slots allowed and in use of one upstream, a member of the pool."""

    upstream: Upstream
    allowed: int = 0
    in_use: int = 0
    listed: bool = True

    def count_usable(self, standing: Standing) -> int:
        """Return the number of usable slots, free or in use."""
        if (
            not self.listed
            or self.upstream.state is State.LEAVING
            or standing.ejected
        ):
            return 0
        allowed = min(self.allowed, self.upstream.slots)
        if standing.weight >= 1.0 or allowed <= 0:
            return max(allowed, 0)
        # At least one slot stays usable for trial requests.
        return max(1, math.ceil(allowed * standing.weight - 1e-9))


class UpstreamPool:
    """Selects upstreams and counts the slots in use.

    Parameters
    ----------
    service
        Service that the upstreams serve.
    standing
        Returns the current standing of an upstream.
    random
        Random number generator that breaks ties.
    zone
        Zone of this daemon; its upstreams are preferred among equally used
        ones.
    drop_expired
        Called before each selection, to drop slots whose term ended while
        the process was paused.
    """

    def __init__(
        self,
        service: Service,
        *,
        standing: Callable[[str], Standing],
        random: random_module.Random,
        zone: str = "",
        drop_expired: Callable[[], None] | None = None,
    ) -> None:
        self.service = service
        self._standing = standing
        self._random = random
        self._zone = zone
        self._drop_expired = drop_expired
        self._members: dict[str, _PooledUpstream] = {}
        self._allowed: dict[str, int] = {}

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the upstreams; requests on removed ones may finish."""
        listed = {item.upstream_id: item for item in upstreams}
        for key, member in list(self._members.items()):
            if key not in listed:
                member.listed = False
                if not member.in_use:
                    del self._members[key]
        for key, upstream in listed.items():
            known = self._members.get(key)
            if known is None:
                self._members[key] = _PooledUpstream(
                    upstream=upstream, allowed=self._allowed.get(key, 0)
                )
            else:
                known.upstream = upstream
                known.listed = True

    def set_allowed(self, allowed: Mapping[str, int]) -> None:
        """Replace the allowed slots; upstreams not in ``allowed`` get none."""
        for key, slots in allowed.items():
            if slots < 0:
                raise ValueError(
                    f"slots of {key!r} must be 0 or more, got {slots}"
                )
        self._allowed = dict(allowed)
        for key, member in self._members.items():
            member.allowed = self._allowed.get(key, 0)

    def take(
        self,
        exclude: Container[str] = (),
        *,
        retryable: bool = True,
        time_left_fraction: float = 1.0,
    ) -> Upstream | None:
        """Take a slot of the least used upstream not in ``exclude``.

        ``retryable`` and ``time_left_fraction`` do not affect the selection.
        """
        del retryable, time_left_fraction
        if self._drop_expired is not None:
            self._drop_expired()
        # The fields are compared one by one, because this loop runs for each
        # request and comparing tuples of the three doubles its cost.
        best: list[_PooledUpstream] = []
        best_avoided, best_use, best_far = True, math.inf, True
        for upstream_id, member in self._members.items():
            # Cheap tests come before the calls, because in a loaded pool most
            # members have no free slot or are used more.
            in_use = member.in_use
            if in_use >= member.allowed or upstream_id in exclude:
                continue
            standing = self._standing(upstream_id)
            usable = member.count_usable(standing)
            if in_use >= usable:
                continue
            avoided, use = standing.avoided, in_use / usable
            if avoided != best_avoided:
                if avoided:
                    continue
            elif use > best_use:
                continue
            far = member.upstream.zone != self._zone
            if avoided == best_avoided and use == best_use:
                if far == best_far:
                    best.append(member)
                    continue
                if far:
                    continue
            best_avoided, best_use, best_far = avoided, use, far
            best = [member]
        if not best:
            return None
        chosen = best[0] if len(best) == 1 else self._random.choice(best)
        chosen.in_use += 1
        return chosen.upstream

    def release(self, upstream_id: str) -> None:
        """Release a slot taken by ``take``."""
        member = self._members.get(upstream_id)
        if member is None or member.in_use <= 0:
            raise ValueError(
                f"cannot release a slot of {upstream_id!r}: no slot in use"
            )
        member.in_use -= 1
        if not member.listed and not member.in_use:
            del self._members[upstream_id]

    def count_free(self, exclude: Container[str] = ()) -> int:
        """Return the number of free usable slots."""
        return sum(
            max(0, member.count_usable(self._standing(key)) - member.in_use)
            for key, member in self._members.items()
            if key not in exclude
        )

    def count_usable(self) -> int:
        """Return the number of usable slots, free or in use."""
        return sum(
            member.count_usable(self._standing(key))
            for key, member in self._members.items()
        )

    def count_allowed(
        self, seconds: float, exclude: Container[str] = ()
    ) -> float:
        """Return how many requests rate limits allow: any number."""
        del seconds, exclude
        return math.inf

    def next_allowed_s(self, exclude: Container[str] = ()) -> float:
        """Return 0: these upstreams state no limits."""
        del exclude
        return 0.0

    def has_candidate(self, exclude: Container[str] = ()) -> bool:
        """Return whether any upstream is eligible, even with no free slot."""
        return any(
            member.listed
            and member.upstream.state is not State.LEAVING
            and key not in exclude
            and not self._standing(key).ejected
            for key, member in self._members.items()
        )

    def in_use(self) -> dict[str, int]:
        """Return the slots in use by upstream."""
        return {key: item.in_use for key, item in self._members.items()}
