"""Authenticated stream to one peer."""

from collections.abc import Iterable
import os
from typing import Any

import msgpack
import trio

from hawthornmast.peers import codec
from hawthornmast.peers import messages

_READ_BYTES = 65536


class Session:
    """A stream whose two sides authenticate with a shared secret.

    Each direction has its own key, derived from the secret and both nonces.
    A frame's signature covers its sequence number, so that frames can't be
    replayed, reordered or reflected.

    Parameters
    ----------
    stream
        Connected stream.
    message_codec
        Codec with all message types that may be received.
    """

    def __init__(
        self, stream: trio.abc.Stream, message_codec: codec.MessageCodec
    ) -> None:
        self._stream = stream
        self._codec = message_codec
        self._buffer = bytearray()
        self._send_key = b""
        self._receive_key = b""
        self._send_sequence = 0
        self._receive_sequence = 0
        self._compressor = codec.Compressor()
        self._decompressor = codec.Decompressor()
        self.peer_id = ""
        self.peer_incarnation = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def authenticate(
        self,
        *,
        instance_id: str,
        incarnation: int,
        secrets: tuple[str, ...],
        initiator: bool,
    ) -> None:
        """Exchange hellos and prove possession of the secret.

        The initiator uses its first secret. The other side accepts any
        secret of its list, so that secrets can be rotated without downtime.

        Raises
        ------
        FrameError
            When the peer violates the protocol or shares no secret.
        """
        nonce = os.urandom(16)
        by_id = {codec.derive_secret_id(secret): secret for secret in secrets}
        if initiator:
            secret_id = codec.derive_secret_id(secrets[0])
            await self._send_hello(instance_id, incarnation, nonce, secret_id)
            hello = await self._receive_hello()
        else:
            hello = await self._receive_hello()
            secret_id = hello.secret_id
            await self._send_hello(instance_id, incarnation, nonce, secret_id)
        if hello.secret_id != secret_id or secret_id not in by_id:
            raise codec.FrameError(
                f"secret_id is {hello.secret_id!r}, not among the "
                f"{len(secrets)} accepted"
            )
        secret = by_id[secret_id]
        self._send_key = codec.derive_key(secret, nonce, hello.nonce)
        self._receive_key = codec.derive_key(secret, hello.nonce, nonce)
        self.peer_id = hello.instance_id
        self.peer_incarnation = hello.incarnation
        # The hello isn't trusted until the peer's first signed frame has been
        # verified.
        await self.send(messages.Heartbeat(incarnation=incarnation))
        proof = await self.receive()
        if (
            not isinstance(proof, messages.Heartbeat)
            or proof.incarnation != hello.incarnation
        ):
            raise codec.FrameError("first signed frame is not a heartbeat")

    async def send(self, message: Any) -> None:
        """Send one message."""
        await self.send_batch([message])

    async def send_batch(self, batch: Iterable[Any]) -> None:
        """Send several messages in a single write."""
        frames = bytearray()
        for message in batch:
            body = self._compressor.compress(self._codec.encode(message))
            frames += codec.sign_frame(
                self._send_key, self._send_sequence, body
            )
            self._send_sequence += 1
        await self._stream.send_all(frames)
        self.bytes_sent += len(frames)

    async def receive(self) -> Any:
        """Return the next message.

        Raises
        ------
        FrameError
            When a frame is too long, truncated, malformed or has a wrong
            signature.
        trio.EndOfChannel
            When the peer closed the stream between two frames.
        """
        content = await self._receive_content(codec.MAX_FRAME_BYTES)
        body = codec.verify_frame(
            self._receive_key, self._receive_sequence, content
        )
        self._receive_sequence += 1
        decoded = self._codec.decode(self._decompressor.decompress(body))
        if decoded.is_err():
            raise codec.FrameError(str(decoded.unwrap_err()))
        return decoded.unwrap()

    async def close(self) -> None:
        """Close the stream."""
        with trio.move_on_after(0.1):
            await self._stream.aclose()

    async def _send_hello(
        self, instance_id: str, incarnation: int, nonce: bytes, secret_id: str
    ) -> None:
        body = msgpack.packb([instance_id, incarnation, nonce, secret_id])
        await self._stream.send_all(codec.LENGTH.pack(len(body)) + body)

    async def _receive_hello(self) -> messages.Hello:
        content = await self._receive_content(codec.MAX_HELLO_BYTES)
        try:
            instance_id, incarnation, nonce, secret_id = msgpack.unpackb(
                content, raw=False
            )
        except Exception as error:
            raise codec.FrameError(f"malformed hello: {error}") from error
        values = (instance_id, incarnation, nonce, secret_id)
        kinds = (str, int, bytes, str)
        if any(
            not isinstance(value, kind)
            for value, kind in zip(values, kinds, strict=True)
        ):
            raise codec.FrameError("malformed hello: wrong field types")
        if not instance_id or len(nonce) != 16:
            raise codec.FrameError("malformed hello: empty id or short nonce")
        return messages.Hello(
            instance_id=instance_id,
            incarnation=incarnation,
            nonce=nonce,
            secret_id=secret_id,
        )

    async def _receive_content(self, limit: int) -> bytes:
        header = await self._read(codec.LENGTH.size, at_boundary=True)
        (size,) = codec.LENGTH.unpack(header)
        if not 0 < size <= limit:
            raise codec.FrameError(
                f"frame length is {size}, allowed: 1 to {limit}"
            )
        return await self._read(size, at_boundary=False)

    async def _read(self, size: int, *, at_boundary: bool) -> bytes:
        while len(self._buffer) < size:
            data = await self._stream.receive_some(_READ_BYTES)
            if not data:
                if at_boundary and not self._buffer:
                    raise trio.EndOfChannel
                raise codec.FrameError("stream ended within a frame")
            self.bytes_received += len(data)
            self._buffer += data
        content = bytes(self._buffer[:size])
        del self._buffer[:size]
        return content
