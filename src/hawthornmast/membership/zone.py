"""Live daemons of one zone, with incrementally maintained placements."""

import bisect
from collections.abc import Iterable
import heapq

import attrs

from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.membership import placement

Ranked = tuple[tuple[int, str], Instance]
"""A daemon after the key from ``placement.hash_sort_key`` for some name."""

SPARE_CANDIDATES = 4
"""Daemons cached beyond those requested, so that the loss of a rack requires
few selections to be recomputed."""


@attrs.define
class _Selection:
    """Cached daemons with the highest hashes for a name, highest first.

    ``ranked`` holds ``depth`` of them, or fewer after removals.
    """

    depth: int
    ranked: list[Ranked]


class ZoneMembers:
    """Live daemons of a zone, with cached selections.

    A restart changes one daemon of hundreds. Updating the caches costs one
    hash for each cached selection, not one for each selection and daemon.
    """

    def __init__(self) -> None:
        self._live: dict[str, Instance] = {}
        self._ring: list[Ranked] = []
        self._selections: dict[str, _Selection] = {}

    def update(self, daemons: Iterable[Instance]) -> bool:
        """Apply a list; return whether the live daemons changed."""
        live = {d.instance_id: d for d in daemons if d.state is State.LIVE}
        old = self._live
        removed = {i: d for i, d in old.items() if live.get(i) != d}
        added = [d for i, d in live.items() if old.get(i) != d]
        if not removed and not added:
            return False
        self._live = live
        self._remove(removed.keys())
        self._add(added)
        return True

    def _remove(self, removed: Iterable[str]) -> None:
        names = frozenset(removed)
        if not names:
            return
        self._ring = [p for p in self._ring if p[0][1] not in names]
        for selection in self._selections.values():
            if any(pair[0][1] in names for pair in selection.ranked):
                selection.ranked = [
                    p for p in selection.ranked if p[0][1] not in names
                ]

    def _add(self, added: list[Instance]) -> None:
        ring = [
            (placement.hash_sort_key(placement.RING_HASH_NAME, daemon), daemon)
            for daemon in added
        ]
        self._ring = sorted([*self._ring, *ring], key=_get_sort_key)
        for name, selection in self._selections.items():
            for daemon in added:
                ranked = (placement.hash_sort_key(name, daemon), daemon)
                kept = selection.ranked
                # A daemon ranked below the last cached one may also be
                # ranked below daemons that aren't cached.
                if not kept or ranked[0] < kept[-1][0]:
                    continue
                kept.append(ranked)
                kept.sort(key=_get_sort_key, reverse=True)
                del kept[selection.depth :]

    def select(self, name: str, count: int) -> list[Ranked]:
        """Return the ``count`` daemons with the highest hash for a name."""
        selection = self._selections.get(name)
        needed = min(count, len(self._live))
        if selection is None or len(selection.ranked) < needed:
            depth = count + SPARE_CANDIDATES
            ranked = [
                (placement.hash_sort_key(name, daemon), daemon)
                for daemon in self._live.values()
            ]
            selection = _Selection(
                depth, heapq.nlargest(depth, ranked, key=_get_sort_key)
            )
            self._selections[name] = selection
        return selection.ranked[:count]

    def discard_selection(self, name: str) -> None:
        """Drop the cached selection for a name."""
        self._selections.pop(name, None)

    def neighbours(self, instance: Instance) -> list[Instance]:
        """Return the neighbours on the ring of the instance's own zone."""
        own = placement.hash_sort_key(placement.RING_HASH_NAME, instance)
        ring = [p for p in self._ring if p[0][1] != instance.instance_id]
        position = bisect.bisect_left(ring, own, key=_get_sort_key)
        offsets = placement.ring_offsets(len(ring))
        return [ring[(position + o) % len(ring)][1] for o in offsets]

    def find_successor(self, instance: Instance) -> Instance | None:
        """Return the ring successor of a daemon of another zone."""
        if not self._ring:
            return None
        own = placement.hash_sort_key(placement.RING_HASH_NAME, instance)
        position = bisect.bisect_right(self._ring, own, key=_get_sort_key)
        return self._ring[position % len(self._ring)][1]


def _get_sort_key(pair: Ranked) -> tuple[int, str]:
    return pair[0]
