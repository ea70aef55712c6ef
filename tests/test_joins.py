"""Members that join and leave while clients go on sending.

Guards against stalls, and against non-idempotent work that runs twice, while
the advertised members change.
"""

import itertools

import attrs
import pytest
import trio

from hawthornmast import http
from tests.deployment import BOUNDS
from tests.deployment import Deployment
from tests.test_platform_path import run_deployment
from tests.test_platform_path import set_faults

CLIENTS = 12

MAX_LATENCY_S = 1.0
"""Latency that no request exceeds; its work takes 0.05 s."""


@attrs.define(kw_only=True, eq=False)
class Traffic:
    """Clients that resolve addresses and keep connections."""

    deployment: Deployment
    statuses: dict[str, int | None] = attrs.Factory(dict)
    latencies_s: list[float] = attrs.Factory(list)
    done: bool = False

    def resolve(self, number: int) -> list[str]:
        """Return the advertised hosts that a live member names."""
        members = [item for item in self.deployment.members if item.ready]
        member = members[number % len(members)]
        zone = f"zone-{'abc'[number % 3]}"
        return [item.host for item in member.advertised_members(zone)]

    async def run_client(self, number: int) -> None:
        """Send until the end; resolve again for each new connection."""
        for turn in itertools.count():
            if self.done:
                return
            hosts = self.resolve(number)
            client = http.Client(hosts[turn % len(hosts)], 8381)
            for step in range(10):
                key = f"{number}-{turn}-{step}"
                started_at = trio.current_time()
                result = await client.request(
                    "POST",
                    "/charge/1",
                    headers=(
                        ("Host", "pay.example"),
                        ("Hawthornmast-Attempt-Id", key),
                        ("Hawthornmast-Request-Deadline", "2000"),
                    ),
                )
                if result.is_err() and result.unwrap_err().step == "connect":
                    break
                self.statuses[key] = (
                    result.unwrap().status if result.is_ok() else None
                )
                self.latencies_s.append(trio.current_time() - started_at)
                if self.statuses[key] in (None, 503):
                    break
                await trio.sleep(0.02)
            await client.close()


class TestJoins:
    """Requests are served once and without stalls while members change."""

    @pytest.mark.parametrize("overlapping", [False, True])
    async def test_joins_and_planned_stops(self, overlapping: bool) -> None:
        pause_s = 0.1 if overlapping else 0.6
        # A stop leaves time for the requests of clients that use addresses
        # which they resolved before.
        bounds = attrs.evolve(BOUNDS, grace_s=4.0)
        async with run_deployment(
            members=4, boxes=3, billing=6, bounds=bounds
        ) as deployment:
            set_faults(deployment, service_s=0.05)
            traffic = Traffic(deployment=deployment)
            async with trio.open_nursery() as nursery:
                for number in range(CLIENTS):
                    nursery.start_soon(traffic.run_client, number)
                await trio.sleep(0.5)
                for number in range(3):
                    await deployment.add_member(4 + number)
                    await trio.sleep(pause_s)
                    nursery.start_soon(deployment.members[number].drain)
                    await trio.sleep(pause_s)
                await trio.sleep(1.0)
                traffic.done = True
            runs = {
                key: deployment.count_runs(key) for key in traffic.statuses
            }
            assert len(runs) > 100
            assert max(runs.values()) == 1
            assert [
                key
                for key, status in traffic.statuses.items()
                if status in (429, 503) and runs[key]
            ] == []
            served = sum(s == 200 for s in traffic.statuses.values())
            assert served >= 0.99 * len(runs)
            assert max(traffic.latencies_s) < MAX_LATENCY_S
