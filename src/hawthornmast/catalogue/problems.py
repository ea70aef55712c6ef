"""Problems found in catalogue documents."""

from typing import Any

import attrs

_MAX_VALUE_LENGTH = 80


@attrs.frozen(kw_only=True)
class Problem:
    """One problem in a document, with what is needed to correct it.

    Parameters
    ----------
    source
        File name or platform key of the document.
    key
        Dotted key. Entries appear as ``entry[NAME]``, or by position as
        ``entry[#2]`` when the name is missing or invalid.
    value
        Received value, shortened; ``nothing`` when the key is missing.
    allowed
        Description of the allowed values.
    nearest
        Valid name most similar to the received one, or empty.
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
    """Return the valid name most similar to ``name``, or an empty string."""
    if not isinstance(name, str):
        return ""
    # Imported only here, since daemons of a platform read no documents.
    import difflib

    found = difflib.get_close_matches(name[:_MAX_VALUE_LENGTH], names, n=1)
    return found[0] if found else ""


def short_repr(value: Any) -> str:
    """Return the shortened repr of a parsed value, for messages."""
    try:
        shown = repr(value)
    except (RecursionError, ValueError):
        # repr() fails for deeply nested tables and for integers of thousands
        # of digits.
        shown = f"a {type(value).__name__} that is too large to show"
    if len(shown) > _MAX_VALUE_LENGTH:
        shown = f"{shown[: _MAX_VALUE_LENGTH - 3]}..."
    return shown
