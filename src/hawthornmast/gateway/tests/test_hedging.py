"""Tests of the decision on second attempts."""

from typing import Any

import attrs
import pytest
import trio

from hawthornmast.common import Outcome
from hawthornmast.forwarding.exchange import Progress
from hawthornmast.forwarding.messages import build_error_response
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import Trace
from hawthornmast.gateway.attempts import EvidenceRecorder
from hawthornmast.gateway.attempts import Hedge
from hawthornmast.gateway.attempts import RequestContext
from hawthornmast.gateway.hedging import AttemptMonitor
from hawthornmast.gateway.hedging import combine_failures
from hawthornmast.gateway.hedging import HedgedAttempts
from hawthornmast.gateway.hedging import is_hedge_allowed
from hawthornmast.gateway.hedging import MIN_LATENCY_SAMPLES
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.gateway.tests.support import make_listed_upstream
from hawthornmast.gateway.tests.support import make_services

LATENCY_S = 0.2


def make_context(route_name: str = "boxes-route") -> RequestContext:
    """Return a request with an attempt in flight and 1 s left."""
    services = make_services(
        make_listed_upstream("u1"), make_listed_upstream("u2")
    )
    route = next(
        item for item in make_configuration().routes if item.name == route_name
    )
    state = services.find("boxes")
    assert state is not None
    for _ in range(MIN_LATENCY_SAMPLES):
        state.record_latency(route.name, LATENCY_S)
    return RequestContext(
        request=ClientRequest(
            request_id="1",
            method="GET",
            target="/",
            service="boxes.example",
            headers=[],
        ),
        route=route,
        entry=services.entry_for(route),
        state=state,
        trace=Trace(),
        deliver=None,  # type: ignore[arg-type]
        deadline=trio.current_time() + 1.0,
        progress=Progress(started=True),
    )


class TestIsHedgeAllowed:
    """Guards against second attempts that can't help or that do harm."""

    async def test_late_idempotent_request(self, autojump_clock):
        assert is_hedge_allowed(make_context(), trio.current_time())

    async def test_non_idempotent_request(self, autojump_clock):
        context = make_context("billing-route")
        assert not is_hedge_allowed(context, trio.current_time())

    @pytest.mark.parametrize(
        "changes",
        [
            {"progress": Progress(started=False)},
            {"attempted_ids": {"u1"}},
            {"is_hedge": True},
        ],
        ids=["nothing-sent", "no-attempt-left", "is-second-attempt"],
    )
    async def test_state_of_the_request(
        self, changes: dict[str, Any], autojump_clock
    ):
        context = attrs.evolve(make_context(), **changes)
        assert not is_hedge_allowed(context, trio.current_time())

    async def test_too_little_time_left(self, autojump_clock):
        context = make_context()
        late = context.deadline - LATENCY_S / 2
        assert not is_hedge_allowed(context, late)

    async def test_requests_wait_for_slots(self, autojump_clock):
        context = make_context()
        for _ in range(5):
            context.state.dispatcher.enqueue(
                context.entry, deadline=context.deadline
            )
        assert context.state.dispatcher.count_waiting()
        assert not is_hedge_allowed(context, trio.current_time())

    async def test_little_of_the_retry_budget_left(self, autojump_clock):
        context = make_context()
        context.state.budget.slack = 10.0
        for _ in range(8):
            assert context.state.budget.take()
        assert not is_hedge_allowed(context, trio.current_time())


class TestHedgedAttempts:
    @pytest.mark.parametrize("is_authorized", [True, False])
    async def test_key_is_checked_before_a_second_attempt(
        self, is_authorized: bool, autojump_clock
    ):
        # Guards against a second attempt with a key that was withdrawn since
        # the first one.
        sent: list[RequestContext] = []

        async def attempt(context: RequestContext) -> None:
            raise AssertionError("not called")

        async def send(context: RequestContext, admission: Any) -> None:
            sent.append(context)
            admission.release()

        hedges = HedgedAttempts(
            attempt=attempt,
            send=send,
            is_authorized=lambda context: is_authorized,
            recorder=EvidenceRecorder(
                None,  # type: ignore[arg-type]
                clock=trio.current_time,
            ),
            clock=trio.current_time,
        )
        context = make_context()
        context.state.budget.slack = 10.0
        upstream = context.state.pool.members["u1"].upstream
        async with trio.open_nursery() as nursery:
            hedges.start(nursery)
            hedges._start_hedge(context, upstream)
        assert len(sent) == is_authorized


class TestCombineFailures:
    """Guards against "not run" when the second attempt may have run."""

    def make_hedge(self, context: RequestContext, *, started: bool) -> Hedge:
        """Return a second attempt that failed."""
        return Hedge(
            context=attrs.evolve(
                context, progress=Progress(started=started), is_hedge=True
            )
        )

    async def test_first_attempt_was_rejected(self, autojump_clock):
        context = make_context()
        hedge = self.make_hedge(context, started=True)
        refusal = build_error_response(503, "rejected")
        combined = combine_failures(context, refusal, hedge)
        assert combined is not None
        assert (combined.status, combined.outcome) == (502, Outcome.UNKNOWN)

    async def test_first_attempt_is_to_be_repeated(self, autojump_clock):
        context = make_context()
        context.last_answer = build_error_response(503, "rejected")
        hedge = self.make_hedge(context, started=True)
        assert combine_failures(context, None, hedge) is None
        assert context.last_answer.outcome is Outcome.UNKNOWN

    async def test_nothing_was_sent_by_the_second(self, autojump_clock):
        context = make_context()
        hedge = self.make_hedge(context, started=False)
        refusal = build_error_response(503, "rejected")
        assert combine_failures(context, refusal, hedge) is refusal


class TestAttemptMonitor:
    """Reports an attempt once for each limit that it exceeds."""

    async def test_times(self, autojump_clock):
        # Guards against attempts that are never, or repeatedly, reported.
        reports: list[tuple[str, float]] = []
        started_at = trio.current_time()

        def report(kind):
            return lambda context, upstream: reports.append(
                (kind, round(trio.current_time() - started_at, 2))
            )

        monitor = AttemptMonitor(
            clock=trio.current_time,
            on_late=report("late"),
            on_overdue=report("overdue"),
        )
        context = make_context()
        (upstream, *_) = context.state.pool.members.values()
        monitor.watch(context, upstream.upstream)
        for _ in range(60):
            await trio.sleep(0.01)
            monitor.tick()
        assert reports == [("late", 0.24), ("overdue", 0.4)]

    async def test_attempt_with_a_response_is_not_reported(
        self, autojump_clock
    ):
        reports: list[object] = []
        monitor = AttemptMonitor(
            clock=trio.current_time,
            on_late=lambda context, upstream: reports.append(context),
            on_overdue=lambda context, upstream: reports.append(context),
        )
        context = make_context()
        (upstream, *_) = context.state.pool.members.values()
        monitor.watch(context, upstream.upstream)
        monitor.unwatch(context)
        await trio.sleep(2.0)
        monitor.tick()
        assert reports == []
