"""Tests of the published list of upstreams."""

import json
from typing import Any

import attrs
import pytest

from hawthornmast.common import Upstream
from hawthornmast.membership.entries import MAX_STARTED_MS
from hawthornmast.membership.lists import parse_upstreams

UPSTREAM = Upstream(
    upstream_id="u0", zone="a", host="127.0.0.1", port=8080, slots=4
)


class TestParseUpstreams:
    """Guards against a field of ``Upstream`` that lists can't have."""

    @pytest.mark.parametrize("started_ms", [0, 1_787_203_747_216])
    def test_all_fields(self, started_ms: int) -> None:
        upstream = attrs.evolve(UPSTREAM, started_ms=started_ms)
        text = json.dumps([attrs.asdict(upstream)])
        assert parse_upstreams(text).unwrap() == (upstream,)

    @pytest.mark.parametrize(
        "started_ms", [-1, 1.5, True, "1", None, MAX_STARTED_MS + 1]
    )
    def test_invalid_start_time(self, started_ms: Any) -> None:
        entry = {**attrs.asdict(UPSTREAM), "started_ms": started_ms}
        error = parse_upstreams(json.dumps([entry])).unwrap_err()
        assert error.detail.startswith("entry 0: started_ms is ")
