"""Stand-ins for the store and the back ends of the users' platform.

The users' platform is the one described in ``docs/platform.md``;
``standins.platform`` stands in for the configuration platform, which has
another protocol.

The stand-ins implement the protocol of the users' platform from its
documentation and share no code with the adapter, so that the adapter is tested
against the documentation rather than against itself.
"""

import base64
import itertools
import json
import os
import pathlib
from typing import Any

import attrs
import trio

from hawthornmast import http
from standins.upstream import UpstreamStandIn

FRONT_PORT = 8381
READY_PORT = 8388
DIRECTORY_PORT = 8383
PEER_PORT = 7200

# Starts at a number derived from the process id, so that concurrent processes
# rarely choose the same networks. Other users of a network aren't detected.
_LOOPBACK_NETWORKS = itertools.count(os.getpid() % 100 * 100)


def allocate_loopback_prefix() -> str:
    """Return the first three octets of a loopback network not yet returned."""
    number = next(_LOOPBACK_NETWORKS) % 10_000
    return f"127.{1 + number // 200}.{number % 200}"


def write_settings(
    path: pathlib.Path,
    *,
    name: str,
    host: str,
    zone: str,
    store_port: int,
    seeds: str,
    grace_s: float = 2.0,
) -> None:
    """Write the settings file of one member, a daemon run by the adapter.

    Only the first port of ``InternalPorts`` is used.
    """
    path.write_text(
        f"Node={name}\nZone={zone}\nRegion=region-1\n"
        f"Listen.Front={host}:{FRONT_PORT}\n"
        f"Listen.Ready={host}:{READY_PORT}\n"
        f"Listen.Directory={host}:{DIRECTORY_PORT}\n"
        f"InternalPorts={PEER_PORT},{PEER_PORT + 15}\nSeeds={seeds}\n"
        f"Limits.MaxFds=4100\nBounds.Grace={grace_s}s\n"
        "Bounds.RetryBudgetRatio=0.2\nBounds.BudgetSlack=62\n"
        f"Platform.Address=127.0.0.1:{store_port}\n",
        encoding="utf-8",
    )


class StoreStandIn:
    """The part of the platform's store that members (daemons) read.

    Attributes
    ----------
    fault
        ``unavailable`` (503), ``rate-limited`` (429), ``no-response`` or
        ``malformed``; empty for no fault.
    page_size
        Maximum number of items in a response to a range request.
    calls
        Targets of all requests received.
    era
        Value of ``Store-Era`` in all responses; 0 for a store without it.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 100
        self.era: int | str = 0
        self.fault = ""
        self.page_size = 500
        self.calls: list[str] = []
        self.port = 0

    async def start(
        self, nursery: trio.Nursery, *, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        """Listen and serve in the nursery."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    def put(self, key: str, value: Any) -> None:
        """Store a value as JSON."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Store a value of arbitrary bytes."""
        self.revision += 1
        previous = self.items.get(key)
        self.items[key] = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": previous["Created"] if previous else self.revision,
            "Lease": 0,
        }

    def delete(self, key: str) -> None:
        """Delete an item."""
        self.revision += 1
        self.items.pop(key, None)

    def take_copy(self) -> tuple[dict[str, dict[str, Any]], int]:
        """Return a copy of the items, and the revision."""
        return dict(self.items), self.revision

    def restore(self, copy: tuple[dict[str, dict[str, Any]], int]) -> None:
        """Return to a copy in a new era; its revisions are assigned again."""
        self.items, self.revision = dict(copy[0]), copy[1]
        self.era = int(self.era) + 1

    def put_upstream(
        self, name: str, service: str, address: str, **changes: Any
    ) -> None:
        """Store the entry of an upstream; ``changes`` override its fields."""
        entry = {
            "Service": service,
            "Address": address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 4,
            "State": "ready",
            "WarmupLeft": "0ms",
            "Sequence": 1,
            "born": 1_787_203_747_216,
        }
        self.put(f"servers/{name}", {**entry, **changes})

    async def _serve(self, stream: trio.SocketStream) -> None:
        await http.serve_connection(stream, self._handle)

    async def _handle(self, request: http.Request) -> http.Response:
        self.calls.append(request.target)
        response = await self._answer(request)
        if self.era == 0:
            return response
        era = ("Store-Era", str(self.era))
        return attrs.evolve(response, headers=(*response.headers, era))

    async def _answer(self, request: http.Request) -> http.Response:
        if self.fault == "no-response":
            await trio.sleep_forever()
        if self.fault in ("unavailable", "rate-limited"):
            return http.Response(
                status=503 if self.fault == "unavailable" else 429
            )
        if self.fault == "malformed":
            return http.Response(status=200, body=b'{"items": 7}')
        if request.path == "/hawthornmast/kv-key":
            item = self.items.get(request.query["Key"])
            if item is None:
                return http.json_response({}, status=404)
            return http.json_response({**item, "StoreRevision": self.revision})
        if request.path == "/hawthornmast/kv-range":
            return self._handle_range(request.query)
        if request.path == "/hawthornmast/kv-watch":
            # Members use no watches, so that only the refusal is served.
            known = int(request.query["after"]) <= self.revision
            return http.json_response({}, status=501 if known else 410)
        return http.json_response({}, status=404)

    def _handle_range(self, query: dict[str, str]) -> http.Response:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["PathPrefix"])
            and key > query.get("after", "")
        )
        return http.json_response(
            {
                "items": [self.items[key] for key in keys[: self.page_size]],
                "Truncated": len(keys) > self.page_size,
                "StoreRevision": self.revision,
            }
        )


class BackendStandIn(UpstreamStandIn):
    """A back end as described in the platform's documentation.

    Parameters
    ----------
    instance
        Instance identifier; a request that expects another instance gets
        421.
    options
        Options of ``UpstreamStandIn``.
    """

    key_header = b"hawthornmast-attempt-id"
    echoed_header = b"x-echoed"
    timeout_header = b"hawthornmast-request-deadline"
    not_run_header = (b"Hawthornmast-Not-Executed", b"1")

    def __init__(self, instance: str, **options: Any) -> None:
        super().__init__(**options)
        self.instance = instance

    def reject(
        self, request_headers: dict[bytes, bytes]
    ) -> tuple[int, list[tuple[bytes, bytes]]] | None:
        """Reject a request that expects another instance."""
        expected = request_headers.get(b"hawthornmast-expected-instance")
        own = self.instance.encode()
        if expected is None or expected == own:
            return None
        return 421, [(b"Hawthornmast-Instance-Id", own)]

    def make_extra_headers(
        self, key: str, content: bytes
    ) -> list[tuple[bytes, bytes]]:
        """Return the signature and the load headers of a response."""
        signature = f"{self.instance}.{key}.{len(content)}".encode()
        return [
            (b"Hawthornmast-Response-Signature", signature),
            (b"Hawthornmast-Backend-Load", b"%d,0,4" % self.active_requests),
        ]


def make_configuration(version: int = 7) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    return {
        "Version": version,
        "Services": [
            {
                "Name": "boxes",
                "HealthPath": "/health",
                "MaxConns": 390,
                "Protocol": "h1",
                "Tls": False,
            },
            {
                "Name": "billing",
                "HealthPath": "/health",
                "MaxConns": 390,
                "Protocol": "h1",
                "Tls": False,
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
        "VirtualHosts": [
            {
                "Host": "boxes.example",
                "Paths": [
                    {
                        "Name": "r-read",
                        "PathPrefix": "/read/",
                        "RouteType": "idempotent",
                        "Timeout": "3000ms",
                        "TargetLatency": "1500ms",
                        "Priority": 1,
                        "Service": "boxes",
                        "MaxAttempts": 2,
                    }
                ],
            },
            {
                "Host": "pay.example",
                "Paths": [
                    {
                        "Name": "r-charge",
                        "PathPrefix": "/charge/",
                        "RouteType": "non_idempotent",
                        "Timeout": "2s",
                        "TargetLatency": "800ms",
                        "Priority": 0,
                        "TrafficSplit": [
                            {"Service": "billing", "Weight": 90},
                            {"Service": "boxes", "Weight": 10},
                        ],
                        "MaxAttempts": 2,
                    }
                ],
            },
        ],
    }
