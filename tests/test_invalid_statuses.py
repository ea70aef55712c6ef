"""Tests of upstreams whose responses have no valid final status."""

import attrs
import pytest
import trio

from tests.test_platform_path import run_deployment
from tests.test_platform_path import set_faults

STATUSES = [
    *("000", "001", "099", "100", "101", "199", "600", "999"),
    *("", "abc", "2x0", "20", "2000"),
]
"""Texts in place of a status: out of range, missing or malformed."""


@pytest.mark.parametrize("status", STATUSES)
class TestMember:
    """A member answers 502 or tries again; the status reaches no client."""

    @pytest.mark.parametrize("not_executed", [False, True])
    async def test_other_request_ends_as_unknown(
        self, status: str, not_executed: bool
    ) -> None:
        # Guards against a failed request that looks served, one that runs
        # twice, and a client that waits for its deadline. What the other
        # headers of such a response state is not believed either.
        async with run_deployment(billing=2) as deployment:
            set_faults(deployment, status_text=status)
            if not_executed:
                headers = [["Hawthornmast-Not-Executed", "1"]]
                set_faults(deployment, extra_headers=headers)
            with trio.fail_after(1.0):
                response = await deployment.send(
                    "POST", "/charge/1", host="pay.example"
                )
            assert response.status == 502
            assert deployment.count_runs() == 1

    async def test_idempotent_request_is_served_by_another_upstream(
        self, status: str
    ) -> None:
        # Guards against a failure that is passed on although the request may
        # be repeated, and against reuse of the connection, on which anything
        # may follow.
        async with run_deployment(boxes=2) as deployment:
            bad = deployment.backends["boxes-0"]
            bad.faults = attrs.evolve(bad.faults, status_text=status)
            for _ in range(4):
                response = await deployment.send("GET", "/read/1")
                assert response.status == 200
            assert bad.requests
            with trio.fail_after(1.0):
                while bad.open_connections:
                    await trio.sleep(0.02)

    async def test_all_upstreams_fail(self, status: str) -> None:
        # Guards against a retry whose invalid response is passed on because
        # no further attempt is left.
        async with run_deployment(boxes=2) as deployment:
            set_faults(deployment, status_text=status)
            with trio.fail_after(1.0):
                response = await deployment.send("GET", "/read/1")
            assert response.status == 502
            assert deployment.count_runs() == 2
