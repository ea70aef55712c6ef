"""Tests for parsing and formatting of catalogue documents."""

import hypothesis
from hypothesis import given
from hypothesis import strategies as st
import pytest
from result import Ok

from hawthornmast import catalogue
from hawthornmast.catalogue import tables
from hawthornmast.common import Rank

VALID = """
name = "billing"
owner = "billing-team"
not_run_header = "Upstream-Not-Run: 1"
[[entry]]
name = "renewal-charge"
owner = "renewals-team"
rank = "urgent"
methods = ["POST"]
path = "/renewals"
idempotent = false
"""

# On a busy machine one example can exceed the default deadline.
_UNTIMED = hypothesis.settings(deadline=None)


def _parse(text):
    return catalogue.parse_service(text, source="billing.toml")


_names = st.from_regex(r"[a-z]([a-z0-9-]{0,20}[a-z0-9])?", fullmatch=True)
_shares = st.floats(0, 1)


@st.composite
def _services(draw):
    names = draw(st.lists(_names, min_size=1, max_size=4, unique=True))
    entries = tuple(
        catalogue.Entry(
            name=name,
            owner=draw(_names),
            rank=draw(st.sampled_from(Rank)),
            methods=draw(st.sampled_from([(), ("GET",), ("POST", "PUT")])),
            path=f"/{name}",
            idempotent=draw(st.booleans()),
            share=draw(st.floats(0, 1, exclude_min=True)),
            retry_ratio=draw(_shares),
        )
        for name in names
    )
    return catalogue.Service(
        name=draw(_names),
        owner=draw(_names),
        floor=draw(_shares),
        not_run_header=draw(st.sampled_from([None, ("X-Shed", "a: b")])),
        entries=entries,
    )


class TestParseService:
    def test_valid_document(self):
        service = _parse(VALID).unwrap()
        assert service.not_run_header == ("Upstream-Not-Run", "1")
        assert service.entries[0].rank is Rank.URGENT
        assert not service.entries[0].idempotent

    @pytest.mark.parametrize(
        ("old", "new"),
        [
            ('rank = "urgent"', 'rnk = "urgent"'),
            ('rank = "urgent"', 'rank = "urgnt"'),
            ('rank = "urgent"', "share = 0"),
            ('rank = "urgent"', "share = nan"),
            ('rank = "urgent"', "retry_ratio = 1.5"),
            ('rank = "urgent"', "deadline_ms = true"),
            ('["POST"]', '["POST", "POST"]'),
            ('["POST"]', '["CONNECT"]'),
            ('"/renewals"', '"/a/../b"'),
            ('"/renewals"', '"/a/"'),
            ("idempotent = false", 'idempotent = "no"'),
            ('"billing"', '"billing\\r\\nX: y"'),
            ('"billing"', '"Billing_1"'),
            ('"billing"', '"127.0.0.1"'),
            ('"Upstream-Not-Run: 1"', '"Content-Length: 1"'),
            ('"Upstream-Not-Run: 1"', '"Up stream: 1"'),
            ('owner = "billing-team"', "floor = 70\nx.y = 1"),
            ("[[entry]]", "[entry]"),
            ("[[entry]]", "[[entry"),
            (
                "[[entry]]",
                "floor = -0.1\n[[entry]]\nname='renewal-charge'\nowner='a'\n"
                "path='/renewals'\n[[entry]]",
            ),
        ],
    )
    def test_problems_are_reported(self, snapshot, old, new):
        # Guards against partly accepted documents and missing problems.
        assert old in VALID
        problems = _parse(VALID.replace(old, new)).unwrap_err()
        assert [str(problem) for problem in problems] == snapshot

    @pytest.mark.parametrize(
        "text",
        [
            "a = " + "[" * 50_000,
            "a = " + "9" * 5000,
            "floor = 0x" + "f" * 9000,
            ".".join("a" * 5000) + " = 1",
            "entry = [" + "1," * 2000 + "]",
        ],
        ids=["arrays", "digits", "hex", "dotted", "entries"],
    )
    def test_huge_values_are_problems(self, text):
        # Guards against exceptions from the repr of huge values.
        problems = _parse(text).unwrap_err()
        assert all(len(problem.value) < 300 for problem in problems)

    @_UNTIMED
    @given(st.text() | st.text(alphabet='[]=".\n,{}entrynamefloor01').map(str))
    def test_never_raises(self, text):
        assert _parse(text).is_err()

    @_UNTIMED
    @given(
        st.sampled_from([line for line in VALID.splitlines() if "=" in line]),
        st.sampled_from(["[]", "{}", "[[1]]", "-1", "1e400", "2001-01-01"]),
    )
    def test_values_of_other_types_are_problems(self, line, value):
        key = line.partition(" ")[0]
        problems = _parse(VALID.replace(line, f"{key} = {value}"))
        assert problems.is_err() or (key, value) == ("methods", "[]")

    def test_number_of_problems_is_limited(self):
        # Guards against one document that blocks the event loop for seconds.
        text = "".join(f"key{number} = 1\n" for number in range(20_000))
        assert len(_parse(text).unwrap_err()) == tables.MAX_PROBLEMS

    @_UNTIMED
    @given(_services())
    def test_round_trip(self, service):
        # Guards against values that change when a document is formatted by
        # the stand-in platform and parsed by a daemon.
        assert _parse(catalogue.format_service(service)) == Ok(service)
