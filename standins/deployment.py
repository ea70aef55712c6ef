"""Stand-ins for what a member meets on the users' platform.

They speak the platform's wire as its pages describe it, without the adapter's
code, so that the adapter is checked against the pages and not against itself.
"""

import base64
import itertools
import json
import os
import pathlib
from typing import Any

import trio

from hawthornmast import http
from standins.upstream import UpstreamStandIn

FRONT_PORT = 8381
READY_PORT = 8388
DIRECTORY_PORT = 8383
PEER_PORT = 7200

_NETWORKS = itertools.count(os.getpid() % 100 * 100)


def take_network() -> str:
    """Return the first three numbers of unused loopback addresses."""
    number = next(_NETWORKS) % 10_000
    return f"127.{1 + number // 200}.{number % 200}"


def write_settings(
    path: pathlib.Path,
    *,
    name: str,
    host: str,
    zone: str,
    store_port: int,
    seeds: str,
) -> None:
    """Write the settings file of one member."""
    path.write_text(
        f"Node={name}\nZone={zone}\nRegion=region-1\n"
        f"Listen.Front={host}:{FRONT_PORT}\n"
        f"Listen.Ready={host}:{READY_PORT}\n"
        f"Listen.Directory={host}:{DIRECTORY_PORT}\n"
        f"InternalPorts={PEER_PORT},{PEER_PORT + 15}\nSeeds={seeds}\n"
        "Limits.MaxFds=4100\nBounds.Grace=2s\n"
        "Bounds.RetryBudgetRatio=0.2\nBounds.BudgetSlack=62\n"
        f"Platform.Address=127.0.0.1:{store_port}\n",
        encoding="utf-8",
    )


class StoreStandIn:
    """The platform's store, as far as a member reads it.

    Attributes
    ----------
    fault
        ``busy`` (503), ``many`` (429), ``silent`` or ``garbled``; empty for
        none.
    page
        Items in one answer of a range.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 100
        self.fault = ""
        self.page = 500
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
        """Write a value as JSON."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write any bytes."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": known["Created"] if known else self.revision,
            "Lease": 0,
        }

    def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)

    def list_upstream(
        self, name: str, service: str, address: str, **changes: Any
    ) -> None:
        """Write the entry of an upstream."""
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
        await http.serve_connection(stream, self._answer)

    async def _answer(self, request: http.Request) -> http.Response:
        self.calls.append(request.target)
        if self.fault == "silent":
            await trio.sleep_forever()
        if self.fault in ("busy", "many"):
            return http.Response(status=503 if self.fault == "busy" else 429)
        if self.fault == "garbled":
            return http.Response(status=200, body=b'{"items": 7}')
        if request.path == "/hawthornmast/kv-key":
            item = self.items.get(request.query["Key"])
            if item is None:
                return http.json_response({}, status=404)
            return http.json_response({**item, "StoreRevision": self.revision})
        if request.path == "/hawthornmast/kv-range":
            return self._answer_range(request.query)
        return http.json_response({}, status=404)

    def _answer_range(self, query: dict[str, str]) -> http.Response:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["PathPrefix"])
            and key > query.get("after", "")
        )
        return http.json_response(
            {
                "items": [self.items[key] for key in keys[: self.page]],
                "Truncated": len(keys) > self.page,
                "StoreRevision": self.revision,
            }
        )


class BackendStandIn(UpstreamStandIn):
    """A back end as the platform's pages describe it.

    Parameters
    ----------
    instance
        Its identifier; requests that expect another get 421.
    options
        As for ``UpstreamStandIn``.
    """

    key_name = b"hawthornmast-attempt-id"
    echoed_name = b"x-echoed"
    timeout_name = b"hawthornmast-request-deadline"
    certificate = (b"Hawthornmast-Not-Executed", b"1")

    def __init__(self, instance: str, **options: Any) -> None:
        super().__init__(**options)
        self.instance = instance

    def reject(
        self, names: dict[bytes, bytes]
    ) -> tuple[int, list[tuple[bytes, bytes]]] | None:
        """Refuse a request that expects another instance."""
        expected = names.get(b"hawthornmast-expected-instance")
        own = self.instance.encode()
        if expected is None or expected == own:
            return None
        return 421, [(b"Hawthornmast-Instance-Id", own)]

    def sign(self, key: str, text: bytes) -> list[tuple[bytes, bytes]]:
        """Return the signature of an answer."""
        signature = f"{self.instance}.{key}.{len(text)}".encode()
        return [
            (b"Hawthornmast-Response-Signature", signature),
            (b"Hawthornmast-Backend-Load", b"%d,0,4" % self.busy),
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
