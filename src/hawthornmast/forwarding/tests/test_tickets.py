"""Tests of tickets, in isolation and through a server."""

import attrs
import pytest
import trio

from hawthornmast import forwarding
from hawthornmast.forwarding.tests.support import make_instance
from hawthornmast.forwarding.tests.support import run_harness
from hawthornmast.forwarding.tests.support import summarize
from hawthornmast.forwarding.tickets import FirstUse
from hawthornmast.forwarding.tickets import Rejected
from hawthornmast.forwarding.tickets import Repeat
from hawthornmast.forwarding.tickets import TicketStore
from hawthornmast.limits import Reason
from hawthornmast.limits import Refusal
from standins.clock import ManualClock


class TestTicketStore:
    @pytest.mark.parametrize(
        ("change", "expected"),
        [
            (lambda t: t.replace(".d1", ".d2"), (421, "not-run")),
            (lambda t: "0" * 16 + t[16:], (409, "unknown")),
            (lambda t: t.replace(".1.", ".2."), (400, "not-run")),
            (lambda t: t.replace(".1.", ".-1."), (400, "not-run")),
            (lambda t: "x", (400, "not-run")),
            (lambda t: "", (400, "not-run")),
        ],
        ids=[
            "instance",
            "incarnation",
            "serial",
            "negative-serial",
            "short",
            "empty",
        ],
    )
    def test_invalid_tickets_are_rejected(self, change, expected):
        store = TicketStore("d1", 0xABCDEF0123456789, clock=ManualClock())
        ticket = store.issue("billing")[0]
        redemption = store.redeem(change(ticket), "billing", b"")
        assert (redemption.status, redemption.outcome) == expected
        assert isinstance(store.redeem(ticket, "billing", b""), FirstUse)

    def test_ticket_is_bound_to_its_service_and_request(self):
        store = TicketStore("d1", 1, clock=ManualClock())
        ticket = store.issue("billing")[0]
        assert store.redeem(ticket, "metering", b"").status == 400
        assert isinstance(store.redeem(ticket, "billing", b"a"), FirstUse)
        assert isinstance(store.redeem(ticket, "billing", b"a"), Repeat)
        assert store.redeem(ticket, "billing", b"b").outcome == "not-run"

    def test_expired_tickets_never_run(self):
        # Guards against a second run once the record of a ticket is dropped.
        clock = ManualClock()
        store = TicketStore("d1", 1, lifetime_s=10, clock=clock)
        used, unused = store.issue("billing", 2)
        first = store.redeem(used, "billing", b"")
        store.record_outcome(first.record, "answer", size=10)
        clock.now += 9.9
        assert store.redeem(used, "billing", b"").record.response == "answer"
        clock.now += 0.2
        for ticket in (used, unused):
            assert store.redeem(ticket, "billing", b"").outcome == "unknown"
        assert (len(store), store.stored_bytes) == (0, 0)

    def test_stored_responses_are_limited_and_serials_stay_used(self):
        clock = ManualClock()
        store = TicketStore("d1", 1, max_stored_bytes=100, clock=clock)
        tickets = store.issue("billing", 5)
        for ticket in tickets:
            first = store.redeem(ticket, "billing", b"")
            store.record_outcome(first.record, ticket, size=40)
        stored = [
            store.redeem(t, "billing", b"").record.response for t in tickets
        ]
        assert stored == [None, None, None, tickets[3], tickets[4]]
        assert store.stored_bytes == 80

    def test_tickets_refused_at_the_record_limit_never_run(self):
        clock = ManualClock()
        store = TicketStore("d1", 1, max_records=1, clock=clock)
        one, two = store.issue("billing", 2)
        store.record_outcome(store.redeem(one, "billing", b"").record)
        assert store.redeem(two, "billing", b"").status == 503
        later = store.issue("billing")[0]
        clock.now += 59
        assert isinstance(store.redeem(two, "billing", b""), Rejected)
        assert isinstance(store.redeem(later, "billing", b""), Rejected)


class TestAtMostOnce:
    async def test_same_ticket_concurrently_and_after_the_response(self):
        async with run_harness() as harness:
            harness.set_faults(service_s=0.1)
            ticket = harness.tickets.issue("billing")[0]
            responses = []

            async def charge():
                responses.append(await harness.charge(ticket))

            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(charge)
            await charge()
            assert [summarize(a)[:2] for a in responses] == [
                (200, "complete")
            ] * 4
            assert len({a.body for a in responses}) == 1
            assert harness.runs("c") == 1
            response = await harness.charge(ticket, body=b"other")
            assert summarize(response) == (
                409,
                "not-run",
                "ticket-of-another-request",
            )
            assert harness.runs("c") == 1

    async def test_response_that_was_not_stored_is_unknown(self):
        async with run_harness() as harness:
            harness.set_faults(body_bytes=100_000)
            ticket = harness.tickets.issue("billing")[0]
            assert len((await harness.charge(ticket)).body) == 100_000
            response = await harness.charge(ticket)
            assert summarize(response) == (409, "unknown", "outcome-not-kept")
            assert harness.runs("c") == 1

    async def test_refused_ticket_does_not_run_later(self):
        # Guards against running a delayed copy of a request that was reported
        # as not run, after its client has retried with a new ticket.
        async with run_harness() as harness:
            harness.runtime.refusal = Refusal(
                reason=Reason.QUEUE_FULL, retry_after=1.0
            )
            ticket = harness.tickets.issue("billing")[0]
            expected = (503, "not-run", "queue-full")
            assert summarize(await harness.charge(ticket)) == expected
            harness.runtime.refusal = None
            assert summarize(await harness.charge(ticket)) == expected
            assert harness.runs() == 0

    async def test_repeat_after_the_service_moved_gets_the_stored_response(
        self,
    ):
        # Guards against reporting "not run" for a request that ran here
        # before the service moved to another daemon.
        async with run_harness() as harness:
            ticket = harness.tickets.issue("billing")[0]
            first = await harness.charge(ticket)
            harness.directory.service_lost = True
            harness.directory.other_owners["billing"] = [
                make_instance("d2", 99)
            ]
            again = await harness.charge(ticket)
            assert (again.status, again.body) == (200, first.body)
            fresh = harness.tickets.issue("billing")[0]
            assert summarize(await harness.charge(fresh))[:2] == (
                421,
                "not-run",
            )

    @pytest.mark.parametrize(
        ("faults", "expected", "runs"),
        [
            ({"cut": "none"}, (502, "unknown", "upstream-failed"), 1),
            ({"cut": "short"}, (502, "unknown", "upstream-failed"), 1),
            ({"cut": "close"}, (502, "unknown", "upstream-failed"), 1),
            ({"mute": True}, (504, "unknown", "deadline"), 1),
            ({"shed_all": True}, (503, "not-run", "shed"), 0),
            (
                {"shed_all": True, "certified": False},
                (503, "complete", None),
                0,
            ),
        ],
        ids=[
            "no-response",
            "truncated-body",
            "closed-without-length",
            "no-reply-until-the-deadline",
            "shed",
            "shed-without-not-run-header",
        ],
    )
    async def test_failures_are_not_retried(self, faults, expected, runs):
        async with run_harness() as harness:
            harness.runtime.retries = 0
            harness.set_faults(**faults)
            headers = (("Hawthornmast-Timeout-Ms", "300"),)
            response = await harness.charge(headers=headers)
            assert summarize(response) == expected
            assert harness.runs() == runs

    async def test_certified_shed_and_refused_connection_are_retried(self):
        async with run_harness(3) as harness:
            harness.set_faults(0, shed_all=True)
            broken = attrs.evolve(harness.runtime.upstreams[1], port=1)
            harness.runtime.upstreams[1] = broken
            assert summarize(await harness.charge())[:2] == (200, "complete")
            assert harness.standins[2].count_executions("c") == 1
            assert harness.runtime.evidence == [
                ("u0", "shed"),
                ("u1", "failed"),
                ("u2", "ok"),
            ]

    async def test_non_idempotent_requests_use_new_connections(self):
        # Guards against an unknown outcome because the upstream closes a
        # reused connection while the request is sent.
        async with run_harness(1) as harness:
            await harness.call()
            harness.set_faults(refuse_reused=True)
            assert summarize(await harness.charge())[:2] == (200, "complete")
            assert harness.standins[0].accepted_connections == 2


class TestDeadline:
    async def test_request_past_its_deadline_is_not_sent(self):
        # Guards against sending a request whose client has given up, after
        # the process was paused: the clock passes the deadline after a slot
        # was granted.
        clock = ManualClock()
        async with run_harness() as harness:
            begin = harness.runtime.begin

            def pause(upstream_id, entry_name):
                clock.now += 60
                return begin(upstream_id, entry_name)

            clock.now = trio.current_time()
            harness.runtime.begin = pause
            harness.upstreams._clock = clock
            response = await harness.charge()
            assert summarize(response) == (503, "not-run", "deadline")
            assert harness.runs() == 0


class TestStoredResponses:
    @pytest.mark.parametrize(
        ("answer_buffer_bytes", "status"), [(1000, 200), (10, 409)]
    )
    async def test_response_up_to_the_limit_is_stored(
        self, answer_buffer_bytes, status
    ):
        # Guards against a limit on stored responses that is not enforced.
        limits = forwarding.ClientLimits(
            answer_buffer_bytes=answer_buffer_bytes
        )
        async with run_harness(limits=limits) as harness:
            harness.set_faults(body_bytes=100)
            ticket = harness.tickets.issue("billing")[0]
            first = await harness.charge(ticket)
            second = await harness.charge(ticket)
        assert (first.status, len(first.body)) == (200, 100)
        assert second.status == status
        assert harness.runs("c") == 1
