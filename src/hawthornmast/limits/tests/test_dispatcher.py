"""Tests of the dispatcher."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from hawthornmast.catalogue import Entry
from hawthornmast.catalogue import Service
from hawthornmast.common import Rank
from hawthornmast.common import Upstream
from hawthornmast.health import Standing
from hawthornmast.limits import Dispatcher
from hawthornmast.limits import Reason
from hawthornmast.limits import UpstreamPool

URGENT = Entry(name="urgent", owner="a", rank=Rank.URGENT, share=0.5)
PAGES = Entry(name="pages", owner="b", rank=Rank.BACKGROUND, share=0.25)
READS = Entry(name="reads", owner="c", rank=Rank.BACKGROUND, share=0.25)
SERVICE = Service(
    name="s", owner="o", queue_limit=6, entries=(URGENT, PAGES, READS)
)


class _Harness:
    """A dispatcher over two upstreams, on a settable clock."""

    def __init__(self, slots=2, service=SERVICE, clock=None):
        self.now = 0.0
        self.standings = {}
        self.pool = UpstreamPool(
            service,
            standing=lambda key: self.standings.get(key, Standing()),
            random=random.Random(1),
        )
        self.pool.update(
            Upstream(
                upstream_id=f"u{n}", zone="z", host="::1", port=1, slots=slots
            )
            for n in range(2)
        )
        self.pool.set_allowed({"u0": slots, "u1": slots})
        self.dispatcher = Dispatcher(
            service,
            self.pool,
            clock=clock or (lambda: self.now),
            random=random.Random(2),
        )

    def offer(self, entry, deadline=100.0, exclude=()):
        return self.dispatcher.enqueue(
            entry, deadline=deadline, exclude=exclude
        )


def _reason(waiter):
    return waiter.outcome.unwrap_err().reason


class TestOrder:
    def test_within_limit_by_rank_then_beyond(self):
        # Guards against starvation of lower ranks by a flood of urgent
        # requests.
        harness = _Harness()
        running = [harness.offer(URGENT) for _ in range(4)]
        urgent = harness.offer(URGENT)
        pages = harness.offer(PAGES)
        running[0].outcome.unwrap().release()
        assert pages.outcome.is_ok() and urgent.outcome is None
        running[1].outcome.unwrap().release()
        assert urgent.outcome.is_ok()

    def test_one_class_takes_turns_by_use_per_share(self):
        harness = _Harness()
        running = [harness.offer(URGENT) for _ in range(4)]
        waiting = [harness.offer(PAGES) for _ in range(3)]
        waiting += [harness.offer(READS) for _ in range(2)]
        for item in running[:2]:
            item.outcome.unwrap().release()
        assert [item.outcome is not None for item in waiting] == [
            True,
            False,
            False,
            True,
            False,
        ]


class TestRefusal:
    def test_displaces_newest_excess_of_the_lowest_rank(self):
        harness = _Harness()
        for _ in range(4):
            harness.offer(URGENT)
        pages = [harness.offer(PAGES) for _ in range(6)]
        assert harness.offer(URGENT).outcome is None
        assert _reason(pages[-1]) is Reason.DISPLACED
        assert _reason(harness.offer(PAGES)) is Reason.QUEUE_FULL

    @pytest.mark.parametrize(
        ("change", "reason"),
        [
            (lambda harness: harness.dispatcher.close(), Reason.CLOSING),
            (lambda harness: setattr(harness, "now", 100.0), Reason.DEADLINE),
            (lambda harness: harness.pool.update([]), Reason.NO_UPSTREAM),
        ],
    )
    def test_refuses_at_once(self, change, reason):
        harness = _Harness()
        change(harness)
        refusal = harness.offer(URGENT).outcome.unwrap_err()
        assert refusal.reason is reason and refusal.retry_after > 0

    def test_refuses_a_wait_beyond_the_deadline(self):
        harness = _Harness()
        running = [harness.offer(URGENT) for _ in range(5)]
        harness.now = 10.0
        running[0].outcome.unwrap().release()
        # The expected wait is 2.5 s and half of the time must remain.
        assert _reason(harness.offer(URGENT, deadline=14.9)) is Reason.DEADLINE
        assert harness.offer(URGENT, deadline=15.1).outcome is None

    def test_new_revision_keeps_waiting_requests(self):
        harness = _Harness()
        running = [harness.offer(URGENT) for _ in range(4)]
        pages = harness.offer(PAGES)
        harness.dispatcher.update_service(
            Service(name="s", owner="o", entries=(URGENT,))
        )
        running[0].outcome.unwrap().release()
        assert pages.outcome.is_ok()
        pages.outcome.unwrap().release()
        assert harness.pool.count_free() == 1


class TestAdmit:
    @pytest.mark.parametrize("grant_first", [True, False])
    async def test_cancellation_at_the_instant_of_a_grant(
        self, nursery, grant_first
    ):
        # Guards against a slot leaked by a task that is cancelled while its
        # request is granted.
        harness = _Harness(slots=1, clock=trio.current_time)
        deadline = trio.current_time() + 60
        held = [harness.offer(URGENT, deadline=deadline) for _ in range(2)]
        scope = trio.CancelScope()
        got = []

        async def wait():
            with scope:
                admission = await harness.dispatcher.admit(
                    PAGES, deadline=deadline
                )
                got.append(admission.unwrap())

        nursery.start_soon(wait)
        await trio.testing.wait_all_tasks_blocked()
        steps = [held[0].outcome.unwrap().release, scope.cancel]
        for step in steps if grant_first else reversed(steps):
            step()
        await trio.testing.wait_all_tasks_blocked()
        for admission in got:
            admission.release()
        assert harness.dispatcher.count_waiting() == 0
        assert harness.pool.count_free() == 1

    async def test_deadline_while_waiting(self, autojump_clock):
        harness = _Harness(slots=1, clock=trio.current_time)
        deadline = trio.current_time() + 2
        for _ in range(2):
            harness.offer(URGENT, deadline=deadline)
        refused = await harness.dispatcher.admit(PAGES, deadline=deadline)
        assert refused.unwrap_err().reason is Reason.DEADLINE
        assert trio.current_time() == pytest.approx(deadline)
        assert harness.dispatcher.count_waiting() == 0


STEP = st.tuples(
    st.sampled_from(["offer", "release", "withdraw", "eject", "allow"]),
    st.integers(0, 50),
)


class TestInvariants:
    @given(st.lists(STEP, max_size=60))
    def test_no_usable_slot_is_free_while_a_request_waits(self, steps):
        harness = _Harness()
        waiters = []
        for kind, n in steps:
            harness.now += 0.01
            running = [w for w in waiters if w.outcome and w.outcome.is_ok()]
            queued = [w for w in waiters if w.outcome is None]
            if kind == "offer":
                waiters.append(
                    harness.offer(
                        SERVICE.entries[n % 3],
                        exclude={"u0"} if n % 5 == 0 else (),
                    )
                )
            elif kind == "release" and running:
                chosen = running[n % len(running)]
                waiters.remove(chosen)
                chosen.outcome.unwrap().release()
            elif kind == "withdraw" and queued:
                harness.dispatcher.cancel(queued[n % len(queued)])
                waiters.remove(queued[n % len(queued)])
            elif kind == "eject":
                harness.standings["u1"] = Standing(ejected=n % 2 == 0)
                harness.dispatcher.redispatch()
            elif kind == "allow":
                harness.pool.set_allowed({"u0": n % 3, "u1": 2})
                harness.dispatcher.redispatch()
            queued = [w for w in waiters if w.outcome is None]
            assert len(queued) == harness.dispatcher.count_waiting() <= 6
            for waiter in queued:
                assert harness.pool.count_free(waiter.exclude) == 0
            running = [w for w in waiters if w.outcome and w.outcome.is_ok()]
            assert sum(harness.pool.in_use().values()) == len(running)
