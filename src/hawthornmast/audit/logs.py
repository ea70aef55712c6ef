"""Structured log lines of ``key=value`` pairs."""

import logging
import re

_UNQUOTED_VALUE = re.compile(r"[\w.:/@%+,*-]+")


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return a log line ``event=... key=value ...``.

    Values with other than word characters and common punctuation are quoted
    and escaped, so that the pairs can be parsed from the line unambiguously.
    """
    pairs = [f"event={event}"]
    for key, value in fields.items():
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if not _UNQUOTED_VALUE.fullmatch(text):
            escaped = text.encode("unicode_escape").decode("ascii")
            text = '"' + escaped.replace('"', '\\"') + '"'
        pairs.append(f"{key}={text}")
    return " ".join(pairs)


def log_event(
    logger: logging.Logger,
    event: str,
    *,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Log one event as a line of ``key=value`` pairs."""
    if logger.isEnabledFor(level):
        logger.log(level, "%s", format_event(event, fields))
