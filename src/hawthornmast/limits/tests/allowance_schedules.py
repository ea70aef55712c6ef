"""Schedules of demand and faults that run ledgers against each other.

Only the ledgers' messages and the membership's view of a zone are modelled.
"""

import collections
import heapq
import itertools
import random
from typing import Any

import attrs
from hypothesis import strategies as st

from hawthornmast.limits.allowances import Allowance
from hawthornmast.limits.allowances import AllowanceLedger
from hawthornmast.limits.holders import HolderPosition
from hawthornmast.limits.loans import LoanRequest

WINDOW_S = 5.0
OVERSHOOT = 0.25
SLACK = 20.0

TICK_S = 0.05
HEARTBEAT_S = 0.4
LOSS_S = 1.4
"""Time without heartbeats after which a member counts as lost."""

WAIT_S = 0.1
"""Time that a request waits for a token."""

SPREAD_S = 2.5
"""Time in which a configuration reaches all members."""

NAME = "team"


@attrs.frozen(kw_only=True)
class Fault:
    """A fault of one member, or of the links of a part of the members."""

    kind: str
    at: float
    length_s: float
    member: int


@attrs.frozen(kw_only=True)
class Phase:
    """Demand from a time on, in multiples of the rate, on some members."""

    at: float
    multiple: float
    first: int
    count: int


@attrs.frozen(kw_only=True)
class Schedule:
    """One run."""

    zones: tuple[int, ...]
    rate_per_s: float
    burst: float
    phases: tuple[Phase, ...]
    faults: tuple[Fault, ...] = ()
    lowered_at: float | None = None
    loss: float = 0.0
    late: float = 0.0
    length_s: float = 9.0
    seed: int = 0


class Run:
    """Runs one schedule; ``admitted`` has time and member of each token."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.now = 100.0
        self.started_at = self.now
        self.admitted: list[tuple[float, int]] = []
        self._random = random.Random(schedule.seed)
        self._zone_of = [
            z for z, n in enumerate(schedule.zones) for _ in range(n)
        ]
        self._members = range(len(self._zone_of))
        self._zone_peers = [
            [m for m in self._members if m != n and self._zone_of[m] == zone]
            for n, zone in enumerate(self._zone_of)
        ]
        self._ledgers = {m: self._make_ledger() for m in self._members}
        self._heard = {
            m: dict.fromkeys(self._peers(m), self.now) for m in self._members
        }
        self._down: dict[int, str] = {}
        self._cut: list[tuple[set[int], bool]] = []
        self._representatives: set[int] = set()
        self._messages: list[Any] = []
        self._sequence = itertools.count()
        self.demanded = 0
        self._next_at = dict.fromkeys(self._members, 0.0)
        self._queues: dict[int, Any] = {
            m: collections.deque() for m in self._members
        }
        self._phase_s = [
            self._random.uniform(0, HEARTBEAT_S) for _ in self._members
        ]
        low = Allowance(
            name=NAME,
            rate_per_s=schedule.rate_per_s / 3,
            burst=schedule.burst / 2,
        )
        self._lowered = low
        self._lowering = {
            m: self._random.uniform(0.0, SPREAD_S) for m in self._members
        }

    def play(self) -> "Run":
        """Run the schedule to its end."""
        end_at = self.now + self.schedule.length_s
        events = sorted(
            [(f.at, i, "start", f) for i, f in enumerate(self.schedule.faults)]
            + [
                (f.at + f.length_s, i, "end", f)
                for i, f in enumerate(self.schedule.faults)
            ],
            key=lambda item: item[:2],
        )
        while self.now < end_at:
            tick_at = self.now + TICK_S
            while self._messages and self._messages[0][0] <= tick_at:
                self.now, _, sender, receiver, message = heapq.heappop(
                    self._messages
                )
                self._receive(sender, receiver, message)
            self.now = tick_at
            while events and events[0][0] <= self.now - self.started_at:
                _, _, edge, fault = events.pop(0)
                self._apply_fault(fault, edge == "start")
            self._exchange_heartbeats()
            for member in self._members:
                if member not in self._down:
                    self._step(member)
        return self

    def exceeds(self, *, overshoot: float, slack: float) -> float:
        """Return by how much the worst window exceeds the bound."""
        window: collections.deque[float] = collections.deque()
        worst = -1e9
        schedule = self.schedule
        for at, _ in self.admitted:
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            rate, burst = schedule.rate_per_s, schedule.burst
            lowered_at = schedule.lowered_at
            if lowered_at is not None and (
                at - WINDOW_S - self.started_at > lowered_at + SPREAD_S
            ):
                rate, burst = self._lowered.rate_per_s, self._lowered.burst
            bound = (rate * WINDOW_S + burst) * (1 + overshoot) + slack
            worst = max(worst, len(window) - bound)
        return worst

    def count_admitted(self, after_s: float) -> int:
        """Return how many tokens were taken after some seconds."""
        first = self.started_at + after_s
        return sum(at >= first for at, _ in self.admitted)

    def count_users(self) -> int:
        """Return how many members had a share."""
        return len({m for _, m in self.admitted} | self._representatives)

    def _make_ledger(self) -> AllowanceLedger:
        ledger = AllowanceLedger(clock=lambda: self.now)
        ledger.configure([self._initial()])
        return ledger

    def _initial(self) -> Allowance:
        return Allowance(
            name=NAME,
            rate_per_s=self.schedule.rate_per_s,
            burst=self.schedule.burst,
        )

    def _peers(self, member: int) -> list[int]:
        return self._zone_peers[member]

    def _apply_fault(self, fault: Fault, begins: bool) -> None:
        member = fault.member % len(self._zone_of)
        if fault.kind in ("cut", "one-way"):
            # A part of the members that has some of each zone.
            part = {m for m in self._members if (m * 7 + fault.member) % 5 < 2}
            cut = (part, fault.kind == "cut")
            if begins:
                self._cut.append(cut)
            elif cut in self._cut:
                self._cut.remove(cut)
        elif begins:
            self._down.setdefault(member, fault.kind)
        elif self._down.get(member) == fault.kind and fault.kind != "kill":
            del self._down[member]
            heard = self._heard[member]
            if fault.kind == "suspend":
                # The clock of the membership stood still.
                for peer in heard:
                    heard[peer] += fault.length_s
                return
            self._ledgers[member] = self._make_ledger()
            heard.clear()
            for peer in self._peers(member):
                if peer not in self._down and self._linked(peer, member):
                    heard[peer] = self._heard[peer][member] = self.now

    def _linked(self, sender: int, receiver: int) -> bool:
        return not self._cut or not any(
            (sender in part) != (receiver in part)
            and (both_ways or sender in part)
            for part, both_ways in self._cut
        )

    def _exchange_heartbeats(self) -> None:
        for member in self._members:
            phase = (self.now + self._phase_s[member]) % HEARTBEAT_S
            if member in self._down or phase >= TICK_S:
                continue
            for peer in self._peers(member):
                if peer not in self._down and self._linked(member, peer):
                    self._heard[peer][member] = self.now

    def _step(self, member: int) -> None:
        schedule, elapsed_s = self.schedule, self.now - self.started_at
        ledger = self._ledgers[member]
        lowered_at = schedule.lowered_at
        if (
            lowered_at is not None
            and elapsed_s >= lowered_at + self._lowering[member]
        ):
            ledger.configure([self._lowered])
        heard = self._heard[member]
        live = [m for m, at in heard.items() if self.now - at < LOSS_S]
        is_representative = all(m > member for m in live)
        (
            self._representatives.add
            if is_representative
            else self._representatives.discard
        )(member)
        position = HolderPosition(
            zones=len(schedule.zones),
            is_representative=is_representative,
            in_contact=len(live) + 1,
            known=len(heard) + 1,
            holders=tuple(
                str(m)
                for m in sorted(
                    self._representatives - {member} - set(self._down)
                )
            ),
        )
        self._send(member, ledger.step(position))
        self._take_tokens(member, ledger, elapsed_s)

    def _take_tokens(
        self, member: int, ledger: AllowanceLedger, elapsed_s: float
    ) -> None:
        phase = max(
            (p for p in self.schedule.phases if p.at <= elapsed_s),
            key=lambda p: p.at,
            default=None,
        )
        if phase is None:
            return
        count = min(phase.count, len(self._members))
        if (member - phase.first) % len(self._members) >= count:
            return
        rate_per_s = phase.multiple * self.schedule.rate_per_s / count
        queue, arrived = self._queues[member], False
        at = self._next_at[member]
        if at < self.now - TICK_S:
            at = self.now - TICK_S + self._random.expovariate(rate_per_s)
        while at <= self.now:
            self.demanded += 1
            queue.append(at)
            ledger.count_demand(NAME)
            arrived = True
            at += self._random.expovariate(rate_per_s)
        self._next_at[member] = at
        while queue and queue[0] < self.now - WAIT_S:
            queue.popleft()
        while queue and ledger.take(NAME):
            queue.popleft()
            self.admitted.append((self.now, member))
        if queue and arrived:
            self._send(member, ledger.borrow(NAME, len(queue)))

    def _send(self, sender: int, messages: Any) -> None:
        rng = self._random
        for receiver, message in messages:
            while True:
                if rng.random() >= self.schedule.loss:
                    late = rng.random() < self.schedule.late
                    delay_s = (
                        rng.uniform(0.0, 4.0)
                        if late
                        else rng.uniform(0.001, 0.04)
                    )
                    item = (
                        self.now + delay_s,
                        next(self._sequence),
                        sender,
                        int(receiver),
                        message,
                    )
                    heapq.heappush(self._messages, item)
                # Some messages arrive twice.
                if rng.random() >= self.schedule.late:
                    break

    def _receive(self, sender: int, receiver: int, message: Any) -> None:
        if receiver in self._down or not self._linked(sender, receiver):
            return
        ledger = self._ledgers[receiver]
        if isinstance(message, LoanRequest):
            loan = ledger.receive_request(str(sender), message)
            if loan is not None:
                self._send(receiver, [(str(sender), loan)])
            self._send(receiver, ledger.borrow(NAME, 0))
        else:
            ledger.receive_loan(str(sender), message)
            waiting = len(self._queues[receiver])
            if waiting:
                self._send(receiver, ledger.borrow(NAME, waiting))


def _times(end_s: float) -> Any:
    return st.integers(0, int(end_s * 10)).map(lambda tenth: tenth / 10)


def schedules(*, kinds: tuple[str, ...]) -> st.SearchStrategy[Schedule]:
    """Return schedules with faults of some kinds."""
    fault = st.builds(
        Fault,
        kind=st.sampled_from(kinds),
        at=_times(7.0),
        length_s=_times(4.0).map(lambda s: s + 0.1),
        member=st.integers(0, 59),
    )
    phase = st.builds(
        Phase,
        at=_times(8.0),
        multiple=st.sampled_from([0.3, 1.0, 3.0, 7.5]),
        first=st.integers(0, 59),
        count=st.integers(1, 60),
    )
    sizes = st.sampled_from(
        [
            (1, 1, 1),
            (3,),
            (4, 3),
            (3, 3, 3),
            (5, 4, 3),
            (2, 2, 2, 2),
            (20, 20, 20),
        ]
    )
    return st.builds(
        Schedule,
        zones=sizes,
        rate_per_s=st.sampled_from([1.0, 5.0, 20.0, 60.0]),
        burst=st.sampled_from([0.0, 1.0, 10.0, 60.0]),
        phases=st.lists(phase, min_size=1, max_size=5).map(
            lambda items: (
                Phase(at=0.0, multiple=7.5, first=0, count=1),
                *items,
            )
        ),
        faults=st.lists(fault, max_size=5).map(tuple),
        lowered_at=st.none() | _times(2.0),
        loss=st.sampled_from([0.0, 0.05, 0.4]),
        late=st.sampled_from([0.0, 0.05, 0.4]),
        seed=st.integers(0, 2**16),
    )
