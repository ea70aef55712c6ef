"""Admission control, retry budgets and the division of upstream slots."""

from typing import TYPE_CHECKING

from hawthornmast.lazy import make_getattr

if TYPE_CHECKING:
    from hawthornmast.limits.admission import Admission
    from hawthornmast.limits.admission import Reason
    from hawthornmast.limits.admission import Refusal
    from hawthornmast.limits.allocator import SlotAllocator
    from hawthornmast.limits.allowances import Allowance
    from hawthornmast.limits.allowances import AllowanceLedger
    from hawthornmast.limits.budget import RetryBudget
    from hawthornmast.limits.coverage import Coverage
    from hawthornmast.limits.dispatcher import Dispatcher
    from hawthornmast.limits.division import divide_statically
    from hawthornmast.limits.holders import HolderPosition
    from hawthornmast.limits.loans import Loan
    from hawthornmast.limits.loans import LoanRequest
    from hawthornmast.limits.messages import SlotDemand
    from hawthornmast.limits.messages import SlotGrant
    from hawthornmast.limits.pool import UpstreamPool
    from hawthornmast.limits.shared import SharedPool
    from hawthornmast.limits.statements import StatementRegistry
    from hawthornmast.limits.statements import UpstreamStatement
    from hawthornmast.limits.window import FleetRetryBudget


__all__ = [
    "Admission",
    "Allowance",
    "AllowanceLedger",
    "Coverage",
    "Dispatcher",
    "HolderPosition",
    "Loan",
    "LoanRequest",
    "Reason",
    "Refusal",
    "RetryBudget",
    "SharedPool",
    "SlotAllocator",
    "SlotDemand",
    "SlotGrant",
    "StatementRegistry",
    "UpstreamPool",
    "UpstreamStatement",
    "FleetRetryBudget",
    "divide_statically",
]

__getattr__ = make_getattr(
    __name__,
    {
        "Admission": "admission",
        "Reason": "admission",
        "Refusal": "admission",
        "SlotAllocator": "allocator",
        "Allowance": "allowances",
        "AllowanceLedger": "allowances",
        "RetryBudget": "budget",
        "Coverage": "coverage",
        "Dispatcher": "dispatcher",
        "divide_statically": "division",
        "HolderPosition": "holders",
        "Loan": "loans",
        "LoanRequest": "loans",
        "SlotDemand": "messages",
        "SlotGrant": "messages",
        "UpstreamPool": "pool",
        "SharedPool": "shared",
        "StatementRegistry": "statements",
        "UpstreamStatement": "statements",
        "FleetRetryBudget": "window",
    },
)
