"""Selection of upstreams by belief and by the use of all members."""

import random

import attrs
import pytest

from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health.belief import Sign
from hawthornmast.limits import SharedPool
from hawthornmast.limits.shared import BLOCK_S
from hawthornmast.limits.shared import FLOOR_S
from hawthornmast.limits.shared import REPORT_S
from hawthornmast.limits.shared import SILENT_S
from hawthornmast.limits.shared import TRIAL_S
from standins.clock import ManualClock


def make_upstream(name: str, **changes: object) -> Upstream:
    """Return an upstream with two slots in zone a."""
    upstream = Upstream(
        upstream_id=name, zone="a", host="127.0.0.1", port=1, slots=2
    )
    return attrs.evolve(upstream, **changes)


class Fixture:
    """A pool with a clock."""

    def __init__(self, *upstreams: Upstream) -> None:
        self.clock = ManualClock()
        self.tries = True
        self.pool = SharedPool(
            clock=self.clock,
            random=random.Random(1),
            zone="a",
            may_try=lambda: self.tries,
        )
        self.pool.update(upstreams)

    def touch_all(self) -> None:
        """Let each upstream serve one request well."""
        for _ in range(len(self.pool.members)):
            taken = self.pool.take(repeatable=False)
            assert taken is not None
            self.pool.note_sign(
                taken.upstream_id, Sign.SUCCEEDED, sent_at=200.0
            )
            self.pool.release(taken.upstream_id)

    def fail(self, name: str, times: int = 2) -> None:
        """Let an upstream fail requests."""
        for _ in range(times):
            self.pool.note_sign(name, Sign.FAILED, sent_at=200.0)

    def take_all(self, **options: object) -> list[str]:
        """Take slots until none is offered."""
        names = []
        while True:
            taken = self.pool.take(**options)
            if taken is None:
                return names
            names.append(taken.upstream_id)


class TestTake:
    """The upstream that is the least likely to fail is taken."""

    def test_new_upstreams_get_work_first(self) -> None:
        # One that joins and gets nothing serves nobody.
        fixture = Fixture(make_upstream("u1"), make_upstream("u2"))
        fixture.touch_all()
        fixture.pool.update([make_upstream(name) for name in ("u1", "u3")])
        taken = fixture.pool.take(repeatable=False)
        assert taken is not None and taken.upstream_id == "u3"

    def test_stays_with_one_upstream_unless_it_explores(self) -> None:
        # 29 members that clients weren't told opened two thirds of all
        # connections to upstreams, for a few requests a second each.
        fixture = Fixture(*(make_upstream(f"u{n}") for n in range(6)))
        fixture.pool.explores = False
        used = set()
        for _ in range(20):
            taken = fixture.pool.take()
            assert taken is not None
            used.add(taken.upstream_id)
            fixture.pool.note_sign(
                taken.upstream_id, Sign.SUCCEEDED, sent_at=200.0
            )
            fixture.pool.release(taken.upstream_id)
            fixture.clock.now += 0.6
        assert len(used) == 1

    def test_work_that_cannot_be_repeated_avoids_failing_ones(self) -> None:
        fixture = Fixture(make_upstream("u1"), make_upstream("u2"))
        fixture.touch_all()
        fixture.fail("u1")
        assert fixture.take_all(repeatable=False) == ["u2", "u2"]

    def test_impatient_work_takes_a_failing_upstream(self) -> None:
        # When all fail, waiting until the deadline serves nobody.
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        fixture.fail("u1")
        assert fixture.pool.take(repeatable=False) is None
        assert fixture.pool.take(repeatable=False, patience=0.4) is not None

    def test_repeatable_work_tries_a_failing_upstream_now_and_then(
        self,
    ) -> None:
        fixture = Fixture(make_upstream("u1"), make_upstream("u2"))
        fixture.touch_all()
        fixture.fail("u1")
        fixture.clock.now += TRIAL_S + 0.1
        first, second = fixture.pool.take(), fixture.pool.take()
        assert first is not None and first.upstream_id == "u1"
        assert second is not None and second.upstream_id == "u2"

    def test_no_trials_when_the_retry_budget_is_short(self) -> None:
        fixture = Fixture(make_upstream("u1"), make_upstream("u2"))
        fixture.touch_all()
        fixture.fail("u1")
        fixture.clock.now += TRIAL_S + 0.1
        fixture.tries = False
        assert fixture.take_all() == ["u2", "u2"]

    def test_counts_what_other_members_use(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        fixture.pool.note_use("u1", "peer", 1)
        assert fixture.take_all() == ["u1"]

    def test_forgets_the_use_of_a_silent_member(self) -> None:
        # A member that dies never gives its slots back.
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        fixture.pool.note_use("u1", "peer", 2)
        assert fixture.take_all() == []
        fixture.clock.now += REPORT_S + 0.1
        assert fixture.take_all() == ["u1", "u1"]

    def test_prefers_its_own_zone(self) -> None:
        fixture = Fixture(make_upstream("u1", zone="b"), make_upstream("u2"))
        fixture.touch_all()
        taken = fixture.pool.take(repeatable=False)
        assert taken is not None and taken.upstream_id == "u2"

    @pytest.mark.parametrize("how", ["leaving", "unlisted", "gone"])
    def test_never_takes_an_upstream_that_left(self, how: str) -> None:
        fixture = Fixture(make_upstream("u1"))
        if how == "leaving":
            fixture.pool.update([make_upstream("u1", state=State.LEAVING)])
        elif how == "unlisted":
            fixture.pool.update([])
        else:
            fixture.pool.note_gone("u1")
        assert fixture.pool.take(patience=0.0) is None
        assert not fixture.pool.has_candidate()

    def test_a_new_address_ends_the_mark_of_a_moved_upstream(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        fixture.pool.note_gone("u1")
        fixture.pool.update([make_upstream("u1", port=2)])
        assert fixture.pool.take() is not None

    def test_spreads_over_sound_upstreams_while_requests_fail(self) -> None:
        # The floor: while a tenth fails, at least its share of the sound
        # upstreams must get requests.
        names = [f"u{number}" for number in range(6)]
        fixture = Fixture(*map(make_upstream, names))
        fixture.touch_all()
        for number in range(20):
            fixture.pool.note_served(served=number % 5 != 0)
        fixture.clock.now += FLOOR_S + 0.1
        taken = set()
        for _ in range(6):
            upstream = fixture.pool.take(repeatable=False)
            assert upstream is not None
            taken.add(upstream.upstream_id)
            fixture.pool.note_sign(
                upstream.upstream_id, Sign.SUCCEEDED, sent_at=200.0
            )
            fixture.pool.release(upstream.upstream_id)
        assert taken == set(names)


class TestPaths:
    """What one member can't reach is no evidence for the others."""

    def test_unreachable_upstream_is_left_alone_for_a_while(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        before = fixture.pool.likely_to_fail("u1")
        fixture.pool.note_unreachable("u1")
        assert fixture.pool.likely_to_fail("u1") == before
        assert fixture.pool.take(patience=0.0) is None
        fixture.clock.now += BLOCK_S + 0.1
        assert fixture.pool.take() is not None

    def test_the_while_doubles_until_an_answer(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        for _ in range(2):
            fixture.pool.note_unreachable("u1")
        fixture.clock.now += BLOCK_S + 0.1
        assert fixture.pool.take() is None
        fixture.pool.note_answer("u1")
        assert fixture.pool.take() is not None

    def test_upstream_that_answers_nothing_gets_no_more(self) -> None:
        # Its answers may be lost on the way to this member only.
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        assert fixture.pool.take() is not None
        fixture.clock.now += SILENT_S + 0.1
        assert fixture.pool.take() is None
        fixture.pool.note_answer("u1")
        assert fixture.pool.take() is not None


class TestRelease:
    """Slots are given back once."""

    def test_unknown_slot(self) -> None:
        with pytest.raises(ValueError, match="'u1'"):
            Fixture(make_upstream("u1")).pool.release("u1")

    def test_unlisted_upstream_is_forgotten_with_its_last_slot(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        assert fixture.pool.take() is not None
        fixture.pool.update([])
        assert "u1" in fixture.pool.members
        fixture.pool.release("u1")
        assert not fixture.pool.members
