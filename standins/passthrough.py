"""A proxy without routing decisions, the baseline of the benchmarks."""

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
    """Forwards requests round-robin to a fixed list of upstreams."""

    def __init__(self, upstreams: list[tuple[str, int]]) -> None:
        self._upstreams = itertools.cycle(upstreams)
        self._idle: dict[
            tuple[str, int], deque[tuple[trio.SocketStream, h11.Connection]]
        ] = {address: deque() for address in upstreams}

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one client connection."""
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
        head, body = await _read_message(stream, connection)
        if not isinstance(head, h11.Request):
            return False
        address = next(self._upstreams)
        idle = self._idle[address]
        if idle:
            upstream, upstream_connection = idle.pop()
        else:
            upstream = await trio.open_tcp_stream(*address)
            upstream_connection = h11.Connection(h11.CLIENT)
        reusable = False
        try:
            request = h11.Request(
                method=head.method,
                target=head.target,
                headers=_remove_hop_by_hop(head.headers),
            )
            await _write_message(upstream, upstream_connection, request, body)
            upstream_response, response_body = await _read_message(
                upstream, upstream_connection
            )
            if not isinstance(upstream_response, h11.Response):
                return False
            if (
                upstream_connection.our_state
                is upstream_connection.their_state
                is h11.DONE
            ):
                upstream_connection.start_next_cycle()
                idle.append((upstream, upstream_connection))
                reusable = True
        finally:
            if not reusable:
                await trio.aclose_forcefully(upstream)
        response = h11.Response(
            status_code=upstream_response.status_code,
            headers=_remove_hop_by_hop(upstream_response.headers),
        )
        await _write_message(stream, connection, response, response_body)
        return (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )


def _remove_hop_by_hop(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    return [pair for pair in headers if pair[0] not in _HOP_BY_HOP]


async def _read_message(
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


async def _write_message(
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
    """Run the proxy as a process."""
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
