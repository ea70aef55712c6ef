"""Selection of a catalogue entry by method and path."""

import urllib.parse

from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service


def normalize_path(target: str) -> Result[str, str]:
    """Return the decoded path of a target, or why it is ambiguous.

    An upstream may resolve dot segments, empty segments and encoded slashes
    differently. Such a path could reach a non-idempotent operation under an
    idempotent entry, so it is refused.
    """
    path = target.split("?", 1)[0]
    if not path.startswith("/"):
        return Err(f"target {target[:80]!r} does not start with '/'")
    if "%" in path:
        if "%2f" in path.lower():
            return Err("path contains an encoded slash")
        path = urllib.parse.unquote(path, errors="replace")
    if "\\" in path or "\x00" in path or "#" in path:
        return Err("path contains a backslash, a NUL or a fragment")
    if "//" in path:
        return Err("path contains an empty segment")
    if "/." in path and not {".", ".."}.isdisjoint(path.split("/")):
        return Err("path contains a dot segment")
    return Ok(path)


def _has_prefix(path: str, prefix: str) -> bool:
    prefix = prefix.rstrip("/")
    return path.startswith(prefix) and path[len(prefix) :][:1] in ("", "/")


def find_entry(
    service: Service, method: str, path: str
) -> Result[Entry, tuple[str, ...]]:
    """Return the entry of a request.

    The longest prefix by whole segments wins. The error holds the methods
    that the path allows; it is empty when no entry has the path.
    """
    found: Entry | None = None
    allowed: set[str] = set()
    for entry in service.entries:
        if not _has_prefix(path, entry.path):
            continue
        if entry.methods and method not in entry.methods:
            allowed.update(entry.methods)
        elif found is None or len(entry.path) > len(found.path):
            found = entry
    if found is None:
        return Err(tuple(sorted(allowed)))
    return Ok(found)
