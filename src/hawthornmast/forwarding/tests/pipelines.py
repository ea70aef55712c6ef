"""A server on socket pairs whose handler is scripted by request targets."""

import contextlib
import socket

import attrs
import trio

from hawthornmast.common import Outcome
from hawthornmast.forwarding import ClientLimits
from hawthornmast.forwarding import ConnectionServer
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.connection import ClientConnection
from hawthornmast.forwarding.dialect import NativeDialect
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientResponse


def make_request(target, *, method="GET", headers="", body=b""):
    """Return a serialized request."""
    if body:
        headers += f"Content-Length: {len(body)}\r\n"
    head = f"{method} {target} HTTP/1.1\r\nHost: a\r\n{headers}\r\n"
    return head.encode() + body


class BodyStream:
    """The rest of a streamed response; ``pieces`` may end with an error."""

    def __init__(self, pieces):
        self.pieces = list(pieces)
        self.reads = 0

    async def read(self):
        await trio.lowlevel.checkpoint()
        self.reads += 1
        piece = self.pieces.pop(0) if self.pieces else b""
        if isinstance(piece, Exception):
            raise piece
        return piece

    def discard_body(self):
        pass


class ScriptedHandler:
    """Handles ``/KIND/NAME`` or ``/KIND/NAME/MILLISECONDS``.

    ``read`` may run early, ``once`` may not, ``stream`` streams
    ``stream_pieces``, a number refuses with that status, and ``refuse`` with
    401 before the body is read.
    """

    def __init__(self):
        self.running = set()
        self.started = []
        self.ended = []
        self.overlaps = {}
        self.left = []
        self.stream_pieces = [b"x" * 1000] * 3
        self.streams = []
        self.response_bytes = 0

    def check(self, request):
        if request.target.startswith("/refuse/"):
            return build_error_response(401, "key-missing")
        return None

    def may_run_early(self, request):
        return not request.target.startswith("/once/")

    async def run(self, request, trace, open_scope, deliver):
        _, kind, name, *rest = request.target.split("/")
        if kind.isdigit():
            return build_error_response(int(kind), name)
        self.started.append(name)
        self.overlaps[name] = set(self.running)
        self.running.add(name)
        answer = None
        try:
            with open_scope(request.received_at + 30.0):
                await trio.sleep(int(rest[0]) / 1000 if rest else 0.1)
                body = f"{name}:{len(request.body)};".encode()
                answer = ClientResponse(
                    status=200,
                    outcome=Outcome.COMPLETE,
                    body=body + b"." * self.response_bytes,
                )
                if kind == "stream":
                    answer.streamed = True
                    stream = BodyStream(self.stream_pieces)
                    self.streams.append(stream)
                    answer.truncated = not await deliver(answer, stream)
        finally:
            self.running.discard(name)
        if answer is None:
            if trace.client_disconnected:
                self.left.append(name)
            return build_error_response(504, "deadline")
        self.ended.append(name)
        return answer


@attrs.define
class Response:
    """A response that the client read."""

    status: int
    close: bool
    body: bytes
    whole: bool


def parse_responses(data):
    """Return the responses in ``data``; one cut short is not whole."""
    responses = []
    while data:
        head, separator, data = data.partition(b"\r\n\r\n")
        lines = head.lower().split(b"\r\n")
        assert lines[0].startswith(b"http/1.1 "), lines[0]
        headers = dict(line.split(b": ", 1) for line in lines[1:])
        length = headers.get(b"content-length")
        if length is not None:
            body, data = data[: int(length)], data[int(length) :]
            whole = bool(separator) and len(body) == int(length)
        else:
            body, separator, data = data.partition(b"0\r\n\r\n")
            whole = bool(separator)
        responses.append(
            Response(
                int(lines[0].split()[1]),
                headers.get(b"connection") == b"close",
                body,
                whole,
            )
        )
    return responses


class MemoryServer(ConnectionServer):
    """Server whose clients are connected by socket pairs."""

    reads_ahead = True

    def __init__(self, **limits):
        self.handler = ScriptedHandler()
        self.bad_inputs = []
        super().__init__(
            self.handler,
            NativeDialect(),
            UpstreamClient(),
            limits=ClientLimits(**limits),
            on_bad_input=self.bad_inputs.append,
        )

    def connect(self, nursery):
        """Return the client's end of a new connection."""
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        connection = ClientConnection(self, ours, "client")
        nursery.start_soon(self._serve_pair, connection)
        return trio.socket.from_stdlib_socket(theirs)

    async def _serve_pair(self, connection):
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)


async def read_to_end(client):
    """Return all bytes until the connection ends."""
    received = b""
    with contextlib.suppress(OSError):
        while part := await client.recv(65_536):
            received += part
    return received


@contextlib.asynccontextmanager
async def run_memory_server(**limits):
    """Run a server; check that it holds nothing once clients have left."""
    server = MemoryServer(**limits)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        yield server, nursery
        with trio.fail_after(5):
            while server.connections or server.handler.running:
                await trio.sleep(0.01)
        assert server.buffered_body_bytes == 0
        assert server.response_memory.held_bytes == 0
        assert not server.busy
        await server.close()
