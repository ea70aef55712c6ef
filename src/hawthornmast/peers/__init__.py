"""Authenticated msgpack streams between the daemons of a fleet."""

from hawthornmast.peers.codec import Compressor
from hawthornmast.peers.codec import Decompressor
from hawthornmast.peers.codec import FrameError
from hawthornmast.peers.codec import MAX_FRAME_BYTES
from hawthornmast.peers.codec import MessageCodec
from hawthornmast.peers.network import PeerNetwork
from hawthornmast.peers.session import Session

__all__ = [
    "Compressor",
    "Decompressor",
    "FrameError",
    "MAX_FRAME_BYTES",
    "MessageCodec",
    "PeerNetwork",
    "Session",
]
