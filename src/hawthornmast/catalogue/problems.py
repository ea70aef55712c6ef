"""Faults of operator documents."""

import difflib
from typing import Any

import attrs

_SHOWN_CHARACTERS = 80


@attrs.frozen(kw_only=True)
class Problem:
    """One fault of a document, with all that is needed to correct it.

    Parameters
    ----------
    source
        File or platform key of the document.
    key
        Dotted key; entries are named as ``entry[NAME]``, or by position as
        ``entry[#2]`` while their name is not usable.
    value
        The value received, shortened; ``nothing`` when there is none.
    allowed
        What is allowed.
    nearest
        The valid name nearest to the one received, or empty.
    """

    source: str
    key: str
    value: str
    allowed: str
    nearest: str = ""

    def __str__(self) -> str:
        nearest = f" (nearest: {self.nearest})" if self.nearest else ""
        return (
            f"{self.source}: {self.key}: received {self.value},"
            f" allowed: {self.allowed}{nearest}"
        )


def find_nearest(name: object, names: list[str]) -> str:
    """Return the valid name most similar to ``name``, or an empty text."""
    if not isinstance(name, str):
        return ""
    found = difflib.get_close_matches(name[:_SHOWN_CHARACTERS], names, n=1)
    return found[0] if found else ""


def show_value(value: Any) -> str:
    """Return a short form of any parsed value for a message."""
    try:
        shown = repr(value)
    except (RecursionError, ValueError):
        # Deeply nested tables and integers of thousands of digits have no
        # repr.
        shown = f"a {type(value).__name__} that is too large to show"
    if len(shown) > _SHOWN_CHARACTERS:
        shown = f"{shown[: _SHOWN_CHARACTERS - 3]}..."
    return shown
