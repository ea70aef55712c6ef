"""Outcomes of requests."""

import enum


class Outcome(enum.StrEnum):
    """Outcome of a request, as reported to clients, logs and metrics.

    The set is closed: no other outcome is reported.
    """

    COMPLETE = "complete"
    """The client received the complete response of one upstream."""

    NOT_RUN = "not-run"
    """No upstream executed the request."""

    UNKNOWN = "unknown"
    """An upstream may have executed the request."""
