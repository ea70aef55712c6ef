"""Log lines of errors, and tasks that must go on after unexpected ones."""

from collections.abc import Iterator
import contextlib
import logging

from hawthornmast.audit.logs import log_event

_LOG = logging.getLogger("hawthornmast.audit.failures")

MAX_DETAIL_LENGTH = 300
"""Characters of an error in a log line; its values may be of any length."""


@contextlib.contextmanager
def log_failures(step: str) -> Iterator[None]:
    """Log an unexpected error of one step instead of raising it.

    A step is one round of a task or one message, so that an error in one
    doesn't end the process, which restarts and meets the same input again.
    Cancellation and errors that end the interpreter are raised.

    Parameters
    ----------
    step
        Name of the step in the log line.
    """
    try:
        yield
    except Exception as error:
        log_event(
            _LOG,
            "task-failed",
            level=logging.ERROR,
            step=step,
            detail=describe_error(error),
            at=_locate(error),
        )


def describe_error(error: Exception) -> str:
    """Return kind and message of an error, bounded for a log line."""
    return f"{type(error).__name__}: {error}"[:MAX_DETAIL_LENGTH]


def _locate(error: Exception) -> str:
    """Return module and line where the error was raised."""
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    if frame is None:
        return "-"
    module = frame.tb_frame.f_globals.get("__name__", "-")
    return f"{module}:{frame.tb_lineno}"
