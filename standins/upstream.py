"""A stand-in for an upstream, with faults that can be set at run time."""

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
from standins.responses import format_faulty_response
from standins.responses import make_late_copy
from standins.responses import replace_status
from standins.responses import send_endless

_log = logging.getLogger(__name__)
_HEALTH_PATHS = {b"/health", b"/load"}


@attrs.define(kw_only=True)
class Execution:
    """One execution of a request, as served at ``/log``."""

    key: str
    method: str
    target: str
    start: float
    end: float | None = None
    cancelled: bool = False
    timeout_ms: str = ""


class UpstreamStandIn:
    """An upstream that runs within a test or as a process.

    Parameters
    ----------
    slots
        Maximum number of concurrent requests; more are shed.
    connections
        Maximum number of open connections; more are closed.
    max_log
        Maximum number of executions and of requests kept, the newest ones.
    """

    key_header = b"x-request-key"
    echoed_header = b"hawthornmast-request-id"
    timeout_header = b"hawthornmast-timeout-ms"
    not_run_header = (b"Upstream-Not-Run", b"1")

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
        self.executions: list[Execution] = []
        self.requests: list[h11.Request] = []
        self.active_requests = 0
        self.shed_requests = 0
        self.accepted_connections = 0
        self.open_connections = 0
        self.port = 0
        self._slots = slots
        self._max_connections = connections
        self._random = random.Random(seed)
        self._max_log = max_log
        self._clock = clock
        self._started = clock()
        self._last_responses: dict[trio.SocketStream, bytes] = {}
        self._previous_response: (
            tuple[list[tuple[bytes, bytes]], bytes] | None
        ) = None

    def count_executions(self, key: str) -> int:
        """Return the number of executions of the request with this key."""
        return sum(1 for item in self.executions if item.key == key)

    async def start(
        self, nursery: trio.Nursery, *, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        """Listen and serve in the nursery."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def handle_control(self, request: http.Request) -> http.Response:
        """Serve ``/log``, ``/counts`` and ``/faults`` on the control port."""
        if request.path == "/log":
            return http.json_response(
                [attrs.asdict(execution) for execution in self.executions]
            )
        if request.path == "/counts":
            return http.json_response(
                {
                    "runs": len(self.executions),
                    "shed": self.shed_requests,
                    "accepted": self.accepted_connections,
                    "open": self.open_connections,
                    "busy": self.active_requests,
                }
            )
        if request.path == "/faults" and request.method == "POST":
            return self._set_faults(request.body)
        return http.json_response({"error": "unknown path"}, status=404)

    def _set_faults(self, body: bytes) -> http.Response:
        try:
            values: dict[str, Any] = json.loads(body)
            self.faults = attrs.evolve(self.faults, **values)
        except (ValueError, TypeError) as error:
            return http.json_response({"error": str(error)}, status=400)
        return http.json_response(attrs.asdict(self.faults))

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.accepted_connections += 1
        if self.open_connections >= self._max_connections:
            await trio.aclose_forcefully(stream)
            return
        self.open_connections += 1
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
            self.open_connections -= 1
            self._last_responses.pop(stream, None)
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
            return await self._respond_health(stream, connection, request)
        self.requests.append(request)
        del self.requests[: -self._max_log]
        return await self._run(stream, connection, request, body)

    async def _respond_health(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: h11.Request,
    ) -> bool:
        faults = self.faults
        load = (
            self.active_requests / self._slots
            if faults.load is None
            else faults.load
        )
        status = 200 if faults.health is None else faults.health
        leaving = faults.leaving or faults.leaving_health
        content = json.dumps({"load": load, "leaving": leaving}).encode()
        return await self._send(
            stream,
            connection,
            request,
            status,
            [],
            content,
            Faults(status_text=faults.status_text),
        )

    async def _run(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: h11.Request,
        body: bytes,
    ) -> bool:
        faults = self.faults
        request_headers = dict(request.headers)
        key = request_headers.get(self.key_header, b"").decode("latin-1")
        await self._send_late_copy(stream, faults)
        if faults.mute and not faults.run_muted:
            await self._wait_until_closed(stream)
            return False
        headers = [
            (self.key_header, key.encode("latin-1")),
            (self.echoed_header, request_headers.get(self.echoed_header, b"")),
        ]
        rejection = self.reject(request_headers)
        if rejection is not None:
            headers += rejection[1]
            return await self._send(
                stream, connection, request, rejection[0], headers, b"", faults
            )
        if self.active_requests >= self._slots or faults.shed_all:
            self.shed_requests += 1
            if faults.certified:
                headers.append(self.not_run_header)
            return await self._send(
                stream, connection, request, 503, headers, b"busy", faults
            )
        execution = Execution(
            key=key,
            method=request.method.decode(),
            target=request.target.decode(),
            start=self._clock(),
            timeout_ms=request_headers.get(self.timeout_header, b"").decode(),
        )
        self.executions.append(execution)
        if len(self.executions) > self._max_log:
            del self.executions[: self._max_log // 2]
        if faults.stale_refusal:
            stale = [self.not_run_header]
            if faults.stale_key:
                stale.append((self.key_header, faults.stale_key.encode()))
            return await self._send(
                stream,
                connection,
                request,
                faults.stale_status,
                stale,
                b"busy",
                faults,
            )
        self.active_requests += 1
        try:
            in_time = await self._simulate_work(stream, execution)
        finally:
            self.active_requests -= 1
            execution.end = self._clock()
        if faults.mute:
            await self._wait_until_closed(stream)
        if execution.cancelled or faults.mute or faults.cut == "none":
            return False
        if faults.late_s:
            await trio.sleep(faults.late_s)
        status = faults.status if in_time else 504
        if self._random.random() < faults.error_rate:
            status = 500
        content = (
            f"key={key} method={execution.method} length={len(body)}\n"
        ).encode()
        content = content.ljust(faults.body_bytes, b".")
        if faults.keyed_bytes:
            content = make_body(key, faults.keyed_bytes)
        headers += self.make_extra_headers(key, content)
        previous, self._previous_response = (
            self._previous_response,
            (headers, content),
        )
        if faults.crossed and previous is not None:
            headers, content = previous
        if faults.endless:
            await send_endless(stream, status, headers, faults)
            return False
        return await self._send(
            stream, connection, request, status, headers, content, faults
        )

    def last_response_bytes(self) -> int:
        """Return the length of the longest last response on a connection."""
        return max(map(len, self._last_responses.values()), default=0)

    async def _send_late_copy(
        self, stream: trio.SocketStream, faults: Faults
    ) -> None:
        """Send a copy of the last response on a connection, if it is a fault.

        It comes late, when the connection is in use again.
        """
        copy = self._last_responses.get(stream, b"")
        if not copy or not faults.late_copy:
            return
        names = (self.key_header, self.echoed_header)
        copy = make_late_copy(copy, faults, names)
        await stream.send_all(copy)

    def reject(
        self, request_headers: dict[bytes, bytes]
    ) -> tuple[int, list[tuple[bytes, bytes]]] | None:
        """Return status and headers to reject a request with, or None."""
        del request_headers
        return None

    def make_extra_headers(
        self, key: str, content: bytes
    ) -> list[tuple[bytes, bytes]]:
        """Return additional headers for the response of an execution."""
        del key, content
        return []

    async def _simulate_work(
        self, stream: trio.SocketStream, execution: Execution
    ) -> bool:
        """Sleep for the service time; return whether the deadline was met."""
        faults = self.faults
        work_s = faults.service_s * faults.slow_factor
        if self._clock() - self._started < faults.cold_s:
            work_s *= faults.cold_factor
        if work_s <= 0:
            return True
        sleep_s = work_s
        if execution.timeout_ms:
            sleep_s = min(work_s, int(execution.timeout_ms) / 1000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._watch_disconnect, stream, execution, nursery
            )
            await trio.sleep(sleep_s)
            nursery.cancel_scope.cancel()
        return sleep_s >= work_s

    async def _watch_disconnect(
        self,
        stream: trio.SocketStream,
        execution: Execution,
        nursery: trio.Nursery,
    ) -> None:
        await self._wait_until_closed(stream)
        execution.cancelled = True
        nursery.cancel_scope.cancel()

    async def _wait_until_closed(self, stream: trio.SocketStream) -> None:
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
        content: bytes,
        faults: Faults,
    ) -> bool:
        """Send a response; return whether the connection can be reused."""
        extra_headers = [
            (name.encode(), value.encode())
            for name, value in faults.extra_headers
        ]
        headers = extra_headers + headers
        if faults.leaving:
            headers.append((b"Upstream-State", b"leaving"))
        if faults.informational:
            await stream.send_all(b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n")
        if faults.cut or faults.old or faults.two_lengths:
            await stream.send_all(
                format_faulty_response(status, headers, content, faults)
            )
            return False
        if not faults.chunked:
            headers.append((b"Content-Length", b"%d" % len(content)))
        data = (
            connection.send(h11.Response(status_code=status, headers=headers))
            or b""
        )
        if request.method != b"HEAD" and status not in (204, 304):
            data += connection.send(h11.Data(data=content)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        if faults.status_text is not None:
            data = replace_status(data, faults.status_text)
        self._last_responses[stream] = data
        await stream.send_all(data)
        return (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )


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
        # The monotonic clock is the same for all processes of the machine, so
        # that the times of their execution logs can be compared.
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
