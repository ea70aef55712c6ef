"""Tests of faulty upstreams, client disconnects and relaying."""

import json

import pytest
import trio

from hawthornmast.forwarding.tests.support import make_instance
from hawthornmast.forwarding.tests.support import run_harness
from hawthornmast.forwarding.tests.support import summarize

# Values of ``cut``: the connection is closed within a body of declared length
# (short), before the last chunk (chunked), after a body without a length
# (close), within the head (head) or before any response (none). ``old``
# responds with HTTP/1.0; ``two_lengths`` sends both a length and chunks.
_TRUNCATIONS = [
    {"cut": "short"},
    {"cut": "chunked"},
    {"cut": "close"},
    {"cut": "head"},
    {"cut": "none"},
    {"old": True, "cut": "close"},
    {"old": True, "cut": "chunked"},
    {"old": True, "cut": "short"},
    {"two_lengths": True},
]


class TestTruncatedResponses:
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    @pytest.mark.parametrize("faults", _TRUNCATIONS, ids=json.dumps)
    async def test_truncated_response_is_never_forwarded(
        self, faults, version
    ):
        async with run_harness() as harness:
            harness.runtime.retries = 0
            harness.set_faults(**faults)
            data = await harness.send_raw(
                f"GET /read HTTP/{version}\r\nHost: billing\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            assert data.split()[1] == b"502"
            assert b"hawthornmast-outcome: unknown" in data.lower()
            assert b"key=" not in data
            assert harness.runtime.evidence == [("u0", "failed")]

    @pytest.mark.parametrize("cut", ["short", "chunked"])
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_truncated_stream_has_no_valid_end(self, cut, version):
        # Guards against a truncated response that a client can't detect.
        async with run_harness() as harness:
            harness.runtime.retries = 0
            harness.set_faults(cut=cut, body_bytes=200_000)
            data = await harness.send_raw(
                f"GET /read HTTP/{version}\r\nHost: billing\r\n\r\n".encode()
            )
            head, _, body = data.partition(b"\r\n\r\n")
            assert harness.reports[0].outcome == "unknown"
            if version == "1.0":
                assert data.split()[1] == b"502"
            elif cut == "short":
                assert b"content-length: 200010" in head.lower()
                assert len(body) < 200_010
            else:
                assert b"transfer-encoding: chunked" in head.lower()
                assert not body.endswith(b"0\r\n\r\n")

    @pytest.mark.parametrize("faults", _TRUNCATIONS, ids=json.dumps)
    async def test_idempotent_request_is_retried_on_another_upstream(
        self, faults
    ):
        async with run_harness() as harness:
            harness.set_faults(0, **faults)
            assert summarize(await harness.call()) == (200, "complete", None)
            assert harness.standins[1].count_executions("k") == 1

    async def test_http10_and_informational_responses_are_forwarded(self):
        async with run_harness() as harness:
            for faults in ({"old": True}, {"informational": True}):
                harness.set_faults(**faults)
                response = await harness.call()
                assert summarize(response) == (200, "complete", None)
                assert response.body.startswith(b"key=k ")


class TestReusedConnections:
    async def test_closed_reused_connection_is_retried(self):
        async with run_harness(1) as harness:
            await harness.call()
            harness.set_faults(refuse_reused=True)
            assert summarize(await harness.call()) == (200, "complete", None)
            assert harness.runtime.retries == 9
            assert harness.runtime.evidence[1] == ("u0", "neutral")

    async def test_response_to_another_request_is_refused(self):
        # Guards against delivering the response to another request, after
        # the upstream mixed up responses on a connection.
        async with run_harness(1) as harness:
            await harness.call(headers=(("X-Request-Key", "first"),))
            # The upstream sends its response to the previous request.
            harness.set_faults(crossed=True)
            harness.runtime.retries = 0
            response = await harness.call()
            assert summarize(response) == (502, "unknown", "upstream-failed")
            assert b"key=" not in response.body
            # The connection is closed: later responses on it may be
            # mismatched as well.
            harness.set_faults(crossed=False)
            assert b"key=k " in (await harness.call()).body
            assert harness.standins[0].accepted_connections == 2

    async def test_second_copy_without_identifier_is_refused(self):
        # Guards against delivering a late copy of the previous response,
        # which names no request although the upstream's responses do.
        async with run_harness(1) as harness:
            harness.runtime.retries = 0
            await harness.call(headers=(("X-Request-Key", "first"),))
            harness.set_faults(late_copy="unnamed")
            response = await harness.call()
            assert summarize(response) == (502, "unknown", "upstream-failed")
            assert b"key=" not in response.body

    @pytest.mark.parametrize("extra_headers", [[], [["X-First", "a value"]]])
    async def test_broken_off_copy_is_not_merged(self, extra_headers):
        # Guards against the head of a second copy that is parsed with that
        # of the response behind it, and gives a failure the status of the
        # copy.
        async with run_harness(1) as harness:
            harness.runtime.retries = 0
            (standin,) = harness.standins
            size = copy_bytes = 0
            while size <= copy_bytes:
                harness.set_faults(
                    late_copy="", status=200, extra_headers=extra_headers
                )
                assert (await harness.call()).status == 200
                copy_bytes = standin.last_response_bytes()
                harness.set_faults(
                    late_copy="broken-off", late_copy_bytes=size, status=500
                )
                assert (await harness.call()).status in (500, 502), size
                size += 1
            assert size > 100

    async def test_late_response_after_client_disconnect_is_dropped(self):
        async with run_harness(1) as harness:
            await harness.call()
            harness.set_faults(service_s=0.3)
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            await stream.send_all(
                b"GET /read HTTP/1.1\r\nHost: billing\r\n"
                b"X-Request-Key: left\r\n\r\n"
            )
            await trio.sleep(0.1)
            await stream.aclose()
            await trio.sleep(0.15)
            run = harness.standins[0].executions[-1]
            assert (run.key, run.cancelled) == ("left", True)
            harness.set_faults(service_s=0.0)
            assert b"key=k " in (await harness.call()).body
            assert harness.standins[0].accepted_connections == 2
            assert harness.reports[1].reason == "client-left"
            assert harness.runtime.evidence[1] == ("u0", "neutral")

    async def test_queued_request_is_dropped_after_client_disconnect(self):
        async with run_harness(1) as harness:
            harness.runtime.admission_gate = trio.Event()
            stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
            await stream.send_all(
                b"GET /read HTTP/1.1\r\nHost: billing\r\n\r\n"
            )
            await trio.sleep(0.05)
            await stream.aclose()
            await trio.sleep(0.15)
            harness.runtime.admission_gate.set()
            await trio.sleep(0.05)
            assert harness.runs() == 0
            assert harness.reports[0].outcome == "not-run"

    async def test_timeout_after_a_failed_attempt_is_unknown(self):
        # Guards against reporting "not run" if the first attempt ran and the
        # retry waited for a slot until the deadline.
        async with run_harness(1) as harness:
            harness.set_faults(cut="none")
            begin = harness.runtime.begin

            def block_admission(upstream_id, entry_name):
                harness.runtime.admission_gate = trio.Event()
                return begin(upstream_id, entry_name)

            harness.runtime.begin = block_admission
            headers = (("Hawthornmast-Timeout-Ms", "200"),)
            response = await harness.call(headers=headers)
            assert summarize(response) == (504, "unknown", "deadline")
            assert harness.runs("k") == 1

    async def test_leaving_upstream_is_noted(self):
        async with run_harness(1) as harness:
            harness.set_faults(leaving=True)
            await harness.call()
            assert harness.runtime.leaving == ["u0"]

    async def test_short_client_timeout_is_no_evidence(self):
        # Guards against the ejection of healthy upstreams because of clients
        # with short timeouts.
        async with run_harness(1) as harness:
            harness.set_faults(service_s=1.0)
            headers = (("Hawthornmast-Timeout-Ms", "50"),)
            response = await harness.call(headers=headers)
            assert response.status == 504
            assert int(harness.standins[0].executions[0].timeout_ms) <= 50
            assert ("u0", "failed") not in harness.runtime.evidence


class TestRelay:
    async def test_idempotent_request_is_relayed_one_hop(self):
        # The secrets differ, as during a rotation.
        secrets = [b"old", b"new"]
        async with run_harness(1, peer_secrets=secrets) as owner:
            async with run_harness(1, peer_secrets=[b"new"]) as harness:
                owners = [make_instance("d2", owner.port)]
                harness.directory.service_lost = True
                harness.directory.other_owners["billing"] = owners
                response = await harness.call()
                assert summarize(response) == (200, "complete", None)
                assert owner.runs("k") == 1
                assert owner.reports[0].request_id == (
                    harness.reports[0].request_id
                )
                # The owner no longer owns the service either: it doesn't
                # relay the request a second time.
                owner.directory.service_lost = True
                owner.directory.other_owners["billing"] = owners
                response = await harness.call()
                assert summarize(response) == (
                    421,
                    "not-run",
                    "wrong-instance",
                )
                # A request with a ticket is never relayed.
                ticket = owner.tickets.issue("billing")[0]
                response = await harness.charge(ticket.replace(".d1", ".d2"))
                assert summarize(response) == (
                    421,
                    "not-run",
                    "wrong-instance",
                )
