"""Incremental placement agrees with placement computed from the list."""

import json
import random

import attrs
import pytest

from hawthornmast.common import Instance
from hawthornmast.common import State
from hawthornmast.membership import Directory
from hawthornmast.membership import neighbours_of
from hawthornmast.membership import owners_of
from hawthornmast.membership import readers_of

ZONES = ("a", "b", "c")
NAMES = tuple(f"service-{number}" for number in range(20))


def make_instance(number: int, *, port: int = 1) -> Instance:
    return Instance(
        instance_id=f"d{number}",
        zone=ZONES[number % 3],
        host="127.0.0.1",
        port=port,
        peer_port=2,
    )


def publish(directory: Directory, listed: list[Instance]) -> None:
    for revision, zone in enumerate(ZONES):
        members = [attrs.asdict(d) for d in listed if d.zone == zone]
        key = f"instances/daemons/{zone}"
        done = directory.apply(key, revision + 1, json.dumps(members))
        assert done.is_ok()


class TestZoneLists:
    """Guards against a placement that depends on the order of changes."""

    @pytest.mark.parametrize("seed", range(5))
    def test_agrees_with_full_computation(self, seed: int) -> None:
        generator = random.Random(seed)
        directory = Directory(instance=make_instance(0))
        known = {0: make_instance(0)}
        for _ in range(30):
            number = generator.randrange(1, 40)
            if number not in known:
                known[number] = make_instance(number)
            elif generator.random() < 0.5:
                del known[number]
            else:
                known[number] = attrs.evolve(
                    known[number],
                    port=generator.randrange(1, 9),
                    state=generator.choice(list(State)),
                )
            listed = list(known.values())
            publish(directory, listed)
            for name in NAMES:
                for per_zone in (1, 3):
                    expected = owners_of(name, listed, per_zone=per_zone)
                    found = directory.owners(name, per_zone=per_zone)
                    assert found == expected
            near = directory.neighbours()
            assert set(near) == set(neighbours_of(known[0], listed))
            readers = {d.instance_id for d in readers_of(listed)}
            assert directory.is_reader() == ("d0" in readers)
            assert set(directory.daemons) == set(listed)

    def test_zone_list_replaces_part_of_whole_list(self) -> None:
        directory = Directory(instance=make_instance(0))
        whole = [make_instance(number) for number in range(6)]
        text = json.dumps([attrs.asdict(item) for item in whole])
        directory.apply("instances/daemons", 1, text)
        key = "instances/daemons/a"
        directory.apply(key, 2, json.dumps([attrs.asdict(whole[0])]))
        ids = {daemon.instance_id for daemon in directory.daemons}
        assert ids == {"d0", "d1", "d2", "d4", "d5"}
        directory.apply(key, 3, None)
        assert set(directory.daemons) == set(whole)

    def test_refuses_daemon_of_other_zone(self) -> None:
        directory = Directory(instance=make_instance(0))
        text = json.dumps([attrs.asdict(make_instance(1))])
        done = directory.apply("instances/daemons/a", 1, text)
        assert "'a'" in done.unwrap_err().detail
        assert directory.daemons == ()

    def test_moved_daemon_stays_listed_in_its_new_zone(self) -> None:
        directory = Directory(instance=make_instance(0))
        whole = [make_instance(number) for number in range(6)]
        text = json.dumps([attrs.asdict(item) for item in whole])
        directory.apply("instances/daemons", 1, text)
        whole[0] = attrs.evolve(whole[0], zone="c")
        text = json.dumps([attrs.asdict(item) for item in whole])
        directory.apply("instances/daemons", 2, text)
        assert directory.daemon("d0") == whole[0]
        assert set(directory.daemons) == set(whole)


class TestChangedZones:
    """Guards against a restart that causes work in other zones."""

    def test_names_only_zones_whose_live_daemons_changed(self) -> None:
        directory = Directory(instance=make_instance(0))
        listed = [make_instance(number) for number in range(9)]
        publish(directory, listed)
        assert directory.pop_changed_zones() == set(ZONES)
        publish(directory, [d for d in listed if d.instance_id != "d1"])
        assert directory.pop_changed_zones() == {"b"}
        assert directory.pop_changed_zones() == set()


class TestOwnersInZones:
    """Guards against owners in zones where a service has no upstreams."""

    @pytest.mark.parametrize(
        ("zones", "found"),
        [
            ((), {"a", "b", "c"}),
            (("b",), {"b"}),
            (("a", "c"), {"a", "c"}),
            (("a", "elsewhere"), {"a"}),
            # A service keeps owners when none of its zones has a daemon.
            (("elsewhere",), {"a", "b", "c"}),
        ],
    )
    def test_chooses_in_listed_zones(
        self, zones: tuple[str, ...], found: set[str]
    ) -> None:
        directory = Directory(instance=make_instance(0))
        publish(directory, [make_instance(number) for number in range(9)])
        owners = directory.owners("billing", zones=zones)
        assert {daemon.zone for daemon in owners} == found
        assert len(owners) == len(found)
        everywhere = directory.owners("billing")
        assert [d for d in everywhere if d in owners] == list(owners)
