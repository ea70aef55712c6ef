"""Live daemons of one zone, with placements kept up to date."""

import bisect
from collections.abc import Iterable
import heapq

import attrs

from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.membership import placement

Ranked = tuple[tuple[int, str], Instance]


SPARE = 4
"""Daemons kept beyond those asked for, so that few choices are computed anew
when a rack of the zone goes."""


@attrs.define
class _Choice:
    """The daemons with the highest hashes for a name, highest first.

    ``ranked`` holds ``depth`` of them, or fewer after some went.
    """

    depth: int
    ranked: list[Ranked]


class ZoneMembers:
    """The live daemons of a zone.

    A restart changes one daemon of hundreds. It costs one hash for each
    placement that was asked for, not one for each placement and daemon.
    """

    def __init__(self) -> None:
        self._live: dict[str, Instance] = {}
        self._ring: list[Ranked] = []
        self._choices: dict[str, _Choice] = {}

    def update(self, daemons: Iterable[Instance]) -> bool:
        """Take over a list; return whether the live daemons changed."""
        live = {d.instance_id: d for d in daemons if d.state is State.LIVE}
        old = self._live
        gone = {i: d for i, d in old.items() if live.get(i) != d}
        come = [d for i, d in live.items() if old.get(i) != d]
        if not gone and not come:
            return False
        self._live = live
        self._remove(gone.keys())
        self._add(come)
        return True

    def _remove(self, gone: Iterable[str]) -> None:
        names = frozenset(gone)
        if not names:
            return
        self._ring = [p for p in self._ring if p[0][1] not in names]
        for choice in self._choices.values():
            if any(pair[0][1] in names for pair in choice.ranked):
                choice.ranked = [
                    p for p in choice.ranked if p[0][1] not in names
                ]

    def _add(self, come: list[Instance]) -> None:
        ring = [
            (placement.rank(placement.RING, daemon), daemon) for daemon in come
        ]
        self._ring = sorted([*self._ring, *ring], key=_get_rank)
        for name, choice in self._choices.items():
            for daemon in come:
                ranked = (placement.rank(name, daemon), daemon)
                kept = choice.ranked
                # One below the last that is kept may be below others.
                if not kept or ranked[0] < kept[-1][0]:
                    continue
                kept.append(ranked)
                kept.sort(key=_get_rank, reverse=True)
                del kept[choice.depth :]

    def choose(self, name: str, count: int) -> list[Ranked]:
        """Return the ``count`` daemons with the highest hash for a name."""
        choice = self._choices.get(name)
        enough = min(count, len(self._live))
        if choice is None or len(choice.ranked) < enough:
            depth = count + SPARE
            ranked = [
                (placement.rank(name, daemon), daemon)
                for daemon in self._live.values()
            ]
            choice = _Choice(
                depth, heapq.nlargest(depth, ranked, key=_get_rank)
            )
            self._choices[name] = choice
        return choice.ranked[:count]

    def forget(self, name: str) -> None:
        """Drop the placement of a name that is not asked for any more."""
        self._choices.pop(name, None)

    def neighbours(self, instance: Instance) -> list[Instance]:
        """Return the neighbours on the ring of the instance's own zone."""
        own = placement.rank(placement.RING, instance)
        ring = [p for p in self._ring if p[0][1] != instance.instance_id]
        position = bisect.bisect_left(ring, own, key=_get_rank)
        offsets = placement.ring_offsets(len(ring))
        return [ring[(position + o) % len(ring)][1] for o in offsets]

    def find_next(self, instance: Instance) -> Instance | None:
        """Return the next daemon after the hash of one of another zone."""
        if not self._ring:
            return None
        own = placement.rank(placement.RING, instance)
        position = bisect.bisect_right(self._ring, own, key=_get_rank)
        return self._ring[position % len(self._ring)][1]


def _get_rank(pair: Ranked) -> tuple[int, str]:
    return pair[0]
