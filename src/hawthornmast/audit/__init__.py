"""Audit trail of automatic acts and key=value log lines."""

from hawthornmast.audit.logs import format_event
from hawthornmast.audit.logs import log_event
from hawthornmast.audit.trail import Act
from hawthornmast.audit.trail import AuditTrail
from hawthornmast.audit.trail import Record

__all__ = [
    "Act",
    "AuditTrail",
    "Record",
    "format_event",
    "log_event",
]
