"""Detection, ejection and reinstatement of failing upstreams.

Permits keep the ejections by all owners of a service within its floor. The
owners of a service are here the daemons of its owner group; ``Service.owner``
names the responsible team.
"""

from typing import TYPE_CHECKING

from hawthornmast.lazy import make_getattr

if TYPE_CHECKING:
    from hawthornmast.health.attempts import Attempt
    from hawthornmast.health.messages import HealthReport
    from hawthornmast.health.messages import MESSAGE_TYPES
    from hawthornmast.health.messages import PermitGrant
    from hawthornmast.health.messages import PermitRequest
    from hawthornmast.health.monitor import HealthMonitor
    from hawthornmast.health.standing import Evidence
    from hawthornmast.health.standing import Standing


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

__getattr__ = make_getattr(
    __name__,
    {
        "Attempt": "attempts",
        "HealthReport": "messages",
        "MESSAGE_TYPES": "messages",
        "PermitGrant": "messages",
        "PermitRequest": "messages",
        "HealthMonitor": "monitor",
        "Evidence": "standing",
        "Standing": "standing",
    },
)
