"""Tests of tickets, in isolation and through a server."""

import attrs
import pytest
import trio

from hawthornmast import forwarding
from hawthornmast.forwarding.tests.support import make_instance
from hawthornmast.forwarding.tests.support import run_fleet
from hawthornmast.forwarding.tests.support import summarize
from hawthornmast.forwarding.tickets import FirstUse
from hawthornmast.forwarding.tickets import Rejected
from hawthornmast.forwarding.tickets import Repeat
from hawthornmast.forwarding.tickets import TicketStore
from hawthornmast.limits import Reason
from hawthornmast.limits import Refusal
from standins.clock import ManualClock


class TestTicketBook:
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
        ids=["instance", "incarnation", "serial", "sign", "short", "empty"],
    )
    def test_invalid_tickets_are_rejected(self, change, expected):
        store = TicketStore("d1", 0xABCDEF0123456789, clock=ManualClock())
        ticket = store.issue("billing")[0]
        used = store.redeem(change(ticket), "billing", b"")
        assert (used.status, used.outcome) == expected
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
        async with run_fleet() as fleet:
            fleet.set_faults(service_s=0.1)
            ticket = fleet.tickets.issue("billing")[0]
            responses = []

            async def charge():
                responses.append(await fleet.charge(ticket))

            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(charge)
            await charge()
            assert [summarize(a)[:2] for a in responses] == [
                (200, "complete")
            ] * 4
            assert len({a.body for a in responses}) == 1
            assert fleet.runs("c") == 1
            response = await fleet.charge(ticket, body=b"other")
            assert summarize(response) == (
                409,
                "not-run",
                "ticket-of-another-request",
            )
            assert fleet.runs("c") == 1

    async def test_response_that_was_not_stored_is_unknown(self):
        async with run_fleet() as fleet:
            fleet.set_faults(body_bytes=100_000)
            ticket = fleet.tickets.issue("billing")[0]
            assert len((await fleet.charge(ticket)).body) == 100_000
            response = await fleet.charge(ticket)
            assert summarize(response) == (409, "unknown", "outcome-not-kept")
            assert fleet.runs("c") == 1

    async def test_refused_ticket_does_not_run_later(self):
        # Guards against running a delayed copy of a request that was reported
        # as not run, after its client has retried with a new ticket.
        async with run_fleet() as fleet:
            fleet.runtime.refusal = Refusal(
                reason=Reason.QUEUE_FULL, retry_after=1.0
            )
            ticket = fleet.tickets.issue("billing")[0]
            expected = (503, "not-run", "queue-full")
            assert summarize(await fleet.charge(ticket)) == expected
            fleet.runtime.refusal = None
            assert summarize(await fleet.charge(ticket)) == expected
            assert fleet.runs() == 0

    async def test_repeat_after_the_service_moved_gets_the_stored_response(
        self,
    ):
        # Guards against reporting "not run" for a request that ran here
        # before the service moved to another daemon.
        async with run_fleet() as fleet:
            ticket = fleet.tickets.issue("billing")[0]
            first = await fleet.charge(ticket)
            fleet.directory.service_lost = True
            fleet.directory.other_owners["billing"] = [make_instance("d2", 99)]
            again = await fleet.charge(ticket)
            assert (again.status, again.body) == (200, first.body)
            fresh = fleet.tickets.issue("billing")[0]
            assert summarize(await fleet.charge(fresh))[:2] == (421, "not-run")

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
        ids=["none", "short", "close", "mute", "shed", "uncertified"],
    )
    async def test_failures_are_not_retried(self, faults, expected, runs):
        async with run_fleet() as fleet:
            fleet.runtime.retries = 0
            fleet.set_faults(**faults)
            headers = (("Hawthornmast-Timeout-Ms", "300"),)
            response = await fleet.charge(headers=headers)
            assert summarize(response) == expected
            assert fleet.runs() == runs

    async def test_certified_shed_and_refused_connection_are_retried(self):
        async with run_fleet(3) as fleet:
            fleet.set_faults(0, shed_all=True)
            broken = attrs.evolve(fleet.runtime.upstreams[1], port=1)
            fleet.runtime.upstreams[1] = broken
            assert summarize(await fleet.charge())[:2] == (200, "complete")
            assert fleet.standins[2].count_runs("c") == 1
            assert fleet.runtime.evidence == [
                ("u0", "shed"),
                ("u1", "failed"),
                ("u2", "ok"),
            ]

    async def test_non_idempotent_requests_use_new_connections(self):
        # Guards against an unknown outcome because the upstream closes a
        # reused connection while the request is sent.
        async with run_fleet(1) as fleet:
            await fleet.call()
            fleet.set_faults(refuse_reused=True)
            assert summarize(await fleet.charge())[:2] == (200, "complete")
            assert fleet.standins[0].accepted_connections == 2


class TestDeadline:
    async def test_request_past_its_deadline_is_not_sent(self):
        # Guards against sending a request whose client has given up, after
        # the process was paused: the clock passes the deadline after a slot
        # was granted.
        clock = ManualClock()
        async with run_fleet() as fleet:
            begin = fleet.runtime.begin

            def pause(upstream_id, entry_name):
                clock.now += 60
                return begin(upstream_id, entry_name)

            clock.now = trio.current_time()
            fleet.runtime.begin = pause
            fleet.upstreams._clock = clock
            response = await fleet.charge()
            assert summarize(response) == (503, "not-run", "deadline")
            assert fleet.runs() == 0


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
        async with run_fleet(limits=limits) as fleet:
            fleet.set_faults(body_bytes=100)
            ticket = fleet.tickets.issue("billing")[0]
            first = await fleet.charge(ticket)
            second = await fleet.charge(ticket)
        assert (first.status, len(first.body)) == (200, 100)
        assert second.status == status
        assert fleet.runs("c") == 1
