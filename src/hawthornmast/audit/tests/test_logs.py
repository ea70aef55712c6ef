"""Tests of the key=value log lines."""

import shlex

import pytest

from hawthornmast import audit


class TestFormatEvent:
    @pytest.mark.parametrize(
        ("value", "text"),
        [
            ("plain", "plain"),
            (0.25, "0.25"),
            ("two words", '"two words"'),
            ('a "quote"', '"a \\"quote\\""'),
            ("line\nbreak", '"line\\nbreak"'),
            ("", '""'),
        ],
    )
    def test_value(self, value, text):
        line = audit.format_event("eject", {"peer": value})
        assert line == f"event=eject peer={text}"

    def test_forged_pair_stays_one_value(self):
        # Guards against a caller's text that adds pairs to a log line.
        line = audit.format_event("refuse", {"path": '/x" act="eject'})
        assert len(shlex.split(line)) == 2
