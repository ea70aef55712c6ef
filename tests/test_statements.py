"""Tests of what upstreams state of themselves in their responses."""

import attrs
import pytest
import trio

from standins.deployment import BackendStandIn
from tests.deployment import Deployment
from tests.test_platform_path import run_deployment

KNOWN_AFTER_S = 0.3
"""Time after which all members know that an upstream leaves."""


async def send_many(
    deployment: Deployment, count: int, *, members: int = 1
) -> list[int]:
    """Send requests to members in turns; return the statuses."""
    return [
        (
            await deployment.send(
                "GET", "/read/1", member=number % members, timeout_ms=1500
            )
        ).status
        for number in range(count)
    ]


def set_headers(backend: BackendStandIn, *headers: tuple[str, str]) -> None:
    """Add headers to each response of a back end."""
    backend.faults = attrs.evolve(
        backend.faults, extra_headers=[list(pair) for pair in headers]
    )


async def use(deployment: Deployment, backend: BackendStandIn) -> None:
    """Send requests until a back end has responded."""
    before = len(backend.requests)
    with trio.fail_after(5):
        while len(backend.requests) == before:
            members = len(deployment.members)
            await send_many(deployment, members, members=members)


class TestLeaving:
    """An upstream that states that it leaves gets no new requests.

    Guards against new requests to an upstream that the list, which lags,
    still calls ready.
    """

    async def test_no_member_uses_it_although_the_list_says_ready(
        self,
    ) -> None:
        async with run_deployment(members=4, boxes=2) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Server-Leaving", "1"))
            await use(deployment, backend)
            await trio.sleep(KNOWN_AFTER_S)
            before = len(backend.requests)
            assert await send_many(deployment, 24, members=4) == [200] * 24
            assert len(backend.requests) == before

    async def test_it_stays_out_while_its_entry_comes_and_goes(self) -> None:
        # An entry expires while the store is away, and is back afterwards.
        async with run_deployment(boxes=2) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Server-Leaving", "1"))
            await use(deployment, backend)
            set_headers(backend)
            deployment.store.delete("servers/boxes-0")
            await trio.sleep(0.8)
            deployment.list_backend("boxes-0", "boxes")
            await trio.sleep(0.8)
            before = len(backend.requests)
            assert await send_many(deployment, 8) == [200] * 8
            assert len(backend.requests) == before

    async def test_it_is_used_again_after_a_restart_under_its_name(
        self,
    ) -> None:
        async with run_deployment(boxes=1) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Server-Leaving", "1"))
            assert await send_many(deployment, 2) == [200, 503]
            set_headers(backend)
            deployment.list_backend("boxes-0", "boxes", born=1_787_203_999_999)
            await trio.sleep(0.8)
            assert await send_many(deployment, 4) == [200] * 4

    async def test_member_that_starts_anew_learns_it(self) -> None:
        # Guards against a restarted member that uses an upstream again which
        # left before, as the list still calls it ready.
        async with run_deployment(members=3, boxes=2) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Server-Leaving", "1"))
            await use(deployment, backend)
            set_headers(backend)
            await deployment.add_member(3)
            await deployment.wait_ready()
            await trio.sleep(KNOWN_AFTER_S)
            before = len(backend.requests)
            for _ in range(8):
                response = await deployment.send("GET", "/read/1", member=3)
                assert response.status == 200
            assert len(backend.requests) == before
            (pool,) = (
                state.pool
                for state in deployment.members[3].services
                if state.name == "boxes"
            )
            assert pool.members["boxes-0"].stated.left_at is not None

    async def test_last_upstream_is_not_used_either(self) -> None:
        async with run_deployment(boxes=1) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Server-Leaving", "1"))
            assert await send_many(deployment, 3) == [200, 503, 503]
            assert len(backend.requests) == 1

    @pytest.mark.parametrize(
        "faults",
        [
            {"stale_refusal": True, "stale_key": "another"},
            {"stale_refusal": True, "stale_status": 421, "stale_key": "x"},
        ],
    )
    async def test_response_of_another_request_states_nothing(
        self, faults: dict[str, object]
    ) -> None:
        async with run_deployment(boxes=1) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Server-Leaving", "1"))
            backend.faults = attrs.evolve(backend.faults, **faults)
            await send_many(deployment, 1)
            backend.faults = attrs.evolve(
                backend.faults, stale_refusal=False, extra_headers=[]
            )
            assert await send_many(deployment, 2) == [200, 200]

    async def test_another_instance_at_its_address_states_nothing(
        self,
    ) -> None:
        async with run_deployment(boxes=2) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Server-Leaving", "1"))
            backend.instance = "stranger"
            await use(deployment, backend)
            backend.instance = "boxes-0"
            set_headers(backend)
            pool = deployment.members[0].services.find("boxes").pool
            assert pool.members["boxes-0"].stated.left_at is None


class TestHoldOff:
    """An upstream that asks for a pause gets no requests until its end.

    Guards against second tries and trials that reach an upstream which
    turned the member away for a time.
    """

    async def test_no_request_until_the_end_of_the_time(self) -> None:
        async with run_deployment(boxes=2) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Retry-After", "1.2"))
            backend.faults = attrs.evolve(backend.faults, shed_all=True)
            await use(deployment, backend)
            held_at = trio.current_time()
            set_headers(backend)
            backend.faults = attrs.evolve(backend.faults, shed_all=False)
            before = len(backend.requests)
            while trio.current_time() < held_at + 1.0:
                assert await send_many(deployment, 1) == [200]
            assert len(backend.requests) == before
            await trio.sleep(0.4)
            await use(deployment, backend)

    async def test_requests_without_room_are_refused_at_once(self) -> None:
        async with run_deployment(boxes=1) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Retry-After", "5"))
            backend.faults = attrs.evolve(backend.faults, shed_all=True)
            await send_many(deployment, 1)
            started_at = trio.current_time()
            response = await deployment.send("GET", "/read/1")
            assert response.status == 503
            assert trio.current_time() - started_at < 0.5
            # A quarter of the client's time at most.
            assert float(response.header("Retry-After") or "0") > 0.5
            assert len(backend.requests) == 1

    async def test_request_waits_for_the_end_of_a_short_time(self) -> None:
        async with run_deployment(boxes=1) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Retry-After", "0.4"))
            backend.faults = attrs.evolve(backend.faults, shed_all=True)
            await send_many(deployment, 1)
            backend.faults = attrs.evolve(backend.faults, shed_all=False)
            assert await send_many(deployment, 1) == [200]

    async def test_response_other_than_503_states_no_pause(self) -> None:
        async with run_deployment(boxes=1) as deployment:
            backend = deployment.backends["boxes-0"]
            set_headers(backend, ("Retry-After", "5"))
            assert await send_many(deployment, 3) == [200] * 3
