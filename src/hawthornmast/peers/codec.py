"""Framing and message encoding of peer streams.

A frame is a 4-byte big-endian length of what follows, a 16-byte truncated
HMAC-SHA256 over the sequence number and the body, and the body. The body is
msgpack of ``[message name, fields]`` with the fields in the order of their
class. The bodies of one direction form a single deflate stream that is flushed
after each body, so that a repeated name takes only a few bytes.
"""

from collections.abc import Callable
import hashlib
import hmac
import struct
from typing import Any
import zlib

import attrs
from cattrs import UnstructureStrategy
from cattrs.preconf import msgpack as cattrs_msgpack
import msgpack
from result import Err
from result import Ok
from result import Result

from hawthornmast.common import StepError
from hawthornmast.peers import messages

# The largest platform value is 1 MB; the rest is overhead of its message.
MAX_FRAME_BYTES = 1_310_720
MAC_BYTES = 16

# A 4 kB window holds the names in a few health reports and needs 32 kB of
# memory per stream; the default settings need 256 kB.
_WINDOW_BITS = 12
_MEMORY_LEVEL = 5
_COMPRESS_LEVEL = 1

LENGTH = struct.Struct(">I")
_SEQUENCE = struct.Struct(">Q")

# Before authentication, a frame can only carry a hello.
MAX_HELLO_BYTES = 1024


class FrameError(Exception):
    """Invalid frame; the stream must be closed."""


class MessageCodec:
    """Encodes attrs classes with their class name as the message name.

    Parameters
    ----------
    types
        Message classes that may be received.
    """

    def __init__(self, *types: type) -> None:
        # Encoding fields by position instead of by name halves the size of
        # a health report.
        self._converter = cattrs_msgpack.make_converter(
            unstruct_strat=UnstructureStrategy.AS_TUPLE
        )
        self._converter.register_structure_hook_factory(
            attrs.has, self._make_structure_hook
        )
        self._types: dict[str, type] = {}
        for message_type in types:
            self.register(message_type)

    def _make_structure_hook(self, cls: type) -> Callable[[Any, Any], Any]:
        """Return a hook that structures a class from a list of its fields."""
        attrs.resolve_types(cls)
        fields = [(item.name, item.type) for item in attrs.fields(cls)]

        def build(values: Any, _: Any) -> Any:
            if not isinstance(values, list) or len(values) != len(fields):
                raise FrameError(
                    f"{cls.__name__} has {values!r:.80}, "
                    f"allowed: a list of {len(fields)} fields"
                )
            return cls(
                **{
                    name: self._converter.structure(value, kind)
                    for (name, kind), value in zip(fields, values, strict=True)
                }
            )

        return build

    def register(self, message_type: type) -> None:
        """Register a message class; its name must be unique."""
        if not attrs.has(message_type):
            raise TypeError(f"{message_type!r} is not an attrs class")
        name = message_type.__name__
        known = self._types.setdefault(name, message_type)
        if known is not message_type:
            raise ValueError(f"message name {name!r} is already registered")

    def encode(self, message: Any) -> bytes:
        """Return the msgpack body of a message."""
        return msgpack.packb(self._to_tree(message), use_bin_type=True)

    def _to_tree(self, message: Any) -> Any:
        if message is None:
            return None
        if isinstance(message, messages.Question | messages.Answer):
            inner = self._to_tree(message.body)
            return [type(message).__name__, [message.number, inner]]
        name = type(message).__name__
        if name not in self._types:
            raise ValueError(f"message type {name!r} is not registered")
        return [name, self._converter.unstructure(message)]

    def decode(self, body: bytes) -> Result[Any, StepError]:
        """Decode the msgpack body of a message from a peer."""
        try:
            tree = msgpack.unpackb(body, raw=False, strict_map_key=False)
            return Ok(self._from_tree(tree))
        except Exception as error:
            # Malformed input raises msgpack, cattrs and built-in exceptions,
            # which share no narrower base class.
            detail = f"{type(error).__name__}: {error}"[:200]
            return Err(StepError(step="decode-frame", detail=detail))

    def _from_tree(self, tree: Any, depth: int = 0) -> Any:
        if tree is None and depth:
            return None
        name, fields = tree
        if name in ("Question", "Answer") and depth == 0:
            number, inner = fields
            if not isinstance(number, int):
                raise FrameError(
                    f"number of the question is {number!r}, allowed: int"
                )
            kind = getattr(messages, name)
            return kind(number=number, body=self._from_tree(inner, 1))
        if name not in self._types:
            raise FrameError(f"message type is {name!r}, not registered")
        return self._converter.structure(fields, self._types[name])


class Compressor:
    """Compresses the bodies of one direction of a stream."""

    def __init__(self) -> None:
        self._stream = zlib.compressobj(
            _COMPRESS_LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL
        )

    def compress(self, body: bytes) -> bytes:
        """Return the compressed body, complete up to a sync flush."""
        return self._stream.compress(body) + self._stream.flush(
            zlib.Z_SYNC_FLUSH
        )


class Decompressor:
    """Decompresses the bodies of one direction of a stream."""

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(-_WINDOW_BITS)

    def decompress(self, content: bytes) -> bytes:
        """Return the body.

        Raises FrameError for one of over ``MAX_FRAME_BYTES``, so that a peer
        can't exhaust memory with a small frame.
        """
        try:
            body = self._stream.decompress(content, MAX_FRAME_BYTES)
        except zlib.error as error:
            raise FrameError(f"body is not compressed: {error}") from error
        if self._stream.unconsumed_tail or self._stream.eof:
            raise FrameError(
                f"body exceeds {MAX_FRAME_BYTES} bytes or contains the end of"
                " the deflate stream"
            )
        return body


def derive_key(secret: str, first: bytes, second: bytes) -> bytes:
    """Derive the frame key of one direction.

    Parameters
    ----------
    secret
        Shared secret.
    first, second
        Nonces of the side that sends with the key and of the other side.
    """
    return hmac.digest(secret.encode(), b"frame" + first + second, "sha256")


def derive_secret_id(secret: str) -> str:
    """Return a short digest that identifies a secret without revealing it."""
    digest = hashlib.sha256(b"hawthornmast-secret-id" + secret.encode())
    return digest.hexdigest()[:12]


def sign_frame(key: bytes, sequence: int, body: bytes) -> bytes:
    """Return the signed frame of a body."""
    size = len(body) + MAC_BYTES
    if size > MAX_FRAME_BYTES:
        raise FrameError(
            f"frame has {size} bytes, allowed: {MAX_FRAME_BYTES} or fewer"
        )
    mac = _compute_mac(key, sequence, body)
    return b"".join((LENGTH.pack(size), mac, body))


def verify_frame(key: bytes, sequence: int, content: bytes) -> bytes:
    """Verify the content of a frame and return its body.

    The content is the frame without its length.
    """
    mac, body = content[:MAC_BYTES], content[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(key, sequence, body)):
        raise FrameError("frame is not signed with the session key")
    return body


def _compute_mac(key: bytes, sequence: int, body: bytes) -> bytes:
    content = _SEQUENCE.pack(sequence) + body
    return hmac.digest(key, content, "sha256")[:MAC_BYTES]
