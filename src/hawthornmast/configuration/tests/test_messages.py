"""Tests for the encoding of configuration messages."""

import pytest

from hawthornmast import configuration
from hawthornmast.peers import MessageCodec
from hawthornmast.peers.codec import MAX_FRAME_BYTES

ENTRY = ("instances/daemons", 7, b"\xff" * 16)


class TestMessages:
    @pytest.mark.parametrize(
        "message",
        [
            configuration.Announce(entries=[ENTRY, ("gone", 8, b"")]),
            configuration.IndexDigest(digest=b"\x00" * 16),
            configuration.IndexRequest(buckets=b"\x80" * 2048, after="a"),
            configuration.IndexPage(entries=[ENTRY], more=True, ready=False),
            configuration.Fetch(key="a", revision=2**62, hops=6),
            configuration.FetchReply(
                key="a", revision=1, content=b"\xfe" * 1_000_000
            ),
        ],
    )
    def test_round_trip_fits_a_frame(self, message):
        # Guards against fields that change type in transit, and against a
        # maximum-size document that does not fit into a frame.
        codec = MessageCodec(*configuration.MESSAGE_TYPES)
        body = codec.encode(message)
        assert codec.decode(body).unwrap() == message
        assert len(body) < MAX_FRAME_BYTES
