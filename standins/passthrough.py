"""A plain pass-through without decisions, the baseline of speed."""

import argparse
from collections import deque
from collections.abc import Iterable
import functools
import itertools

import h11
import trio

_READ_BYTES = 65536
_HOP_BY_HOP = {b"connection", b"keep-alive", b"transfer-encoding"}


class PassThrough:
    """Forwards each request to the next upstream of a fixed list."""

    def __init__(self, upstreams: list[tuple[str, int]]) -> None:
        self._next = itertools.cycle(upstreams)
        self._idle: dict[
            tuple[str, int], deque[tuple[trio.SocketStream, h11.Connection]]
        ] = {address: deque() for address in upstreams}

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection of a client."""
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(stream, connection):
                connection.start_next_cycle()
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_one(
        self, stream: trio.SocketStream, connection: h11.Connection
    ) -> bool:
        head, body = await _read(stream, connection)
        if not isinstance(head, h11.Request):
            return False
        address = next(self._next)
        idle = self._idle[address]
        if idle:
            upstream, theirs = idle.pop()
        else:
            upstream = await trio.open_tcp_stream(*address)
            theirs = h11.Connection(h11.CLIENT)
        kept = False
        try:
            request = h11.Request(
                method=head.method,
                target=head.target,
                headers=_filter(head.headers),
            )
            await _write(upstream, theirs, request, body)
            answer, content = await _read(upstream, theirs)
            if not isinstance(answer, h11.Response):
                return False
            if theirs.our_state is theirs.their_state is h11.DONE:
                theirs.start_next_cycle()
                idle.append((upstream, theirs))
                kept = True
        finally:
            if not kept:
                await trio.aclose_forcefully(upstream)
        response = h11.Response(
            status_code=answer.status_code, headers=_filter(answer.headers)
        )
        await _write(stream, connection, response, content)
        return (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )


def _filter(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    return [pair for pair in headers if pair[0] not in _HOP_BY_HOP]


async def _read(
    stream: trio.SocketStream, connection: h11.Connection
) -> tuple[h11.Event | None, bytes]:
    head: h11.Event | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(_READ_BYTES))
        elif isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return head, body
        elif isinstance(event, h11.ConnectionClosed):
            return None, b""


async def _write(
    stream: trio.SocketStream,
    connection: h11.Connection,
    head: h11.Request | h11.Response,
    body: bytes,
) -> None:
    data = connection.send(head) or b""
    if body:
        data += connection.send(h11.Data(data=body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    await stream.send_all(data)


def main() -> None:
    """Run the pass-through as a process."""
    parser = argparse.ArgumentParser(prog="standins.passthrough")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("upstreams", nargs="+", help="as host:port")
    options = parser.parse_args()
    upstreams = []
    for text in options.upstreams:
        host, _, port = text.rpartition(":")
        upstreams.append((host, int(port)))
    proxy = PassThrough(upstreams)
    trio.run(
        functools.partial(
            trio.serve_tcp, proxy.serve, options.port, host=options.host
        )
    )


if __name__ == "__main__":
    main()
