"""End-to-end tests of forwarding over loopback sockets."""

import pytest
import trio

from hawthornmast import http
from hawthornmast.forwarding.tests.support import make_instance
from hawthornmast.forwarding.tests.support import run_harness
from hawthornmast.forwarding.tests.support import summarize


class TestForwarding:
    @pytest.mark.parametrize(
        ("method", "body"),
        [("GET", b""), ("POST", b"x" * 70000), ("HEAD", b"")],
    )
    async def test_upstream_response_is_forwarded(self, method, body):
        async with run_harness() as harness:
            response = await harness.call(method, body=body)
            assert summarize(response) == (200, "complete", None)
            expected = f"key=k method={method} length={len(body)}\n"
            assert response.body == (
                b"" if method == "HEAD" else expected.encode()
            )
            assert response.header("Content-Length") == str(len(expected))
            assert harness.runs("k") == 1
            assert harness.runtime.evidence == [("u0", "ok")]
            report = harness.reports[0]
            assert (report.entry, report.upstreams) == ("read", ("u0",))
            assert report.revision == 7

    @pytest.mark.parametrize("status", [204, 304, 404, 500])
    async def test_status_codes_are_forwarded(self, status):
        async with run_harness() as harness:
            harness.set_faults(status=status)
            response = await harness.call()
            assert summarize(response) == (status, "complete", None)

    @pytest.mark.parametrize(
        ("method", "path", "host", "expected"),
        [
            ("GET", "/other", "billing", (404, "not-run", "no-entry")),
            ("GET", "/renewals", "billing", (405, "not-run", "method")),
            (
                "POST",
                "/renewals",
                "billing",
                (428, "not-run", "ticket-required"),
            ),
            ("GET", "/", "unknown", (404, "not-run", "no-service")),
            (
                "GET",
                "/read/../renewals",
                "billing",
                (400, "not-run", "bad-target"),
            ),
            ("GET", "/read%2f..", "billing", (400, "not-run", "bad-target")),
            # Double encoding: an upstream that decodes again sees /renewals.
            (
                "GET",
                "/read/%252e%252e/renewals",
                "billing",
                (400, "not-run", "bad-target"),
            ),
            (
                "GET",
                "/read;/../renewals",
                "billing",
                (400, "not-run", "bad-target"),
            ),
            ("CONNECT", "a:1", "billing", (501, "not-run", "connect")),
        ],
    )
    async def test_refusals_run_nothing(self, method, path, host, expected):
        async with run_harness() as harness:
            headers = (("Host", host),)
            done = await http.fetch(
                "127.0.0.1", harness.port, method, path, headers=headers
            )
            assert summarize(done.unwrap()) == expected
            assert harness.runs() == 0

    async def test_hop_by_hop_and_fleet_headers_are_removed(self):
        # Guards against forged fleet headers from clients and upstreams.
        async with run_harness() as harness:
            harness.set_faults(
                extra_headers=[
                    ["Hawthornmast-Outcome", "not-run"],
                    ["Connection", "X-Hop"],
                    ["X-Hop", "1"],
                    ["X-End", "1"],
                ]
            )
            response = await harness.call(
                headers=(
                    ("Connection", "X-Secret"),
                    ("X-Secret", "1"),
                    ("Hawthornmast-Relayed", "a.b"),
                    ("Hawthornmast-Outcome", "complete"),
                    ("X-Kept", "1"),
                )
            )
            assert summarize(response) == (200, "complete", None)
            assert (response.header("X-End"), response.header("X-Hop")) == (
                "1",
                None,
            )
            names = dict(harness.standins[0].requests[0].headers)
            assert b"x-kept" in names
            assert not names.keys() & {
                b"x-secret",
                b"hawthornmast-relayed",
                b"hawthornmast-outcome",
            }
            assert 0 < int(names[b"hawthornmast-timeout-ms"]) <= 2000
            assert names[b"via"] == b"1.1 hawthornmast"
            assert harness.bad_inputs == ["forged-relay"]

    async def test_large_response_is_streamed_completely(self):
        async with run_harness() as harness:
            harness.set_faults(body_bytes=1_000_000, chunked=True)
            response = await harness.call()
            assert len(response.body) == 1_000_000
            assert summarize(response) == (200, "complete", None)


class TestFleetEndpoints:
    async def test_addresses_and_tickets(self):
        async with run_harness() as harness:
            root = "/.well-known/hawthornmast/"
            response = await harness.call(
                path=root + "addresses?service=billing"
            )
            page = response.json()
            assert page["ticket_required_for"] == ["charge"]
            assert page["addresses"][0]["instance"] == "d1"
            response = await harness.call(
                "POST", root + "tickets?service=billing&count=3"
            )
            tickets = response.json()["tickets"]
            assert len(set(tickets)) == 3
            assert summarize(await harness.charge(tickets[0]))[0] == 200
            for count in ("0", "65", "x"):
                response = await harness.call(
                    "POST", root + f"tickets?service=billing&count={count}"
                )
                assert summarize(response) == (400, "not-run", "bad-count")

    async def test_request_for_other_service_lists_its_owners(self):
        async with run_harness() as harness:
            harness.directory.other_owners["other"] = [make_instance("d2", 99)]
            response = await harness.call(
                "POST", "/.well-known/hawthornmast/tickets?service=other"
            )
            assert summarize(response) == (421, "not-run", "wrong-instance")
            assert response.header("Hawthornmast-Owners") == "127.0.0.1:99"


class TestDrain:
    async def test_requests_in_flight_end_and_idle_connections_close(self):
        # Guards against a graceful shutdown that aborts a request in flight.
        async with run_harness() as harness:
            harness.set_faults(service_s=0.2)
            idle = await trio.open_tcp_stream("127.0.0.1", harness.port)
            responses = []

            async def call():
                responses.append(await harness.call())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.1)
                harness.server.begin_drain()
                with trio.fail_after(3):
                    await harness.server.finish(0.05)
                assert await idle.receive_some(1) == b""
                await idle.aclose()
            assert summarize(responses[0]) == (200, "complete", None)
            assert responses[0].header("Connection") == "close"

    async def test_keep_alive_connections_are_served_during_grace_period(self):
        # Guards against losing a request because its keep-alive connection
        # was closed while the client sent it.
        async with run_harness() as harness:
            client = http.Client("127.0.0.1", harness.port)
            host = (("Host", "billing"),)
            first = await client.request("PUT", "/read", headers=host)
            assert first.unwrap().header("Connection") is None
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.server.finish, 0.2)
                await trio.sleep(0.05)
                second = await client.request("PUT", "/read", headers=host)
                assert second.unwrap().status == 200
                assert second.unwrap().header("Connection") == "close"
