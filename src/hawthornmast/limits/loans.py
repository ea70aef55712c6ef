"""Loans of shares of an allowance between two members.

A lender does without a share for twice the term after it granted the loan,
whereas the borrower counts the term from its request, which is earlier. Both
keep every share that was granted with the time at which it ends, and count the
greatest one, so that a lost answer leaves the former loan in force.
"""

from collections.abc import Callable
import math

import attrs

LOAN_TERM_S = 1.0
"""Time in seconds for which a share is lent."""

WITHHOLDING_TERMS = 2.0
"""Terms after a grant in which the lender does without the share."""

RENEWAL_FRACTION = 0.5
"""Fraction of the term that is left when a borrower renews its loan."""

RESEND_S = 0.3
"""Time in seconds after which a request without an answer is sent again. Only
the answer to the latest request counts, so it must exceed a round trip."""

SPARE_EXPIRY_S = 0.1
"""Time in seconds after which a member asks a lender again that had less to
spare than was asked for."""

MIN_GIVEN_BACK = 0.1
"""Share that a borrower gives back before it renews its loan, once it needs so
much less than it has."""

MAX_UNANSWERED = 3
"""Consecutive requests without an answer after which a lender is asked only
every ``SILENT_RETRY_S`` seconds; it may be of an earlier version."""

SILENT_RETRY_S = 2.0


@attrs.frozen(kw_only=True)
class LoanRequest:
    """Request for a loan, which replaces all former requests to a lender.

    Parameters
    ----------
    name
        Allowance.
    number
        Greater than that of all former requests to the same lender.
    rate_per_s
        Rate to be lent in total; 0 ends the loan.
    tokens
        Tokens wanted along with a share that wasn't lent before.
    held
        Share of former loans that the borrower still uses; it has given up
        the rest and ignores the answers to its former requests.
    returned
        Tokens of the share that was given up.
    """

    name: str
    number: int
    rate_per_s: float
    tokens: float = 0.0
    held: float = 0.0
    returned: float = 0.0


@attrs.frozen(kw_only=True)
class Loan:
    """Answer to a request.

    Parameters
    ----------
    name
        Allowance.
    number
        Number of the request.
    share
        Share that is lent in total; 0 if the lender has nothing to spare.
    term_s
        Seconds from the sending of the request in which it may be used.
    tokens
        Tokens that the lender gave up.
    spare
        Share that the lender has left to spare.
    """

    name: str
    number: int
    share: float
    term_s: float
    tokens: float = 0.0
    spare: float = 0.0


@attrs.define
class ShareTerms:
    """Shares that one member lent to another, with the ends of their terms."""

    _terms: list[tuple[float, float]] = attrs.Factory(list)

    def add(self, share: float, until: float) -> None:
        """Add a share that is lent until a time."""
        if share > 0.0:
            self._terms.append((share, until))

    def limit(self, share: float) -> None:
        """Reduce all shares to at most ``share``."""
        if share <= 0.0:
            self._terms.clear()
            return
        self._terms = [(min(s, share), until) for s, until in self._terms]

    def sum_up(self, now: float) -> float:
        """Return the share that counts at a time."""
        if not self._terms:
            return 0.0
        self._terms = [item for item in self._terms if item[1] > now]
        return max((share for share, _ in self._terms), default=0.0)

    def find_first_end(self) -> float:
        """Return the time at which the first of the shares ends."""
        return min((until for _, until in self._terms), default=math.inf)

    def find_end(self, now: float) -> float:
        """Return the time until which the present share counts."""
        share = self.sum_up(now)
        return max(
            (until for s, until in self._terms if s >= share),
            default=-math.inf,
        )


@attrs.define
class _Borrower:
    """What was lent to one member."""

    terms: ShareTerms = attrs.Factory(ShareTerms)
    last_number: int = -1
    forget_at: float = -math.inf


class LentShares:
    """Shares of one allowance that this member has lent, by borrower."""

    def __init__(self) -> None:
        self._borrowers: dict[str, _Borrower] = {}
        # The sum is asked for with each token, and a holder may have lent to
        # dozens of members.
        self._total = 0.0
        self._total_until = -math.inf

    def sum_up(self, now: float) -> float:
        """Return the share that this member does without."""
        if now < self._total_until:
            return self._total
        self._total = 0.0
        self._total_until = math.inf
        for name, borrower in list(self._borrowers.items()):
            if borrower.forget_at <= now:
                del self._borrowers[name]
                continue
            self._total += borrower.terms.sum_up(now)
            self._total_until = min(
                self._total_until,
                borrower.forget_at,
                borrower.terms.find_first_end(),
            )
        return self._total

    def accept(
        self, borrower: str, request: LoanRequest, now: float
    ) -> float | None:
        """Apply what a request gives up; return the share given up.

        It is None if the request is older than one that was accepted, or the
        same.
        """
        record = self._borrowers.setdefault(borrower, _Borrower())
        if request.number <= record.last_number:
            return None
        self._total_until = -math.inf
        before = record.terms.sum_up(now)
        record.last_number = request.number
        record.forget_at = now + WITHHOLDING_TERMS * LOAN_TERM_S
        record.terms.limit(request.held)
        return before - record.terms.sum_up(now)

    def grant(self, borrower: str, share: float, now: float) -> None:
        """Lend a share in total to a borrower whose request was accepted."""
        self._total_until = -math.inf
        record = self._borrowers[borrower]
        record.terms.add(share, now + WITHHOLDING_TERMS * LOAN_TERM_S)

    def share_of(self, borrower: str, now: float) -> float:
        """Return the share that is lent to one borrower."""
        record = self._borrowers.get(borrower)
        return record.terms.sum_up(now) if record is not None else 0.0


@attrs.define
class _Lender:
    """What was borrowed from one member, and the request to it.

    ``number`` is that of the request without an answer, 0 if there is none.
    """

    terms: ShareTerms = attrs.Factory(ShareTerms)
    number: int = 0
    sent_at: float = -math.inf
    unanswered: int = 0
    spare: float = 0.0
    spare_until: float = -math.inf


class BorrowedShares:
    """Shares of one allowance that this member has borrowed, by lender.

    Parameters
    ----------
    next_number
        Returns numbers that increase, also after a restart.
    """

    def __init__(self, next_number: Callable[[], int]) -> None:
        self._next_number = next_number
        self._lenders: dict[str, _Lender] = {}

    def sum_up(self, now: float) -> float:
        """Return the borrowed share."""
        return sum(item.terms.sum_up(now) for item in self._lenders.values())

    def share_of(self, lender: str, now: float) -> float:
        """Return the share borrowed from one lender."""
        record = self._lenders.get(lender)
        return record.terms.sum_up(now) if record is not None else 0.0

    def list_lenders(self, now: float) -> list[str]:
        """Return the lenders of shares that may be used."""
        return [
            name
            for name, record in self._lenders.items()
            if record.terms.sum_up(now) > 0.0
        ]

    def estimate_available(
        self, lender: str, now: float, *, limit: float
    ) -> float:
        """Return the share that a lender would probably lend in total.

        Parameters
        ----------
        limit
            Share that a lender has at most, which is assumed to be to spare
            if the lender hasn't just named its spare.
        """
        record = self._lenders.get(lender)
        if (
            record is not None
            and record.number
            and (record.unanswered or now - record.sent_at >= RESEND_S)
        ):
            # It doesn't answer, so that others are asked first.
            return record.terms.sum_up(now)
        if record is None or now >= record.spare_until:
            return limit
        return min(limit, record.terms.sum_up(now) + record.spare)

    def is_due(self, lender: str, share: float, now: float) -> bool:
        """Return whether to ask a lender for a share in total now."""
        record = self._lenders.get(lender)
        if record is None:
            return True
        if record.number:
            silent = record.unanswered >= MAX_UNANSWERED
            wait_s = SILENT_RETRY_S if silent else RESEND_S
            return now - record.sent_at >= wait_s
        held = record.terms.sum_up(now)
        if held < share and (record.spare > 0.0 or now >= record.spare_until):
            return True
        if held > share + MIN_GIVEN_BACK:
            return True
        left_s = record.terms.find_end(now) - now
        return 0.0 < left_s < RENEWAL_FRACTION * LOAN_TERM_S

    def may_still_lend(self, lender: str, now: float) -> bool:
        """Return whether a lender hasn't just stated that it can't."""
        record = self._lenders.get(lender)
        if record is None:
            return True
        if record.number:
            return record.unanswered < MAX_UNANSWERED
        return now >= record.spare_until or record.spare > 0.0

    def open_request(
        self, lender: str, share: float, now: float
    ) -> tuple[int, float, float]:
        """Give up the share beyond ``share`` and note a request.

        Returns the number of the request, the share still held and the share
        given up.
        """
        record = self._lenders.setdefault(lender, _Lender())
        before = record.terms.sum_up(now)
        record.terms.limit(share)
        held = record.terms.sum_up(now)
        record.unanswered = record.unanswered + 1 if record.number else 0
        number = self._next_number()
        # The end of a loan needs no answer.
        record.number = number if share > 0.0 else 0
        record.sent_at = now
        return number, held, before - held

    def receive(self, lender: str, loan: Loan, now: float) -> float | None:
        """Apply an answer; return the share that it adds.

        It is None for an answer to no pending request, or one after the term.
        """
        record = self._lenders.get(lender)
        if record is None or not record.number:
            return None
        until = record.sent_at + min(loan.term_s, LOAN_TERM_S)
        if loan.number != record.number or now >= until:
            return None
        before = record.terms.sum_up(now)
        record.number = 0
        record.unanswered = 0
        record.spare = loan.spare
        record.spare_until = now + SPARE_EXPIRY_S
        record.terms.add(loan.share, until)
        return record.terms.sum_up(now) - before
