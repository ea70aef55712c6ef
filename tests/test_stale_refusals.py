"""Tests of refusals that belong to another request."""

import pytest

from tests.test_platform_path import get_platform_header
from tests.test_platform_path import run_deployment
from tests.test_platform_path import set_faults


@pytest.mark.parametrize("status", [503, 429, 421])
class TestStaleRefusal:
    """A refusal that names another request says nothing about this one."""

    async def test_non_idempotent_request_runs_once_and_ends_as_unknown(
        self, status: int
    ) -> None:
        async with run_deployment(boxes=1, billing=3) as deployment:
            # The connection is kept, as after an earlier request.
            for _ in range(4):
                await deployment.send("POST", "/charge/1", host="pay.example")
            set_faults(deployment, stale_refusal=True, stale_status=status)
            response = await deployment.send(
                "POST", "/charge/1", host="pay.example"
            )
            assert response.status == 502
            assert get_platform_header(response, "Not-Executed") is None
            assert deployment.count_runs() == 1

    async def test_refusal_on_a_kept_connection_that_names_no_request(
        self, status: int
    ) -> None:
        async with run_deployment(boxes=1, billing=1) as deployment:
            # Nine of ten requests go to the upstream of billing.
            for _ in range(4):
                await deployment.send("POST", "/charge/1", host="pay.example")
            set_faults(
                deployment,
                stale_refusal=True,
                stale_status=status,
                stale_key="",
            )
            response = await deployment.send(
                "POST", "/charge/1", host="pay.example"
            )
            assert response.status == 502
            assert deployment.count_runs() == 1

    async def test_idempotent_request_is_served_by_another_upstream(
        self, status: int
    ) -> None:
        async with run_deployment(boxes=2) as deployment:
            faulty = deployment.backends["boxes-0"]
            faulty.faults.stale_refusal = True
            faulty.faults.stale_status = status
            for _ in range(4):
                response = await deployment.send("GET", "/read/1")
                assert response.status == 200

    async def test_upstream_does_not_count_as_moved(self, status: int) -> None:
        async with run_deployment(boxes=1) as deployment:
            set_faults(deployment, stale_refusal=True, stale_status=status)
            await deployment.send("GET", "/read/1")
            set_faults(deployment, stale_refusal=False)
            response = await deployment.send("GET", "/read/1")
            assert response.status == 200


@pytest.mark.parametrize("status", [408, 429, 503])
class TestRefusalOfWorkThatRan:
    """A status that promises "not run" is passed on only if that is stated.

    Guards against a client that is told that its request did not run, because
    the upstream ran it and answered with such a status.
    """

    async def test_non_idempotent_request_ends_as_unknown(
        self, status: int
    ) -> None:
        async with run_deployment(boxes=1, billing=3) as deployment:
            set_faults(deployment, status=status)
            response = await deployment.send(
                "POST", "/charge/1", host="pay.example"
            )
            assert deployment.count_runs() == 1
            assert response.status == 502

    async def test_idempotent_request_is_served_by_another_upstream(
        self, status: int
    ) -> None:
        async with run_deployment(boxes=2) as deployment:
            faulty = deployment.backends["boxes-0"]
            faulty.faults.status = status
            for _ in range(4):
                response = await deployment.send("GET", "/read/1")
                assert response.status == 200
