"""Tests of responses whose status is not one of a final response."""

import contextlib

import pytest
import trio
import trio.lowlevel

from hawthornmast import http
from hawthornmast.forwarding.tests.support import run_harness
from hawthornmast.forwarding.tests.support import summarize
from hawthornmast.forwarding.tests.test_cut_responses import send_request

ALL_STATUSES = [b"%03d" % number for number in range(1000)]
MALFORMED_STATUSES = [b"", b"abc", b"2x0", b"20", b"2000", b"-20", b"+20"]
HEAD = b"HTTP/1.1 %s Answer\r\nContent-Length: 2\r\nX-Request-Key: 1\r\n\r\nab"


def is_final(status: bytes) -> bool:
    """Return whether a text is a valid status of a final response."""
    return len(status) == 3 and status.isdigit() and b"200" <= status < b"600"


@contextlib.asynccontextmanager
async def run_upstream(statuses):
    """Run an upstream that answers with one status after the other."""
    remaining = iter(statuses)
    closed = []

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(4096)
        status = next(remaining)
        await stream.send_all(HEAD % status)
        # The upstream keeps the connection open; its client must close it.
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(4096)
        closed.append(status)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        yield listeners[0].socket.getsockname()[1], closed
        nursery.cancel_scope.cancel()


class TestAllStatuses:
    """Statuses from 200 to 599 are final; each other one is an error."""

    @pytest.mark.parametrize("statuses", [ALL_STATUSES, MALFORMED_STATUSES])
    async def test_client_for_upstreams(self, statuses):
        # Guards against a status that clients can't interpret, and against
        # reuse of the connection after it.
        async with run_upstream(statuses) as (port, closed):
            for status in statuses:
                with trio.fail_after(1.0):
                    result = await send_request(port)
                assert result.is_ok() == is_final(status), status
                if result.is_ok():
                    assert result.ok_value.status == int(status)
                    result.ok_value.release(reusable=False)
                with trio.fail_after(1.0):
                    while status not in closed:
                        await trio.lowlevel.checkpoint()

    @pytest.mark.parametrize("statuses", [ALL_STATUSES, MALFORMED_STATUSES])
    async def test_client_for_control_traffic(self, statuses):
        # Guards against a response of a peer, of the store or of a health
        # endpoint that is taken for valid in spite of its status.
        async with run_upstream(statuses) as (port, closed):
            for status in statuses:
                result = await http.fetch("127.0.0.1", port, "GET", "/")
                assert result.is_ok() == is_final(status), status
                with trio.fail_after(1.0):
                    while status not in closed:
                        await trio.lowlevel.checkpoint()


@pytest.mark.parametrize("status", ["000", "100", "101", "600", "abc"])
class TestServer:
    """The server answers 502 with outcome unknown, or tries again."""

    async def test_request_with_a_ticket(self, status):
        # Guards against a failed charge that looks served or runs twice.
        async with run_harness() as harness:
            harness.set_faults(status_text=status)
            with trio.fail_after(1.0):
                response = await harness.charge()
            assert summarize(response) == (502, "unknown", "upstream-failed")
            assert harness.runs("c") == 1

    async def test_idempotent_request_is_retried(self, status):
        # Guards against a failure that is passed on although the request may
        # be repeated.
        async with run_harness() as harness:
            harness.set_faults(0, status_text=status)
            with trio.fail_after(1.0):
                response = await harness.call()
            assert summarize(response) == (200, "complete", None)
            assert harness.runtime.evidence[0] == ("u0", "failed")
