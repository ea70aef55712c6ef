"""Detection of failing upstreams, ejection within the floor, return."""

from hawthornmast.health.standing import Evidence
from hawthornmast.health.standing import Standing

__all__ = [
    "Evidence",
    "Standing",
]
