"""Tests of members whose store returns to an older copy."""

import itertools
from typing import Any

import trio

from hawthornmast import http
from hawthornmast.common import State
from standins.deployment import FRONT_PORT
from standins.deployment import make_configuration
from tests.deployment import Deployment
from tests.test_platform_path import run_deployment
from tests.test_platform_path import set_faults

KEY = "key-of-the-team"
SERVICE_S = 1.2

_ATTEMPTS = itertools.count()

BOUND_S = 2.5
"""Time within which a change in the store is in force on all members."""


def make_team_configuration(version: int, *keys: str) -> dict[str, Any]:
    """Return a configuration with one team, which has some keys."""
    team = {"Name": "team", "ApiKeys": list(keys)}
    return {**make_configuration(version), "Tenants": [team]}


async def send_with_key(deployment: Deployment, member: int = 0) -> int:
    """Send a request with the team's key; return the status."""
    result = await http.fetch(
        deployment.members[member].options.instance.host,
        FRONT_PORT,
        "GET",
        "/read/1",
        headers=(
            ("Host", "boxes.example"),
            ("Hawthornmast-Attempt-Id", f"attempt-{next(_ATTEMPTS)}"),
            ("Hawthornmast-Request-Deadline", "6000"),
            ("Authorization", f"Bearer {KEY}"),
        ),
        timeout=7.0,
    )
    return result.unwrap().status


async def test_members_follow_the_store_to_an_older_copy() -> None:
    # Guards against an adapter or messages that lose the era on their way.
    async with run_deployment(members=3) as deployment:
        store = deployment.store
        store.era = 1
        # In the first lists of an era, missing entries are kept for a while.
        await trio.sleep(BOUND_S)
        copy = store.take_copy()
        store.put("op/config", make_team_configuration(9, KEY))
        store.delete("servers/boxes-0")
        await trio.sleep(BOUND_S)
        assert [await send_with_key(deployment, n) for n in range(3)] == [
            200
        ] * 3
        store.restore(copy)
        await trio.sleep(1.0)
        store.put("op/config", make_team_configuration(8))
        deployment.list_backend("boxes-1", "boxes", Slots=7)
        await trio.sleep(BOUND_S)
        assert [await send_with_key(deployment, n) for n in range(3)] == [
            401
        ] * 3
        for member in deployment.members:
            entries = member.listing.entries
            assert member.listing.position.era == 2
            assert entries["boxes-0"].upstream.state is State.LEAVING
            assert entries["boxes-1"].upstream.slots == 7


async def test_key_withdrawn_by_the_same_version_while_requests_wait() -> None:
    # Guards against a waiting request that isn't checked again because the
    # version of the configuration is the one that it was checked by.
    async with run_deployment(boxes=1) as deployment:
        store = deployment.store
        store.era = 1
        deployment.list_backend("boxes-0", "boxes", Slots=1)
        copy = store.take_copy()
        store.put("op/config", make_team_configuration(9, KEY))
        await trio.sleep(BOUND_S)
        set_faults(deployment, service_s=SERVICE_S)
        statuses: list[int] = []

        async def send() -> None:
            statuses.append(await send_with_key(deployment))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.2)
            nursery.start_soon(send)
            store.restore(copy)
            store.put("op/config", make_team_configuration(9))
        assert statuses == [200, 401]
        assert len(deployment.backends["boxes-0"].executions) == 1
