"""Tests of second copies of responses that arrive late.

An upstream sends a second copy of a response when its connection is in use
again. Guards against a client that gets the response to another request.
"""

import attrs
import pytest
from result import Err
from result import Ok
import trio

from hawthornmast import http
from hawthornmast.common import StepError
from hawthornmast.common import Upstream
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.exchange import Exchange
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.exchange import UpstreamRequest
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.platform.headers import PlatformUpstreamDialect
from standins.deployment import BackendStandIn
from tests.deployment import BOUNDS
from tests.deployment import Deployment
from tests.test_platform_path import run_deployment

COPIES = ["whole", "half", "unnamed"]


def set_late_copy(deployment: Deployment, copy: str) -> None:
    """Let all back ends send late copies."""
    for backend in deployment.backends.values():
        backend.faults = attrs.evolve(backend.faults, late_copy=copy)


def break_copies_off(deployment: Deployment, size: int, status: int) -> None:
    """Let all back ends send the first bytes of late copies.

    Parameters
    ----------
    size
        Number of bytes of a copy.
    status
        Status of the responses.
    """
    for backend in deployment.backends.values():
        backend.faults = attrs.evolve(
            backend.faults,
            late_copy="broken-off",
            late_copy_bytes=size,
            status=status,
        )


async def send_attempt(
    client: UpstreamClient, backend: BackendStandIn, attempt: str
) -> tuple[int, bool]:
    """Send an attempt as a member does, without its choice of an upstream.

    Returns the status, 0 if there is no response, and whether a member would
    pass the response on.
    """
    dialect = PlatformUpstreamDialect()
    upstream = Upstream(
        upstream_id=backend.instance,
        zone="zone-a",
        host="127.0.0.1",
        port=backend.port,
        slots=4,
    )
    request = ClientRequest(
        request_id=attempt,
        method="POST",
        target="/charge/1",
        service="pay.example",
        headers=[(b"hawthornmast-attempt-id", attempt.encode())],
    )
    progress = Progress()
    result: Ok[Exchange] | Err[StepError] = await client.send(
        upstream,
        UpstreamRequest(
            method=b"POST",
            target=b"/charge/1",
            headers=dialect.build_headers(request, upstream, 1.0),
            has_body=True,
        ),
        progress,
        deadline=trio.current_time() + 1.0,
        new_connection=False,
        buffer_bytes=1000,
    )
    if isinstance(result, Err):
        return 0, False
    exchange = result.ok_value
    assessment = dialect.assess_response(exchange, request)
    if progress.reused:
        assessment = assessment.on_reused_connection()
    exchange.release(reusable=assessment.valid)
    return exchange.status, assessment.valid


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


class TestBrokenOffCopy:
    """A copy that breaks off doesn't change what the next response says."""

    @pytest.mark.parametrize(
        ("extra_headers", "size"),
        [
            pytest.param([], 13, id="in-the-reason"),
            pytest.param([], 44, id="in-the-attempt-id"),
            pytest.param([["X-First", "a value"]], 27, id="before-the-id"),
        ],
    )
    async def test_failure_is_never_a_success(
        self, extra_headers: list[list[str]], size: int
    ) -> None:
        # Guards against the head of a success that is parsed with that of
        # the failure behind it: the client would believe that its change
        # has been made.
        async with run_deployment(boxes=1, billing=1) as deployment:
            for backend in deployment.backends.values():
                backend.faults.extra_headers = extra_headers
            served = await deployment.send(
                "POST", "/charge/1", host="pay.example"
            )
            assert served.status == 200
            break_copies_off(deployment, size, 500)
            failed = await deployment.send(
                "POST", "/charge/1", host="pay.example"
            )
            assert failed.status == 502
            assert deployment.count_runs() == 1

    @pytest.mark.parametrize("extra_headers", [[], [["X-First", "a value"]]])
    async def test_each_length_of_the_copy(
        self, extra_headers: list[list[str]]
    ) -> None:
        # Without a member's choice of upstreams, which avoids one that has
        # failed and would make each length take a second.
        async with trio.open_nursery() as nursery:
            backend = BackendStandIn("billing-0")
            backend.faults.extra_headers = extra_headers
            await backend.start(nursery)
            client = UpstreamClient(
                allow_close_delimited=True,
                singleton_headers=PlatformUpstreamDialect.singleton_headers,
            )
            size = copy_bytes = 0
            while size <= copy_bytes:
                backend.faults.status, backend.faults.late_copy = 200, ""
                served = await send_attempt(client, backend, f"first-{size}")
                assert served == (200, True)
                copy_bytes = backend.last_response_bytes()
                backend.faults.status = 500
                backend.faults.late_copy = "broken-off"
                backend.faults.late_copy_bytes = size
                status, passed_on = await send_attempt(
                    client, backend, f"second-{size}"
                )
                assert status == 500 or not passed_on, size
                size += 1
            assert size > 200
            client.close()
            nursery.cancel_scope.cancel()
