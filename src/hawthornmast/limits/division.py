"""Static division of upstream slots among the owners of a service."""

from collections.abc import Iterable
import hashlib

from hawthornmast.catalogue import Service
from hawthornmast.common import State
from hawthornmast.common import Upstream

SlotsByMember = dict[str, dict[str, int]]
"""Number of slots by member and upstream: static shares, plans or grants."""


def _hash(service: Service, name: str) -> int:
    text = f"{service.name}\0{name}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def order_group(service: Service, group: Iterable[str]) -> list[str]:
    """Return the members in hash order; the first reachable one allocates."""
    return sorted(
        set(group), key=lambda member: (_hash(service, member), member)
    )


def divide_statically(
    service: Service, upstreams: Iterable[Upstream], group: Iterable[str]
) -> SlotsByMember:
    """Divide the slots so that each one belongs to exactly one member.

    Parameters
    ----------
    service
        Service whose slots are divided.
    upstreams
        Published upstreams; leaving ones are skipped.
    group
        Identifiers of the owners, in any order.

    Returns
    -------
    dict
        Slots by member and upstream, without zero entries.
    """
    members = order_group(service, group)
    shares: SlotsByMember = {member: {} for member in members}
    if not members:
        return shares
    for upstream in upstreams:
        if upstream.state is State.LEAVING:
            continue
        offset = _hash(service, upstream.upstream_id)
        for slot in range(upstream.slots):
            own = shares[members[(offset + slot) % len(members)]]
            own[upstream.upstream_id] = own.get(upstream.upstream_id, 0) + 1
    return shares
