"""Audit trail of automatic actions, and log output.

Both write key=value lines in the same format. The other packages log through
this one, so that the format and the rate limit are the same everywhere.
"""

from typing import TYPE_CHECKING

from hawthornmast.lazy import make_getattr

if TYPE_CHECKING:
    from hawthornmast.audit.bounded import BoundedHandler
    from hawthornmast.audit.bounded import open_bounded_log
    from hawthornmast.audit.failures import describe_error
    from hawthornmast.audit.failures import log_failures
    from hawthornmast.audit.logs import format_event
    from hawthornmast.audit.logs import log_event
    from hawthornmast.audit.trail import Action
    from hawthornmast.audit.trail import AuditTrail
    from hawthornmast.audit.trail import Record


__all__ = [
    "Action",
    "AuditTrail",
    "BoundedHandler",
    "Record",
    "describe_error",
    "format_event",
    "log_event",
    "log_failures",
    "open_bounded_log",
]

__getattr__ = make_getattr(
    __name__,
    {
        "BoundedHandler": "bounded",
        "open_bounded_log": "bounded",
        "describe_error": "failures",
        "log_failures": "failures",
        "format_event": "logs",
        "log_event": "logs",
        "Action": "trail",
        "AuditTrail": "trail",
        "Record": "trail",
    },
)
