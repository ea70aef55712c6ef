"""Stand-in for the configuration platform.

It implements the published protocol, ``/v1/changes`` and ``/v1/values``. A
control handler changes values and injects faults.
"""

import argparse
import bisect
import hashlib
import json
import math
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.common import StepError
from hawthornmast.http import json_response
from hawthornmast.http import Request
from hawthornmast.http import Response
from hawthornmast.http import serve_connection

READS_PER_S = 2000.0
MAX_VALUE_BYTES = 1_000_000
MAX_CHANGES_PER_PAGE = 2000
MAX_WAIT_S = 60.0


@attrs.frozen
class _Value:
    """One published value; ``content`` is None after a deletion."""

    revision: int
    content: bytes | None

    @property
    def digest(self) -> str | None:
        if self.content is None:
            return None
        return hashlib.sha256(self.content).hexdigest()[:32]


class Platform:
    """Published values, versioned by a single revision counter.

    Parameters
    ----------
    reads_per_s
        Rate limit; calls above it get 429.

    Attributes
    ----------
    down
        Whether every call fails.
    delay_s
        Delay of each response, in seconds.
    calls
        Number of calls by kind. ``limited`` calls count as ``changes`` or
        ``values`` as well; ``failed`` are calls of ``request`` that timed out
        or failed because the platform was down.
    """

    def __init__(self, *, reads_per_s: float = READS_PER_S) -> None:
        self._values: dict[str, _Value] = {}
        self._revision = 0
        self._change_log: list[tuple[int, str]] = []
        self._served_snapshot: Platform | None = None
        self._saved_snapshot: Platform | None = None
        self._changed = trio.Event()
        self._reads_per_s = reads_per_s
        self._tokens = reads_per_s
        self._refilled_at = -math.inf
        self.down = False
        self.delay_s = 0.0
        self.calls = {"changes": 0, "values": 0, "limited": 0, "failed": 0}

    @property
    def revision(self) -> int:
        """Latest revision."""
        return self._revision

    def put(self, key: str, content: bytes | str) -> int:
        """Publish a value and return its revision."""
        if isinstance(content, str):
            content = content.encode()
        if len(content) > MAX_VALUE_BYTES:
            raise ValueError(
                f"value of {key} has {len(content)} bytes, "
                f"allowed: {MAX_VALUE_BYTES} or fewer"
            )
        return self._publish(key, content)

    def delete(self, key: str) -> int:
        """Delete a value and return the revision of the deletion."""
        return self._publish(key, None)

    def save(self) -> None:
        """Take a snapshot of the current state for ``set_stale``."""
        snapshot = Platform()
        snapshot._values = dict(self._values)
        snapshot._change_log = list(self._change_log)
        snapshot._revision = self._revision
        self._saved_snapshot = snapshot

    def set_stale(self, stale: bool, *, saved: bool = False) -> None:
        """Serve a snapshot, or the current state again.

        With ``saved``, this is the snapshot taken by ``save``, which may be
        older than revisions that daemons have read since. Otherwise it is a
        new one.
        """
        self._served_snapshot = None
        if stale:
            if not saved:
                self.save()
            self._served_snapshot = self._saved_snapshot
        self._notify()

    def _publish(self, key: str, content: bytes | None) -> int:
        previous = self._values.get(key)
        self._revision += 1
        if previous is not None:
            self._change_log.remove((previous.revision, key))
        self._values[key] = _Value(self._revision, content)
        self._change_log.append((self._revision, key))
        self._notify()
        return self._revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _take_token(self) -> bool:
        now = trio.current_time()
        elapsed_s = min(1.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(
            self._reads_per_s, self._tokens + elapsed_s * self._reads_per_s
        )
        if self._tokens < 1:
            self.calls["limited"] += 1
            return False
        self._tokens -= 1
        return True

    async def handle(self, request: Request) -> Response:
        """Handle a call of the published protocol."""
        await trio.sleep(self.delay_s)
        path = request.path
        if request.method != "GET":
            return json_response({"error": "only GET is allowed"}, status=405)
        kind = "changes" if path == "/v1/changes" else "values"
        self.calls[kind] += 1
        if not self._take_token():
            return json_response({"error": "rate exceeded"}, status=429)
        if kind == "changes":
            return await self._handle_changes(request.query)
        if path.startswith("/v1/values/"):
            return self._handle_value(path.removeprefix("/v1/values/"))
        return json_response({"error": f"unknown path {path}"}, status=404)

    async def request(
        self, target: str, timeout: float
    ) -> Result[Response, StepError]:
        """Handle an in-process call, with simulated connection faults."""
        detail = f"no response within {timeout} s"
        with trio.move_on_after(timeout):
            if not self.down:
                response = await self.handle(
                    Request(method="GET", target=target)
                )
                if not self.down:
                    return Ok(response)
            self.calls["failed"] += 1
            detail = "connection closed"
        await trio.lowlevel.checkpoint()
        return Err(StepError(step="exchange", detail=detail, peer="platform"))

    async def _handle_changes(self, query: dict[str, str]) -> Response:
        try:
            after = int(query.get("after", "0"))
            wait = min(float(query.get("wait", "0")), MAX_WAIT_S)
        except ValueError as error:
            return json_response({"error": str(error)}, status=400)
        with trio.move_on_after(wait):
            while not self.down and self._served_state()._revision <= after:
                await self._changed.wait()
        state = self._served_state()
        # The highest code point sorts after every key, so that the search
        # skips all changes up to and including revision ``after``.
        start = bisect.bisect_right(state._change_log, (after, "\U0010ffff"))
        page = state._change_log[start : start + MAX_CHANGES_PER_PAGE]
        more = start + MAX_CHANGES_PER_PAGE < len(state._change_log)
        changes = [
            [key, revision, state._values[key].digest]
            for revision, key in page
        ]
        return json_response(
            {
                "revision": page[-1][0] if more else state._revision,
                "changes": changes,
                "more": more,
            }
        )

    def _handle_value(self, key: str) -> Response:
        value = self._served_state()._values.get(key)
        if value is None or value.content is None:
            return json_response(
                {"error": f"no value for key {key}"}, status=404
            )
        return Response(
            status=200,
            headers=(("X-Revision", str(value.revision)),),
            body=value.content,
        )

    def _served_state(self) -> "Platform":
        return self._served_snapshot or self

    def set_down(self, down: bool) -> None:
        """Fail all calls, including those that wait, or serve them again."""
        self.down = down
        self._notify()

    async def control(self, request: Request) -> Response:
        """Execute a control command of a test or a demonstration."""
        command = request.path.removeprefix("/control/")
        query = request.query
        result: Any = None
        if command == "put":
            result = {"revision": self.put(query["key"], request.body)}
        elif command == "delete":
            result = {"revision": self.delete(query["key"])}
        elif command == "down":
            self.set_down(query.get("on", "1") == "1")
        elif command == "stale":
            self.set_stale(query.get("on", "1") == "1", saved="saved" in query)
        elif command == "save":
            self.save()
        elif command == "slow":
            self.delay_s = float(query.get("seconds", "0"))
        elif command != "calls":
            return json_response(
                {"error": f"unknown command {command}"}, status=404
            )
        await trio.lowlevel.checkpoint()
        return json_response(result or self.calls)


async def serve(
    platform: Platform, host: str, port: int, control_port: int | None
) -> None:
    """Serve the protocol and the control commands until cancelled."""

    async def serve_protocol(stream: trio.SocketStream) -> None:
        if platform.down:
            await trio.aclose_forcefully(stream)
            return

        async def handle(request: Request) -> Response:
            response = await platform.handle(request)
            if platform.down:
                await trio.aclose_forcefully(stream)
            return response

        await serve_connection(stream, handle)

    async def serve_control(stream: trio.SocketStream) -> None:
        await serve_connection(stream, platform.control)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_listen, serve_protocol, host, port)
        if control_port is not None:
            nursery.start_soon(_listen, serve_control, host, control_port)


async def _listen(handler: Any, host: str, port: int) -> None:
    listeners = await trio.open_tcp_listeners(port, host=host)
    address = listeners[0].socket.getsockname()
    print(json.dumps({"listening": list(address[:2])}), flush=True)
    await trio.serve_listeners(handler, listeners)


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int)
    parser.add_argument("--reads-per-s", type=float, default=READS_PER_S)
    options = parser.parse_args()
    platform = Platform(reads_per_s=options.reads_per_s)
    trio.run(serve, platform, options.host, options.port, options.control_port)


if __name__ == "__main__":
    main()
