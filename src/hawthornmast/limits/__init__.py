"""Admission by rank and limit, retry budgets and the division of slots."""

from hawthornmast.limits.admission import Admission
from hawthornmast.limits.admission import Reason
from hawthornmast.limits.admission import Refusal

__all__ = [
    "Admission",
    "Reason",
    "Refusal",
]
