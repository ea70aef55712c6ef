"""Tests of placement from the published list."""

import random

import attrs
import pytest

from hawthornmast import common
from hawthornmast import membership


def make_daemons(count, zones=3):
    return [
        common.Instance(
            instance_id=f"d{number}",
            zone=f"z{number % zones}",
            host="127.0.0.1",
            port=1,
            peer_port=2,
        )
        for number in range(count)
    ]


class TestOwnersOf:
    @pytest.mark.parametrize(
        ("count", "per_zone", "expected"), [(44, 1, 3), (44, 2, 6), (2, 2, 2)]
    )
    def test_group_ignores_order(self, count, per_zone, expected):
        daemons = make_daemons(count)
        group = membership.owners_of("billing", daemons, per_zone=per_zone)
        random.Random(1).shuffle(daemons)
        again = membership.owners_of("billing", daemons, per_zone=per_zone)
        assert group == again
        assert len(group) == expected

    def test_lost_owner_moves_only_its_zone(self):
        daemons = make_daemons(44)
        group = membership.owners_of("billing", daemons)
        lost = group[0]
        changed = [
            attrs.evolve(d, state=common.State.LEAVING) if d == lost else d
            for d in daemons
        ]
        after = membership.owners_of("billing", changed)
        assert lost.instance_id not in {d.instance_id for d in after}
        assert set(group[1:]) < set(after)


class TestNeighboursOf:
    @pytest.mark.parametrize("count", [2, 8, 44, 450])
    def test_every_daemon_is_reached(self, count):
        # Guards against partitions of the zones or of a ring.
        daemons = make_daemons(count)
        links = {d: membership.neighbours_of(d, daemons) for d in daemons}
        reached, queue = {daemons[0]}, [daemons[0]]
        while queue:
            new = set(links[queue.pop()]) - reached
            reached |= new
            queue += new
        assert reached == set(daemons)
        assert max(len(found) for found in links.values()) <= 9

    def test_two_readers_in_each_zone(self):
        readers = membership.readers_of(make_daemons(44))
        zones = [reader.zone for reader in readers]
        assert sorted(zones) == ["z0", "z0", "z1", "z1", "z2", "z2"]
