"""Tests that docs/reference.md agrees with the classes."""

import pathlib

import attrs
import pytest

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.catalogue.documents import format_value
from hawthornmast.catalogue.tables import document_fields
from hawthornmast.catalogue.tables import RULE_METADATA_KEY
from hawthornmast.settings.documents import TABLES

PAGE = pathlib.Path(__file__).parents[4] / "docs" / "reference.md"
SECTIONS = {
    "Service keys": Service,
    "`[[entry]]`": Entry,
    **{f"`[{name}]`": cls for name, cls in TABLES.items()},
}


def _read_rows(title):
    section = PAGE.read_text().split(f"\n### {title}\n")[1]
    section = section.split("\n#")[0]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    return [
        [cell.strip() for cell in line.strip("|").split(" | ")]
        for line in lines[2:]
    ]


def _format_default(default):
    if default is attrs.NOTHING:
        return "required"
    if default is None:
        return "none"
    return f"`{format_value(default)}`"


class TestReference:
    @pytest.mark.parametrize("title", SECTIONS)
    def test_rows_agree_with_the_class(self, title):
        # Guards against a page with other defaults or ranges than the code.
        expected = [
            [
                f"`{name}`",
                attribute.metadata[RULE_METADATA_KEY].unit or "-",
                _format_default(attribute.default),
                attribute.metadata[RULE_METADATA_KEY].allowed,
            ]
            for name, attribute in document_fields(SECTIONS[title]).items()
        ]
        rows = _read_rows(title)
        assert [row[:4] for row in rows] == expected
        assert all(len(row) == 5 and len(row[4]) > 20 for row in rows)

    def test_page_has_no_other_tables(self):
        titles = [
            line.removeprefix("### ")
            for line in PAGE.read_text().splitlines()
            if line.startswith("### ")
        ]
        assert titles == list(SECTIONS)
