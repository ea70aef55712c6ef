"""Placement of services, readers and neighbours by rendezvous hashing.

For each name, such as that of a service, the daemons with the highest hashes
of the name and their identifiers are selected. Readers are the daemons of a
zone that watch the platform on behalf of the others.

Each function depends only on the published list, never on its order, so that
daemons with the same list compute the same placement.
"""

from collections.abc import Iterable
import functools
import hashlib
import heapq

from hawthornmast.common import Instance
from hawthornmast.common import State

READERS_PER_ZONE = 2
"""Two, so that the loss of one reader doesn't delay changes for its zone.

Readers are selected by hash from the published list of daemons. Fleets that
use gossip have no such readers: ``Gossip.rank`` orders the daemons instead.
"""

_CHORD_BASE = 4
"""Ratio of the distances of neighbours on the ring, as in Chord overlays."""

RING_HASH_NAME = "hawthornmast/ring"
READERS_HASH_NAME = "hawthornmast/readers"
ZONE_RANK_HASH_NAME = "zone"


@functools.lru_cache(maxsize=8192)
def score(name: str, instance_id: str) -> int:
    """Return the hash of a name and an instance (rendezvous hashing's score).

    The instances with the highest hashes for a name are selected.
    """
    # Neither part can contain a zero byte, so that distinct pairs give
    # distinct texts.
    text = f"{name}\0{instance_id}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def hash_sort_key(name: str, daemon: Instance) -> tuple[int, str]:
    """Return the sort key by which daemons are selected for a name.

    The identifier decides between equal hashes.
    """
    return score(name, daemon.instance_id), daemon.instance_id


def group_by_zone(daemons: Iterable[Instance]) -> dict[str, list[Instance]]:
    """Return the daemons of each zone in the order given."""
    zones: dict[str, list[Instance]] = {}
    for daemon in daemons:
        zones.setdefault(daemon.zone, []).append(daemon)
    return zones


def zone_rank_key(daemon: Instance) -> tuple[float, int, str]:
    """Return the sort key of a daemon in the ranking of its zone.

    The daemons with the highest capacity come first, because the first one
    of a zone receives most of its requests and distributes what it reads
    from the platform.
    """
    return (
        -daemon.capacity,
        score(ZONE_RANK_HASH_NAME, daemon.instance_id),
        daemon.instance_id,
    )


def owners_of(
    service_name: str, daemons: Iterable[Instance], *, per_zone: int = 1
) -> tuple[Instance, ...]:
    """Return the live daemons that serve a service, in hash order.

    Parameters
    ----------
    service_name
        Name of the service.
    daemons
        The published list.
    per_zone
        Daemons selected in each zone.
    """
    if per_zone < 1:
        raise ValueError(f"per_zone is {per_zone}, allowed: 1 or more")
    zones: dict[str, list[tuple[tuple[int, str], Instance]]] = {}
    for daemon in daemons:
        if daemon.state is State.LIVE:
            ranked = (hash_sort_key(service_name, daemon), daemon)
            zones.setdefault(daemon.zone, []).append(ranked)
    selected: list[tuple[tuple[int, str], Instance]] = []
    for members in zones.values():
        selected += heapq.nlargest(per_zone, members, key=lambda pair: pair[0])
    selected.sort(key=lambda pair: pair[0], reverse=True)
    return tuple(daemon for _, daemon in selected)


def readers_of(daemons: Iterable[Instance]) -> tuple[Instance, ...]:
    """Return the daemons that watch the platform."""
    return owners_of(READERS_HASH_NAME, daemons, per_zone=READERS_PER_ZONE)


def ring_offsets(size: int) -> list[int]:
    """Return the offsets of the neighbours on a ring without the instance.

    Parameters
    ----------
    size
        Number of the other daemons on the ring.
    """
    if not size:
        return []
    # The instance itself isn't in the list, so the daemon at distance d
    # after it has the index position + d - 1.
    offsets = [-1]
    distance = 1
    while distance <= size:
        offsets.append(distance - 1)
        distance *= _CHORD_BASE
    return offsets


def neighbours_of(
    instance: Instance, daemons: Iterable[Instance]
) -> tuple[Instance, ...]:
    """Return the daemons that a daemon exchanges configuration with.

    These are the daemons at distances 1, 4, 16, ... after it and at
    distance 1 before it on the ring of its zone, and one daemon in each
    other zone. A leaving daemon keeps its neighbours but isn't selected as
    a neighbour of others.
    """
    zones: dict[str, list[tuple[tuple[int, str], Instance]]] = {}
    for daemon in daemons:
        if daemon.instance_id == instance.instance_id:
            continue
        if daemon.state is State.LIVE:
            ranked = (hash_sort_key(RING_HASH_NAME, daemon), daemon)
            zones.setdefault(daemon.zone, []).append(ranked)
    found: dict[str, Instance] = {}
    own = hash_sort_key(RING_HASH_NAME, instance)
    ring = sorted(zones.pop(instance.zone, []), key=lambda pair: pair[0])
    if ring:
        position = sum(pair[0] < own for pair in ring)
        for offset in ring_offsets(len(ring)):
            daemon = ring[(position + offset) % len(ring)][1]
            found[daemon.instance_id] = daemon
    for _, members in sorted(zones.items()):
        # Taking the successor of this daemon's hash spreads the connections
        # from other zones evenly over the daemons of a zone.
        after = [pair for pair in members if pair[0] > own] or members
        daemon = min(after, key=lambda pair: pair[0])[1]
        found[daemon.instance_id] = daemon
    return tuple(found.values())
