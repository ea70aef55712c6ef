"""Tests of the directory of accepted lists."""

import json

import pytest

from hawthornmast import common
from hawthornmast import membership

ENTRY = {
    "instance_id": "a",
    "zone": "z1",
    "host": "127.0.0.1",
    "port": 1,
    "peer_port": 2,
}


OWN = common.Instance(**ENTRY)


class TestDirectory:
    @pytest.mark.parametrize(
        "bad",
        [
            {"port": "1"},
            {"port": True},
            {"host": "localhost"},
            {"state": "gone"},
            {"extra": 1},
            {"zone": ""},
            {"capacity": 0},
            {"capacity": True},
            {"capacity": "1"},
            {},
        ],
    )
    def test_bad_entry_refuses_list(self, bad):
        # The last case repeats an identifier.
        text = json.dumps([ENTRY, {**ENTRY, "instance_id": "b", **bad}])
        if not bad:
            text = json.dumps([ENTRY, ENTRY])
        directory = membership.Directory(instance=OWN)
        directory.apply("instances/daemons", 1, json.dumps([ENTRY]))
        before = directory.daemons
        assert directory.apply("instances/daemons", 2, text).is_err()
        assert directory.daemons == before
        assert directory.daemons_revision == 1

    def test_owner_group_follows_list(self):
        # Guards against a cached owner group that outlives its list.
        directory = membership.Directory(instance=OWN)
        changes = []
        directory.watch(changes.append)
        directory.apply("instances/daemons", 1, json.dumps([ENTRY]))
        assert [d.instance_id for d in directory.owners("s")] == ["a"]
        other = {**ENTRY, "instance_id": "b"}
        directory.apply("instances/daemons", 2, json.dumps([other]))
        assert [d.instance_id for d in directory.owners("s")] == ["b"]
        directory.mark_leaving("b")
        assert directory.is_leaving("b")
        assert changes == ["instances/daemons"] * 3
