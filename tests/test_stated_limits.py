"""Tests of upstreams that state how many requests they take per second."""

import itertools

import pytest
import trio

from standins.deployment import BackendStandIn
from tests.deployment import Deployment
from tests.test_platform_path import run_deployment

LIMIT_PER_S = 3.0
WINDOW_S = 4.0
ALLOWED = round(1.5 * LIMIT_PER_S * WINDOW_S + 5)
"""Requests that the upstream may get in a window from all members together."""

REQUESTS_PER_S = 30
CONTACT_S = 3.0
"""Time from the first statement until the limit must be kept."""


async def send_steadily(
    deployment: Deployment, seconds: float, *, target: str, host: str
) -> None:
    """Send requests to all members in turns, without waiting for answers."""
    members = itertools.cycle(range(len(deployment.members)))

    async def send(member: int) -> None:
        with trio.move_on_after(2.0):
            await deployment.send(
                "POST", target, host=host, member=member, timeout_ms=1000
            )

    async with trio.open_nursery() as nursery:
        for _ in range(round(seconds * REQUESTS_PER_S)):
            nursery.start_soon(send, next(members))
            await trio.sleep(1 / REQUESTS_PER_S)


def count_busiest_window(backend: BackendStandIn, since: float) -> int:
    """Return the most executions that started within one window."""
    starts = [e.start for e in backend.executions if e.start >= since]
    return max(
        (
            sum(first <= start < first + WINDOW_S for start in starts)
            for first in starts
        ),
        default=0,
    )


class TestStatedLimit:
    """Members together keep the limit that an upstream states."""

    @pytest.mark.parametrize("others", [0, 1])
    async def test_limit_is_kept_by_all_members_together(
        self, others: int
    ) -> None:
        async with run_deployment(
            members=3, boxes=1 + others, billing=1
        ) as deployment:
            backend = deployment.backends["boxes-0"]
            backend.faults.extra_headers = [["Server-Limit", "3.0"]]
            since = trio.current_time() + CONTACT_S
            await send_steadily(
                deployment,
                CONTACT_S + WINDOW_S + 1.0,
                target="/read/1",
                host="boxes.example",
            )
            assert count_busiest_window(backend, since) <= ALLOWED
            # A limited upstream is used, not avoided.
            assert count_busiest_window(backend, since) >= LIMIT_PER_S

    async def test_request_that_it_leaves_no_room_for_is_refused_at_once(
        self,
    ) -> None:
        async with run_deployment(boxes=1) as deployment:
            backend = deployment.backends["boxes-0"]
            backend.faults.extra_headers = [["Server-Limit", "0.1"]]
            assert (await deployment.send("GET", "/read/1")).status == 200
            started_at = trio.current_time()
            response = await deployment.send("GET", "/read/1")
            assert response.status == 503
            assert float(response.header("Retry-After") or "0") > 0
            assert trio.current_time() - started_at < 1.0
            assert deployment.count_runs() == 0

    async def test_limit_ends_with_a_response_that_states_none(self) -> None:
        async with run_deployment(boxes=1) as deployment:
            backend = deployment.backends["boxes-0"]
            backend.faults.extra_headers = [["Server-Limit", "2.0"]]
            assert (await deployment.send("GET", "/read/1")).status == 200
            backend.faults.extra_headers = []
            for _ in range(10):
                assert (await deployment.send("GET", "/read/1")).status == 200
