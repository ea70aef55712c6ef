"""Proxy fleet for back ends with gray failures.

The public names are imported when they are first used, so that a process can
open its ports before it spends time on imports.
"""

import importlib

# A signal ends the process until the entry point runs, so that typing, the
# longest of the imports before it, is left out.
TYPE_CHECKING = False

if TYPE_CHECKING:
    from typing import Any

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


def __getattr__(name: str) -> "Any":
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    slice_name = "audit" if name == "AuditTrail" else "common"
    return getattr(importlib.import_module(f"{__name__}.{slice_name}"), name)
