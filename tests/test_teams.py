"""End-to-end tests of teams and their keys, with members over sockets."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any
import zlib

import msgpack
import pytest
import trio

from hawthornmast import http
from hawthornmast.gateway.snapshots import SNAPSHOT_PATH
from standins.deployment import FRONT_PORT
from standins.deployment import make_configuration
from standins.deployment import PEER_PORT
from tests.deployment import Deployment
from tests.test_platform_path import run_deployment
from tests.test_platform_path import set_faults

KEY = "gjy5rcpihhacruddedev"
OTHER_KEY = "3nax7u27gxprymh2rryt"
UNKNOWN_KEY = "0000000000000000000"

Headers = tuple[tuple[str, str], ...]


def authorize(key: str) -> Headers:
    """Return the header with a key."""
    return (("Authorization", f"Bearer {key}"),)


def make_teams(version: int, *teams: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with teams, whose route /read/open/ is public.

    By default the team ``couriers`` has the key ``KEY``.
    """
    configuration = make_configuration(version)
    paths = configuration["VirtualHosts"][0]["Paths"]
    paths.append(
        {
            **paths[0],
            "Name": "r-open",
            "PathPrefix": "/read/open/",
            "Public": True,
        }
    )
    configuration["Tenants"] = list(teams) or [
        {"Name": "couriers", "ApiKeys": [KEY]}
    ]
    return configuration


async def publish(
    deployment: Deployment, configuration: dict[str, Any]
) -> None:
    """Store a configuration and wait until all members apply it."""
    deployment.store.put("op/config", configuration)
    with trio.fail_after(5):
        while any(
            member.synchronizer.version != configuration["Version"]
            for member in deployment.members
        ):
            await trio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_teams(**options: Any) -> AsyncIterator[Deployment]:
    """Run a deployment whose configuration has the default team."""
    async with run_deployment(**options) as deployment:
        await publish(deployment, make_teams(8))
        yield deployment


def decompress(body: bytes) -> bytes:
    """Return the configuration within the snapshot of a peer."""
    return zlib.decompress(msgpack.unpackb(body)[0])


def list_upstream_headers(
    deployment: Deployment, name: bytes
) -> list[list[bytes]]:
    """Return the values of a header in each request to an upstream."""
    return [
        [value for key, value in request.headers if key == name]
        for backend in deployment.backends.values()
        for request in backend.requests
    ]


class TestKeys:
    """Requests need the key of a team, except on public routes."""

    @pytest.mark.parametrize(
        ("headers", "reason"),
        [
            ((), "key-missing"),
            ((("Authorization", "Basic YTpi"),), "key-malformed"),
            ((("Authorization", f"Bearer {KEY} x"),), "key-malformed"),
            ((("Authorization", KEY),), "key-malformed"),
            (authorize(KEY) * 2, "key-repeated"),
            (
                (*authorize(KEY), ("AUTHORIZATION", "Bearer x")),
                "key-repeated",
            ),
            (authorize(UNKNOWN_KEY), "key-unknown"),
            (authorize(KEY.upper()), "key-unknown"),
        ],
    )
    @pytest.mark.parametrize("body", [b"", b"amount=1"])
    async def test_request_without_a_valid_key_never_runs(
        self,
        headers: Headers,
        reason: str,
        body: bytes,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        # Guards against requests of nobody's that run, and against a refusal
        # whose cause can't be found.
        caplog.set_level("INFO")
        async with run_teams() as deployment:
            response = await deployment.send(
                "POST",
                "/charge/1",
                host="pay.example",
                headers=headers,
                body=body,
            )
            assert response.status == 401
            assert response.header("WWW-Authenticate") == "Bearer"
            assert deployment.count_runs() == 0
            assert f"reason={reason}" in caplog.text
            assert "team=-" in caplog.text

    @pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER"])
    async def test_upstream_gets_the_team_and_never_the_key(
        self, scheme: str, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against keys that leak to upstreams or logs, and against
        # forged teams.
        caplog.set_level("DEBUG")
        async with run_teams() as deployment:
            response = await deployment.send(
                "GET",
                "/read/1",
                headers=(
                    ("Authorization", f"{scheme} {KEY}"),
                    ("hawthornmast-TENANT", "forged"),
                    ("Hawthornmast-Tenant", "forged"),
                    ("Connection", "Hawthornmast-Tenant"),
                ),
            )
            assert response.status == 200
            names = list_upstream_headers(deployment, b"hawthornmast-tenant")
            assert names == [[b"couriers"]]
            (request,) = deployment.backends["boxes-0"].requests or (
                deployment.backends["boxes-1"].requests
            )
            assert KEY.encode() not in b"".join(
                name + value for name, value in request.headers
            )
            assert "team=couriers" in caplog.text
            assert KEY not in caplog.text

    @pytest.mark.parametrize(
        ("headers", "team"),
        [
            ((), []),
            (authorize(KEY), [b"couriers"]),
            (authorize(UNKNOWN_KEY), []),
            ((("Authorization", "Basic YTpi"),), []),
            (authorize(KEY) * 2, []),
        ],
    )
    async def test_public_route(
        self, headers: Headers, team: list[bytes]
    ) -> None:
        # Guards against a public route that is closed, and against a team's
        # name that no key stands for.
        async with run_teams() as deployment:
            forged = (("Hawthornmast-Tenant", "forged"),)
            response = await deployment.send(
                "GET", "/read/open/1", headers=(*headers, *forged)
            )
            assert response.status == 200
            name = b"hawthornmast-tenant"
            assert list_upstream_headers(deployment, name) == [team]
            assert list_upstream_headers(deployment, b"authorization") == [[]]

    async def test_no_route_is_told_before_the_key(self) -> None:
        # Guards against 401 for a request that no key would help.
        async with run_teams() as deployment:
            response = await deployment.send("GET", "/unknown/1")
            assert response.status == 404

    async def test_without_teams_the_header_is_passed_on(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against a change for deployments without teams.
        caplog.set_level("INFO")
        async with run_deployment() as deployment:
            headers = (*authorize(KEY), ("Hawthornmast-Tenant", "own"))
            response = await deployment.send("GET", "/read/1", headers=headers)
            assert response.status == 200
            for name, value in (
                (b"authorization", f"Bearer {KEY}".encode()),
                (b"hawthornmast-tenant", b"own"),
            ):
                assert list_upstream_headers(deployment, name) == [[value]]
            assert "team=" not in caplog.text
            metrics = deployment.members[0].metrics.render()
            assert b"hawthornmast_team_requests_total{" not in metrics

    async def test_requests_are_counted_by_team(self) -> None:
        # Guards against labels that clients choose.
        async with run_teams() as deployment:
            await deployment.send("GET", "/read/1", headers=authorize(KEY))
            headers = authorize(UNKNOWN_KEY)
            await deployment.send("GET", "/read/1", headers=headers)
            text = deployment.members[0].metrics.render().decode()
            name = "hawthornmast_team_requests_total"
            assert f'{name}{{status="2xx",team="couriers"}} 1.0' in text
            assert f'{name}{{status="401",team=""}} 1.0' in text


class TestWithdrawal:
    """A withdrawn key is refused wherever nothing was sent yet."""

    async def test_on_an_open_connection(self) -> None:
        # Guards against keys that are checked once a connection.
        async with run_teams() as deployment:
            host = deployment.members[0].options.instance.host
            client = http.Client(host, FRONT_PORT)
            headers = (
                ("Host", "boxes.example"),
                ("Hawthornmast-Attempt-Id", "attempt"),
                *authorize(KEY),
            )
            for version, status in ((8, 200), (9, 401), (10, 200)):
                team = {"Name": "couriers", "ApiKeys": [KEY]}
                if version == 9:
                    team["ApiKeys"] = [OTHER_KEY]
                await publish(deployment, make_teams(version, team))
                result = await client.request(
                    "GET", "/read/1", headers=headers
                )
                assert result.unwrap().status == status
            await client.close()

    async def test_of_a_request_that_waits_for_a_slot(self) -> None:
        # Guards against withdrawn keys that are served from the queue.
        async with run_teams(boxes=1) as deployment:
            set_faults(deployment, service_s=1.2)
            responses = []

            async def send() -> None:
                response = await deployment.send(
                    "GET", "/read/1", headers=authorize(KEY)
                )
                responses.append(response)

            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(send)
                await trio.sleep(0.3)
                nursery.start_soon(send)
                await trio.sleep(0.1)
                team = {"Name": "couriers", "ApiKeys": [OTHER_KEY]}
                await publish(deployment, make_teams(9, team))
            statuses = sorted(response.status for response in responses)
            assert statuses == [200, 200, 200, 200, 401]
            assert len(deployment.backends["boxes-0"].executions) == 4

    async def test_between_two_attempts(self) -> None:
        # Guards against a second send with a withdrawn key, and against a 401
        # that promises that a request which ran has not.
        async with run_teams(boxes=2) as deployment:
            set_faults(deployment, service_s=1.0, status=500)
            team = {"Name": "couriers", "ApiKeys": [OTHER_KEY]}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(publish, deployment, make_teams(9, team))
                response = await deployment.send(
                    "GET", "/read/1", headers=authorize(KEY)
                )
            assert response.status == 500
            assert deployment.count_runs() == 1

    async def test_of_all_teams_while_a_request_waits(self) -> None:
        # Guards against the key of a request that is sent on as an ordinary
        # header because the configuration changed meanwhile, in both
        # directions.
        async with run_deployment(boxes=1) as deployment:
            set_faults(deployment, service_s=1.3)
            with_teams = make_teams(8)
            without_teams = make_configuration(9)
            for configuration in (with_teams, without_teams):
                async with trio.open_nursery() as nursery:
                    for _ in range(6):
                        nursery.start_soon(send_with_key, deployment)
                    await trio.sleep(0.3)
                    await publish(deployment, configuration)
            values = list_upstream_headers(deployment, b"authorization")
            # Only the four of the first round that were sent at once, when
            # there were no teams.
            assert sum(map(len, values)) == 4
            assert len(values) == 12


async def send_with_key(deployment: Deployment) -> None:
    """Send a request with the key of the default team."""
    response = await deployment.send("GET", "/read/1", headers=authorize(KEY))
    assert response.status == 200


class TestPropagation:
    """Members know teams from the store or their peers, or serve nobody."""

    async def test_member_without_configuration_answers_503(self) -> None:
        # Guards against a starting member that refuses valid keys.
        async with trio.open_nursery() as nursery:
            deployment = Deployment(nursery=nursery)
            await deployment.store.start(nursery)
            await deployment.add_member(0)
            response = await deployment.send(
                "GET", "/read/1", headers=authorize(KEY), timeout_ms=600
            )
            assert response.status == 503
            nursery.cancel_scope.cancel()

    async def test_restarted_member_learns_teams_from_a_peer(self) -> None:
        # Guards against a member that lets everybody in, or nobody, while
        # the store is away.
        async with run_teams(members=2) as deployment:
            deployment.store.fault = "unavailable"
            await deployment.add_member(2)
            with trio.fail_after(5):
                while not deployment.members[2].ready:
                    await trio.sleep(0.02)
            for key, status in ((KEY, 200), (UNKNOWN_KEY, 401)):
                response = await deployment.send(
                    "GET", "/read/1", headers=authorize(key), member=2
                )
                assert response.status == status

    async def test_no_key_is_sent_between_members(self) -> None:
        # Guards against keys in messages that anyone on the network reads.
        async with run_teams() as deployment:
            member = deployment.members[0]
            done = await http.fetch(
                member.options.instance.host,
                PEER_PORT,
                "GET",
                f"{SNAPSHOT_PATH}?version=0",
            )
            body = done.unwrap().body
            snapshot = member.synchronizer.encode_state_snapshot(0)
            assert len(body) > 100
            for data in (body, repr(snapshot).encode(), decompress(body)):
                assert KEY.encode() not in data

    async def test_refused_configuration_shows_no_key(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against keys in the log line of an invalid configuration.
        caplog.set_level("DEBUG")
        async with run_teams() as deployment:
            bad_keys = [f"{KEY}\ud800", [KEY], KEY]
            for version, keys in enumerate(bad_keys, start=9):
                team = {"Name": "couriers", "ApiKeys": [keys, 7]}
                deployment.store.put("op/config", make_teams(version, team))
                await trio.sleep(0.8)
            assert deployment.members[0].synchronizer.version == 8
            assert "malformed" in caplog.text
            assert KEY not in caplog.text


class TestRank:
    """The rank of a team goes before that of its route."""

    async def test_is_taken_from_the_team(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against urgent teams that wait with all others.
        caplog.set_level("INFO")
        teams: list[dict[str, Any]] = [
            {"Name": "couriers", "ApiKeys": [KEY], "Priority": 0},
            {"Name": "packers", "ApiKeys": [OTHER_KEY]},
        ]
        async with run_teams(boxes=1) as deployment:
            await publish(deployment, make_teams(9, *teams))
            for key in (KEY, OTHER_KEY):
                await deployment.send("GET", "/read/1", headers=authorize(key))
            lines = [
                record.getMessage()
                for record in caplog.records
                if record.getMessage().startswith("event=request ")
            ]
            assert "rank=urgent" in lines[0]
            assert "rank=standard" in lines[1]


class TestTurns:
    """Teams take turns at a service with too few slots."""

    async def test_burst_of_another_team_delays_no_request(self) -> None:
        # Guards against a member that doesn't tell the dispatcher the team.
        teams: list[dict[str, Any]] = [
            {"Name": "couriers", "ApiKeys": [KEY]},
            {"Name": "packers", "ApiKeys": [OTHER_KEY]},
        ]
        async with run_teams(boxes=1) as deployment:
            await publish(deployment, make_teams(9, *teams))
            set_faults(deployment, service_s=0.5)
            async with trio.open_nursery() as nursery:
                for _ in range(12):
                    nursery.start_soon(send_with_key, deployment)
                await trio.sleep(0.2)
                response = await deployment.send(
                    "GET", "/read/1", headers=authorize(OTHER_KEY)
                )
                assert response.status == 200
            executions = deployment.backends["boxes-0"].executions
            keys = [execution.key for execution in executions]
            # Four requests had the slots already; those that get one next
            # are sent at the same time.
            assert 4 <= keys.index("attempt-13") < 8
            assert len(keys) == 13
