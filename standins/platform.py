"""Stand-in of the configuration platform.

It speaks the published protocol: ``/v1/changes`` and ``/v1/values``. A
control handler changes values and causes faults.
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
PAGE_CHANGES = 2000
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
    """Published values with one revision counter.

    Parameters
    ----------
    reads_per_s
        Calls above this rate are answered with 429.

    Attributes
    ----------
    down
        Every call fails when set.
    delay_s
        Seconds before each answer.
    calls
        Number of calls by kind: ``changes``, ``values``, ``limited`` (also
        counted by kind) and ``failed`` (made in this process while down).
    """

    def __init__(self, *, reads_per_s: float = READS_PER_S) -> None:
        self._values: dict[str, _Value] = {}
        self._revision = 0
        self._order: list[tuple[int, str]] = []
        self._frozen: Platform | None = None
        self._saved: Platform | None = None
        self._changed = trio.Event()
        self._rate = reads_per_s
        self._tokens = reads_per_s
        self._filled_at = -math.inf
        self.down = False
        self.delay_s = 0.0
        self.calls = {"changes": 0, "values": 0, "limited": 0, "failed": 0}

    @property
    def revision(self) -> int:
        """The newest revision."""
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
        """Keep a snapshot of now to answer from later."""
        snapshot = Platform()
        snapshot._values = dict(self._values)
        snapshot._order = list(self._order)
        snapshot._revision = self._revision
        self._saved = snapshot

    def set_stale(self, stale: bool, *, saved: bool = False) -> None:
        """Answer from a snapshot, or from the newest state again.

        The snapshot is the saved one, which may be older than what readers
        saw since, or one of now.
        """
        self._frozen = None
        if stale:
            if not saved:
                self.save()
            self._frozen = self._saved
        self._notify()

    def _publish(self, key: str, content: bytes | None) -> int:
        old = self._values.get(key)
        self._revision += 1
        if old is not None:
            self._order.remove((old.revision, key))
        self._values[key] = _Value(self._revision, content)
        self._order.append((self._revision, key))
        self._notify()
        return self._revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _allow(self) -> bool:
        now = trio.current_time()
        passed = min(1.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(self._rate, self._tokens + passed * self._rate)
        if self._tokens < 1:
            self.calls["limited"] += 1
            return False
        self._tokens -= 1
        return True

    async def handle(self, request: Request) -> Response:
        """Answer one call of the published protocol."""
        await trio.sleep(self.delay_s)
        path = request.path
        if request.method != "GET":
            return json_response({"error": "only GET is allowed"}, status=405)
        kind = "changes" if path == "/v1/changes" else "values"
        self.calls[kind] += 1
        if not self._allow():
            return json_response({"error": "rate exceeded"}, status=429)
        if kind == "changes":
            return await self._answer_changes(request.query)
        if path.startswith("/v1/values/"):
            return self._answer_value(path.removeprefix("/v1/values/"))
        return json_response({"error": f"no path {path}"}, status=404)

    async def request(
        self, target: str, timeout: float
    ) -> Result[Response, StepError]:
        """Answer a call in this process, with the faults of a connection."""
        detail = f"no response within {timeout} s"
        with trio.move_on_after(timeout):
            if not self.down:
                answer = await self.handle(
                    Request(method="GET", target=target)
                )
                if not self.down:
                    return Ok(answer)
            self.calls["failed"] += 1
            detail = "connection closed"
        await trio.lowlevel.checkpoint()
        return Err(StepError(step="exchange", detail=detail, peer="platform"))

    async def _answer_changes(self, query: dict[str, str]) -> Response:
        try:
            after = int(query.get("after", "0"))
            wait = min(float(query.get("wait", "0")), MAX_WAIT_S)
        except ValueError as error:
            return json_response({"error": str(error)}, status=400)
        with trio.move_on_after(wait):
            while not self.down and self._visible()._revision <= after:
                await self._changed.wait()
        visible = self._visible()
        start = bisect.bisect_right(visible._order, (after, "\U0010ffff"))
        page = visible._order[start : start + PAGE_CHANGES]
        more = start + PAGE_CHANGES < len(visible._order)
        changes = [
            [key, revision, visible._values[key].digest]
            for revision, key in page
        ]
        return json_response(
            {
                "revision": page[-1][0] if more else visible._revision,
                "changes": changes,
                "more": more,
            }
        )

    def _answer_value(self, key: str) -> Response:
        value = self._visible()._values.get(key)
        if value is None or value.content is None:
            return json_response({"error": f"no value {key}"}, status=404)
        return Response(
            status=200,
            headers=(("X-Revision", str(value.revision)),),
            body=value.content,
        )

    def _visible(self) -> "Platform":
        return self._frozen or self

    def set_down(self, down: bool) -> None:
        """Fail all calls, also those that wait, or answer again."""
        self.down = down
        self._notify()

    async def control(self, request: Request) -> Response:
        """Execute one command of a test or a demonstration."""
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
            return json_response({"error": f"no {command}"}, status=404)
        await trio.lowlevel.checkpoint()
        return json_response(result or self.calls)


async def serve(
    platform: Platform, host: str, port: int, control_port: int | None
) -> None:
    """Serve the protocol and the control commands until cancelled."""

    async def accept(stream: trio.SocketStream) -> None:
        if platform.down:
            await trio.aclose_forcefully(stream)
            return

        async def answer(request: Request) -> Response:
            response = await platform.handle(request)
            if platform.down:
                await trio.aclose_forcefully(stream)
            return response

        await serve_connection(stream, answer)

    async def accept_control(stream: trio.SocketStream) -> None:
        await serve_connection(stream, platform.control)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_listen, accept, host, port)
        if control_port is not None:
            nursery.start_soon(_listen, accept_control, host, control_port)


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
