"""Tests of the order in which teams get slots."""

import collections
import heapq
import itertools
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Rank
from hawthornmast.common import Upstream
from hawthornmast.health import Standing
from hawthornmast.limits import Dispatcher
from hawthornmast.limits import fairness
from hawthornmast.limits import Reason
from hawthornmast.limits import UpstreamPool
from hawthornmast.limits.queues import QueueTable
from standins.clock import ManualClock

READS = Entry(
    name="reads", owner="o", share=1.0, queue_limit=1000, deadline_ms=3000
)
WRITES = Entry(
    name="writes", owner="o", share=1.0, queue_limit=1000, deadline_ms=3000
)
URGENT = Entry(
    name="reads urgent",
    owner="o",
    rank=Rank.URGENT,
    share=1.0,
    queue_limit=1000,
    deadline_ms=3000,
)
SERVICE = Service(
    name="s", owner="o", queue_limit=1000, entries=(READS, WRITES)
)

BURST_TEAM = "burst"
OTHER_TEAMS = tuple(f"team-{number}" for number in range(10))

TIMEOUT_S = 3.0
WORK_S = 0.5
SLOTS = 16
RATE_PER_S = 2.4
BURST_FACTOR = 7.5
BURST_S = 6.5


class Play:
    """Requests of several teams at one dispatcher, on a clock of its own."""

    def __init__(self, service=SERVICE, slots=SLOTS, by_team=True):
        self.clock = ManualClock()
        self.by_team = by_team
        self.waits = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.started = []
        self.started_at = []
        self._number = itertools.count()
        self._events = []
        self.pool = UpstreamPool(
            service, standing=lambda key: Standing(), random=random.Random(1)
        )
        self.pool.update(
            [
                Upstream(
                    upstream_id="u", zone="z", host="::1", port=1, slots=slots
                )
            ]
        )
        self.pool.set_allowed({"u": slots})
        self.dispatcher = Dispatcher(
            service, self.pool, clock=self.clock, random=random.Random(2)
        )

    def offer(self, team, entry=READS, *, work_s=WORK_S):
        """Send a request; it runs for a time once it has a slot."""

        def record():
            if waiter.outcome.is_err():
                self.refused[team] += 1
                return
            admission = waiter.outcome.unwrap()
            self.started.append(team)
            self.started_at.append(self.clock.now)
            self.waits[team].append(admission.waited)
            self.at(self.clock.now + work_s, admission.release)

        waiter = self.dispatcher.enqueue(
            entry,
            deadline=self.clock.now + TIMEOUT_S,
            team=team if self.by_team else "",
            notify=lambda: record(),
        )
        if waiter.outcome is not None:
            record()
        return waiter

    def at(self, time, action):
        """Call an action at a time."""
        heapq.heappush(self._events, (time, next(self._number), action))

    def run(self):
        """Play until nothing is left to happen."""
        while self._events:
            time, _, action = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, time)
            action()


def play_burst(seed, *, by_team, entries=(READS, WRITES)):
    """Play a burst of one team beside ten others; return the play.

    Without teams and with one entry, the order is that of arrival.
    """
    play = Play(by_team=by_team)
    source = random.Random(seed)
    start = play.clock.now
    for team in (BURST_TEAM, *OTHER_TEAMS):
        time = start
        while time < start + BURST_S + 3.0:
            is_burst = (
                team == BURST_TEAM and start + 1 < time < start + 1 + BURST_S
            )
            rate = RATE_PER_S * (BURST_FACTOR if is_burst else 1.0)
            # Other teams have no bursts of their own.
            time += source.uniform(0.5, 1.5) / rate
            entry = source.choice(entries)
            play.at(
                time, lambda team=team, entry=entry: play.offer(team, entry)
            )
    play.run()
    return play


class TestBurst:
    """One team sends 7.5 times its usual rate beside ten other teams."""

    @pytest.mark.parametrize("entries", [(READS, WRITES), (READS,)])
    @pytest.mark.parametrize("seed", range(5))
    def test_delays_only_its_own_requests(self, seed, entries):
        # Guards against a team whose burst takes the slots of all others.
        fair = play_burst(seed, by_team=True, entries=entries)
        before = play_burst(seed, by_team=False, entries=entries)
        for team in OTHER_TEAMS:
            assert fair.refused[team] == 0
            assert max(fair.waits[team]) < WORK_S
        others_before = [
            wait for team in OTHER_TEAMS for wait in before.waits[team]
        ]
        others = [wait for team in OTHER_TEAMS for wait in fair.waits[team]]
        assert sum(others) < 0.2 * sum(others_before)
        # The burst itself gets what the others leave.
        served, served_before = (
            sum(1.5 < at - 100.0 < 1.0 + BURST_S for at in play.started_at)
            for play in (fair, before)
        )
        assert served >= 0.97 * served_before

    def test_queue_is_taken_from_the_burst(self):
        # Guards against refusals of others when one team fills the queue.
        service = Service(
            name="s", owner="o", queue_limit=10, entries=(READS, WRITES)
        )
        play = Play(service, slots=1)
        for _ in range(30):
            play.offer(BURST_TEAM)
        other = play.offer("other")
        assert other.outcome is None
        assert play.refused[BURST_TEAM] == 20


class TestTurns:
    """Teams that wait at the same time are served about as often."""

    @given(
        st.lists(st.floats(0.01, 2.0), min_size=2, max_size=5),
        st.integers(1, 6),
        st.integers(0, 100),
    )
    def test_none_waits_while_another_is_served_twice_as_often(
        self, works_s, slots, seed
    ):
        # Guards against starvation, also by a team whose requests are short
        # or that came later.
        play = Play(slots=slots)
        teams = [f"team-{number}" for number in range(len(works_s))]
        source = random.Random(seed)
        granted = collections.Counter()
        waiting = collections.Counter()
        running = []

        def offer(team):
            waiter = play.dispatcher.enqueue(
                source.choice([READS, WRITES]), deadline=1e9, team=team
            )
            if waiter.outcome is not None:
                running.append((team, waiter))
                return
            waiting[team] += 1

            def start():
                waiting[team] -= 1
                granted[team] += 1
                running.append((team, waiter))

            waiter.notify = start

        for team in teams:
            for _ in range(source.randint(1, 10)):
                offer(team)
        for team in teams:
            while waiting[team] < 20:
                offer(team)
        granted.clear()
        # The team with the shortest work ends its requests most often.
        for _ in range(200):
            weights = [1 / works_s[teams.index(team)] for team, _ in running]
            (index,) = source.choices(range(len(running)), weights)
            team, waiter = running.pop(index)
            waiter.outcome.unwrap().release()
            for team in teams:
                while waiting[team] < 20:
                    offer(team)
            least, most = (
                pick(granted[team] for team in teams) for pick in (min, max)
            )
            assert most <= 2 * least + 6

    def test_team_with_the_fewest_running_requests_goes_first(self):
        # Guards against turns alone, by which a team that holds all slots
        # keeps every second one.
        play = Play(slots=8)
        for number in range(12):
            play.offer("large", work_s=0.1 + number / 100)
        for _ in range(4):
            play.offer("small", work_s=0.5)
        play.run()
        assert play.started[8:14] == ["small"] * 3 + [
            "large",
            "small",
            "large",
        ]

    def test_urgent_rank_goes_first(self):
        # Guards against an urgent team that waits for its turn among others.
        play = Play(slots=1)
        play.offer("first", work_s=0.1)
        for _ in range(3):
            for team in ("a", "b"):
                play.offer(team, work_s=0.1)
        for _ in range(3):
            play.offer("u", URGENT, work_s=0.1)
        play.run()
        assert play.started[1:4] == ["u"] * 3

    def test_team_that_waited_alone_gets_its_next_turn_at_once(self):
        # Guards against a team that must make up for the turns which it had
        # while no other team waited.
        play = Play(slots=1)
        for _ in range(6):
            play.offer("early", work_s=0.1)
        play.at(play.clock.now + 0.35, lambda: play.offer("late"))
        play.at(play.clock.now + 0.36, lambda: play.offer("late"))
        play.run()
        assert play.started[4:] == ["late", "early", "late", "early"] or (
            play.started[4:] == ["late", "early", "early", "late"]
        )


class TestQueueTable:
    """The table holds no more than the requests in flight need."""

    def test_unused_queues_are_discarded(self):
        # Guards against memory that grows with the teams ever seen.
        play = Play(slots=2)
        for number in range(300):
            play.offer(f"team-{number}", (READS, URGENT)[number % 2])
        play.run()
        table = play.dispatcher._queues
        assert len(list(table)) == 2
        assert [list(teams) for teams in table._team_uses.values()] == [
            [""],
            [],
        ]
        assert list(table._entry_uses) == ["reads", "writes"]

    def test_refused_request_leaves_no_queue(self):
        # Guards against queues of requests that never ran.
        play = Play(slots=1)
        play.dispatcher.close()
        for number in range(30):
            waiter = play.offer(f"team-{number}", URGENT)
            assert waiter.outcome.unwrap_err().reason is Reason.CLOSING
        assert len(list(play.dispatcher._queues)) == 2

    def test_new_rank_of_an_entry_moves_its_teams(self):
        # Guards against counts that stay with the former rank.
        play = Play(slots=1)
        for team in ("a", "a", "b", "b"):
            play.offer(team, work_s=0.1)
        urgent = Entry(name="reads", owner="o", rank=Rank.URGENT, share=1.0)
        play.dispatcher.update_service(
            Service(name="s", owner="o", entries=(urgent, WRITES))
        )
        play.offer("c", WRITES)
        play.run()
        assert play.started == ["a", "b", "a", "b", "c"]
        assert len(list(play.dispatcher._queues)) == 2

    @pytest.mark.parametrize("teams", [84, 168])
    def test_decision_considers_each_queue_once(self, teams, monkeypatch):
        # Guards against a cost that grows with the square of the teams.
        play = Play(slots=1)
        for number in range(teams + 1):
            play.offer(f"team-{number}")
        calls = []
        order_team = fairness.order_team
        monkeypatch.setattr(
            fairness,
            "order_team",
            lambda *args: calls.append(args) or order_team(*args),
        )
        next(play.dispatcher._queues.iterate_in_order(1))
        assert len(calls) == teams


class TestEstimate:
    """A new request is refused only for what really goes before it."""

    def _make_backlog(self, *teams):
        """Return a play with one slot, a mean work of 0.5 s and a backlog."""
        play = Play(slots=1)
        play.offer("warm")
        play.run()
        play.offer("warm")
        for team in teams:
            play.offer(team)
        return play

    def test_burst_of_another_team_is_not_counted(self):
        # Guards against refusals of others because of a burst.
        play = self._make_backlog(*["burst"] * 2)
        queue = play.dispatcher._queues.find(READS, "other")
        assert play.dispatcher._queues.count_before(queue, 1) == 1

    def test_each_waiting_team_is_counted_once(self):
        # Guards against requests that wait although their turn comes after
        # their deadline.
        play = self._make_backlog("a", "b")
        queue = play.dispatcher._queues.find(READS, "other")
        assert play.dispatcher._queues.count_before(queue, 1) == 2


STEP = st.tuples(
    st.sampled_from(["offer", "offer", "release", "cancel", "update"]),
    st.integers(0, 10_000),
)


def sort_as_before(table, slots):
    """Return the queues in the order that was used before there were teams."""
    return iter(
        sorted(
            (queue for queue in table if queue.waiting),
            key=lambda queue: (
                *queue.entry_use.classify(slots),
                queue.running / queue.entry_use.share,
                queue.last_turn,
            ),
        )
    )


class TestWithoutTeams:
    """Without teams the order is that from before there were teams."""

    @given(st.lists(STEP, max_size=80))
    def test_order_is_unchanged(self, steps):
        # Guards against a change for deployments without teams.
        now = run_schedule(steps)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(QueueTable, "iterate_in_order", sort_as_before)
            assert run_schedule(steps) == now


def run_schedule(steps):
    """Return the order in which the requests of a schedule began."""
    play = Play(slots=2)
    started, running, queued = [], [], []
    for number, (kind, choice) in enumerate(steps):
        play.clock.now += 0.01
        source = random.Random(choice)
        entries = tuple(
            Entry(
                name=name,
                owner="o",
                rank=source.choice(list(Rank)),
                share=source.choice([0.0, 0.25, 0.5, 1.0]),
            )
            for name in ("a", "b", "c")
        )
        if kind == "offer":
            waiter = play.dispatcher.enqueue(
                entries[choice % 3], deadline=1000.0
            )
            queued.append((number, waiter))
        elif kind == "release" and running:
            running.pop(choice % len(running)).outcome.unwrap().release()
        elif kind == "cancel" and queued:
            _, waiter = queued.pop(choice % len(queued))
            play.dispatcher.cancel(waiter)
        elif kind == "update":
            play.dispatcher.update_service(
                Service(name="s", owner="o", entries=entries)
            )
        for item in list(queued):
            number, waiter = item
            if waiter.outcome is None:
                continue
            queued.remove(item)
            if waiter.outcome.is_ok():
                running.append(waiter)
                started.append(number)
    return started
