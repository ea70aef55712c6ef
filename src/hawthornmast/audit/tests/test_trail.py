"""Tests of the audit trail."""

import pytest

from hawthornmast import audit


class TestAuditTrail:
    def test_oldest_record_is_dropped(self):
        # Guards against unbounded memory when many requests are rejected.
        trail = audit.AuditTrail(capacity=2, clock=lambda: 1.0)
        for name in ("a", "b", "c"):
            trail.append(audit.Action.REFUSE, service=name)
        assert [record.service for record in trail] == ["b", "c"]
        assert trail.counts == {audit.Action.REFUSE: 3}

    def test_select_matches_all_criteria(self):
        trail = audit.AuditTrail(clock=lambda: 1.0)
        trail.append(audit.Action.EJECT, service="s", peer="u1")
        trail.append(audit.Action.RETURN, service="s", peer="u2")
        trail.append(audit.Action.EJECT, service="t", peer="u1")
        matches = trail.select(service="s", peer="u1")
        assert [record.act for record in matches] == [audit.Action.EJECT]

    def test_capacity_must_be_positive(self):
        with pytest.raises(ValueError, match="capacity is 0, allowed"):
            audit.AuditTrail(capacity=0)
