"""End-to-end tests on the users' platform with stand-ins."""

from collections.abc import AsyncIterator
import contextlib

import attrs
import pytest
import trio

from hawthornmast import http
from hawthornmast.gateway import Bounds
from hawthornmast.gateway.snapshots import SNAPSHOT_PATH
from standins.deployment import FRONT_PORT
from standins.deployment import make_configuration
from standins.deployment import PEER_PORT
from tests.deployment import Deployment


@contextlib.asynccontextmanager
async def run_deployment(
    *,
    members: int = 1,
    boxes: int = 2,
    billing: int = 1,
    bounds: Bounds | None = None,
) -> AsyncIterator[Deployment]:
    """Run a deployment for the duration of the context."""
    async with trio.open_nursery() as nursery:
        deployment = Deployment(nursery=nursery)
        if bounds is not None:
            deployment.bounds = bounds
        await deployment.start(
            members=members, services={"boxes": boxes, "billing": billing}
        )
        yield deployment
        nursery.cancel_scope.cancel()


def set_faults(deployment: Deployment, **faults: object) -> None:
    """Set faults on all back ends."""
    for backend in deployment.backends.values():
        backend.faults = attrs.evolve(backend.faults, **faults)


def get_platform_header(response: http.Response, name: str) -> str | None:
    """Return a response header by its name without the platform's prefix."""
    return response.header(f"Hawthornmast-{name}")


class TestServed:
    """A request gets the complete response of a back end of its route."""

    @pytest.mark.parametrize("chunked", [True, False])
    async def test_response_is_signed(self, chunked: bool) -> None:
        async with run_deployment() as deployment:
            set_faults(deployment, chunked=chunked, body_bytes=3000)
            response = await deployment.send("GET", "/read/1?a=b")
            assert response.status == 200
            signature = get_platform_header(response, "Response-Signature")
            assert signature is not None
            assert signature.startswith("boxes-")
            assert get_platform_header(response, "Attempt-Id") == "attempt-1"
            assert len(response.body) == 3000
            assert deployment.count_runs() == 1

    async def test_response_delimited_by_connection_close(self) -> None:
        async with run_deployment() as deployment:
            set_faults(deployment, cut="close")
            response = await deployment.send("GET", "/read/1")
            assert response.status == 200
            assert (
                get_platform_header(response, "Response-Signature") is not None
            )

    async def test_long_response_is_streamed_completely(self) -> None:
        async with run_deployment() as deployment:
            set_faults(deployment, body_bytes=1_000_000)
            response = await deployment.send("GET", "/read/1")
            assert (response.status, len(response.body)) == (200, 1_000_000)

    async def test_request_reaches_the_back_end_unchanged(self) -> None:
        async with run_deployment() as deployment:
            response = await deployment.send(
                "POST", "/charge/1", host="pay.example", body=b"amount=1"
            )
            assert response.status == 200
            (request,) = deployment.backends["billing-0"].requests
            names = dict(request.headers)
            assert request.method == b"POST"
            assert request.target == b"/charge/1"
            assert names[b"content-length"] == b"8"
            assert names[b"hawthornmast-attempt-id"] == b"attempt-1"
            assert names[b"hawthornmast-expected-instance"] == b"billing-0"
            remaining_ms = int(names[b"hawthornmast-request-deadline"])
            # The timeout of the route is shorter than that of the client.
            assert 1500 < remaining_ms <= 2000

    async def test_traffic_split_follows_the_weights(self) -> None:
        async with run_deployment(boxes=1) as deployment:
            for _ in range(20):
                await deployment.send("POST", "/charge/1", host="pay.example")
            assert len(deployment.backends["boxes-0"].executions) == 2
            assert len(deployment.backends["billing-0"].executions) == 18


class TestRefused:
    """A refused request has not been executed, as the refusal states."""

    @pytest.mark.parametrize(
        ("target", "host"),
        [("/unknown/1", "boxes.example"), ("/read/1", "unknown.example")],
    )
    async def test_no_route(self, target: str, host: str) -> None:
        async with run_deployment() as deployment:
            response = await deployment.send("GET", target, host=host)
            assert response.status == 404
            assert deployment.count_runs() == 0

    async def test_no_configuration_yet(self) -> None:
        async with trio.open_nursery() as nursery:
            deployment = Deployment(nursery=nursery)
            await deployment.store.start(nursery)
            await deployment.add_member(0)
            response = await deployment.send("GET", "/read/1")
            assert response.status == 503
            assert float(response.header("Retry-After") or "0") > 0
            assert not deployment.members[0].ready
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("host", ["boxes.example", "pay.example"])
    async def test_all_back_ends_shed(self, host: str) -> None:
        target = "/read/1" if host == "boxes.example" else "/charge/1"
        async with run_deployment() as deployment:
            set_faults(deployment, shed_all=True)
            response = await deployment.send(
                "GET", target, host=host, timeout_ms=800
            )
            assert response.status == 503
            assert deployment.count_runs() == 0

    async def test_no_back_end_listed(self) -> None:
        async with run_deployment(boxes=0) as deployment:
            response = await deployment.send("GET", "/read/1")
            assert response.status == 503
            assert deployment.count_runs() == 0

    async def test_address_reused_by_another_instance(self) -> None:
        # The address of a stopped back end may be reused by another service.
        async with run_deployment(boxes=1) as deployment:
            deployment.backends["boxes-0"].instance = "stranger"
            response = await deployment.send("GET", "/read/1", timeout_ms=600)
            assert response.status == 503
            assert deployment.count_runs() == 0


class TestNonIdempotent:
    """Non-idempotent requests are sent to a back end at most once."""

    @pytest.mark.parametrize(
        ("faults", "status"),
        [
            ({"status": 500}, 500),
            ({"cut": "short"}, 502),
            ({"cut": "none"}, 502),
            ({"cut": "head"}, 502),
            ({"mute": True, "run_muted": True}, 504),
        ],
    )
    async def test_after_a_failure(
        self, faults: dict[str, object], status: int
    ) -> None:
        async with run_deployment(billing=3) as deployment:
            set_faults(deployment, **faults)
            response = await deployment.send(
                "POST", "/charge/1", host="pay.example", timeout_ms=700
            )
            assert response.status == status
            assert deployment.count_runs() == 1

    async def test_client_disconnect_cancels_the_request(self) -> None:
        async with run_deployment(billing=1) as deployment:
            set_faults(deployment, service_s=5.0)
            backend = deployment.backends["billing-0"]
            with trio.move_on_after(0.4):
                await deployment.send("POST", "/charge/1", host="pay.example")
            with trio.fail_after(0.5):
                while not (
                    backend.executions and backend.executions[0].cancelled
                ):
                    await trio.sleep(0.01)


class TestRetries:
    """Idempotent requests are retried on another back end."""

    @pytest.mark.parametrize(
        "faults",
        [
            {"status": 500},
            {"cut": "short"},
            {"cut": "none"},
            {"cut": "chunked"},
            {"extra_headers": [("Content-Encoding", "gzip")]},
        ],
    )
    async def test_after_a_failure(self, faults: dict[str, object]) -> None:
        async with run_deployment(boxes=2) as deployment:
            failing_backend = deployment.backends["boxes-0"]
            failing_backend.faults = attrs.evolve(
                failing_backend.faults, **faults
            )
            for _ in range(6):
                response = await deployment.send("GET", "/read/1")
                assert response.status == 200
                assert response.header("Content-Encoding") is None

    async def test_attempts_are_limited_by_the_route(self) -> None:
        async with run_deployment(boxes=4) as deployment:
            set_faults(deployment, status=500)
            response = await deployment.send("GET", "/read/1")
            assert response.status == 500
            assert deployment.count_runs() == 2

    async def test_no_retry_without_budget(self) -> None:
        bounds = Bounds(retry_ratio=0.0, retry_slack=0.0)
        async with run_deployment(boxes=2, bounds=bounds) as deployment:
            set_faults(deployment, status=500)
            await deployment.send("GET", "/read/1")
            assert deployment.count_runs() == 1


class TestUpstreamList:
    """Back ends get requests according to the list in the store."""

    async def test_draining_back_end_gets_no_new_requests(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        async with run_deployment(boxes=2) as deployment:
            deployment.list_backend("boxes-0", "boxes", State="draining")
            await trio.sleep(0.8)
            assert "came=- left=boxes-0 origin=platform" in caplog.text
            before = len(deployment.backends["boxes-0"].executions)
            for _ in range(8):
                assert (await deployment.send("GET", "/read/1")).status == 200
            assert len(deployment.backends["boxes-0"].executions) == before

    async def test_new_back_end_gets_requests(self) -> None:
        async with run_deployment(boxes=1) as deployment:
            backend = await deployment.add_backend("boxes-9", "boxes")
            await trio.sleep(0.8)
            for _ in range(4):
                await deployment.send("GET", "/read/1")
            assert backend.executions


class TestConfiguration:
    """A configuration reaches all members and is never rolled back."""

    async def test_reaches_all_members(self) -> None:
        async with run_deployment(members=6) as deployment:
            value = make_configuration(12)
            value["VirtualHosts"][0]["Paths"][0]["PathPrefix"] = "/new/"
            deployment.store.put("op/config", value)
            with trio.fail_after(2.0):
                for number in range(6):
                    while True:
                        response = await deployment.send(
                            "GET", "/new/1", member=number
                        )
                        if response.status == 200:
                            break
                        await trio.sleep(0.02)
            response = await deployment.send("GET", "/read/1", member=5)
            assert response.status == 404

    async def test_never_reverts(self) -> None:
        async with run_deployment() as deployment:
            deployment.store.put("op/config", make_configuration(12))
            await trio.sleep(1.2)
            deployment.store.put("op/config", make_configuration(8))
            await trio.sleep(1.2)
            assert deployment.members[0].configuration.version == 12

    async def test_malformed_configuration_is_rejected(self) -> None:
        async with run_deployment() as deployment:
            deployment.store.put("op/config", {"Version": 99})
            await trio.sleep(1.2)
            assert deployment.members[0].configuration.version == 7
            assert (await deployment.send("GET", "/read/1")).status == 200

    async def test_store_calls_are_bounded(self) -> None:
        # The platform charges for every call, including refused ones.
        async with run_deployment(members=6) as deployment:
            before = len(deployment.store.calls)
            await trio.sleep(2.0)
            assert len(deployment.store.calls) - before <= 12

    @pytest.mark.parametrize(
        "fault", ["unavailable", "no-response", "malformed"]
    )
    async def test_serves_during_a_store_outage(self, fault: str) -> None:
        async with run_deployment(members=3) as deployment:
            deployment.store.fault = fault
            await trio.sleep(2.0)
            for number in range(3):
                response = await deployment.send(
                    "GET", "/read/1", member=number
                )
                assert response.status == 200

    async def test_new_member_starts_during_a_store_outage(self) -> None:
        async with run_deployment(members=3) as deployment:
            deployment.store.fault = "unavailable"
            await deployment.add_member(3)
            await deployment.wait_ready()
            response = await deployment.send("GET", "/read/1", member=3)
            assert response.status == 200


class TestDrain:
    """A draining member interrupts no request and isn't advertised."""

    async def test_drain_completes_requests_in_flight(self) -> None:
        async with run_deployment(members=2) as deployment:
            set_faults(deployment, service_s=0.4)
            leaving_member, remaining_member = deployment.members
            statuses = []

            async def send() -> None:
                response = await deployment.send("GET", "/read/1")
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(0.1)
                nursery.start_soon(leaving_member.drain)
                await trio.sleep(0.1)
                assert not leaving_member.ready
                assert leaving_member.options.instance.instance_id not in {
                    item.instance_id
                    for item in remaining_member.advertised_members("zone-a")
                }
            assert statuses == [200]

    async def test_drain_ends_within_the_grace_period(self) -> None:
        async with run_deployment(members=1) as deployment:
            set_faults(deployment, service_s=60.0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.send, "GET", "/read/1")
                await trio.sleep(0.1)
                with trio.fail_after(deployment.bounds.grace_s):
                    await deployment.members[0].drain()


class TestPeers:
    """Members refuse malformed requests and datagrams of peers."""

    async def test_snapshot_endpoint(self) -> None:
        async with run_deployment() as deployment:
            host = deployment.members[0].options.instance.host
            for target, status in (
                (f"{SNAPSHOT_PATH}?version=0", 200),
                (f"{SNAPSHOT_PATH}?version=x", 400),
                ("/other", 404),
            ):
                done = await http.fetch(host, PEER_PORT, "GET", target)
                assert done.unwrap().status == status

    async def test_malformed_datagrams_are_refused(self) -> None:
        async with run_deployment() as deployment:
            member = deployment.members[0]
            host = member.options.instance.host
            with trio.socket.socket(
                trio.socket.AF_INET, trio.socket.SOCK_DGRAM
            ) as sock:
                for data in (b"", b"\xc1", b"\x92\x09\x90", b"\x92\x01\xc0"):
                    await sock.sendto(data, (host, PEER_PORT))
            await trio.sleep(0.1)
            assert member.datagrams.refused == 4
            assert (await deployment.send("GET", "/read/1")).status == 200


class TestClientConnections:
    """Client connections are kept alive between requests."""

    async def test_connection_is_reused(self) -> None:
        async with run_deployment() as deployment:
            host = deployment.members[0].options.instance.host
            client = http.Client(host, FRONT_PORT)
            for number in range(3):
                done = await client.request(
                    "GET",
                    "/read/1",
                    headers=(
                        ("Host", "boxes.example"),
                        ("Hawthornmast-Attempt-Id", f"kept-{number}"),
                    ),
                )
                assert done.unwrap().status == 200
            assert deployment.members[0].server.connections == 1
            await client.close()
