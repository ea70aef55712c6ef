"""Exchange of shares of the teams' rates between members.

The decisions are those of ``limits.AllowanceLedger``; this module tells it the
member's position in its zone and passes its messages on as datagrams. Nothing
is computed or sent unless the configuration has teams with rates.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import time
from typing import Any

from hawthornmast.gateway.datagrams import MessageKind
from hawthornmast.limits import Allowance
from hawthornmast.limits import AllowanceLedger
from hawthornmast.limits import HolderPosition
from hawthornmast.limits import Loan
from hawthornmast.limits import LoanRequest
from hawthornmast.membership.gossip import Gossip
from hawthornmast.routing import Team

ALLOWANCE_KINDS = frozenset(
    {MessageKind.ALLOWANCE_REQUEST, MessageKind.ALLOWANCE_LOAN}
)

MAX_ROWS = 200
"""Requests or loans in one datagram."""

MAX_TOKENS = 1e9
"""Maximum of rates and tokens that are accepted from another member."""

TEAM_PREFIX = "team:"
"""Start of the names of allowances that are the rates of teams."""


def read_boot_time() -> float:
    """Return monotonic seconds that include the time of a suspension.

    Where the system has no such clock, suspended time is not included.
    """
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


def name_allowance(team: Team) -> str:
    """Return the name of the allowance for a team's rate."""
    return TEAM_PREFIX + team.name


class AllowanceExchange:
    """Lends and borrows shares of the teams' rates.

    Parameters
    ----------
    gossip
        Membership of this member.
    zones
        Number of zones of the deployment.
    send
        Sends a message to IP addresses.
    clock
        Seconds that include the time of a suspension.

    Attributes
    ----------
    ledger
        Shares and tokens of this member.
    on_credit
        Called with the name of an allowance when a loan arrived.
    """

    def __init__(
        self,
        gossip: Gossip,
        *,
        zones: int,
        send: Callable[[Iterable[str], MessageKind, Any], None],
        clock: Callable[[], float] = read_boot_time,
    ) -> None:
        self._gossip = gossip
        self._zones = zones
        self._send = send
        self._enabled = False
        self.ledger = AllowanceLedger(clock=clock)
        self.on_credit: Callable[[str], None] = _ignore

    def configure(self, teams: Iterable[Team] | None) -> None:
        """Apply the rates of a configuration."""
        allowances = [
            Allowance(
                name=name_allowance(team),
                rate_per_s=team.rate_per_s,
                burst=team.burst,
            )
            for team in teams or ()
            if team.rate_per_s is not None
        ]
        self._enabled = bool(allowances)
        self.ledger.configure(allowances)

    def tick(self) -> None:
        """Update the member's own share; borrow, renew or end loans."""
        if not self._enabled:
            return
        was_settling = self.ledger.is_settling
        self._send_requests(self.ledger.step(self._find_position()))
        if was_settling and not self.ledger.is_settling:
            for name in self.ledger.names():
                self.on_credit(name)

    def borrow(self, name: str, waiting: int) -> None:
        """Ask for a loan at once if that may help.

        Parameters
        ----------
        waiting
            Requests that wait for a token.
        """
        self._send_requests(self.ledger.borrow(name, waiting))

    def receive(self, kind: MessageKind, payload: Any, sender: str) -> None:
        """Apply a peer's message.

        Raises ValueError or TypeError for a malformed message.
        """
        if not self._enabled or self._gossip.find(sender) is None:
            return
        if kind is MessageKind.ALLOWANCE_LOAN:
            for loan in [_decode_loan(row) for row in payload[:MAX_ROWS]]:
                # A refusal too lets waiting requests ask another holder.
                self.ledger.receive_loan(sender, loan)
                self.on_credit(loan.name)
            return
        requests = [_decode_request(row) for row in payload[:MAX_ROWS]]
        answers = [
            self.ledger.receive_request(sender, request)
            for request in requests
        ]
        rows = [_encode_loan(loan) for loan in answers if loan is not None]
        if rows:
            self._send([sender], MessageKind.ALLOWANCE_LOAN, rows)
        for name in {request.name for request in requests}:
            # A request may ask for what was borrowed, or bring tokens back.
            self.borrow(name, 0)
            self.on_credit(name)

    def _find_position(self) -> HolderPosition:
        gossip = self._gossip
        own_id = gossip.instance.instance_id
        in_contact, known = 1, 1
        if gossip.is_representative():
            in_contact, known = gossip.count_zone_contacts()
        holders = gossip.ranked_zone_members()[:1] + gossip.representatives()
        return HolderPosition(
            zones=self._zones,
            is_representative=gossip.is_representative(),
            in_contact=in_contact,
            known=known,
            holders=tuple(
                item.host for item in holders if item.instance_id != own_id
            ),
        )

    def _send_requests(self, requests: list[tuple[str, LoanRequest]]) -> None:
        rows: dict[str, list[Any]] = {}
        for host, request in requests:
            rows.setdefault(host, []).append(_encode_request(request))
        for host, items in rows.items():
            for start in range(0, len(items), MAX_ROWS):
                self._send(
                    [host],
                    MessageKind.ALLOWANCE_REQUEST,
                    items[start : start + MAX_ROWS],
                )


def _ignore(name: str) -> None:
    del name


def _encode_request(request: LoanRequest) -> list[Any]:
    return [
        request.name,
        request.number,
        request.rate_per_s,
        request.tokens,
        request.held,
        request.returned,
    ]


def _decode_request(row: Any) -> LoanRequest:
    name, number, rate_per_s, tokens, held, returned = row
    return LoanRequest(
        name=str(name),
        number=int(number),
        rate_per_s=_check_amount(rate_per_s),
        tokens=_check_amount(tokens),
        held=_check_amount(held, limit=1.0),
        returned=_check_amount(returned),
    )


def _encode_loan(loan: Loan) -> list[Any]:
    return [
        loan.name,
        loan.number,
        loan.share,
        loan.term_s,
        loan.tokens,
        loan.spare,
    ]


def _decode_loan(row: Any) -> Loan:
    name, number, share, term_s, tokens, spare = row
    return Loan(
        name=str(name),
        number=int(number),
        share=_check_amount(share, limit=1.0),
        term_s=_check_amount(term_s),
        tokens=_check_amount(tokens),
        spare=_check_amount(spare, limit=1.0),
    )


def _check_amount(value: Any, *, limit: float = MAX_TOKENS) -> float:
    amount = float(value)
    # Shares of several loans may exceed 1 by a rounding error.
    if not 0.0 <= amount <= limit + 1e-6 or math.isnan(amount):
        raise ValueError(f"amount is {amount}, allowed: 0 to {limit}")
    return amount
