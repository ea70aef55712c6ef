"""Parsing and formatting of catalogue documents in TOML."""

import json
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue.problems import Problem
from hawthornmast.catalogue.problems import short_repr
from hawthornmast.catalogue.service import Entry
from hawthornmast.catalogue.service import METHODS
from hawthornmast.catalogue.service import Service
from hawthornmast.catalogue.tables import document_fields
from hawthornmast.catalogue.tables import load_toml
from hawthornmast.catalogue.tables import TableReader
from hawthornmast.common import Rank

MAX_ENTRIES = 1000
"""Limit per service; the largest service is expected to have a few hundred."""


def parse_service(text: str, *, source: str) -> Result[Service, list[Problem]]:
    """Parse the document of one service; any problem rejects all of it.

    Parameters
    ----------
    text
        TOML document.
    source
        File name or platform key to report in problems.

    Returns
    -------
    result
        The service with revision 0, or up to ``MAX_PROBLEMS`` problems in
        document order.
    """
    loaded = load_toml(text, source=source)
    if isinstance(loaded, Err):
        return loaded
    table = loaded.ok_value
    reader = TableReader(source=source)
    values = reader.read(Service, table, extra_keys=("entry",))
    entries = _read_entries(reader, table.get("entry", []))
    if reader.problems:
        return Err(reader.problems)
    return Ok(Service(**values, entries=tuple(entries)))


def _read_entries(reader: TableReader, tables: Any) -> list[Entry]:
    allowed = f"1 to {MAX_ENTRIES} [[entry]] tables"
    if not isinstance(tables, list):
        reader.report("entry", short_repr(tables), allowed)
        return []
    if not 1 <= len(tables) <= MAX_ENTRIES:
        reader.report("entry", f"{len(tables)} tables", allowed)
        return []
    entries: list[Entry] = []
    names: dict[str, str] = {}
    routes: dict[str, dict[str, str]] = {}
    for number, table in enumerate(tables, 1):
        if reader.is_full:
            break
        label = f"entry[#{number}]"
        name = table.get("name") if isinstance(table, dict) else None
        if isinstance(name, str) and 0 < len(name) <= 63:
            if name not in names:
                label = f"entry[{name}]"
            else:
                reader.report(
                    f"{label}.name",
                    short_repr(name),
                    f"a name that is not used by {names[name]}",
                )
            names.setdefault(name, label)
        problem_count = len(reader.problems)
        values = reader.read(Entry, table, prefix=f"{label}.")
        if len(reader.problems) == problem_count:
            entry = Entry(**values)
            _check_route(reader, label, entry, routes)
            entries.append(entry)
    return entries


def _check_route(
    reader: TableReader,
    label: str,
    entry: Entry,
    routes: dict[str, dict[str, str]],
) -> None:
    """Report each method and path that an earlier entry already has."""
    labels = routes.setdefault(entry.path, {})
    for method in entry.methods or METHODS:
        if method in labels:
            reader.report(
                f"{label}.path",
                f"{method} {entry.path}",
                f"a method and path that {labels[method]} does not have",
            )
        labels.setdefault(method, label)


def format_service(service: Service) -> str:
    """Return the TOML document of a service, without the revision."""
    lines = _format_keys(service)
    for entry in service.entries:
        lines += ["", "[[entry]]", *_format_keys(entry)]
    return "\n".join(lines) + "\n"


def _format_keys(record: attrs.AttrsInstance) -> list[str]:
    lines = []
    for name in document_fields(type(record)):
        value = getattr(record, name)
        if name == "not_run_header" and value is not None:
            value = ": ".join(value)
        if value is not None:
            lines.append(f"{name} = {format_value(value)}")
    return lines


def format_value(value: Any) -> str:
    """Return the TOML notation of a value."""
    if isinstance(value, Rank):
        value = value.label
    if isinstance(value, tuple):
        return f"[{', '.join(map(format_value, value))}]"
    # For the strings, numbers and booleans that occur here, JSON and TOML
    # notation are the same.
    return json.dumps(value, ensure_ascii=False)
