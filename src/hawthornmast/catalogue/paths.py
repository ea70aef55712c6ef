"""Splitting of request paths that all servers interpret the same way."""

import re
import urllib.parse

from result import Err
from result import Ok
from result import Result

# Fast path: unreserved characters need no decoding. Segments that begin with
# a dot are excluded because they may be dot segments.
_PLAIN = re.compile(r"(/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+/?")
_FORBIDDEN = re.compile(r"[\x00-\x1f\x7f/\\;?#]|%[0-9A-Fa-f]{2}")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")


def split_path(target: str) -> Result[tuple[str, ...], str]:
    """Return the decoded path segments of a request target.

    Targets that servers may interpret differently are rejected rather than
    normalized, because the upstream receives the target unchanged. These are
    targets with dot segments, empty segments, encoded slashes, backslashes,
    path parameters, control characters, double percent-encoding, encoded
    question marks or number signs, or invalid UTF-8.

    Parameters
    ----------
    target
        Target in origin form, such as ``/boxes/7?full=1``; the query is
        ignored.

    Returns
    -------
    result
        The segments, or the reason why the target is rejected. A trailing
        slash adds no segment.
    """
    path = target.partition("?")[0]
    if _PLAIN.fullmatch(path):
        return Ok(tuple(path.strip("/").split("/")))
    if path == "/":
        return Ok(())
    if not path.startswith("/"):
        return Err("path does not begin with a slash")
    if _BAD_ESCAPE.search(path):
        return Err("path has an incomplete percent escape")
    segments = path[1:].removesuffix("/").split("/")
    decoded = []
    for segment in segments:
        try:
            text = urllib.parse.unquote(segment, errors="strict")
        except UnicodeDecodeError:
            return Err("path is not UTF-8")
        if not text:
            return Err("path has an empty segment")
        if text in (".", ".."):
            return Err("path has a dot segment")
        if _FORBIDDEN.search(text):
            return Err(
                "path has a slash, backslash, semicolon, control character"
                " or escape within a segment"
            )
        decoded.append(text)
    return Ok(tuple(decoded))
