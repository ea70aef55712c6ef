"""Detection of failing upstreams, ejection within the floor, return."""

from hawthornmast.health.attempts import Attempt
from hawthornmast.health.messages import HealthReport
from hawthornmast.health.messages import PermitGrant
from hawthornmast.health.messages import PermitRequest
from hawthornmast.health.monitor import HealthMonitor
from hawthornmast.health.standing import Evidence
from hawthornmast.health.standing import Standing

MESSAGE_TYPES = (HealthReport, PermitGrant, PermitRequest)
"""Messages between owners, for the peer network."""

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
