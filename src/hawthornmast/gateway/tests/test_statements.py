"""Tests of the statements that members exchange."""

import msgpack
import pytest

from hawthornmast.gateway.statements import decode_statements
from hawthornmast.gateway.statements import encode_statements
from hawthornmast.gateway.tests.support import make_listed_upstream
from hawthornmast.gateway.tests.support import make_services
from hawthornmast.limits import UpstreamStatement


class TestEncoding:
    """Peers learn which processes leave, and refuse anything else."""

    async def test_leaving_upstreams_only(self) -> None:
        services = make_services(
            make_listed_upstream("u1"), make_listed_upstream("u2")
        )
        state = services.find("boxes")
        assert state is not None
        state.record_statement(
            state.pool.members["u2"].upstream, UpstreamStatement(leaving=True)
        )
        decoded = decode_statements(encode_statements(services))
        assert decoded.unwrap() == [("u2", 0)]

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"\xc1",
            msgpack.packb(7),
            msgpack.packb([["u1"]]),
            msgpack.packb([["u1", "x"]]),
            msgpack.packb([["u1", None]]),
        ],
    )
    def test_malformed(self, body: bytes) -> None:
        assert decode_statements(body).is_err()
