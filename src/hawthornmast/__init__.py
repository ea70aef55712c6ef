"""Proxy fleet for back ends with gray failures."""

from hawthornmast.audit import AuditTrail
from hawthornmast.common import Instance
from hawthornmast.common import Outcome
from hawthornmast.common import Rank
from hawthornmast.common import StepError
from hawthornmast.common import Upstream

__version__ = "0.1.0"

__all__ = [
    "AuditTrail",
    "Instance",
    "Outcome",
    "Rank",
    "StepError",
    "Upstream",
    "__version__",
]
