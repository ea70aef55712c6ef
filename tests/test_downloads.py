"""Tests of long responses that break off."""

import pytest
from result import UnwrapError
import trio

from hawthornmast.gateway.forwarder import RESPONSE_BUFFER_BYTES
from tests.test_pipelining import connect
from tests.test_pipelining import make_request
from tests.test_platform_path import run_deployment

SHORT_BYTES = RESPONSE_BUFFER_BYTES - 1
LONG_BYTES = 4 * RESPONSE_BUFFER_BYTES


def set_cut(deployment, name, **faults):
    """Let one back end break off its responses."""
    for key, value in faults.items():
        setattr(deployment.backends[name].faults, key, value)


class TestBrokenDownload:
    @pytest.mark.parametrize("cut", ["short", "chunked"])
    async def test_break_before_the_first_byte_is_sent_again(self, cut):
        # Guards against a client that sees a failure which another upstream
        # could have prevented.
        async with run_deployment(boxes=2) as deployment:
            for name in ("boxes-0", "boxes-1"):
                set_cut(deployment, name, body_bytes=SHORT_BYTES)
            set_cut(deployment, "boxes-0", cut=cut)
            for _ in range(6):
                response = await deployment.send("GET", "/read/1")
                assert response.status == 200
                assert len(response.body) == SHORT_BYTES
            assert deployment.backends["boxes-0"].requests

    @pytest.mark.parametrize("cut", ["short", "chunked"])
    async def test_later_break_never_looks_whole(self, cut):
        # Guards against a truncated response that a client takes for the
        # whole one, and against parts of two responses in one.
        async with run_deployment(boxes=1) as deployment:
            set_cut(deployment, "boxes-0", body_bytes=LONG_BYTES, cut=cut)
            with pytest.raises(UnwrapError):
                await deployment.send("GET", "/read/1")
            assert deployment.count_runs() == 1
            stream = await connect(deployment)
            # A request behind it is no longer answered.
            await stream.send_all(make_request("a") + make_request("b"))
            received = b""
            with trio.fail_after(3.0):
                while part := await stream.receive_some(65_536):
                    received += part
            assert received.count(b"HTTP/1.1 ") == 1
            head, _, body = received.partition(b"\r\n\r\n")
            if cut == "short":
                length = b"content-length: %d" % (LONG_BYTES + 10)
                assert length in head.lower()
                assert len(body) <= LONG_BYTES
            else:
                assert b"transfer-encoding: chunked" in head.lower()
                assert not body.endswith(b"0\r\n\r\n")
            await stream.aclose()
