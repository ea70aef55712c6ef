"""Queues of one service: one for each entry and team."""

from collections.abc import Iterable
from collections.abc import Iterator
import heapq
import math

import attrs

from hawthornmast.catalogue import Entry
from hawthornmast.common import Rank
from hawthornmast.limits import fairness
from hawthornmast.limits.fairness import TeamUse
from hawthornmast.limits.waiting import Waiter

_SMOOTHING_FACTOR = 0.1
"""Weight of the newest interval between admissions in its moving average."""

_MIN_SHARE = 1e-6
"""Replaces a share of 0 as a divisor."""


@attrs.define(kw_only=True, eq=False)
class EntryUse:
    """Requests of one entry, of all teams together."""

    entry: Entry
    running: int = 0
    waiting: int = 0
    listed: bool = True

    @property
    def share(self) -> float:
        """Share of the entry, bounded away from 0 for use as a divisor."""
        return max(self.entry.share, _MIN_SHARE)

    def classify(self, slots: int) -> tuple[bool, Rank]:
        """Return the class of the next request; lower classes go first."""
        over_share = self.running >= self.entry.share * slots - 1e-9
        return over_share, self.entry.rank


@attrs.define(kw_only=True, eq=False)
class Queue:
    """Queued and running requests of one entry and team."""

    team: str
    entry_use: EntryUse
    team_use: TeamUse
    # A dict keeps the order of arrival and removes a waiter in constant time.
    waiting: dict[int, Waiter] = attrs.field(factory=dict)
    running: int = 0
    last_turn: int = 0
    # Mean interval between admissions since the queue became non-empty.
    admission_interval: float = 0.0
    last_admission_at: float = 0.0

    @property
    def entry(self) -> Entry:
        """Entry of the requests."""
        return self.entry_use.entry

    def record_admission(self, now: float) -> None:
        """Update the interval between admissions of queued requests."""
        gap = now - self.last_admission_at
        self.admission_interval += _SMOOTHING_FACTOR * (
            gap - self.admission_interval
        )
        self.last_admission_at = now

    def estimate_interval(self, now: float) -> float:
        """Return the mean interval, including the one that lasts still."""
        gap = now - self.last_admission_at
        return self.admission_interval + _SMOOTHING_FACTOR * max(
            0.0, gap - self.admission_interval
        )


class QueueTable:
    """All queues of a service, and the order of their requests.

    Queues of teams exist only while they have requests, so that their number
    is bounded by that of the requests in flight.

    Parameters
    ----------
    entries
        Entries of the service. Each has a queue for requests without a team.
    """

    def __init__(self, entries: Iterable[Entry]) -> None:
        self.waiting = 0
        self._queues: dict[tuple[str, str], Queue] = {}
        self._entry_uses: dict[str, EntryUse] = {}
        self._team_uses: dict[Rank, dict[str, TeamUse]] = {}
        self._turn_count = 0
        self.update(entries)

    def __iter__(self) -> Iterator[Queue]:
        return iter(self._queues.values())

    def find(self, entry: Entry, team: str) -> Queue:
        """Return the queue of an entry and team; it is made if needed."""
        queue = self._queues.get((entry.name, team))
        if queue is not None:
            return queue
        entry_use = self._entry_uses.get(entry.name)
        if entry_use is None:
            # The request was routed under a revision that has been replaced,
            # or its team has a rank of its own.
            entry_use = EntryUse(entry=entry, listed=False)
            self._entry_uses[entry.name] = entry_use
        queue = Queue(
            team=team,
            entry_use=entry_use,
            team_use=self._find_team_use(entry_use.entry.rank, team),
        )
        self._queues[entry.name, team] = queue
        return queue

    def _find_team_use(self, rank: Rank, team: str) -> TeamUse:
        return self._team_uses.setdefault(rank, {}).setdefault(team, TeamUse())

    def update(self, entries: Iterable[Entry]) -> None:
        """Apply new entries; queued requests keep their places."""
        listed = {entry.name: entry for entry in entries}
        for name, use in self._entry_uses.items():
            use.listed = name in listed
            if use.listed:
                use.entry = listed[name]
        for queue in list(self._queues.values()):
            self._move_to_rank(queue)
            self.discard_if_unused(queue)
        for name, entry in listed.items():
            if name not in self._entry_uses:
                self._entry_uses[name] = EntryUse(entry=entry)
            self.find(entry, "")

    def _move_to_rank(self, queue: Queue) -> None:
        """Count the requests of a queue by the rank of its entry."""
        use = self._find_team_use(queue.entry.rank, queue.team)
        previous = queue.team_use
        if use is previous:
            return
        previous.running -= queue.running
        previous.waiting -= len(queue.waiting)
        use.running += queue.running
        use.waiting += len(queue.waiting)
        queue.team_use = use
        for teams in self._team_uses.values():
            if teams.get(queue.team) is previous:
                self._discard_team_use(teams, queue.team)

    def _attach(self, queue: Queue) -> None:
        """Keep what a queue shares with others.

        It may have been discarded with another queue since ``find``.
        """
        self._entry_uses.setdefault(queue.entry.name, queue.entry_use)
        teams = self._team_uses[queue.entry.rank]
        teams.setdefault(queue.team, queue.team_use)

    def add(self, queue: Queue, waiter: Waiter) -> None:
        """Add a request to a queue."""
        self._attach(queue)
        use = queue.team_use
        if not use.waiting:
            fairness.join(use, self._find_least_turns(queue.entry.rank))
        queue.waiting[id(waiter)] = waiter
        queue.entry_use.waiting += 1
        use.waiting += 1
        self.waiting += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from its queue, if it is still there."""
        queue = self._queues.get((waiter.entry, waiter.team))
        if queue is None:
            return
        if queue.waiting.pop(id(waiter), None) is not None:
            queue.entry_use.waiting -= 1
            queue.team_use.waiting -= 1
            self.waiting -= 1
            self.discard_if_unused(queue)

    def start(self, queue: Queue) -> None:
        """Count a request that begins to run; a waiting one still waits."""
        self._attach(queue)
        use = queue.team_use
        if use.waiting:
            least_turns = self._find_least_turns(queue.entry.rank)
            assert least_turns is not None
            fairness.take_turn(use, least_turns)
        self._turn_count += 1
        use.last_turn = queue.last_turn = self._turn_count
        queue.running += 1
        queue.entry_use.running += 1
        use.running += 1

    def finish(self, queue: Queue) -> None:
        """Count a request that has ended."""
        queue.running -= 1
        queue.entry_use.running -= 1
        queue.team_use.running -= 1
        self.discard_if_unused(queue)

    def discard_if_unused(self, queue: Queue) -> None:
        """Remove an empty queue of a team, or of an unlisted entry."""
        if queue.waiting or queue.running:
            return
        entry_use = queue.entry_use
        if entry_use.listed and not queue.team:
            return
        name = entry_use.entry.name
        if self._queues.get((name, queue.team)) is not queue:
            return
        del self._queues[name, queue.team]
        teams = self._team_uses[entry_use.entry.rank]
        self._discard_team_use(teams, queue.team)
        if not (entry_use.listed or entry_use.running or entry_use.waiting):
            self._entry_uses.pop(name, None)

    def _discard_team_use(self, teams: dict[str, TeamUse], team: str) -> None:
        # The use of requests without a team belongs to the listed queues.
        use = teams.get(team)
        if team and use is not None and not (use.running or use.waiting):
            del teams[team]

    def _find_least_turns(self, rank: Rank) -> int | None:
        return fairness.find_least_turns(
            self._team_uses.get(rank, {}).values()
        )

    def iterate_in_order(self, slots: int) -> Iterator[Queue]:
        """Yield the queues with requests in the order of their next ones.

        By class and rank, then by the turns of teams, then by the use of the
        entries' shares. Ties go to the queue whose last admission is the
        oldest.
        """
        least_turns = {
            rank: self._find_least_turns(rank) or 0 for rank in self._team_uses
        }
        heap = [
            (
                queue.entry_use.classify(slots),
                fairness.order_team(
                    queue.team_use, least_turns[queue.entry.rank]
                ),
                queue.running / queue.entry_use.share,
                queue.last_turn,
                number,
                queue,
            )
            for number, queue in enumerate(self._queues.values())
            if queue.waiting
        ]
        # Most decisions need the first queue only.
        heapq.heapify(heap)
        while heap:
            yield heapq.heappop(heap)[-1]

    def count_before(self, queue: Queue, slots: int) -> int:
        """Return how many requests go before a new one of an empty queue.

        An entry beyond its share, or of a lower rank, goes first only until
        it uses its share of the slots.
        """
        own = queue.entry_use.classify(slots)
        count = self._count_turns_before(queue)
        for use in self._entry_uses.values():
            theirs = use.classify(slots)
            if use is queue.entry_use or theirs >= own:
                continue
            if theirs[1] >= own[1]:
                limit = math.ceil(use.entry.share * slots)
                count += min(use.waiting, limit - use.running)
            else:
                count += use.waiting
        return count

    def count_waiting_before(self, queue: Queue, slots: int) -> int:
        """Return how many waiting requests go before a new one of a queue."""
        own = queue.entry_use.classify(slots)
        return (
            len(queue.waiting)
            + self._count_turns_before(queue)
            + sum(
                use.waiting
                for use in self._entry_uses.values()
                if use is not queue.entry_use and use.classify(slots) < own
            )
        )

    def _count_turns_before(self, queue: Queue) -> int:
        teams = self._team_uses[queue.entry.rank]
        least_turns = fairness.find_least_turns(teams.values())
        if len(teams) < 2 or least_turns is None:
            return 0
        return fairness.count_turns_before(
            queue.team_use,
            teams.values(),
            queued=len(queue.waiting),
            least_turns=least_turns,
        )

    def select_victim(self, arriving: Queue, limit: int) -> Queue:
        """Return the queue that gives up a place for a new request.

        Queues of entries beyond their share of the service's queue limit come
        first, then those of the lowest rank, then those of the team with the
        most waiting requests, then those with the most requests per share.
        """

        def excess(queue: Queue) -> tuple[bool, Rank, int, float]:
            use, team_use = queue.entry_use, queue.team_use
            entry_count = use.waiting + (use is arriving.entry_use)
            team_count = team_use.waiting + (team_use is arriving.team_use)
            count = len(queue.waiting) + (queue is arriving)
            return (
                entry_count > use.entry.share * limit,
                use.entry.rank,
                team_count,
                count / use.share,
            )

        return max(
            (
                queue
                for queue in self._queues.values()
                if queue.waiting or queue is arriving
            ),
            key=excess,
        )
