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
    def test_format_value(self, value, text):
        line = audit.format_event("eject", {"peer": value})
        assert line == f"event=eject peer={text}"

    def test_injected_pair_is_escaped(self):
        # Guards against input from clients that adds pairs to a log line.
        line = audit.format_event("refuse", {"path": '/x" act="eject'})
        assert len(shlex.split(line)) == 2
