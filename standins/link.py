"""TCP proxies between daemons and to the platform, with one-way cuts.

A cut holds back the bytes of one direction without closing the connection, as
a network does that drops every packet. The bytes held back are delivered once
the cut is removed.
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
HELLO_TIMEOUT_S = 5.0


class LinkProxy:
    """Forwards streams and can cut each direction of a pair of daemons.

    Attributes
    ----------
    cuts
        Ordered pairs (source, destination) whose bytes are held back.
    streams
        Number of streams forwarded so far.
    """

    def __init__(self) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.streams = 0
        self._cuts_changed = trio.Event()

    def set_cuts(self, cuts: set[tuple[str, str]]) -> None:
        """Replace the set of cut directions."""
        self.cuts = set(cuts)
        self._cuts_changed.set()
        self._cuts_changed = trio.Event()

    async def wait_until_restored(self, source: str, destination: str) -> None:
        """Wait until this direction is not cut."""
        while (source, destination) in self.cuts:
            await self._cuts_changed.wait()

    async def forward(
        self,
        destination: str,
        host: str,
        port: int,
        stream: trio.SocketStream,
        *,
        dialer: str = "",
    ) -> None:
        """Forward one stream from its dialer to ``destination``.

        Without ``dialer``, its identifier is read from the hello frame that
        opens the stream.
        """
        outbound: trio.SocketStream | None = None
        hello_frame = b""
        try:
            if not dialer:
                with trio.move_on_after(HELLO_TIMEOUT_S):
                    hello_frame = await read_hello(stream)
                if not hello_frame:
                    return
                dialer = parse_dialer_id(hello_frame)
            # A TCP handshake needs both directions.
            while {(dialer, destination), (destination, dialer)} & self.cuts:
                await self._cuts_changed.wait()
            outbound = await trio.open_tcp_stream(host, port)
            await outbound.send_all(hello_frame)
            self.streams += 1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._copy, stream, outbound, dialer, destination
                )
                nursery.start_soon(
                    self._copy, outbound, stream, destination, dialer
                )
        except (OSError, ValueError, trio.BrokenResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)
            if outbound is not None:
                await trio.aclose_forcefully(outbound)

    async def _copy(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        source_id: str,
        destination_id: str,
    ) -> None:
        try:
            while data := await source.receive_some(_READ_BYTES):
                await self.wait_until_restored(source_id, destination_id)
                await destination.send_all(data)
            await self.wait_until_restored(source_id, destination_id)
            await destination.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # With one end of the connection gone, neither direction can go on.
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(destination)

    async def handle_control(self, request: http.Request) -> http.Response:
        """Serve ``/cuts`` on the control port.

        GET returns the cuts; POST replaces them by a list of pairs.
        """
        if request.path != "/cuts":
            return http.json_response({"error": "unknown path"}, status=404)
        if request.method == "POST":
            pairs: list[Any] = json.loads(request.body)
            self.set_cuts({(str(a), str(b)) for a, b in pairs})
        return http.json_response(
            {"cuts": sorted(self.cuts), "streams": self.streams}
        )


async def read_hello(stream: trio.SocketStream) -> bytes:
    """Return the first frame of a stream with its length prefix.

    Returns empty bytes when the stream ends early or the length is out of
    bounds.
    """
    frame = b""
    size = codec.LENGTH.size
    while len(frame) < size:
        data = await stream.receive_some(size - len(frame))
        if not data:
            return b""
        frame += data
        if len(frame) == codec.LENGTH.size:
            (length,) = codec.LENGTH.unpack(frame)
            if not 0 < length <= codec.MAX_HELLO_BYTES:
                return b""
            size += length
    return frame


def parse_dialer_id(hello_frame: bytes) -> str:
    """Return the instance identifier of the dialer in a hello frame."""
    return str(msgpack.unpackb(hello_frame[codec.LENGTH.size :], raw=False)[0])


async def run_process(options: argparse.Namespace) -> None:
    """Run one proxy per relay option, and the control port, until the end."""
    proxy = LinkProxy()
    serve = functools.partial(
        http.serve_connection, handler=proxy.handle_control
    )
    async with trio.open_nursery() as nursery:
        for specification in options.relay:
            pair, listen_port, destination_port = specification.split("=")
            dialer, _, destination = pair.rpartition(":")
            forward = functools.partial(
                proxy.forward,
                destination,
                options.host,
                int(destination_port),
                dialer=dialer,
            )
            await nursery.start(
                functools.partial(
                    trio.serve_tcp,
                    forward,
                    int(listen_port),
                    host=options.host,
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
    """Run the proxies as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument(
        "relay",
        nargs="+",
        help="[dialer:]destination=listening port=destination port; the"
        " dialer is required unless its streams start with the hello frame of"
        " a daemon",
    )
    trio.run(run_process, parser.parse_args())


if __name__ == "__main__":
    main()
