"""Tests of the administration API, over a loopback socket."""

import pytest

from hawthornmast import administration
from hawthornmast import audit
from hawthornmast import http
from hawthornmast.common import Outcome


def _build_server(**overrides):
    trail = audit.AuditTrail(clock=lambda: 9.0)
    trail.append(audit.Action.RETRY, service="s", entry="e", request_id="r/1")
    trail.append(audit.Action.EJECT, service="s", peer="u1")
    requests = administration.RequestLog(capacity=2, clock=lambda: 9.0)
    requests.append(
        administration.RequestRecord(
            request_id="r/1", time=4.0, outcome=Outcome.COMPLETE, status=200
        )
    )
    options = {
        "status": lambda: {"instance": "a1"},
        "explain_upstream": lambda s, u: {"u": u} if u == "u1" else None,
        "explain_entry": lambda s, e: {"e": e} if e == "e" else None,
        "requests": requests,
        "audit": trail,
        "registry": administration.Metrics().registry,
    }
    return administration.AdministrationServer(
        "127.0.0.1", 0, **(options | overrides)
    )


async def _get(target, *, method="GET", **overrides):
    return await _build_server(**overrides).handle(
        http.Request(method=method, target=target)
    )


class TestHandle:
    @pytest.mark.parametrize(
        ("target", "key", "value", "audit_records"),
        [
            ("/v1/status", "instance", "a1", None),
            ("/v1/explain/upstreams/s/u1", "upstream", {"u": "u1"}, 1),
            ("/v1/explain/entries/s/e", "entry", {"e": "e"}, 1),
        ],
    )
    async def test_returns_description_and_audit_records(
        self, target, key, value, audit_records
    ):
        response = await _get(target)
        assert response.status == 200
        assert response.json()[key] == value
        assert len(response.json().get("audit", [])) == (audit_records or 0)

    async def test_explains_a_request(self):
        # Guards against an identifier with an encoded slash that is split
        # into two path segments.
        description = (await _get("/v1/explain/requests/r%2F1")).json()
        assert description["request"]["outcome"] == "complete"
        assert [record["act"] for record in description["audit"]] == ["retry"]

    async def test_unknown_request_reports_the_retention(self):
        response = await _get("/v1/explain/requests/zz")
        assert response.status == 404
        assert "latest 2 requests" in response.json()["retention"]
        assert response.json()["kept_s"] == 5.0

    @pytest.mark.parametrize(
        ("method", "target", "status"),
        [
            ("POST", "/v1/status", 405),
            ("GET", "/v1/explain/upstreams/s/zz", 404),
            ("GET", "/v1/explain/entries/s/zz", 404),
            ("GET", "/v1/explain/requests/", 404),
            ("GET", "/", 404),
            ("GET", "/v1/audit?limit=0", 400),
            ("GET", "/v1/audit?limit=1001", 400),
            ("GET", "/v1/audit?owner=x", 400),
            ("GET", "/v1/audit?service=s&limit=1", 200),
        ],
    )
    async def test_status(self, method, target, status):
        response = await _get(target, method=method)
        assert response.status == status
        assert ("error" in response.json()) == (status != 200)

    async def test_audit_returns_the_latest_records(self):
        records = (await _get("/v1/audit?limit=1")).json()["records"]
        assert [record["act"] for record in records] == ["eject"]


class TestAdministrationServer:
    async def test_serves_until_closed(self, nursery):
        server = _build_server()
        await server.start(nursery)
        result = await http.fetch("127.0.0.1", server.port, "GET", "/metrics")
        assert b"hawthornmast_reachable_peers 0.0" in result.unwrap().body
        port = server.port
        await server.close()
        result = await http.fetch("127.0.0.1", port, "GET", "/v1/status")
        assert result.is_err()

    async def test_exception_of_a_callback_is_a_500_response(self, nursery):
        # Guards against an administration request that terminates the
        # process.
        server = _build_server(status=lambda: {}["missing"])
        await server.start(nursery)
        for _ in range(2):
            result = await http.fetch(
                "127.0.0.1", server.port, "GET", "/v1/status"
            )
            assert result.unwrap().status == 500
        await server.close()
