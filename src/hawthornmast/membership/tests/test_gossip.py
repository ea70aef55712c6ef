"""Tests of gossip membership on a simulated network."""

from collections.abc import Iterator
import itertools
import random

import msgpack
import pytest

from hawthornmast.common import Instance
from hawthornmast.membership.gossip import Gossip
from hawthornmast.membership.gossip import HEARTBEAT_S
from hawthornmast.membership.gossip import LIVE_CACHE_S
from hawthornmast.membership.gossip import LOSS_PERIODS
from hawthornmast.membership.gossip import REPORTED_PER_ZONE
from hawthornmast.membership.heartbeats import encode_row
from hawthornmast.membership.placement import zone_rank_key

MIN_LINK_BYTES_PER_S = 5e6 / 8
"""The slowest links of the fleet have 5 Mbit/s."""

DATAGRAM_OVERHEAD_BYTES = 28
"""IP and UDP headers."""


class Network:
    """Daemons that exchange heartbeats without loss, unless partitioned."""

    def __init__(self, *, zones: int, per_zone: int, seeds: int = 2) -> None:
        self.now = 100.0
        # Daemons that neither send nor receive.
        self.isolated: set[str] = set()
        # Daemons that reach only each other.
        self.partition: set[str] = set()
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
        """Start or restart a daemon."""
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
        """Advance the clock, delivering the heartbeats that become due."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for host, gossip in list(self.daemons.items()):
                for heartbeat in gossip.due_heartbeats():
                    self.deliver(host, heartbeat.host, heartbeat.rows)

    def deliver(self, sender: str, host: str, rows: list[object]) -> None:
        """Deliver a heartbeat and the replies to it."""
        size = DATAGRAM_OVERHEAD_BYTES + len(msgpack.packb(rows))
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        target = self.daemons.get(host)
        if target is None or sender in self.isolated or host in self.isolated:
            return
        if (sender in self.partition) != (host in self.partition):
            return
        for reply in target.receive(rows, sender):
            self.deliver(host, reply.host, reply.rows)

    def views(self) -> Iterator[set[str]]:
        """Yield the live hosts in the view of each reachable daemon."""
        for host, gossip in self.daemons.items():
            if host not in self.isolated:
                yield {item.host for item in gossip.live()}

    def expected(self, gossip: Gossip) -> set[str]:
        """Return the hosts that a daemon must know.

        These are its zone and the highest-ranked daemons of other zones.
        """
        zones: dict[str, list[Instance]] = {}
        for other in self.daemons.values():
            zones.setdefault(other.instance.zone, []).append(other.instance)
        found: set[str] = set()
        for zone, items in zones.items():
            items.sort(key=zone_rank_key)
            if zone != gossip.instance.zone:
                del items[REPORTED_PER_ZONE:]
            found.update(item.host for item in items)
        return found


class TestGossip:
    """Discovery, failure detection and rejoining."""

    @pytest.mark.parametrize("per_zone", [1, 3, 5, 40])
    def test_each_knows_its_zone_and_the_highest_ranked_of_others(
        self, per_zone: int
    ) -> None:
        network = Network(zones=3, per_zone=per_zone)
        network.run(3.0)
        for gossip, view in zip(
            network.daemons.values(), network.views(), strict=True
        ):
            # Daemons contacted through seeds may be known as well.
            assert network.expected(gossip) <= view <= set(network.daemons)

    def test_heartbeats_of_a_large_fleet_fit_the_smallest_link(self) -> None:
        # Guards against heartbeats that carry the rows of all daemons: a
        # representative that sent these to 40 others used 7 Mbit/s, more
        # than the link of a small machine.
        network = Network(zones=3, per_zone=41)
        network.run(8.0)
        network.sent_bytes.clear()
        network.run(5.0)
        most = max(network.sent_bytes.values()) / 5.0
        assert most <= MIN_LINK_BYTES_PER_S / 10

    def test_daemon_with_the_highest_capacity_ranks_first(self) -> None:
        # Guards against a ranking that ignores capacity: a machine with a
        # fifth of the others' CPU time was advertised to clients and read
        # the platform for its zone, and its responses were late.
        network = Network(zones=2, per_zone=4)
        network.run(3.0)
        last = max(network.daemons.values(), key=lambda g: g.rank())
        host, zone = last.instance.host, last.instance.zone
        network.start(host, zone, capacity=2.0)
        network.run(3.0)
        assert network.daemons[host].rank() == 0
        for gossip in network.daemons.values():
            if gossip.instance.zone == zone:
                assert gossip.ranked_zone_members()[0].host == host
            else:
                assert host in {item.host for item in gossip.representatives()}

    def test_all_agree_on_the_ranking(self) -> None:
        network = Network(zones=3, per_zone=4)
        network.run(3.0)
        ranks = sorted(item.rank() for item in network.daemons.values())
        assert ranks[:3] == [0, 1, 2]
        assert (
            sum(item.is_representative() for item in network.daemons.values())
            == 3
        )

    @pytest.mark.parametrize("representative", [True, False])
    def test_lost_daemon_is_detected_by_all(
        self, representative: bool
    ) -> None:
        network = Network(zones=3, per_zone=4)
        network.run(3.0)
        lost = next(
            host
            for host, gossip in network.daemons.items()
            if gossip.is_representative() is representative
        )
        del network.daemons[lost]
        network.run(5.0)
        assert all(lost not in view for view in network.views())

    def test_zone_detects_a_lost_representative_within_two_seconds(
        self,
    ) -> None:
        # Until then its address is advertised to clients.
        network = Network(zones=2, per_zone=4)
        network.run(3.0)
        lost = next(
            h for h, g in network.daemons.items() if g.is_representative()
        )
        zone = network.daemons.pop(lost).instance.zone
        network.run(2.0)
        for gossip in network.daemons.values():
            if gossip.instance.zone == zone:
                assert lost not in {item.host for item in gossip.live()}

    def test_restarted_daemon_rejoins(self) -> None:
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

    def test_restarted_daemon_gets_its_zone_from_the_first_contact(
        self,
    ) -> None:
        # Guards against a daemon that counts as contacted because another
        # one reported it first, and that is therefore not sent the zone.
        network = Network(zones=2, per_zone=5)
        network.run(3.0)
        first, second, third, *_ = network.daemons.values()
        started = network.start(second.instance.host, second.instance.zone)
        (row, *_) = started.due_heartbeats()[0].rows
        # A row about the third daemon with the fields of encode_row(). Zone
        # (row[1]) and port, peer port, leaving and ready (row[3:7]) are the
        # same as in the row of the second.
        third_row = [third.instance.instance_id, *row[1:2]]
        third_row += [third.instance.host, *row[3:7], third.incarnation, 0.0]
        first.receive([[*third_row, 1.0], row], third.instance.host)
        (reply,) = first.receive([row], second.instance.host)
        names = {row[0] for row in reply.rows}
        assert {f"d-10.0.0.{n}" for n in (0, 2, 3, 4)} <= names

    def test_restart_after_the_wall_clock_stepped_back(self) -> None:
        # A process takes its incarnation from the wall clock. Guards against
        # a new process that is ignored forever because its incarnation is
        # lower than the previous one.
        network = Network(zones=2, per_zone=3)
        network.run(3.0)
        host, gossip = next(iter(network.daemons.items()))
        network.start(host, gossip.instance.zone, incarnation=0)
        network.run(3.0)
        everyone = set(network.daemons)
        assert all(view == everyone for view in network.views())

    def test_isolated_daemon_rejoins(self) -> None:
        network = Network(zones=3, per_zone=3)
        network.run(3.0)
        host = next(iter(network.daemons))
        network.isolated.add(host)
        network.run(8.0)
        network.isolated.clear()
        network.run(4.0)
        everyone = set(network.daemons)
        assert all(view == everyone for view in network.views())

    @pytest.mark.parametrize("zones", [1, 3])
    def test_halves_of_a_fleet_rejoin_after_a_partition(
        self, zones: int
    ) -> None:
        # Only representatives contact lost daemons, one a second. Guards
        # against halves of a zone whose members rejoin one at a time.
        network = Network(zones=zones, per_zone=16)
        network.run(4.0)
        network.partition = set(list(network.daemons)[::2])
        network.run(8.0)
        network.partition.clear()
        network.run(4.0)
        for gossip, view in zip(
            network.daemons.values(), network.views(), strict=True
        ):
            assert network.expected(gossip) <= view

    def test_restart_of_the_whole_fleet(self) -> None:
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
        for heartbeat in gossip.leave():
            network.deliver(host, heartbeat.host, heartbeat.rows)
        others = [g for h, g in network.daemons.items() if h != host]
        for other in others:
            assert host not in {item.host for item in other.live()}

    def test_leaving_first_of_a_zone_is_dropped_by_all_zones(self) -> None:
        # Guards against clients that are sent to a daemon that stops, by
        # daemons of other zones that it doesn't know.
        network = Network(zones=3, per_zone=10)
        network.run(3.0)
        host, gossip = min(
            network.daemons.items(), key=lambda x: zone_rank_key(x[1].instance)
        )
        for heartbeat in gossip.leave():
            network.deliver(host, heartbeat.host, heartbeat.rows)
        for other in network.daemons.values():
            assert host not in {item.host for item in other.live()}

    def test_leaving_daemon_is_dropped_if_its_notice_is_lost(self) -> None:
        network = Network(zones=3, per_zone=10)
        network.run(3.0)
        host, gossip = min(
            network.daemons.items(), key=lambda x: zone_rank_key(x[1].instance)
        )
        gossip.leave()
        network.run(1.0)
        for other in network.daemons.values():
            assert host not in {item.host for item in other.live()}

    def test_leaving_daemons_are_reported_to_a_zone_a_few_times(self) -> None:
        # Guards against a representative that is busy with reports while
        # many daemons stop.
        network = Network(zones=2, per_zone=4)
        network.run(3.0)
        host, gossip = min(
            network.daemons.items(), key=lambda x: zone_rank_key(x[1].instance)
        )
        (representative,) = gossip.representatives()
        other = network.daemons[representative.host]
        rows = gossip.leave()[0].rows
        counts = [len(other.receive(rows, host)) for _ in range(4)]
        assert counts == [3, 3, 0, 0]

    def test_report_by_another_does_not_undo_leaving(self) -> None:
        network = Network(zones=1, per_zone=3)
        network.run(3.0)
        host, gossip = next(iter(network.daemons.items()))
        for heartbeat in gossip.leave():
            network.deliver(host, heartbeat.host, heartbeat.rows)
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
            heartbeat.rows[0]
            for heartbeat in second.leave()
            if heartbeat.host == first.instance.host
        )
        first.receive([[*row[:7], 0, 0.0, 1.0]], second.instance.host)
        assert second.instance.host in {item.host for item in first.live()}

    def test_single_daemon_without_reachable_seeds(self) -> None:
        network = Network(zones=1, per_zone=1)
        network.run(3.0)
        (only,) = network.daemons.values()
        assert only.rank() == 0
        assert [item.host for item in only.live()] == [only.instance.host]

    @pytest.mark.parametrize("rows", [[[1]], [None], [["a"] * 10]])
    def test_malformed_rows_are_rejected(self, rows: list[object]) -> None:
        network = Network(zones=1, per_zone=1)
        (only,) = network.daemons.values()
        with pytest.raises((ValueError, TypeError, IndexError)):
            only.receive(rows, "10.9.9.9")


class TestUnchangedHeartbeats:
    """Heartbeats like the last one are not decoded, but still count."""

    @pytest.fixture
    def network(self) -> Network:
        network = Network(zones=1, per_zone=3)
        network.run(3.0)
        return network

    def test_change_is_noticed_at_the_next_heartbeat(
        self, network: Network
    ) -> None:
        # Guards against a member that stays ready in the view of its peers.
        first, second, _ = network.daemons.values()
        second.ready = False
        network.run(0.5)
        assert second.instance not in first.live()
        second.ready = True
        network.run(0.5)
        assert second.instance in first.live()

    def test_false_report_is_corrected_by_the_next_heartbeat(
        self, network: Network
    ) -> None:
        # Guards against a row that counts as unchanged although another
        # member's report has changed the record since.
        first, second, third = network.daemons.values()
        rows = [
            third._own_row(),
            encode_row(
                second.instance,
                ready=False,
                incarnation=second.incarnation,
                age_s=0.0,
            ),
        ]
        first.receive(rows, third.instance.host)
        assert second.instance not in first.live()
        network.run(0.5)
        assert second.instance in first.live()

    def test_heartbeat_that_waited_does_not_delay_a_loss(
        self, network: Network
    ) -> None:
        # Guards against a crash that is noticed later because an idle member
        # handles the last heartbeat later than it arrived.
        first, second, _ = network.daemons.values()
        network.isolated.add(second.instance.host)
        network.now += 0.05
        first.receive([second._own_row()], second.instance.host, 0.05)
        arrived_at = network.now - 0.05
        while second.instance in first.live():
            network.now += 0.01
        lost_after_s = network.now - arrived_at
        assert lost_after_s <= HEARTBEAT_S * LOSS_PERIODS + LIVE_CACHE_S + 0.02

    def test_late_ticks_do_not_lengthen_the_period(self) -> None:
        # Guards against heartbeats of 0.5 s if ticks of 0.1 s are late by
        # varying times, and against a period that drifts.
        network = Network(zones=1, per_zone=2)
        network.run(3.0)
        gossip = next(iter(network.daemons.values()))
        late = random.Random(1)
        started_at = network.now
        times = []
        for number in range(4000):
            network.now = started_at + 0.1 * number + late.uniform(0.0, 0.015)
            for other in list(network.daemons.values())[1:]:
                gossip.receive([other._own_row()], other.instance.host)
            if gossip.due_heartbeats():
                times.append(network.now)
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert max(gaps[1:]) < HEARTBEAT_S + 0.03
        assert len(times) == pytest.approx(1000, abs=2)
