"""Catalogue documents in TOML."""

import json
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue.problems import Problem
from hawthornmast.catalogue.problems import show_value
from hawthornmast.catalogue.service import Entry
from hawthornmast.catalogue.service import METHODS
from hawthornmast.catalogue.service import Service
from hawthornmast.catalogue.tables import find_rules
from hawthornmast.catalogue.tables import load_toml
from hawthornmast.catalogue.tables import TableReader
from hawthornmast.common import Rank

MAX_ENTRIES = 1000
"""Entries of one service; the largest planned has a few hundred."""


def parse_service(text: str, *, source: str) -> Result[Service, list[Problem]]:
    """Parse one service's document; any problem rejects it as a whole.

    Parameters
    ----------
    text
        The document.
    source
        File or platform key, for problems.

    Returns
    -------
    result
        The service with revision 0, or its problems in document order,
        at most ``MAX_PROBLEMS``.
    """
    loaded = load_toml(text, source=source)
    if isinstance(loaded, Err):
        return loaded
    table = loaded.ok_value
    reader = TableReader(source=source)
    values = reader.read(Service, table, also=("entry",))
    entries = _read_entries(reader, table.get("entry", []))
    if reader.problems:
        return Err(reader.problems)
    return Ok(Service(**values, entries=tuple(entries)))


def _read_entries(reader: TableReader, tables: Any) -> list[Entry]:
    allowed = f"1 to {MAX_ENTRIES} [[entry]] tables"
    if not isinstance(tables, list):
        reader.report("entry", show_value(tables), allowed)
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
                    show_value(name),
                    f"a name that is not used by {names[name]}",
                )
            names.setdefault(name, label)
        before = len(reader.problems)
        values = reader.read(Entry, table, prefix=f"{label}.")
        if len(reader.problems) == before:
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
    """Report methods of a path that an earlier entry has as well."""
    taken = routes.setdefault(entry.path, {})
    for method in entry.methods or METHODS:
        if method in taken:
            reader.report(
                f"{label}.path",
                f"{method} {entry.path}",
                f"a method and path that {taken[method]} does not have",
            )
        taken.setdefault(method, label)


def format_service(service: Service) -> str:
    """Return the TOML document of a service; its revision is left out."""
    lines = _format_keys(service)
    for entry in service.entries:
        lines += ["", "[[entry]]", *_format_keys(entry)]
    return "\n".join(lines) + "\n"


def _format_keys(thing: attrs.AttrsInstance) -> list[str]:
    lines = []
    for name in find_rules(type(thing)):
        value = getattr(thing, name)
        if name == "not_run_header" and value is not None:
            value = ": ".join(value)
        if value is not None:
            lines.append(f"{name} = {format_value(value)}")
    return lines


def format_value(value: Any) -> str:
    """Return a value in TOML as an operator would write it."""
    if isinstance(value, Rank):
        value = value.label
    if isinstance(value, tuple):
        return f"[{', '.join(map(format_value, value))}]"
    # JSON writes the texts, numbers and booleans that occur as TOML does.
    return json.dumps(value, ensure_ascii=False)
