"""Tests of second copies of responses that arrive late.

An upstream sends a second copy of a response when its connection is in use
again. Guards against a client that gets the response to another request.
"""

import attrs
import pytest

from hawthornmast import http
from tests.deployment import BOUNDS
from tests.deployment import Deployment
from tests.test_platform_path import run_deployment

COPIES = ["whole", "half", "unnamed"]


def set_late_copy(deployment: Deployment, copy: str) -> None:
    """Let all back ends send late copies."""
    for backend in deployment.backends.values():
        backend.faults = attrs.evolve(backend.faults, late_copy=copy)


def is_own(response: http.Response, attempt: str) -> bool:
    """Return whether a response carries the body of an attempt."""
    return response.body.startswith(f"key={attempt} ".encode())


class TestLateCopy:
    """The response to another request never reaches a client as its own."""

    @pytest.mark.parametrize("copy", ["", *COPIES])
    async def test_non_idempotent_request(self, copy: str) -> None:
        async with run_deployment(boxes=1, billing=1) as deployment:
            set_late_copy(deployment, copy)
            statuses = []
            for number in range(1, 9):
                response = await deployment.send(
                    "POST", "/charge/1", host="pay.example"
                )
                statuses.append(response.status)
                assert response.status != 200 or is_own(
                    response, f"attempt-{number}"
                )
                assert deployment.count_runs(f"attempt-{number}") == 1
            # Without a copy all are served, with one none after the first on
            # a connection; none is reported as not run.
            assert set(statuses) == ({200, 502} if copy else {200})

    @pytest.mark.parametrize("copy", COPIES)
    async def test_idempotent_request_is_served_by_another_try(
        self, copy: str
    ) -> None:
        bounds = attrs.evolve(BOUNDS, retry_ratio=1.0, retry_slack=1000.0)
        async with run_deployment(boxes=2, bounds=bounds) as deployment:
            set_late_copy(deployment, copy)
            for number in range(1, 9):
                response = await deployment.send("GET", "/read/1")
                assert response.status == 200
                assert is_own(response, f"attempt-{number}")
