"""Tests of second attempts beside attempts that take unusually long."""

import trio

from tests.deployment import Deployment
from tests.test_platform_path import run_deployment
from tests.test_platform_path import set_faults

USUAL_WORK_S = 0.02
WARM_UP_REQUESTS = 24


async def warm_up(deployment: Deployment) -> None:
    """Let the member learn the usual latency of both routes."""
    for backend in deployment.backends.values():
        backend.faults.service_s = USUAL_WORK_S
    for _ in range(WARM_UP_REQUESTS):
        await deployment.send("GET", "/read/1")
        await deployment.send("POST", "/charge/1", host="pay.example")


def set_service_times(deployment: Deployment, seconds: float) -> None:
    """Let all back ends take a time for each request."""
    for backend in deployment.backends.values():
        backend.faults.service_s = seconds


class TestSlowAttempt:
    """A request isn't held by one upstream that hangs."""

    async def send_to_hanging_upstream(self, deployment: Deployment) -> None:
        """Send a request to an upstream that reads it and never responds.

        Check that it is answered long before its deadline.
        """
        set_faults(deployment, mute=True)

        async def end_fault() -> None:
            # A request that was read before stays without a response.
            await trio.sleep(USUAL_WORK_S)
            set_faults(deployment, mute=False)

        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_fault)
            response = await deployment.send("GET", "/read/1")
        assert response.status == 200
        assert trio.current_time() - started_at < 1.0

    async def test_idempotent_request_is_served_by_another_upstream(self):
        # Guards against requests that spend all of their time on an upstream
        # that hangs although its health is good.
        async with run_deployment(boxes=2, billing=1) as deployment:
            await warm_up(deployment)
            await self.send_to_hanging_upstream(deployment)

    async def test_non_idempotent_request_is_never_sent_twice(self):
        # Guards against charges that run twice because one was slow.
        async with run_deployment(boxes=2, billing=2) as deployment:
            await warm_up(deployment)
            set_service_times(deployment, 0.6)
            response = await deployment.send(
                "POST", "/charge/1", host="pay.example"
            )
            assert response.status == 200
            assert deployment.count_runs() == 1

    async def test_first_answer_counts_and_the_other_attempt_ends(self):
        # Guards against two answers, and against slots that stay taken by
        # the attempt that lost.
        async with run_deployment(boxes=2, billing=1) as deployment:
            await warm_up(deployment)
            set_service_times(deployment, 0.4)
            response = await deployment.send("GET", "/read/1")
            assert response.status == 200
            await trio.sleep(0.1)
            (member,) = deployment.members
            state = member.services.find("boxes")
            assert state is not None
            in_use = [item.in_use for item in state.pool.members.values()]
            assert sum(in_use) == 0

    async def test_client_that_leaves_ends_both_attempts(self):
        # Guards against work that goes on for nobody.
        async with run_deployment(boxes=2, billing=1) as deployment:
            await warm_up(deployment)
            set_service_times(deployment, 5.0)
            with trio.move_on_after(0.6):
                await deployment.send("GET", "/read/1")
            await trio.sleep(0.4)
            (member,) = deployment.members
            state = member.services.find("boxes")
            assert state is not None
            in_use = [item.in_use for item in state.pool.members.values()]
            assert sum(in_use) == 0

    async def test_no_second_attempt_while_requests_wait(self):
        # Guards against second attempts that take the slots of first ones.
        async with run_deployment(boxes=2, billing=1) as deployment:
            await warm_up(deployment)
            set_service_times(deployment, 0.8)
            (member,) = deployment.members
            state = member.services.find("boxes")
            assert state is not None
            spent_before = state.budget.remaining()
            async with trio.open_nursery() as nursery:
                for _ in range(12):
                    nursery.start_soon(deployment.send, "GET", "/read/1")
                await trio.sleep(0.6)
                assert state.dispatcher.count_waiting()
                assert state.budget.remaining() >= spent_before
                nursery.cancel_scope.cancel()

    async def test_failure_of_both_attempts_is_no_refusal(self):
        # Guards against "not run" for a request whose second attempt may
        # have run.
        async with run_deployment(boxes=2, billing=1) as deployment:
            await warm_up(deployment)
            for backend in deployment.backends.values():
                backend.faults.mute = True
            response = await deployment.send("GET", "/read/1", timeout_ms=1000)
            assert response.status == 504
