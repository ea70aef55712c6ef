"""Pages that the platform and its clients ask of a member."""

from hawthornmast import http
from hawthornmast.gateway import GatewayMember
from hawthornmast.platform import names

METRICS = "/metrics"


class Pages:
    """Answers for addresses, readiness and metrics.

    Parameters
    ----------
    member
        The member that they tell of.
    """

    def __init__(self, member: GatewayMember) -> None:
        self._member = member

    async def answer_directory(self, request: http.Request) -> http.Response:
        """Return the addresses to which a client connects."""
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

    async def answer_ready(self, request: http.Request) -> http.Response:
        """Return 200 when clients should connect here, else 503."""
        if request.path != names.READY:
            return _not_found(request)
        status = 200 if self._member.ready else 503
        return http.Response(status=status)

    async def answer_metrics(self, request: http.Request) -> http.Response:
        """Return the metrics as text."""
        if request.path != METRICS:
            return _not_found(request)
        return http.Response(
            status=200,
            headers=(("Content-Type", "text/plain; version=0.0.4"),),
            body=self._member.metrics.render(),
        )


def _not_found(request: http.Request) -> http.Response:
    return http.json_response({"Error": f"no {request.path}"}, status=404)
