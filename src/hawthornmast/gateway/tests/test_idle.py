"""Tests of what members do that carry no traffic."""

import collections
import random
from typing import Any

import pytest
import trio
import trio.testing

from hawthornmast.gateway import member as member_module
from hawthornmast.gateway.tests.fleet import Fleet
from hawthornmast.membership import gossip as gossip_module
from hawthornmast.membership import listing as listing_module
from hawthornmast.membership.gossip import HEARTBEAT_S
from hawthornmast.membership.gossip import LIVE_CACHE_S
from hawthornmast.membership.gossip import LOSS_PERIODS

ZONE_SIZE = 24
SECONDS = 10
HEARTBEATS_PER_S = 2.5


class TestIdleFleet:
    async def test_steps_decode_and_send_a_bounded_number(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        # Guards against members that decode what each peer repeats: 58 rows
        # and as many summaries a second in this zone.
        counts: collections.Counter[str] = collections.Counter()

        def count(module: Any, name: str) -> None:
            function = getattr(module, name)

            def counting(*arguments: Any) -> Any:
                counts[name] += 1
                return function(*arguments)

            monkeypatch.setattr(module, name, counting)

        count(gossip_module, "decode_row")
        count(member_module, "decode_summary")
        count(listing_module, "decode_entry")
        fleet = Fleet(
            (ZONE_SIZE, 3),
            upstream_count=30,
            nursery=nursery,
            monkeypatch=monkeypatch,
        )
        await trio.sleep(5.0)
        counts.clear()
        send = fleet.deliver

        async def counting_send(*arguments: Any) -> None:
            counts["send"] += 1
            await send(*arguments)

        monkeypatch.setattr(fleet, "deliver", counting_send)
        await trio.sleep(SECONDS)
        member_seconds = SECONDS * len(fleet.members)
        # The rows of the representative: its own, two of the zone, and one of
        # each other zone up to three.
        assert counts["decode_row"] / member_seconds <= 6 * HEARTBEATS_PER_S
        assert counts["decode_summary"] / member_seconds <= 30
        assert counts["decode_entry"] == 0
        peers = ZONE_SIZE - 1
        assert counts["send"] / member_seconds <= HEARTBEATS_PER_S * peers

    async def test_crash_is_noticed_no_later(
        self,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        # Guards against a crash that is noticed later because the last
        # heartbeat of the member waited at idle members.
        fleet = Fleet(
            (ZONE_SIZE, 3),
            upstream_count=1,
            nursery=nursery,
            monkeypatch=monkeypatch,
        )
        await trio.sleep(5.0)
        rng = random.Random(1)
        zone = [host for host in fleet.members if host.startswith("10.0.")]
        for host in rng.sample(zone, 6):
            await trio.sleep(rng.uniform(1.0, 3.0))
            fleet.dark.add(host)
            crashed_at = trio.current_time()
            others = [
                fleet.members[item].gossip
                for item in zone
                if item not in fleet.dark
            ]
            while any(
                item.host == host
                for gossip in others
                for item in gossip.live()
            ):
                await trio.sleep(0.01)
            noticed_s = trio.current_time() - crashed_at
            assert (
                noticed_s <= HEARTBEAT_S * LOSS_PERIODS + LIVE_CACHE_S + 0.02
            )
