"""Detection, ejection and reinstatement of failing upstreams.

Permits keep the ejections by all owners of a service within its floor. The
owners of a service are here the daemons of its owner group; ``Service.owner``
names the responsible team.
"""

from hawthornmast.health.attempts import Attempt
from hawthornmast.health.messages import HealthReport
from hawthornmast.health.messages import PermitGrant
from hawthornmast.health.messages import PermitRequest
from hawthornmast.health.monitor import HealthMonitor
from hawthornmast.health.standing import Evidence
from hawthornmast.health.standing import Standing

MESSAGE_TYPES = (HealthReport, PermitGrant, PermitRequest)
"""Types of the messages between the owners of a service."""

__all__ = [
    "MESSAGE_TYPES",
    "Attempt",
    "Evidence",
    "HealthMonitor",
    "HealthReport",
    "PermitGrant",
    "PermitRequest",
    "Standing",
]
