"""Allowances that the fleet shares: the state and decisions of one member.

An allowance is a rate with a burst that all members together may use. Each
member has a share of it: its own if it is a holder, plus what it has borrowed,
minus what it has lent. The shares of all members sum to at most 1 while they
agree on the holders, and each member's token bucket is scaled by its share.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs

from hawthornmast.limits.demand import DemandMeter
from hawthornmast.limits.holders import HolderPosition
from hawthornmast.limits.loans import BorrowedShares
from hawthornmast.limits.loans import LentShares
from hawthornmast.limits.loans import Loan
from hawthornmast.limits.loans import LOAN_TERM_S
from hawthornmast.limits.loans import LoanRequest
from hawthornmast.limits.loans import MIN_GIVEN_BACK

SETTLE_S = 0.5
"""Time in seconds for which a member must be entitled to a greater own share
before it has it. A former holder notices in it that it is replaced."""

MAX_GAP_S = 1.0
"""Time in seconds without a step after which a member has no own share. It
was suspended, and by then another member may soon hold the share instead."""

INITIAL_CREDIT_S = 0.25
"""Seconds of its rate with which the bucket of a new holder starts."""

BORROW_AHEAD_S = 0.5
"""Time in seconds for which tokens must suffice; otherwise, a member that uses
more than its share borrows."""

LOW_TOKENS = 2.0
"""Tokens below which a member with demand borrows, unless its bucket is so
small that they are more than half of it."""

MIN_WANTED_TOKENS = 3.0
"""Tokens that a borrowed share must be able to hold at least."""

BORROW_MARGIN = 1.25
"""Factor by which a borrower's rate exceeds its demand, so that a small bucket
rarely runs empty."""

WANTED_CREDIT_S = 0.2
"""Seconds of its demand for which a borrower asks for tokens."""

KEPT_CREDIT_S = 0.25
"""Seconds of its demand for which a lender keeps tokens."""

_EPSILON = 1e-9


@attrs.frozen(kw_only=True)
class Allowance:
    """A rate that all members share.

    Parameters
    ----------
    name
        Unique name.
    rate_per_s
        Tokens per second, above 0.
    burst
        Tokens that may be saved up.
    """

    name: str
    rate_per_s: float
    burst: float


@attrs.define(eq=False)
class _Account:
    """State of one allowance."""

    allowance: Allowance
    borrowed: BorrowedShares
    lent: LentShares = attrs.Factory(LentShares)
    demand: DemandMeter = attrs.Factory(DemandMeter)
    tokens: float = 0.0
    share: float = 0.0
    refilled_at: float = 0.0
    # Borrowed share that another member asked for and this one can spare.
    owed: float = 0.0
    owed_to: str = ""

    @property
    def capacity(self) -> float:
        if self.share <= _EPSILON:
            return 0.0
        return max(1.0, self.allowance.burst * self.share)

    def refill(self, own_share: float, now: float) -> None:
        """Add tokens for the time passed; apply the present share."""
        share = max(
            0.0,
            own_share - self.lent.sum_up(now) + self.borrowed.sum_up(now),
        )
        # A share that ended or came in the meantime isn't counted.
        elapsed_s = max(0.0, now - self.refilled_at)
        self.tokens += (
            elapsed_s * self.allowance.rate_per_s * min(self.share, share)
        )
        self.refilled_at = now
        self.share = share
        self.tokens = min(self.tokens, self.capacity)

    def find_kept(self, now: float) -> float:
        """Return the share that this member needs for a loan's term.

        It has its tokens as well, of which a lower share holds fewer.
        """
        demand = self.demand.estimate_lower(now) * LOAN_TERM_S
        refill = self.allowance.rate_per_s * LOAN_TERM_S
        return max(
            (demand - self.tokens) / refill,
            demand / (refill + self.allowance.burst),
        )

    def is_idle(self, now: float) -> bool:
        """Return whether nothing changes but the tokens."""
        return (
            self.demand.is_empty(now)
            and self.borrowed.sum_up(now) <= 0.0
            and self.lent.sum_up(now) <= 0.0
        )

    def add_tokens(self, tokens: float) -> None:
        self.tokens = min(self.capacity, self.tokens + tokens)


class AllowanceLedger:
    """Shares and tokens of one member for all allowances.

    ``step`` must be called several times a second. Nothing is held before the
    first call and after a gap of ``MAX_GAP_S``.

    Parameters
    ----------
    clock
        Time in seconds that includes the time in which the process or the
        machine was suspended.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._accounts: dict[str, _Account] = {}
        # Accounts with demand or loans; the others needn't be looked at.
        self._active: set[str] = set()
        self._position = HolderPosition()
        self._own_share = 0.0
        # Since when and to what the member is entitled to more than it has.
        self._rising_since: float | None = None
        self._rising_to = 0.0
        self._stepped_at = -math.inf
        self._settles_until = -math.inf
        self._last_number = 0

    def _limit_held(self, account: _Account, held: float, now: float) -> float:
        """Return how much of a lent share this member may lend on.

        A former holder, or one without a majority, lets its loans end;
        otherwise its successor would lend the same share as well.
        """
        if not self._position.has_majority:
            return 0.0
        others = account.lent.sum_up(now) - held
        return max(0.0, min(held, self._own_share - others))

    @property
    def is_settling(self) -> bool:
        """Whether this member's own share isn't decided yet."""
        return (
            self._rising_since is not None
            or self._clock() < self._settles_until
            or self._stepped_at == -math.inf
        )

    def configure(self, allowances: Iterable[Allowance]) -> None:
        """Replace the allowances; buckets are truncated to new bursts."""
        now = self._clock()
        own_share = self._check_gap(now)
        accounts: dict[str, _Account] = {}
        for item in allowances:
            account = self._accounts.get(item.name)
            if account is None:
                account = _Account(item, BorrowedShares(self._next_number))
                account.refilled_at = now
                account.share = own_share
                account.add_tokens(self._initial_tokens(item, own_share))
            else:
                account.refill(own_share, now)
                account.allowance = item
            account.refill(own_share, now)
            accounts[item.name] = account
        self._accounts = accounts
        self._active &= accounts.keys()

    def step(self, position: HolderPosition) -> list[tuple[str, LoanRequest]]:
        """Apply the member's position; return requests with their lenders."""
        now = self._clock()
        self._check_gap(now)
        if self._stepped_at == -math.inf:
            self._settles_until = now + SETTLE_S
        self._stepped_at = now
        self._position = position
        self._apply_own_share(position.own_share, now)
        requests: list[tuple[str, LoanRequest]] = []
        for name in sorted(self._active):
            account = self._accounts[name]
            account.refill(self._own_share, now)
            requests += self._plan(account, 0, now)
            if account.is_idle(now):
                self._active.remove(name)
        return requests

    def count_demand(self, name: str) -> None:
        """Count a request for a token, which may be taken or not."""
        account = self._accounts.get(name)
        if account is not None:
            account.demand.count(self._clock())
            self._active.add(name)

    def take(self, name: str) -> bool:
        """Take a token; return False if there is none.

        An unknown allowance has no limit.
        """
        account = self._refill(name)
        if account is None:
            return True
        if account.tokens < 1.0 - _EPSILON:
            return False
        account.tokens = max(0.0, account.tokens - 1.0)
        return True

    def borrow(self, name: str, waiting: int) -> list[tuple[str, LoanRequest]]:
        """Return the requests of a member that has run short of tokens.

        Parameters
        ----------
        waiting
            Requests that wait for a token.
        """
        account = self._refill(name)
        if account is None:
            return []
        return self._plan(account, waiting, self._clock())

    def wait_s(self, name: str, waiting: int = 0) -> float:
        """Return the seconds until a token is free at the present share.

        Parameters
        ----------
        waiting
            Requests that get a token before.
        """
        account = self._refill(name)
        if account is None:
            return 0.0
        missing = 1.0 + waiting - account.tokens
        if missing <= _EPSILON:
            return 0.0
        rate_per_s = account.allowance.rate_per_s * account.share
        return missing / rate_per_s if rate_per_s > _EPSILON else math.inf

    def may_borrow(self, name: str) -> bool:
        """Return whether any holder may still lend, as far as is known."""
        account = self._accounts.get(name)
        if account is None:
            return False
        now = self._clock()
        return any(
            account.borrowed.may_still_lend(holder, now)
            for holder in self._position.holders
        )

    def share_of(self, name: str) -> float:
        """Return this member's share of an allowance."""
        account = self._refill(name)
        return account.share if account is not None else 0.0

    def tokens_of(self, name: str) -> float:
        """Return the tokens in the bucket of an allowance."""
        account = self._refill(name)
        return account.tokens if account is not None else 0.0

    def names(self) -> list[str]:
        """Return the names of the allowances."""
        return list(self._accounts)

    def receive_request(
        self, borrower: str, request: LoanRequest
    ) -> Loan | None:
        """Grant what this member can spare; return the answer, if any."""
        account = self._refill(request.name)
        if account is None:
            return None
        now = self._clock()
        given_up = account.lent.accept(borrower, request, now)
        if given_up is None:
            return None
        account.refill(self._own_share, now)
        if given_up > 0.0 and request.returned > 0.0:
            limit = max(1.0, account.allowance.burst * given_up)
            account.add_tokens(min(request.returned, limit))
        if request.rate_per_s <= 0.0:
            return None
        held = account.lent.share_of(borrower, now)
        spare = self._find_spare(account, now)
        wanted = request.rate_per_s / account.allowance.rate_per_s
        share = min(wanted, self._limit_held(account, held, now) + spare)
        added = max(0.0, share - held)
        tokens = 0.0
        if added > _EPSILON:
            kept = KEPT_CREDIT_S * account.demand.estimate_lower(now)
            part = account.tokens * min(1.0, added / account.share)
            tokens = min(
                max(part, min(request.tokens, account.tokens - kept)),
                max(1.0, account.allowance.burst * added),
                account.tokens,
            )
        if share > _EPSILON:
            self._active.add(request.name)
            account.lent.grant(borrower, share, now)
            account.tokens -= tokens
            account.refill(self._own_share, now)
        excess = account.share - account.find_kept(now)
        if wanted - share > _EPSILON and excess > MIN_GIVEN_BACK:
            account.owed = min(wanted - share, excess)
            account.owed_to = borrower
        return Loan(
            name=request.name,
            number=request.number,
            share=share,
            term_s=LOAN_TERM_S,
            tokens=tokens,
            spare=max(0.0, spare - added),
        )

    def receive_loan(self, lender: str, loan: Loan) -> bool:
        """Apply an answer of a lender; return whether it lends anything."""
        account = self._refill(loan.name)
        if account is None:
            return False
        now = self._clock()
        added = account.borrowed.receive(lender, loan, now)
        if added is None:
            return False
        account.refill(self._own_share, now)
        if added > 0.0:
            limit = max(1.0, account.allowance.burst * added)
            account.add_tokens(min(max(0.0, loan.tokens), limit))
        return added > 0.0

    def _refill(self, name: str) -> _Account | None:
        account = self._accounts.get(name)
        if account is not None:
            now = self._clock()
            account.refill(self._check_gap(now), now)
        return account

    def _check_gap(self, now: float) -> float:
        """Return the own share, which ends if steps stopped for too long."""
        if now - self._stepped_at > MAX_GAP_S:
            self._own_share = 0.0
            self._rising_since = None
        return self._own_share

    def _apply_own_share(self, entitled: float, now: float) -> None:
        if entitled <= self._own_share + _EPSILON:
            self._rising_since = None
            if entitled != self._own_share:
                self._own_share = entitled
                self._refill_all(now)
            return
        if self._rising_since is None:
            self._rising_since, self._rising_to = now, entitled
        self._rising_to = min(self._rising_to, entitled)
        if now - self._rising_since < SETTLE_S:
            return
        added = self._rising_to - self._own_share
        self._own_share = self._rising_to
        self._rising_since = None
        self._refill_all(now)
        for account in self._accounts.values():
            account.add_tokens(self._initial_tokens(account.allowance, added))

    def _refill_all(self, now: float) -> None:
        for account in self._accounts.values():
            account.refill(self._own_share, now)

    @staticmethod
    def _initial_tokens(allowance: Allowance, share: float) -> float:
        if share <= 0.0:
            return 0.0
        return max(1.0, INITIAL_CREDIT_S * allowance.rate_per_s * share)

    def _find_spare(self, account: _Account, now: float) -> float:
        """Return the share that this member may lend in addition."""
        if not self._position.has_majority:
            return 0.0
        own_left = self._own_share - account.lent.sum_up(now)
        return max(0.0, min(own_left, account.share - account.find_kept(now)))

    def _plan(
        self, account: _Account, waiting: int, now: float
    ) -> list[tuple[str, LoanRequest]]:
        """Return the requests for loans, renewals and ends of loans."""
        rate_per_s = account.allowance.rate_per_s
        borrowed = account.borrowed
        lenders = borrowed.list_lenders(now)
        demand = account.demand.estimate_upper(now)
        if demand <= 0.0 and not lenders:
            return []
        borrowed_share = borrowed.sum_up(now)
        left = max(0.0, self._own_share - account.lent.sum_up(now))
        low = min(LOW_TOKENS, account.capacity / 2)
        if demand > 0.0 and account.tokens < max(1.0, low):
            # One of the next requests would wait.
            waiting = max(1, waiting)
        if waiting or lenders:
            demand *= BORROW_MARGIN
        missing = min(1.0, demand / rate_per_s) - left
        if waiting:
            # What is borrowed is spent, so that more of the share is needed:
            # at least as much as has room for the tokens.
            wanted = max(MIN_WANTED_TOKENS, 2.0 * waiting)
            carrying = wanted / max(account.allowance.burst, wanted)
            carrying += borrowed_share
            missing = max(missing, min(1.0 - left, carrying))
        if missing > _EPSILON and not lenders and not waiting:
            ahead = account.tokens + rate_per_s * left * BORROW_AHEAD_S
            if ahead >= demand * BORROW_AHEAD_S:
                return []
        requests = []
        owed = account.owed > 0.0 and bool(lenders)
        wanted_shares = (
            self._give_back(account, now)
            if owed
            else self._divide(account, missing, now)
        )
        for holder, share in wanted_shares.items():
            if not owed and (
                not borrowed.is_due(holder, share, now)
                if share > 0.0
                else demand > 0.0 and account.tokens < low
            ):
                continue
            requests.append((holder, self._ask(account, holder, share, now)))
        if borrowed.sum_up(now) < borrowed_share:
            account.refill(self._own_share, now)
        if waiting or account.tokens < demand * WANTED_CREDIT_S:
            wanted = max(waiting, demand * WANTED_CREDIT_S) - account.tokens
            requests = [
                (holder, attrs.evolve(item, tokens=max(0.0, wanted)))
                for holder, item in requests
            ]
        return requests

    @staticmethod
    def _give_back(account: _Account, now: float) -> dict[str, float]:
        """Return the share to keep from each lender to which some is due.

        What the asking member has lent itself goes first.
        """
        wanted: dict[str, float] = {}
        lenders = account.borrowed.list_lenders(now)
        for name in sorted(lenders, key=lambda key: key != account.owed_to):
            held = account.borrowed.share_of(name, now)
            part = min(account.owed, held)
            if part > _EPSILON:
                wanted[name] = held - part if held - part > _EPSILON else 0.0
                account.owed -= part
        account.owed = 0.0
        return wanted

    def _divide(
        self, account: _Account, missing: float, now: float
    ) -> dict[str, float]:
        """Return the share to have in total from each lender.

        Loans are kept as far as they are needed, those that aren't are 0. The
        rest comes from the holders with the most to spare.
        """
        limit = 1.0 / self._position.zones
        borrowed = account.borrowed
        held = {
            name: borrowed.share_of(name, now)
            for name in borrowed.list_lenders(now)
        }
        wanted: dict[str, float] = {}
        for name in sorted(held, key=lambda key: (-held[key], key)):
            wanted[name] = max(0.0, min(missing, held[name]))
            missing -= wanted[name]
        if missing <= _EPSILON:
            return wanted
        spare = {
            name: borrowed.estimate_available(name, now, limit=limit)
            - held.get(name, 0.0)
            for name in self._position.holders
        }
        for name in sorted(spare, key=lambda key: (-spare[key], key)):
            added = min(missing, spare[name])
            if added > _EPSILON:
                wanted[name] = wanted.get(name, 0.0) + added
                missing -= added
        if missing > _EPSILON:
            # A holder that has borrowed may give that back to its lender.
            for name in spare:
                wanted[name] = wanted.get(name, 0.0) + missing
        return wanted

    @staticmethod
    def _ask(
        account: _Account, holder: str, share: float, now: float
    ) -> LoanRequest:
        number, held, given_up = account.borrowed.open_request(
            holder, share, now
        )
        returned = 0.0
        if given_up > 0.0 and account.share > 0.0:
            returned = account.tokens * min(1.0, given_up / account.share)
            account.tokens -= returned
        return LoanRequest(
            name=account.allowance.name,
            number=number,
            rate_per_s=share * account.allowance.rate_per_s,
            held=held,
            returned=returned,
        )

    def _next_number(self) -> int:
        # By the clock, so that it increases after a restart too.
        self._last_number = max(
            self._last_number + 1, int(self._clock() * 1e6)
        )
        return self._last_number
