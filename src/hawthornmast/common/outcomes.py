"""The closed set of request outcomes."""

import enum


class Outcome(enum.StrEnum):
    """How a request ended, as callers, logs and metrics see it."""

    COMPLETE = "complete"
    """The caller received the whole answer of one upstream."""

    NOT_RUN = "not-run"
    """No upstream executed the request."""

    UNKNOWN = "unknown"
    """An upstream may have executed the request."""
