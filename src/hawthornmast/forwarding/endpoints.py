"""The fleet's own endpoints: addresses and tickets."""

import json
from typing import Any
import urllib.parse

from hawthornmast.common import Outcome
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.runtime import ServiceDirectory
from hawthornmast.forwarding.tickets import TicketStore
from hawthornmast.forwarding.translation import build_wrong_instance_response

PATH_PREFIX = "/.well-known/hawthornmast/"
ADDRESS_TTL_S = 5
MAX_TICKETS = 64


def _build_json_response(value: dict[str, Any]) -> ClientResponse:
    return ClientResponse(
        status=200,
        outcome=Outcome.COMPLETE,
        headers=[
            (b"content-type", b"application/json"),
            (b"cache-control", b"no-store"),
        ],
        body=json.dumps(value).encode() + b"\n",
    )


def parse_service_name(target: str) -> str:
    """Return the service named in the query of a target."""
    query = dict(urllib.parse.parse_qsl(target.partition("?")[2]))
    return query.get("service", "").lower()


def handle_request(
    method: str,
    target: str,
    *,
    directory: ServiceDirectory,
    tickets: TicketStore,
    closing: bool,
) -> ClientResponse:
    """Return the response to a request for one of the endpoints."""
    path, _, query_text = target.partition("?")
    query = dict(urllib.parse.parse_qsl(query_text))
    endpoint = path.removeprefix(PATH_PREFIX)
    allowed = {"addresses": "GET", "tickets": "POST"}.get(endpoint)
    if allowed is None:
        return build_error_response(404, "no-page", detail=path)
    if method != allowed:
        headers = [(b"allow", allowed.encode())]
        return build_error_response(405, "method", headers=headers)
    name = query.get("service", "").lower()
    owners = directory.owners(name)
    if owners is None:
        return build_error_response(404, "no-service", detail=name)
    if endpoint == "addresses":
        runtime = directory.runtime(name)
        return _build_json_response(
            {
                "service": name,
                "revision": runtime.service.revision if runtime else 0,
                "ttl_s": ADDRESS_TTL_S,
                "addresses": [
                    {
                        "host": owner.host,
                        "port": owner.port,
                        "zone": owner.zone,
                        "instance": owner.instance_id,
                    }
                    for owner in owners
                ],
                "ticket_required_for": directory.ticketed_entries(name),
            }
        )
    if directory.runtime(name) is None:
        return build_wrong_instance_response(owners)
    count = query.get("count", "1")
    if not (count.isascii() and count.isdigit() and len(count) < 4) or not (
        1 <= int(count) <= MAX_TICKETS
    ):
        detail = f"count is {count[:20]!r}, allowed are 1 to {MAX_TICKETS}"
        return build_error_response(400, "bad-count", detail=detail)
    if closing:
        # A ticket is valid only on the daemon that issued it, so it would be
        # useless after the shutdown.
        return build_error_response(503, "closing", retry_after=1)
    return _build_json_response(
        {
            "instance": tickets.instance_id,
            "expires_s": tickets.lifetime_s,
            "tickets": tickets.issue(name, int(count)),
        }
    )
