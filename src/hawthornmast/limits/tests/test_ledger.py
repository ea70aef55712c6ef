"""Tests of the decisions of one member about allowances."""

import pytest

from hawthornmast.limits.allowances import Allowance
from hawthornmast.limits.allowances import AllowanceLedger
from hawthornmast.limits.allowances import MAX_GAP_S
from hawthornmast.limits.allowances import SETTLE_S
from hawthornmast.limits.holders import HolderPosition
from hawthornmast.limits.holders import RESERVE_FRACTION
from hawthornmast.limits.loans import Loan
from hawthornmast.limits.loans import LOAN_TERM_S
from hawthornmast.limits.loans import LoanRequest

NAME = "a"
RATE_PER_S = 30.0
BURST = 60.0
STEP_S = 0.1

HOLDER = HolderPosition(zones=3, is_representative=True, holders=("h2", "h3"))
OTHER = HolderPosition(zones=3, holders=("h1", "h2", "h3"))


class Member:
    """A ledger with a clock of its own."""

    def __init__(self, position: HolderPosition) -> None:
        self.now = 50.0
        self.position = position
        self.ledger = AllowanceLedger(clock=lambda: self.now)
        self.ledger.configure([make_allowance()])

    def run(self, seconds: float) -> list[tuple[str, LoanRequest]]:
        """Step for a time; return the requests."""
        requests = []
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            requests += self.ledger.step(self.position)
        return requests

    def empty(self) -> int:
        """Take all tokens; return how many there were."""
        count = 0
        while self.ledger.take(NAME):
            count += 1
        return count


def make_allowance(
    rate_per_s: float = RATE_PER_S, burst: float = BURST
) -> Allowance:
    """Return the allowance of the tests."""
    return Allowance(name=NAME, rate_per_s=rate_per_s, burst=burst)


def make_loan_request(
    number: int, *, rate_per_s: float = 5.0, held: float = 0.0
) -> LoanRequest:
    """Return a request for a sixth of the rate."""
    return LoanRequest(
        name=NAME, number=number, rate_per_s=rate_per_s, held=held
    )


class TestFormerHolder:
    """Guards against one share that two members lend at the same time."""

    @pytest.mark.parametrize(
        "position",
        [
            OTHER,
            HolderPosition(
                zones=3, is_representative=True, in_contact=1, known=3
            ),
        ],
        ids=["replaced", "without-majority"],
    )
    def test_loans_are_not_renewed(self, position: HolderPosition) -> None:
        member = Member(HOLDER)
        member.run(1.0)
        first = member.ledger.receive_request("b", make_loan_request(1))
        assert first is not None and first.share > 0.0
        member.position = position
        member.run(STEP_S)
        again = member.ledger.receive_request(
            "b", make_loan_request(2, held=first.share)
        )
        assert again is None or again.share == 0.0


class TestOwnShare:
    """Guards against members that hold a share without being entitled."""

    @pytest.mark.parametrize(
        ("position", "share"),
        [
            (OTHER, 0.0),
            (HOLDER, 1 / 3),
            (
                HolderPosition(
                    zones=3, is_representative=True, in_contact=1, known=3
                ),
                RESERVE_FRACTION / 3,
            ),
            # Both halves of a zone may think so.
            (
                HolderPosition(
                    zones=3, is_representative=True, in_contact=2, known=4
                ),
                1 / 6,
            ),
        ],
    )
    def test_by_position(self, position: HolderPosition, share: float) -> None:
        member = Member(position)
        member.run(2.0)
        assert member.ledger.share_of(NAME) == pytest.approx(share)

    def test_nothing_before_it_settles_and_little_after(self) -> None:
        member = Member(HOLDER)
        member.run(SETTLE_S)
        assert member.empty() == 0
        assert member.ledger.is_settling
        member.run(2 * STEP_S)
        assert 1 <= member.empty() <= RATE_PER_S / 3
        assert not member.ledger.is_settling

    def test_nothing_after_a_suspension(self) -> None:
        # Requests may be handled before the first step.
        member = Member(HOLDER)
        member.run(5.0)
        member.now += MAX_GAP_S + STEP_S
        assert member.empty() == 0
        member.run(SETTLE_S)
        assert member.empty() == 0

    def test_reserve_is_not_lent(self) -> None:
        member = Member(
            HolderPosition(
                zones=3, is_representative=True, in_contact=1, known=3
            )
        )
        member.run(2.0)
        loan = member.ledger.receive_request("b", make_loan_request(1))
        assert loan is not None and loan.share == 0.0


class TestConfiguration:
    """Guards against tokens of a former configuration."""

    def test_lowered_burst_truncates_the_bucket(self) -> None:
        member = Member(HOLDER)
        member.run(10.0)
        assert member.ledger.tokens_of(NAME) == pytest.approx(BURST / 3)
        member.ledger.configure([make_allowance(burst=6.0)])
        assert member.empty() == 2

    def test_unknown_allowance_has_no_limit(self) -> None:
        assert Member(OTHER).ledger.take("b")


class TestLending:
    """Guards against a share that two members use."""

    def test_lender_does_without_for_two_terms(self) -> None:
        member = Member(HOLDER)
        member.run(5.0)
        loan = member.ledger.receive_request("b", make_loan_request(1))
        assert loan is not None and loan.share == pytest.approx(1 / 6)
        member.run(2 * LOAN_TERM_S - STEP_S)
        assert member.ledger.share_of(NAME) == pytest.approx(1 / 6)
        member.run(2 * STEP_S)
        assert member.ledger.share_of(NAME) == pytest.approx(1 / 3)

    def test_repeated_and_older_requests_are_not_answered(self) -> None:
        member = Member(HOLDER)
        member.run(5.0)
        assert member.ledger.receive_request("b", make_loan_request(7))
        for number in (7, 6):
            request = make_loan_request(number)
            assert member.ledger.receive_request("b", request) is None

    def test_former_loan_counts_until_it_is_given_up(self) -> None:
        member = Member(HOLDER)
        member.run(5.0)
        member.ledger.receive_request("b", make_loan_request(1))
        member.ledger.receive_request(
            "b", make_loan_request(2, rate_per_s=2.0, held=1 / 6)
        )
        assert member.ledger.share_of(NAME) == pytest.approx(1 / 6)
        member.ledger.receive_request("b", make_loan_request(3, rate_per_s=0))
        assert member.ledger.share_of(NAME) == pytest.approx(1 / 3)

    def test_tokens_are_given_up_with_the_share(self) -> None:
        member = Member(HOLDER)
        member.run(5.0)
        before = member.ledger.tokens_of(NAME)
        loan = member.ledger.receive_request("b", make_loan_request(1))
        assert loan is not None
        after = member.ledger.tokens_of(NAME)
        assert loan.tokens == pytest.approx(before - after)


class TestBorrowing:
    """Guards against loans that count twice, or longer than they are lent."""

    def borrow(self) -> tuple[Member, str, Loan]:
        """Return a borrower, its lender and the answer it waits for."""
        member = Member(OTHER)
        member.run(1.0)
        member.ledger.count_demand(NAME)
        lender, request = member.ledger.borrow(NAME, 1)[0]
        loan = Loan(
            name=NAME,
            number=request.number,
            share=0.1,
            term_s=LOAN_TERM_S,
            tokens=2.0,
        )
        return member, lender, loan

    def test_loan_counts_once(self) -> None:
        member, lender, loan = self.borrow()
        assert member.ledger.receive_loan(lender, loan)
        assert not member.ledger.receive_loan(lender, loan)
        assert member.ledger.share_of(NAME) == pytest.approx(0.1)
        assert member.empty() == 2

    def test_term_counts_from_the_request(self) -> None:
        member, lender, loan = self.borrow()
        member.now += LOAN_TERM_S - STEP_S
        assert member.ledger.receive_loan(lender, loan)
        member.now += STEP_S
        assert member.ledger.share_of(NAME) == 0.0
        assert member.empty() == 0

    def test_late_loan_is_ignored(self) -> None:
        member, lender, loan = self.borrow()
        member.now += LOAN_TERM_S
        assert not member.ledger.receive_loan(lender, loan)

    def test_loan_of_another_member_is_ignored(self) -> None:
        member, _, loan = self.borrow()
        assert not member.ledger.receive_loan("other", loan)

    def test_silent_holder_is_asked_rarely(self) -> None:
        # A member of an earlier version never answers.
        member = Member(HolderPosition(zones=3, holders=("h1",)))
        count = 0
        for _ in range(100):
            member.ledger.count_demand(NAME)
            count += len(member.run(STEP_S))
        assert count <= 9
