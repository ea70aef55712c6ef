"""Types shared by all packages: outcomes, ranks, instances and errors."""

from hawthornmast.common.errors import StepError
from hawthornmast.common.instances import Instance
from hawthornmast.common.instances import State
from hawthornmast.common.instances import Upstream
from hawthornmast.common.outcomes import Outcome
from hawthornmast.common.ranks import Rank
from hawthornmast.common.revisions import EraRevision

__all__ = [
    "EraRevision",
    "Instance",
    "Outcome",
    "Rank",
    "State",
    "StepError",
    "Upstream",
]
