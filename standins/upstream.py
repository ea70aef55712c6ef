"""A stand-in for an upstream, with faults that can be set while it runs."""

import argparse
from collections.abc import Callable
import functools
import json
import logging
import random
import time
from typing import Any

import attrs
import h11
import trio

from hawthornmast import http
from standins.bodies import make_body
from standins.faults import Faults

_log = logging.getLogger(__name__)
_HEALTH_PATHS = {b"/health", b"/load"}


@attrs.define(kw_only=True)
class Execution:
    """One execution of a request, as the log shows it."""

    key: str
    method: str
    target: str
    start: float
    end: float | None = None
    cancelled: bool = False
    timeout_ms: str = ""


class UpstreamStandIn:
    """An upstream that can be used within a test or as a process.

    Parameters
    ----------
    slots
        Requests that it runs at once; more are shed.
    connections
        Connections at once; more are closed.
    max_log
        Executions kept, the newest ones.
    """

    key_name = b"x-request-key"
    echoed_name = b"hawthornmast-request-id"
    timeout_name = b"hawthornmast-timeout-ms"
    certificate = (b"Upstream-Not-Run", b"1")

    def __init__(
        self,
        *,
        slots: int = 4,
        connections: int = 400,
        faults: Faults | None = None,
        seed: int = 0,
        max_log: int = 1_000_000,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.faults = faults or Faults()
        self.log: list[Execution] = []
        self.requests: list[h11.Request] = []
        self.busy = 0
        self.shed = 0
        self.accepted = 0
        self.open = 0
        self.port = 0
        self._slots = slots
        self._connections = connections
        self._random = random.Random(seed)
        self._max_log = max_log
        self._clock = clock
        self._started = clock()
        self._previous: tuple[list[tuple[bytes, bytes]], bytes] | None = None

    def count_runs(self, key: str) -> int:
        """Return how often a request was run."""
        return sum(1 for run in self.log if run.key == key)

    async def start(
        self, nursery: trio.Nursery, *, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        """Listen and serve in the nursery."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def handle_control(self, request: http.Request) -> http.Response:
        """Answer on the control port: /log, /counts and /faults."""
        if request.path == "/log":
            return http.json_response([attrs.asdict(run) for run in self.log])
        if request.path == "/counts":
            return http.json_response(
                {
                    "runs": len(self.log),
                    "shed": self.shed,
                    "accepted": self.accepted,
                    "open": self.open,
                    "busy": self.busy,
                }
            )
        if request.path == "/faults" and request.method == "POST":
            return self._set_faults(request.body)
        return http.json_response({"error": "no such page"}, status=404)

    def _set_faults(self, body: bytes) -> http.Response:
        try:
            values: dict[str, Any] = json.loads(body)
            self.faults = attrs.evolve(self.faults, **values)
        except (ValueError, TypeError) as error:
            return http.json_response({"error": str(error)}, status=400)
        return http.json_response(attrs.asdict(self.faults))

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.accepted += 1
        if self.open >= self._connections:
            await trio.aclose_forcefully(stream)
            return
        self.open += 1
        connection = h11.Connection(h11.SERVER)
        reused = False
        try:
            while await self._serve_one(stream, connection, reused):
                connection.start_next_cycle()
                reused = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.RemoteProtocolError:
            _log.debug("event=bad-request")
        finally:
            self.open -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_one(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        reused: bool,
    ) -> bool:
        request: h11.Request | None = None
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(65536)
                if data and reused and self.faults.refuse_reused:
                    return False
                connection.receive_data(bytes(data))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        assert request is not None
        if request.target in _HEALTH_PATHS:
            return await self._answer_health(stream, connection, request)
        self.requests.append(request)
        del self.requests[: -self._max_log]
        return await self._run(stream, connection, request, body)

    async def _answer_health(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: h11.Request,
    ) -> bool:
        faults = self.faults
        load = self.busy / self._slots if faults.load is None else faults.load
        status = 200 if faults.health is None else faults.health
        leaving = faults.leaving or faults.leaving_health
        text = json.dumps({"load": load, "leaving": leaving}).encode()
        return await self._send(
            stream, connection, request, status, [], text, Faults()
        )

    async def _run(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: h11.Request,
        body: bytes,
    ) -> bool:
        faults = self.faults
        names = dict(request.headers)
        key = names.get(self.key_name, b"").decode("latin-1")
        if faults.mute and not faults.run_muted:
            await self._wait_closed(stream)
            return False
        headers = [
            (self.key_name, key.encode("latin-1")),
            (self.echoed_name, names.get(self.echoed_name, b"")),
        ]
        rejected = self.reject(names)
        if rejected is not None:
            headers += rejected[1]
            return await self._send(
                stream, connection, request, rejected[0], headers, b"", faults
            )
        if self.busy >= self._slots or faults.shed_all:
            self.shed += 1
            if faults.certified:
                headers.append(self.certificate)
            return await self._send(
                stream, connection, request, 503, headers, b"busy", faults
            )
        run = Execution(
            key=key,
            method=request.method.decode(),
            target=request.target.decode(),
            start=self._clock(),
            timeout_ms=names.get(self.timeout_name, b"").decode(),
        )
        self.log.append(run)
        if len(self.log) > self._max_log:
            del self.log[: self._max_log // 2]
        self.busy += 1
        try:
            in_time = await self._work(stream, run)
        finally:
            self.busy -= 1
            run.end = self._clock()
        if faults.mute:
            await self._wait_closed(stream)
        if run.cancelled or faults.mute or faults.cut == "none":
            return False
        if faults.late_s:
            await trio.sleep(faults.late_s)
        status = faults.status if in_time else 504
        if self._random.random() < faults.error_rate:
            status = 500
        text = f"key={key} method={run.method} length={len(body)}\n".encode()
        text = text.ljust(faults.body_bytes, b".")
        if faults.keyed_bytes:
            text = make_body(key, faults.keyed_bytes)
        headers += self.sign(key, text)
        previous, self._previous = self._previous, (headers, text)
        if faults.crossed and previous is not None:
            headers, text = previous
        return await self._send(
            stream, connection, request, status, headers, text, faults
        )

    def reject(
        self, names: dict[bytes, bytes]
    ) -> tuple[int, list[tuple[bytes, bytes]]] | None:
        """Return the status and headers that refuse a request."""
        del names
        return None

    def sign(self, key: str, text: bytes) -> list[tuple[bytes, bytes]]:
        """Return the headers that mark the answer of a run."""
        del key, text
        return []

    async def _work(self, stream: trio.SocketStream, run: Execution) -> bool:
        """Take the service time; return whether the deadline was met."""
        faults = self.faults
        work_s = faults.service_s * faults.slow_factor
        if self._clock() - self._started < faults.cold_s:
            work_s *= faults.cold_factor
        if work_s <= 0:
            return True
        limit_s = work_s
        if run.timeout_ms:
            limit_s = min(work_s, int(run.timeout_ms) / 1000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, stream, run, nursery)
            await trio.sleep(limit_s)
            nursery.cancel_scope.cancel()
        return limit_s >= work_s

    async def _watch(
        self, stream: trio.SocketStream, run: Execution, nursery: trio.Nursery
    ) -> None:
        await self._wait_closed(stream)
        run.cancelled = True
        nursery.cancel_scope.cancel()

    async def _wait_closed(self, stream: trio.SocketStream) -> None:
        try:
            while await stream.receive_some(1024):
                pass
        except trio.BrokenResourceError:
            pass

    async def _send(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: h11.Request,
        status: int,
        headers: list[tuple[bytes, bytes]],
        text: bytes,
        faults: Faults,
    ) -> bool:
        """Send an answer; return whether the connection may be kept."""
        headers = list(headers)
        if faults.leaving:
            headers.append((b"Upstream-State", b"leaving"))
        for name, value in faults.extra_headers:
            headers.append((name.encode(), value.encode()))
        if faults.informational:
            await stream.send_all(b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n")
        if faults.cut or faults.old or faults.two_lengths:
            await stream.send_all(_write_raw(status, headers, text, faults))
            return False
        if not faults.chunked:
            headers.append((b"Content-Length", b"%d" % len(text)))
        data = (
            connection.send(h11.Response(status_code=status, headers=headers))
            or b""
        )
        if request.method != b"HEAD" and status not in (204, 304):
            data += connection.send(h11.Data(data=text)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        await stream.send_all(data)
        return (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )


def _write_raw(
    status: int,
    headers: list[tuple[bytes, bytes]],
    text: bytes,
    faults: Faults,
) -> bytes:
    """Return an answer with faulty framing."""
    version = b"1.0" if faults.old else b"1.1"
    lines = [b"HTTP/%s %d Answer" % (version, status)]
    lines += [name + b": " + value for name, value in headers]
    body = text
    if faults.cut == "short":
        lines.append(b"Content-Length: %d" % (len(text) + 10))
    elif faults.cut == "chunked":
        lines.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n" % (len(text), text)
    elif faults.cut != "close":
        lines.append(b"Content-Length: %d" % len(text))
    if faults.two_lengths:
        lines.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(text), text)
    whole = b"\r\n".join(lines) + b"\r\n\r\n" + body
    return whole[:30] if faults.cut == "head" else whole


async def run_process(options: argparse.Namespace) -> None:
    """Serve on both ports until the process ends."""
    faults = Faults(
        service_s=options.service_ms / 1000,
        cold_s=options.cold_s,
        error_rate=options.error_rate,
        keyed_bytes=options.keyed_bytes,
    )
    standin = UpstreamStandIn(
        slots=options.slots,
        connections=options.connections,
        faults=faults,
        seed=options.seed,
        max_log=options.max_log,
        # One clock for all processes, so that their logs can be compared.
        clock=time.monotonic,
    )
    serve = functools.partial(
        http.serve_connection, handler=standin.handle_control
    )
    async with trio.open_nursery() as nursery:
        await standin.start(nursery, host=options.host, port=options.port)
        if options.control_port:
            await nursery.start(
                functools.partial(
                    trio.serve_tcp,
                    serve,
                    options.control_port,
                    host=options.host,
                )
            )


def main() -> None:
    """Run one stand-in as a process."""
    parser = argparse.ArgumentParser(prog="standins.upstream")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument("--service-ms", type=float, default=0.0)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--error-rate", type=float, default=0.0)
    parser.add_argument("--keyed-bytes", type=int, default=0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--max-log", type=int, default=1_000_000)
    trio.run(run_process, parser.parse_args())


if __name__ == "__main__":
    main()
