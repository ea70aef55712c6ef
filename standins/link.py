"""Relays between daemons and to the platform, with cuts by direction.

A cut holds the bytes of one direction back instead of ending the stream, as
a network does that loses every packet; what was held arrives after the cut
is healed.
"""

import argparse
import functools
import json
from typing import Any

import msgpack
import trio

from hawthornmast import http
from hawthornmast.peers import codec

_READ_BYTES = 65536
HELLO_S = 5.0


class Relays:
    """Streams between daemons, by the pair of their identifiers.

    Attributes
    ----------
    cuts
        Ordered pairs (source, destination) whose bytes are held back.
    streams
        Number of streams that were forwarded so far.
    """

    def __init__(self) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.streams = 0
        self._changed = trio.Event()

    def set_cuts(self, cuts: set[tuple[str, str]]) -> None:
        """Hold back exactly these directions."""
        self.cuts = set(cuts)
        self._changed.set()
        self._changed = trio.Event()

    async def wait_open(self, source: str, destination: str) -> None:
        """Wait until bytes may pass in this direction."""
        while (source, destination) in self.cuts:
            await self._changed.wait()

    async def forward(
        self,
        owner: str,
        host: str,
        port: int,
        stream: trio.SocketStream,
        *,
        dialer: str = "",
    ) -> None:
        """Serve one stream that a daemon dialed to ``owner``.

        Without the dialer's name, the first frame of the stream tells it.
        """
        other: trio.SocketStream | None = None
        hello = b""
        try:
            if not dialer:
                with trio.move_on_after(HELLO_S):
                    hello = await read_hello(stream)
                if not hello:
                    return
                dialer = name_dialer(hello)
            # A connection is made only when both directions work.
            while {(dialer, owner), (owner, dialer)} & self.cuts:
                await self._changed.wait()
            other = await trio.open_tcp_stream(host, port)
            await other.send_all(hello)
            self.streams += 1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, stream, other, dialer, owner)
                nursery.start_soon(self._pump, other, stream, owner, dialer)
        except (OSError, ValueError, trio.BrokenResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)
            if other is not None:
                await trio.aclose_forcefully(other)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        source_id: str,
        sink_id: str,
    ) -> None:
        try:
            while data := await source.receive_some(_READ_BYTES):
                await self.wait_open(source_id, sink_id)
                await sink.send_all(data)
            await self.wait_open(source_id, sink_id)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The other direction ends too, since its peer is gone.
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(sink)

    async def handle_control(self, request: http.Request) -> http.Response:
        """Answer on the control port: POST /cuts with a list of pairs."""
        if request.path != "/cuts":
            return http.json_response({"error": "no such page"}, status=404)
        if request.method == "POST":
            pairs: list[Any] = json.loads(request.body)
            self.set_cuts({(str(a), str(b)) for a, b in pairs})
        return http.json_response(
            {"cuts": sorted(self.cuts), "streams": self.streams}
        )


async def read_hello(stream: trio.SocketStream) -> bytes:
    """Return the first frame of a stream, or nothing if it ends early."""
    content = b""
    size = codec.LENGTH.size
    while len(content) < size:
        data = await stream.receive_some(size - len(content))
        if not data:
            return b""
        content += data
        if len(content) == codec.LENGTH.size:
            (length,) = codec.LENGTH.unpack(content)
            if not 0 < length <= codec.MAX_HELLO_BYTES:
                return b""
            size += length
    return content


def name_dialer(hello: bytes) -> str:
    """Return the instance identifier that a hello carries."""
    return str(msgpack.unpackb(hello[codec.LENGTH.size :], raw=False)[0])


async def run_process(options: argparse.Namespace) -> None:
    """Serve all relays and the control port until the process ends."""
    relays = Relays()
    serve = functools.partial(
        http.serve_connection, handler=relays.handle_control
    )
    async with trio.open_nursery() as nursery:
        for text in options.relay:
            owner, port, target = text.split("=")
            dialer, _, owner = owner.rpartition(":")
            forward = functools.partial(
                relays.forward,
                owner,
                options.host,
                int(target),
                dialer=dialer,
            )
            await nursery.start(
                functools.partial(
                    trio.serve_tcp, forward, int(port), host=options.host
                )
            )
        await nursery.start(
            functools.partial(
                trio.serve_tcp,
                serve,
                options.control_port,
                host=options.host,
            )
        )


def main() -> None:
    """Run the relays as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument(
        "relay",
        nargs="+",
        help="[dialer:]owner=port=port of the owner; the dialer must be named"
        " when it does not open its streams with a hello of a daemon",
    )
    trio.run(run_process, parser.parse_args())


if __name__ == "__main__":
    main()
