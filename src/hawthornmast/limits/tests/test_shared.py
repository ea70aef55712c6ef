"""Tests of selection by probability of failure and by the total use."""

import random

import attrs
import pytest

from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health.belief import Observation
from hawthornmast.limits import SharedPool
from hawthornmast.limits.shared import FLOOR_INTERVAL_S
from hawthornmast.limits.shared import INITIAL_BACKOFF_S
from hawthornmast.limits.shared import PEER_USE_TTL_S
from hawthornmast.limits.shared import SILENCE_TIMEOUT_S
from hawthornmast.limits.shared import TRIAL_INTERVAL_S
from standins.clock import ManualClock


def make_upstream(name: str, **changes: object) -> Upstream:
    """Return an upstream with two slots in zone a."""
    upstream = Upstream(
        upstream_id=name, zone="a", host="127.0.0.1", port=1, slots=2
    )
    return attrs.evolve(upstream, **changes)


class Fixture:
    """A shared pool on a settable clock."""

    def __init__(self, *upstreams: Upstream) -> None:
        self.clock = ManualClock()
        self.may_send_trial = True
        self.pool = SharedPool(
            clock=self.clock,
            random=random.Random(1),
            zone="a",
            may_send_trial=lambda: self.may_send_trial,
        )
        self.pool.update(upstreams)

    def touch_all(self) -> None:
        """Let each upstream serve one successful request."""
        for _ in range(len(self.pool.members)):
            taken = self.pool.take(retryable=False)
            assert taken is not None
            self.pool.record_observation(
                taken.upstream_id, Observation.SUCCEEDED, sent_at=200.0
            )
            self.pool.release(taken.upstream_id)

    def fail(self, name: str, times: int = 2) -> None:
        """Record failed requests of an upstream."""
        for _ in range(times):
            self.pool.record_observation(
                name, Observation.FAILED, sent_at=200.0
            )

    def take_all(self, **options: object) -> list[str]:
        """Take slots until none is available."""
        names = []
        while True:
            taken = self.pool.take(**options)
            if taken is None:
                return names
            names.append(taken.upstream_id)


class TestTake:
    """The upstream with the lowest probability of failure is selected."""

    def test_new_upstreams_receive_requests_first(self) -> None:
        # Guards against a new upstream that never receives a request.
        fixture = Fixture(make_upstream("u1"), make_upstream("u2"))
        fixture.touch_all()
        fixture.pool.update([make_upstream(name) for name in ("u1", "u3")])
        taken = fixture.pool.take(retryable=False)
        assert taken is not None and taken.upstream_id == "u3"

    def test_uses_one_upstream_unless_it_explores(self) -> None:
        # Guards against connections opened by members whose addresses
        # clients are not given: 29 such members opened two thirds of all
        # connections to upstreams, each for a few requests a second.
        fixture = Fixture(*(make_upstream(f"u{n}") for n in range(6)))
        fixture.pool.explores = False
        used = set()
        for _ in range(20):
            taken = fixture.pool.take()
            assert taken is not None
            used.add(taken.upstream_id)
            fixture.pool.record_observation(
                taken.upstream_id, Observation.SUCCEEDED, sent_at=200.0
            )
            fixture.pool.release(taken.upstream_id)
            fixture.clock.now += 0.6
        assert len(used) == 1

    def test_request_without_retry_avoids_failing_upstreams(self) -> None:
        fixture = Fixture(make_upstream("u1"), make_upstream("u2"))
        fixture.touch_all()
        fixture.fail("u1")
        assert fixture.take_all(retryable=False) == ["u2", "u2"]

    def test_request_near_its_deadline_takes_a_failing_upstream(self) -> None:
        # Guards against requests that wait until their deadlines because
        # every upstream is failing.
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        fixture.fail("u1")
        assert fixture.pool.take(retryable=False) is None
        assert (
            fixture.pool.take(retryable=False, time_left_fraction=0.4)
            is not None
        )

    def test_retryable_request_tries_a_failing_upstream_periodically(
        self,
    ) -> None:
        fixture = Fixture(make_upstream("u1"), make_upstream("u2"))
        fixture.touch_all()
        fixture.fail("u1")
        fixture.clock.now += TRIAL_INTERVAL_S + 0.1
        first, second = fixture.pool.take(), fixture.pool.take()
        assert first is not None and first.upstream_id == "u1"
        assert second is not None and second.upstream_id == "u2"

    def test_no_trials_when_the_retry_budget_is_short(self) -> None:
        fixture = Fixture(make_upstream("u1"), make_upstream("u2"))
        fixture.touch_all()
        fixture.fail("u1")
        fixture.clock.now += TRIAL_INTERVAL_S + 0.1
        fixture.may_send_trial = False
        assert fixture.take_all() == ["u2", "u2"]

    def test_counts_what_other_members_use(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        fixture.pool.record_peer_use("u1", "peer", 1)
        assert fixture.take_all() == ["u1"]

    def test_use_of_a_silent_member_expires(self) -> None:
        # Guards against slots that stay in use after a member crashed.
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        fixture.pool.record_peer_use("u1", "peer", 2)
        assert fixture.take_all() == []
        fixture.clock.now += PEER_USE_TTL_S + 0.1
        assert fixture.take_all() == ["u1", "u1"]

    def test_prefers_its_own_zone(self) -> None:
        fixture = Fixture(make_upstream("u1", zone="b"), make_upstream("u2"))
        fixture.touch_all()
        taken = fixture.pool.take(retryable=False)
        assert taken is not None and taken.upstream_id == "u2"

    @pytest.mark.parametrize("how", ["leaving", "unlisted", "gone"])
    def test_never_takes_an_upstream_that_left(self, how: str) -> None:
        fixture = Fixture(make_upstream("u1"))
        if how == "leaving":
            fixture.pool.update([make_upstream("u1", state=State.LEAVING)])
        elif how == "unlisted":
            fixture.pool.update([])
        else:
            fixture.pool.mark_moved("u1")
        assert fixture.pool.take(time_left_fraction=0.0) is None
        assert not fixture.pool.has_candidate()

    def test_new_address_makes_a_moved_upstream_eligible(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        fixture.pool.mark_moved("u1")
        fixture.pool.update([make_upstream("u1", port=2)])
        assert fixture.pool.take() is not None

    def test_spreads_over_healthy_upstreams_while_requests_fail(self) -> None:
        # The floor: while a tenth of the requests fails, at least the
        # floor's share of the healthy upstreams must receive requests.
        names = [f"u{number}" for number in range(6)]
        fixture = Fixture(*map(make_upstream, names))
        fixture.touch_all()
        for number in range(20):
            fixture.pool.record_served(served=number % 5 != 0)
        fixture.clock.now += FLOOR_INTERVAL_S + 0.1
        taken = set()
        for _ in range(6):
            upstream = fixture.pool.take(retryable=False)
            assert upstream is not None
            taken.add(upstream.upstream_id)
            fixture.pool.record_observation(
                upstream.upstream_id, Observation.SUCCEEDED, sent_at=200.0
            )
            fixture.pool.release(upstream.upstream_id)
        assert taken == set(names)


class TestPaths:
    """Network faults of one member do not count as upstream failures."""

    def test_unreachable_upstream_gets_a_backoff(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        before = fixture.pool.failure_probability("u1")
        fixture.pool.mark_unreachable("u1")
        assert fixture.pool.failure_probability("u1") == before
        assert fixture.pool.take(time_left_fraction=0.0) is None
        fixture.clock.now += INITIAL_BACKOFF_S + 0.1
        assert fixture.pool.take() is not None

    def test_backoff_doubles_until_a_response(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        for _ in range(2):
            fixture.pool.mark_unreachable("u1")
        fixture.clock.now += INITIAL_BACKOFF_S + 0.1
        assert fixture.pool.take() is None
        fixture.pool.record_answer("u1")
        assert fixture.pool.take() is not None

    def test_upstream_without_responses_gets_no_more_requests(self) -> None:
        # Responses may be lost on the path to this member only.
        fixture = Fixture(make_upstream("u1"))
        fixture.touch_all()
        assert fixture.pool.take() is not None
        fixture.clock.now += SILENCE_TIMEOUT_S + 0.1
        assert fixture.pool.take() is None
        fixture.pool.record_answer("u1")
        assert fixture.pool.take() is not None


class TestRelease:
    """A slot is released once."""

    def test_unknown_slot(self) -> None:
        with pytest.raises(ValueError, match="'u1'"):
            Fixture(make_upstream("u1")).pool.release("u1")

    def test_unlisted_upstream_is_removed_with_its_last_slot(self) -> None:
        fixture = Fixture(make_upstream("u1"))
        assert fixture.pool.take() is not None
        fixture.pool.update([])
        assert "u1" in fixture.pool.members
        fixture.pool.release("u1")
        assert not fixture.pool.members
