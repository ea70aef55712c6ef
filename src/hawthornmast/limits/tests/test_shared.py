"""Tests of selection by probability of failure and by the total use."""

import random

import attrs
import pytest

from hawthornmast.common import State
from hawthornmast.common import Upstream
from hawthornmast.health.belief import Observation
from hawthornmast.limits import SharedPool
from hawthornmast.limits.coverage import COVERAGE_DELAY_S
from hawthornmast.limits.coverage import COVERAGE_INTERVAL_S
from hawthornmast.limits.pooled import INITIAL_BACKOFF_S
from hawthornmast.limits.pooled import PEER_USE_TTL_S
from hawthornmast.limits.shared import SILENCE_TIMEOUT_S
from hawthornmast.limits.shared import TRIAL_INTERVAL_S
from standins.clock import ManualClock


def make_upstream(name: str, **changes: object) -> Upstream:
    """Return an upstream with two slots in zone a."""
    upstream = Upstream(
        upstream_id=name, zone="a", host="127.0.0.1", port=1, slots=2
    )
    return attrs.evolve(upstream, **changes)


class PoolHarness:
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
        """Let each upstream serve one successful request.

        All tests send at 200 s, after the clock's start at 100 s, so that no
        success is ignored as sent before a failure.
        """
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

    def use(self, name: str) -> None:
        """Record that a peer sent an upstream a request and got an answer."""
        self.pool.record_peer_use(name, "peer", 1)
        self.pool.record_peer_use(name, "peer", 0)

    def take_name(self, *, retryable: bool = False) -> str:
        """Let the selected upstream answer a request; return its name."""
        taken = self.pool.take(retryable=retryable)
        assert taken is not None
        self.pool.record_observation(
            taken.upstream_id, Observation.SUCCEEDED, sent_at=200.0
        )
        self.pool.release(taken.upstream_id)
        return taken.upstream_id

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
        harness = PoolHarness(make_upstream("u1"), make_upstream("u2"))
        harness.touch_all()
        harness.pool.update([make_upstream(name) for name in ("u1", "u3")])
        taken = harness.pool.take(retryable=False)
        assert taken is not None and taken.upstream_id == "u3"

    def test_uses_one_upstream_unless_it_explores(self) -> None:
        # Guards against many connections for few requests: 29 members whose
        # addresses clients are not given, each with a few requests a second,
        # would open two thirds of all connections to upstreams.
        harness = PoolHarness(*(make_upstream(f"u{n}") for n in range(6)))
        harness.pool.explores = False
        used = set()
        for _ in range(20):
            taken = harness.pool.take()
            assert taken is not None
            used.add(taken.upstream_id)
            harness.pool.record_observation(
                taken.upstream_id, Observation.SUCCEEDED, sent_at=200.0
            )
            harness.pool.release(taken.upstream_id)
            harness.clock.now += 0.6
        assert len(used) == 1

    def test_request_without_retry_avoids_failing_upstreams(self) -> None:
        harness = PoolHarness(make_upstream("u1"), make_upstream("u2"))
        harness.touch_all()
        harness.fail("u1")
        assert harness.take_all(retryable=False) == ["u2", "u2"]

    def test_request_near_its_deadline_takes_a_failing_upstream(self) -> None:
        # Guards against requests that wait until their deadlines because
        # every upstream is failing.
        harness = PoolHarness(make_upstream("u1"))
        harness.touch_all()
        harness.fail("u1")
        assert harness.pool.take(retryable=False) is None
        assert (
            harness.pool.take(retryable=False, time_left_fraction=0.4)
            is not None
        )

    def test_retryable_request_tries_a_failing_upstream_periodically(
        self,
    ) -> None:
        harness = PoolHarness(make_upstream("u1"), make_upstream("u2"))
        harness.touch_all()
        harness.fail("u1")
        harness.clock.now += TRIAL_INTERVAL_S + 0.1
        first, second = harness.pool.take(), harness.pool.take()
        assert first is not None and first.upstream_id == "u1"
        assert second is not None and second.upstream_id == "u2"

    def test_no_trials_when_the_retry_budget_is_short(self) -> None:
        harness = PoolHarness(make_upstream("u1"), make_upstream("u2"))
        harness.touch_all()
        harness.fail("u1")
        harness.clock.now += TRIAL_INTERVAL_S + 0.1
        harness.may_send_trial = False
        assert harness.take_all() == ["u2", "u2"]

    def test_counts_what_other_members_use(self) -> None:
        harness = PoolHarness(make_upstream("u1"))
        harness.touch_all()
        harness.pool.record_peer_use("u1", "peer", 1)
        assert harness.take_all() == ["u1"]

    def test_use_of_a_silent_member_expires(self) -> None:
        # Guards against slots that stay in use after a member crashed.
        harness = PoolHarness(make_upstream("u1"))
        harness.touch_all()
        harness.pool.record_peer_use("u1", "peer", 2)
        assert harness.take_all() == []
        harness.clock.now += PEER_USE_TTL_S + 0.1
        assert harness.take_all() == ["u1", "u1"]

    def test_prefers_its_own_zone(self) -> None:
        harness = PoolHarness(
            make_upstream("u1", zone="b"), make_upstream("u2")
        )
        harness.touch_all()
        taken = harness.pool.take(retryable=False)
        assert taken is not None and taken.upstream_id == "u2"

    @pytest.mark.parametrize("how", ["leaving", "unlisted", "moved"])
    def test_never_takes_an_upstream_that_left(self, how: str) -> None:
        harness = PoolHarness(make_upstream("u1"))
        if how == "leaving":
            harness.pool.update([make_upstream("u1", state=State.LEAVING)])
        elif how == "unlisted":
            harness.pool.update([])
        else:
            harness.pool.mark_moved("u1")
        assert harness.pool.take(time_left_fraction=0.0) is None
        assert not harness.pool.has_candidate()

    def test_new_address_makes_a_moved_upstream_eligible(self) -> None:
        harness = PoolHarness(make_upstream("u1"))
        harness.pool.mark_moved("u1")
        harness.pool.update([make_upstream("u1", port=2)])
        assert harness.pool.take() is not None

    @pytest.mark.parametrize("failing", [False, True])
    def test_spreads_over_healthy_upstreams(self, failing: bool) -> None:
        # The floor: while a tenth of the requests fails, at least the floor's
        # share of the healthy upstreams must receive requests. Members may
        # see the failures too late, so the pool doesn't wait for them.
        names = [f"u{number}" for number in range(6)]
        harness = PoolHarness(*map(make_upstream, names))
        harness.touch_all()
        for number in range(20):
            harness.pool.record_request_outcome(
                succeeded=not failing or number % 5 != 0
            )
        harness.clock.now += COVERAGE_INTERVAL_S + COVERAGE_DELAY_S + 0.1
        taken = set()
        for _ in range(6):
            upstream = harness.pool.take(retryable=False)
            assert upstream is not None
            taken.add(upstream.upstream_id)
            harness.pool.record_observation(
                upstream.upstream_id, Observation.SUCCEEDED, sent_at=200.0
            )
            harness.pool.release(upstream.upstream_id)
        assert taken == set(names)

    def test_retryable_requests_of_the_zone_cover_upstreams_first(
        self,
    ) -> None:
        # Guards against work that can't be repeated, and bytes between zones,
        # where other requests can keep an upstream in use.
        harness = PoolHarness(
            make_upstream("u1"), make_upstream("u2", zone="b")
        )
        harness.touch_all()
        harness.use("u1")
        harness.clock.now += COVERAGE_INTERVAL_S + 0.1
        harness.use("u1")
        assert harness.take_name(retryable=False) == "u1"
        assert harness.take_name(retryable=True) == "u1"
        harness.clock.now += COVERAGE_DELAY_S
        harness.use("u1")
        assert harness.take_name(retryable=False) == "u1"
        assert harness.take_name(retryable=True) == "u2"

    def test_few_requests_stay_on_known_upstreams(self) -> None:
        # Guards against a service with few requests that sends each of them
        # to an upstream about which nothing recent is known.
        names = [f"u{number:02}" for number in range(40)]
        harness = PoolHarness(*map(make_upstream, names))
        used = []
        for _ in range(100):
            used.append(harness.take_name())
            harness.clock.now += 0.5
        assert len(set(used[50:])) <= 26


class TestPaths:
    """Network faults of one member do not count as upstream failures."""

    def test_unreachable_upstream_gets_a_backoff(self) -> None:
        harness = PoolHarness(make_upstream("u1"))
        harness.touch_all()
        before = harness.pool.failure_probability("u1")
        harness.pool.mark_unreachable("u1")
        assert harness.pool.failure_probability("u1") == before
        assert harness.pool.take(time_left_fraction=0.0) is None
        harness.clock.now += INITIAL_BACKOFF_S + 0.1
        assert harness.pool.take() is not None

    def test_backoff_doubles_until_a_response(self) -> None:
        harness = PoolHarness(make_upstream("u1"))
        harness.touch_all()
        for _ in range(2):
            harness.pool.mark_unreachable("u1")
        harness.clock.now += INITIAL_BACKOFF_S + 0.1
        assert harness.pool.take() is None
        harness.pool.record_response("u1")
        assert harness.pool.take() is not None

    def test_upstream_without_responses_gets_no_more_requests(self) -> None:
        # Responses may be lost on the path to this member only.
        harness = PoolHarness(make_upstream("u1"))
        harness.touch_all()
        assert harness.pool.take() is not None
        harness.clock.now += SILENCE_TIMEOUT_S + 0.1
        assert harness.pool.take() is None
        harness.pool.record_response("u1")
        assert harness.pool.take() is not None


class TestRelease:
    """A slot is released once."""

    def test_unknown_slot(self) -> None:
        with pytest.raises(ValueError, match="'u1'"):
            PoolHarness(make_upstream("u1")).pool.release("u1")

    def test_unlisted_upstream_is_removed_with_its_last_slot(self) -> None:
        harness = PoolHarness(make_upstream("u1"))
        assert harness.pool.take() is not None
        harness.pool.update([])
        assert "u1" in harness.pool.members
        harness.pool.release("u1")
        assert not harness.pool.members
