"""Membership from seeds, on a simulated network."""

from collections.abc import Iterator
import random

import msgpack
import pytest

from hawthornmast.common import Instance
from hawthornmast.membership.gossip import Gossip
from hawthornmast.membership.gossip import TOLD_ROWS
from hawthornmast.membership.placement import duty_rank

SMALLEST_LINK_BYTES_S = 5e6 / 8
DATAGRAM_BYTES = 28
"""IP and UDP headers."""


class Network:
    """Daemons that exchange beats without loss, unless cut."""

    def __init__(self, *, zones: int, per_zone: int, seeds: int = 2) -> None:
        self.now = 100.0
        self.cut: set[str] = set()
        # Daemons that reach each other and none of the rest.
        self.apart: set[str] = set()
        self.daemons: dict[str, Gossip] = {}
        self.sent_bytes: dict[str, int] = {}
        self._incarnation = 0
        hosts = [
            (f"10.{zone}.0.{number}", f"zone-{zone}")
            for zone in range(zones)
            for number in range(per_zone)
        ]
        self.seeds = [host for host, _ in hosts[:seeds]]
        for host, zone in hosts:
            self.start(host, zone)

    def start(
        self,
        host: str,
        zone: str,
        *,
        incarnation: int | None = None,
        capacity: float = 1.0,
    ) -> Gossip:
        """Start a daemon, or start it again."""
        self._incarnation += 1
        gossip = Gossip(
            instance=Instance(
                instance_id=f"d-{host}",
                zone=zone,
                host=host,
                port=1,
                peer_port=2,
                capacity=capacity,
            ),
            incarnation=(
                self._incarnation if incarnation is None else incarnation
            ),
            seeds=self.seeds,
            clock=lambda: self.now,
            random_source=random.Random(self._incarnation),
        )
        gossip.ready = True
        self.daemons[host] = gossip
        return gossip

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for host, gossip in list(self.daemons.items()):
                for beat in gossip.next_beats():
                    self.deliver(host, beat.host, beat.rows)

    def deliver(self, sender: str, host: str, rows: list[object]) -> None:
        """Deliver a beat and the beats that answer it."""
        size = DATAGRAM_BYTES + len(msgpack.packb(rows))
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        target = self.daemons.get(host)
        if target is None or sender in self.cut or host in self.cut:
            return
        if (sender in self.apart) != (host in self.apart):
            return
        for answer in target.receive(rows, sender):
            self.deliver(host, answer.host, answer.rows)

    def views(self) -> Iterator[set[str]]:
        """Return who lives in the view of each daemon."""
        for host, gossip in self.daemons.items():
            if host not in self.cut:
                yield {item.host for item in gossip.live()}

    def expected(self, gossip: Gossip) -> set[str]:
        """Return whom a daemon has to know: its zone and others' first."""
        zones: dict[str, list[Instance]] = {}
        for other in self.daemons.values():
            zones.setdefault(other.instance.zone, []).append(other.instance)
        found: set[str] = set()
        for zone, items in zones.items():
            items.sort(key=duty_rank)
            if zone != gossip.instance.zone:
                del items[TOLD_ROWS:]
            found.update(item.host for item in items)
        return found


class TestGossip:
    """All daemons find each other, lose dead ones and find them again."""

    @pytest.mark.parametrize("per_zone", [1, 3, 5, 40])
    def test_each_finds_its_zone_and_the_first_of_others(
        self, per_zone: int
    ) -> None:
        network = Network(zones=3, per_zone=per_zone)
        network.run(3.0)
        for gossip, view in zip(
            network.daemons.values(), network.views(), strict=True
        ):
            # Those met through seeds may be known besides.
            assert network.expected(gossip) <= view <= set(network.daemons)

    def test_beats_of_a_large_fleet_fit_the_smallest_link(self) -> None:
        # A speaker that sent the rows of all daemons to 40 others used
        # 7 Mbit/s, more than the whole link of a small machine.
        network = Network(zones=3, per_zone=41)
        network.run(8.0)
        network.sent_bytes.clear()
        network.run(5.0)
        most = max(network.sent_bytes.values()) / 5.0
        assert most <= SMALLEST_LINK_BYTES_S / 10

    def test_the_largest_comes_first(self) -> None:
        # A machine with a fifth of the others' processor time was told to
        # clients, read the platform for its zone and answered late.
        network = Network(zones=2, per_zone=4)
        network.run(3.0)
        last = max(network.daemons.values(), key=lambda g: g.rank())
        host, zone = last.instance.host, last.instance.zone
        network.start(host, zone, capacity=2.0)
        network.run(3.0)
        assert network.daemons[host].rank() == 0
        for gossip in network.daemons.values():
            if gossip.instance.zone == zone:
                assert gossip.order_zone()[0].host == host
            else:
                assert host in {item.host for item in gossip.speakers()}

    def test_all_agree_on_the_order_of_duties(self) -> None:
        network = Network(zones=3, per_zone=4)
        network.run(3.0)
        ranks = sorted(item.rank() for item in network.daemons.values())
        assert ranks[:3] == [0, 1, 2]
        assert sum(item.is_speaker() for item in network.daemons.values()) == 3

    @pytest.mark.parametrize("speaker", [True, False])
    def test_lost_daemon_is_noticed_by_all(self, speaker: bool) -> None:
        network = Network(zones=3, per_zone=4)
        network.run(3.0)
        lost = next(
            host
            for host, gossip in network.daemons.items()
            if gossip.is_speaker() is speaker
        )
        del network.daemons[lost]
        network.run(5.0)
        assert all(lost not in view for view in network.views())

    def test_zone_notices_a_lost_speaker_within_two_seconds(self) -> None:
        # Clients are told the speaker's address until then.
        network = Network(zones=2, per_zone=4)
        network.run(3.0)
        lost = next(h for h, g in network.daemons.items() if g.is_speaker())
        zone = network.daemons.pop(lost).instance.zone
        network.run(2.0)
        for gossip in network.daemons.values():
            if gossip.instance.zone == zone:
                assert lost not in {item.host for item in gossip.live()}

    def test_restarted_daemon_is_known_again(self) -> None:
        network = Network(zones=2, per_zone=3)
        network.run(3.0)
        host = next(reversed(network.daemons))
        zone = network.daemons[host].instance.zone
        del network.daemons[host]
        network.run(6.0)
        network.start(host, zone)
        network.run(2.5)
        everyone = set(network.daemons)
        assert all(view == everyone for view in network.views())

    def test_restarted_daemon_learns_its_zone_from_the_first_it_meets(
        self,
    ) -> None:
        # Reports of others came first, so that it counted as known and was
        # told nothing.
        network = Network(zones=2, per_zone=5)
        network.run(3.0)
        first, second, third, *_ = network.daemons.values()
        started = network.start(second.instance.host, second.instance.zone)
        (row, *_) = started.next_beats()[0].rows
        of_third = [third.instance.instance_id, *row[1:2]]
        of_third += [third.instance.host, *row[3:7], third.incarnation, 0.0]
        first.receive([[*of_third, 1.0], row], third.instance.host)
        (answer,) = first.receive([row], second.instance.host)
        names = {told[0] for told in answer.rows}
        assert {f"d-10.0.0.{n}" for n in (0, 2, 3, 4)} <= names

    def test_restart_after_the_time_of_day_stepped_back(self) -> None:
        # The new process takes its incarnation from the time of day, and
        # was ignored for good when that was lower than before.
        network = Network(zones=2, per_zone=3)
        network.run(3.0)
        host, gossip = next(iter(network.daemons.items()))
        network.start(host, gossip.instance.zone, incarnation=0)
        network.run(3.0)
        everyone = set(network.daemons)
        assert all(view == everyone for view in network.views())

    def test_finds_the_others_again_after_a_cut(self) -> None:
        network = Network(zones=3, per_zone=3)
        network.run(3.0)
        host = next(iter(network.daemons))
        network.cut.add(host)
        network.run(8.0)
        network.cut.clear()
        network.run(4.0)
        everyone = set(network.daemons)
        assert all(view == everyone for view in network.views())

    @pytest.mark.parametrize("zones", [1, 3])
    def test_halves_of_a_fleet_find_each_other_after_a_cut(
        self, zones: int
    ) -> None:
        # Only speakers try lost daemons, one a second, so that the halves
        # of a zone met each other one by one.
        network = Network(zones=zones, per_zone=16)
        network.run(4.0)
        network.apart = set(list(network.daemons)[::2])
        network.run(8.0)
        network.apart.clear()
        network.run(4.0)
        for gossip, view in zip(
            network.daemons.values(), network.views(), strict=True
        ):
            assert network.expected(gossip) <= view

    def test_starts_again_as_a_whole(self) -> None:
        network = Network(zones=2, per_zone=3)
        network.run(3.0)
        for host, gossip in list(network.daemons.items()):
            network.start(host, gossip.instance.zone)
        network.run(3.0)
        everyone = set(network.daemons)
        assert all(view == everyone for view in network.views())

    def test_leaving_daemon_is_dropped_at_once(self) -> None:
        network = Network(zones=2, per_zone=3)
        network.run(3.0)
        host, gossip = next(iter(network.daemons.items()))
        for beat in gossip.leave():
            network.deliver(host, beat.host, beat.rows)
        others = [g for h, g in network.daemons.items() if h != host]
        for other in others:
            assert host not in {item.host for item in other.live()}

    def test_report_of_another_does_not_revive_a_leaving_daemon(self) -> None:
        network = Network(zones=1, per_zone=3)
        network.run(3.0)
        host, gossip = next(iter(network.daemons.items()))
        for beat in gossip.leave():
            network.deliver(host, beat.host, beat.rows)
        network.run(0.5)
        others = [g for h, g in network.daemons.items() if h != host]
        for other in others:
            assert host not in {item.host for item in other.live()}

    def test_an_earlier_incarnation_is_ignored(self) -> None:
        network = Network(zones=1, per_zone=2)
        network.run(2.0)
        first, second = network.daemons.values()
        network.run(0.5)
        (row,) = (
            beat.rows[0]
            for beat in second.leave()
            if beat.host == first.instance.host
        )
        first.receive([[*row[:7], 0, 0.0, 1.0]], second.instance.host)
        assert second.instance.host in {item.host for item in first.live()}

    def test_alone_without_seeds_that_answer(self) -> None:
        network = Network(zones=1, per_zone=1)
        network.run(3.0)
        (only,) = network.daemons.values()
        assert only.rank() == 0
        assert [item.host for item in only.live()] == [only.instance.host]

    @pytest.mark.parametrize("rows", [[[1]], [None], [["a"] * 10]])
    def test_refuses_malformed_rows(self, rows: list[object]) -> None:
        network = Network(zones=1, per_zone=1)
        (only,) = network.daemons.values()
        with pytest.raises((ValueError, TypeError, IndexError)):
            only.receive(rows, "10.9.9.9")
