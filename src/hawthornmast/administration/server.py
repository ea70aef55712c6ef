"""Read-only administration API of one daemon."""

from collections.abc import Callable
from collections.abc import Mapping
import logging
from typing import Any
import urllib.parse

import attrs
from prometheus_client import CollectorRegistry
from prometheus_client import exposition
import trio

from hawthornmast import http
from hawthornmast.administration.requests import RequestLog
from hawthornmast.audit import AuditTrail

_LOG = logging.getLogger("hawthornmast.administration")

JsonObject = Mapping[str, Any]
"""JSON-serializable values by name."""

ENDPOINTS = (
    "/v1/status",
    "/v1/audit",
    "/v1/explain/requests/<id>",
    "/v1/explain/upstreams/<service>/<id>",
    "/v1/explain/entries/<service>/<name>",
    "/metrics",
)
MAX_CONNECTIONS = 32
"""Limits the share of the event loop that administration requests take."""

MAX_AUDIT_RECORDS = 1000
_AUDIT_FILTERS = ("service", "entry", "peer", "request_id")
_DEFAULT_AUDIT_RECORDS = 100


class AdministrationServer:
    """Serves status, explanations and metrics without changing any state.

    Parameters
    ----------
    host, port
        Address to listen on; port 0 selects a free port.
    status
        Returns the response to ``/v1/status``.
    explain_upstream
        Returns the description of an upstream by service and identifier, or
        None if this daemon doesn't know it.
    explain_entry
        Returns the description of an entry by service and name, or None.
    requests
        Log of the latest requests.
    audit
        Audit trail of automatic actions.
    registry
        Registry of the metrics of the process.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        status: Callable[[], JsonObject],
        explain_upstream: Callable[[str, str], JsonObject | None],
        explain_entry: Callable[[str, str], JsonObject | None],
        requests: RequestLog,
        audit: AuditTrail,
        registry: CollectorRegistry,
    ) -> None:
        self._host = host
        self._port = port
        self._status = status
        self._explain_upstream = explain_upstream
        self._explain_entry = explain_entry
        self._requests = requests
        self._audit = audit
        self._registry = registry
        self._scope = trio.CancelScope()
        self._listeners: list[trio.SocketListener] = []
        self._connections = 0

    @property
    def port(self) -> int:
        """The listening port."""
        if self._listeners:
            return int(self._listeners[0].socket.getsockname()[1])
        return self._port

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to listen and serve connections in ``nursery``."""
        self._listeners = await trio.open_tcp_listeners(
            self._port, host=self._host
        )
        nursery.start_soon(self._listen)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._scope.cancel()
        for listener in self._listeners:
            await listener.aclose()

    async def _listen(self) -> None:
        with self._scope:
            await trio.serve_listeners(self._accept, self._listeners)

    async def _accept(self, stream: trio.SocketStream) -> None:
        if self._connections >= MAX_CONNECTIONS:
            await trio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            await http.serve_connection(
                stream, self._respond, max_body_bytes=0
            )
        except trio.TooSlowError:
            # The client doesn't read its response.
            await trio.aclose_forcefully(stream)
        finally:
            self._connections -= 1

    async def _respond(self, request: http.Request) -> http.Response:
        # An exception in a handler must not terminate the process, which
        # would abort the requests in flight.
        try:
            return await self.handle(request)
        except Exception:
            _LOG.exception("administration request failed")
            return http.json_response(
                {"error": "internal fault, see the log"}, status=500
            )

    async def handle(self, request: http.Request) -> http.Response:
        """Return the response to one request."""
        if request.method not in ("GET", "HEAD"):
            return http.json_response(
                {
                    "error": f"method is {request.method},"
                    " allowed: GET, HEAD (this API is read-only)"
                },
                status=405,
                headers=(("Allow", "GET, HEAD"),),
            )
        # The path is split before decoding, since an identifier may contain
        # an encoded slash.
        path = request.target.partition("?")[0]
        segments = [urllib.parse.unquote(s) for s in path.split("/")[1:]]
        match segments:
            case ["metrics"]:
                return self._render_metrics()
            case ["v1", "status"]:
                return http.json_response(self._status())
            case ["v1", "audit"]:
                return self._list_audit(request.query)
            case ["v1", "explain", "requests", request_id]:
                return self._explain_request(request_id)
            case ["v1", "explain", "upstreams", service, upstream_id]:
                return self._build_explanation(
                    self._explain_upstream(service, upstream_id),
                    "upstream",
                    {"service": service, "peer": upstream_id},
                )
            case ["v1", "explain", "entries", service, name]:
                return self._build_explanation(
                    self._explain_entry(service, name),
                    "entry",
                    {"service": service, "entry": name},
                )
        return http.json_response(
            {"error": "no such endpoint", "endpoints": ENDPOINTS}, status=404
        )

    def _render_metrics(self) -> http.Response:
        return http.Response(
            status=200,
            headers=(("Content-Type", exposition.CONTENT_TYPE_LATEST),),
            body=exposition.generate_latest(self._registry),
        )

    def _list_audit(self, query: dict[str, str]) -> http.Response:
        allowed = (*_AUDIT_FILTERS, "limit")
        unknown = [name for name in query if name not in allowed]
        if unknown:
            return http.json_response(
                {
                    "error": f"unknown parameter {unknown[0]!r},"
                    f" allowed: {', '.join(allowed)}"
                },
                status=400,
            )
        filters = dict(query)
        limit = filters.pop("limit", str(_DEFAULT_AUDIT_RECORDS))
        if not (
            limit.isascii()
            and limit.isdigit()
            and len(limit) <= 4
            and 1 <= int(limit) <= MAX_AUDIT_RECORDS
        ):
            return http.json_response(
                {
                    "error": f"limit is {limit[:20]!r}, allowed: whole number"
                    f" from 1 to {MAX_AUDIT_RECORDS}"
                },
                status=400,
            )
        return http.json_response(
            {
                "records": self._select_audit_records(
                    limit=int(limit), **filters
                )
            }
        )

    def _select_audit_records(
        self, *, limit: int, **filters: str
    ) -> list[JsonObject]:
        return [
            _add_age(attrs.asdict(record))
            for record in self._audit.select(limit=limit, **filters)
        ]

    def _explain_request(self, request_id: str) -> http.Response:
        record = self._requests.find(request_id)
        audit_records = self._select_audit_records(
            limit=_DEFAULT_AUDIT_RECORDS, request_id=request_id
        )
        if not request_id or (record is None and not audit_records):
            return http.json_response(
                {
                    "error": f"no record of request {request_id!r}",
                    "retention": f"this daemon keeps the latest"
                    f" {self._requests.capacity} requests that it handled,"
                    " in memory only; ask the daemon that sent the response",
                    "kept_requests": len(self._requests),
                    "kept_s": round(self._requests.oldest_age_s, 3),
                },
                status=404,
            )
        description = _add_age(attrs.asdict(record)) if record else None
        return http.json_response(
            {"request": description, "audit": audit_records}
        )

    def _build_explanation(
        self,
        description: JsonObject | None,
        kind: str,
        filters: dict[str, str],
    ) -> http.Response:
        if description is None:
            names = "/".join(filters.values())
            return http.json_response(
                {
                    "error": f"no {kind} {names!r} on this daemon; a daemon"
                    " explains only the services that it serves, which"
                    " /v1/status lists"
                },
                status=404,
            )
        audit_records = self._select_audit_records(
            limit=_DEFAULT_AUDIT_RECORDS, **filters
        )
        return http.json_response({kind: description, "audit": audit_records})


def _add_age(record: JsonObject) -> JsonObject:
    """Add the age, since the clock of the event loop has no fixed epoch."""
    age_s = round(trio.current_time() - record["time"], 3)
    return {**record, "age_s": age_s}
