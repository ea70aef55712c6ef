"""Log lines of ``key=value`` pairs."""

import logging
import re

_PLAIN = re.compile(r"[\w.:/@%+,*-]+")


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return one line ``event=... key=value ...``.

    Values that hold anything but word characters and common punctuation are
    quoted and escaped, so that a line always parses back into its pairs.
    """
    pairs = [f"event={event}"]
    for key, value in fields.items():
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if not _PLAIN.fullmatch(text):
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
