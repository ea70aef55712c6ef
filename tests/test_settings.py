"""Tests that a daemon applies each limit of its settings."""

import contextlib
import json

import pytest
import trio

from hawthornmast import settings
from hawthornmast.daemon import Daemon
from hawthornmast.http import fetch
from standins.platform import Platform
from standins.platform import serve
from tools.processes import choose_ports

CATALOGUE = b"""\
name = "s"
owner = "t"
[[entry]]
name = "work"
owner = "t"
path = "/work"
idempotent = false
[[entry]]
name = "page"
owner = "t"
path = "/page"
"""
HEAD = b"GET /page HTTP/1.1\r\nHost: s\r\n"


@contextlib.asynccontextmanager
async def _run_daemon(limits):
    """Run a daemon and a platform stand-in in this process."""
    port, peer_port, admin_port, platform_port = choose_ports(4)
    text = f"""\
[instance]
id = "a1"
zone = "z"
host = "127.0.0.1"
port = {port}
peer_port = {peer_port}
admin_port = {admin_port}
[platform]
host = "127.0.0.1"
port = {platform_port}
[peers]
secrets = ["a-secret-of-tests-only"]
[limits]
{limits}
"""
    platform = Platform()
    platform.put("catalogue/services/s", CATALOGUE)
    daemon = Daemon(settings.parse_settings(text, source="t").unwrap())
    listed = {
        "instance_id": "a1",
        "zone": "z",
        "host": "127.0.0.1",
        "port": port,
        "peer_port": peer_port,
        "state": "live",
    }
    platform.put("instances/daemons", json.dumps([listed]).encode())
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                serve, platform, "127.0.0.1", platform_port, None
            )
            await daemon.start(nursery)
            yield daemon
            await daemon.close()
            nursery.cancel_scope.cancel()


async def _send_raw(daemon, data, *, wait_s=3.0):
    """Send bytes; return all bytes received until EOF and the seconds."""
    began = trio.current_time()
    stream = await trio.open_tcp_stream("127.0.0.1", daemon.instance.port)
    async with stream:
        if data:
            await stream.send_all(data)
        received = b""
        with trio.fail_after(wait_s):
            async for part in stream:
                received += part
    return received, trio.current_time() - began


async def _fetch(daemon, method, target, headers=()):
    result = await fetch(
        "127.0.0.1",
        daemon.instance.port,
        method,
        target,
        headers=(("Host", "s"), *headers),
    )
    return result.unwrap()


async def _issue_ticket(daemon):
    target = "/.well-known/hawthornmast/tickets?service=s"
    return (await _fetch(daemon, "POST", target)).json()["tickets"][0]


async def _use_ticket(daemon, ticket, path="/work"):
    headers = (("Hawthornmast-Ticket", ticket),)
    response = await _fetch(daemon, "POST", path, headers)
    found = {name.lower(): value for name, value in response.headers}
    return response.status, found["hawthornmast-reason"]


class TestClientLimits:
    # Each case guards against a setting that has no effect.

    @pytest.mark.parametrize(
        ("limits", "data", "status"),
        [
            ("max_header_bytes = 1024", HEAD + b"X: " + b"x" * 1100, b"431"),
            (
                "max_body_bytes = 4",
                HEAD + b"Content-Length: 5\r\n\r\nabcde",
                b"413",
            ),
            ("header_timeout_ms = 200", HEAD, b"408"),
            (
                "body_timeout_ms = 200",
                HEAD + b"Content-Length: 5\r\n\r\na",
                b"408",
            ),
        ],
        ids=["header-bytes", "body-bytes", "header-time", "body-time"],
    )
    async def test_refused_input(self, limits, data, status):
        async with _run_daemon(limits) as daemon:
            received, seconds = await _send_raw(daemon, data)
        assert received.startswith(b"HTTP/1.1 " + status)
        assert seconds < 2

    async def test_idle_connection_is_closed(self):
        async with _run_daemon("idle_timeout_ms = 200") as daemon:
            received, seconds = await _send_raw(daemon, b"")
        assert received == b""
        assert 0.15 < seconds < 2

    async def test_connection_count(self):
        async with _run_daemon("max_connections = 1") as daemon:
            first = await trio.open_tcp_stream(
                "127.0.0.1", daemon.instance.port
            )
            async with first:
                await trio.sleep(0.1)
                received, _ = await _send_raw(daemon, HEAD + b"\r\n")
        assert b"Hawthornmast-Reason: connections" in received


class TestTicketLimits:
    async def test_ticket_lifetime(self):
        async with _run_daemon("ticket_ttl_ms = 50") as daemon:
            ticket = await _issue_ticket(daemon)
            await trio.sleep(0.1)
            response = await _use_ticket(daemon, ticket)
        assert response == (409, "ticket-expired")

    async def test_ticket_count(self):
        async with _run_daemon("max_tickets = 1") as daemon:
            first = await _issue_ticket(daemon)
            second = await _issue_ticket(daemon)
            responses = [await _use_ticket(daemon, t) for t in (first, second)]
        assert responses == [(503, "no-upstream"), (503, "ticket-void")]

    async def test_refusal_uses_the_ticket(self):
        # Guards against a ticket that executes a request after its client got
        # the outcome not-run, which the client contract rules out.
        async with _run_daemon("") as daemon:
            ticket = await _issue_ticket(daemon)
            responses = [
                await _use_ticket(daemon, ticket, path)
                for path in ("/none", "/none", "/work")
            ]
        assert responses == [
            (404, "no-entry"),
            (404, "no-entry"),
            (409, "ticket-of-another-request"),
        ]


class TestRecordLimits:
    async def test_numbers_of_records(self):
        limits = "audit_records = 1\nrequest_records = 2"
        async with _run_daemon(limits) as daemon:
            for _ in range(4):
                await _fetch(daemon, "GET", "/page")
            assert len(daemon.requests) == 2
            assert len(daemon.audit) == 1


class TestDrainGrace:
    @pytest.mark.parametrize("grace_ms", [0, 400])
    async def test_drain_waits_for_the_grace_period(self, grace_ms):
        async with _run_daemon(f"drain_grace_ms = {grace_ms}") as daemon:
            began = trio.current_time()
            await daemon.drain()
            seconds = trio.current_time() - began
        assert grace_ms / 1000 <= seconds < grace_ms / 1000 + 2
