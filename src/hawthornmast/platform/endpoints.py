"""HTTP endpoints for addresses, readiness and metrics."""

from hawthornmast import http
from hawthornmast.gateway import GatewayMember
from hawthornmast.platform import names

METRICS_PATH = "/metrics"


class Endpoints:
    """Handlers of the HTTP endpoints of a daemon.

    Parameters
    ----------
    member
        The daemon whose state is served. On this platform a daemon is a
        ``GatewayMember``; ``hawthornmast.daemon.Daemon`` assembles the
        daemon of the native interface and isn't used here.
    """

    def __init__(self, member: GatewayMember) -> None:
        self._member = member

    async def handle_resolve(self, request: http.Request) -> http.Response:
        """Return the addresses for clients of a zone, with their lifetime."""
        if request.path != names.RESOLVE:
            return _not_found(request)
        members = self._member.advertised_members(
            request.query.get("Zone", "")
        )
        if not members:
            return http.json_response(
                {"Error": "no member is ready"}, status=503
            )
        ttl_ms = round(self._member.options.bounds.address_ttl_s * 1000)
        return http.json_response(
            {
                "Addresses": [member.address for member in members],
                "Ttl": f"{ttl_ms}ms",
            }
        )

    async def handle_ready(self, request: http.Request) -> http.Response:
        """Return 200 if the daemon accepts clients, otherwise 503."""
        if request.path != names.READY:
            return _not_found(request)
        status = 200 if self._member.ready else 503
        return http.Response(status=status)

    async def handle_metrics(self, request: http.Request) -> http.Response:
        """Return the metrics in the Prometheus text format."""
        if request.path != METRICS_PATH:
            return _not_found(request)
        return http.Response(
            status=200,
            headers=(("Content-Type", "text/plain; version=0.0.4"),),
            body=self._member.metrics.render(),
        )


def _not_found(request: http.Request) -> http.Response:
    return http.json_response({"Error": f"no {request.path}"}, status=404)
