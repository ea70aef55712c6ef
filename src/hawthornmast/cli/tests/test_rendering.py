"""Tests of the text output of explanations."""

import pytest

from hawthornmast.cli import rendering

RECORD = {
    "time": 12.0,
    "act": "refuse",
    "service": "billing",
    "entry": "renewal-charge",
    "owner": "renewals-team",
    "limit": "",
    "revision": 7,
    "evidence": "reason=queue-full",
    "step": "admit",
    "peer": "",
    "request_id": "a-1",
    "age_s": 3.25,
}
REQUEST = {
    "request_id": "a-1",
    "time": 12.0,
    "service": "billing",
    "entry": "renewal-charge",
    "owner": "renewals-team",
    "rank": "urgent",
    "outcome": "unknown",
    "status": 502,
    "reason": "upstream-failed",
    "upstreams": ["billing-1", "billing-2"],
    "queue_ms": 0.5,
    "upstream_ms": 9.5,
    "total_ms": 10.0,
    "revision": 7,
    "age_s": 3.25,
}
UPSTREAM = {
    "service": "billing",
    "owner": "billing-team",
    "revision": 7,
    "upstream": {
        "upstream_id": "billing-1",
        "zone": "zone-a",
        "host": "127.0.0.1",
        "port": 20001,
        "slots": 4,
        "connections": 400,
        "state": "live",
    },
    "standing": {"ejected": False, "avoided": False, "weight": 1.0},
    "floor": 0.5,
    "floor_upstreams": 1,
    "listed": 2,
    "slots_allowed": 2,
    "slots_in_use": 1,
    "health": {
        "score": 4.2,
        "failed_in_run": 5,
        "ok_in_run": 0,
        "sick": True,
        "denied": False,
        "ejected_for_s": 0.0,
        "hold_off_for_s": 0.0,
        "permits_of_group": 1,
    },
}
ENTRY = {
    "service": "billing",
    "revision": 7,
    "entry": {
        "name": "renewal-charge",
        "owner": "renewals-team",
        "rank": "urgent",
        "methods": ["POST"],
        "path": "/renewals",
        "idempotent": False,
        "share": 0.6,
        "queue_limit": 64,
        "deadline_ms": 2000,
        "retry_ratio": 0.1,
    },
    "served_here": True,
    "waiting": 3,
}


class TestRenderExplanation:
    @pytest.mark.parametrize(
        ("kind", "facts"),
        [("request", REQUEST), ("upstream", UPSTREAM), ("entry", ENTRY)],
    )
    def test_text(self, snapshot, kind, facts):
        # Guards against catalogue terms that are missing from the text.
        response = {kind: facts, "audit": [RECORD]}
        assert rendering.render_explanation(kind, response) == snapshot

    def test_request_with_only_audit_records(self):
        response = {"request": None, "audit": [RECORD]}
        rendered = rendering.render_explanation("request", response)
        assert "no longer kept" in rendered
        assert "reason=queue-full" in rendered

    @pytest.mark.parametrize(
        ("standing", "expected"),
        [
            ({"ejected": True}, "ejected, gets no requests"),
            ({"avoided": True}, "avoided, used only"),
            ({"weight": 0.3}, "returning, at weight 0.3"),
        ],
    )
    def test_status_of_an_upstream(self, standing, expected):
        # Guards against an ejected upstream that is shown as in use.
        facts = {**UPSTREAM, "standing": {**UPSTREAM["standing"], **standing}}
        rendered = rendering.render_explanation(
            "upstream", {"upstream": facts}
        )
        assert expected in rendered.splitlines()[0]
