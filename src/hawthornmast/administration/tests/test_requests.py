"""Tests of the request log."""

import pytest

from hawthornmast import administration
from hawthornmast.common import Outcome


def _record(request_id, *, status=200, time=0.0):
    return administration.RequestRecord(
        request_id=request_id,
        time=time,
        outcome=Outcome.COMPLETE,
        status=status,
    )


class TestRequestLog:
    def test_evicts_the_oldest_record(self):
        # Guards against memory that grows with the number of requests.
        log = administration.RequestLog(capacity=2, clock=lambda: 9.0)
        assert log.oldest_age_s == 0
        for number in range(1, 4):
            log.append(_record(f"r{number}", time=number))
        assert len(log) == 2
        assert log.find("r1") is None
        assert log.oldest_age_s == 7.0

    def test_replaces_a_record_with_the_same_identifier(self):
        log = administration.RequestLog(capacity=2, clock=lambda: 9.0)
        for request_id, status in [("a", 1), ("b", 2), ("a", 3), ("c", 4)]:
            log.append(_record(request_id, status=status))
        assert log.find("b") is None
        assert log.find("a").status == 3

    def test_capacity_must_be_positive(self):
        with pytest.raises(ValueError, match="capacity is 0, allowed"):
            administration.RequestLog(capacity=0)
