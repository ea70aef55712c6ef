"""Short runs of the ``tools.proofs`` scenarios on separate processes."""

import pytest
import trio

from tools.deployments import BRAMBLEWICK
from tools.proofs import leaving
from tools.proofs import once
from tools.proofs import revisions
from tools.proofs import schedules
from tools.proofs import shutdown
from tools.proofs.scenario import open_fleet
from tools.proofs.scenario import reduce_deployment
from tools.proofs.scenario import ScenarioParameters

TIMEOUT_S = 30.0
"""Far above the time needed, so that a loaded machine causes no failure."""


def collect_violations(found):
    return [text for finding in found for text in finding.violations]


class TestAtMostOnce:
    """Guards against requests executed twice, or executed though refused."""

    @pytest.mark.parametrize(
        "name",
        [
            "ticket-to-two-daemons",
            "ticket-twice-at-once",
            "retry-after-timeout",
            "killed-while-running",
            "stopped-while-running",
            "answer-cut",
        ],
    )
    async def test_run_at_most_once(self, name):
        found = await once.run_scenario(name, ScenarioParameters(seed=1))
        assert collect_violations(found) == []
        assert max(f.figures.get("executions", 0) for f in found) > 0

    async def test_forgotten_tickets_are_detected(self):
        # Guards against a check that passes even when tickets aren't enforced.
        parameters = ScenarioParameters(seed=1, defect="forget-tickets")
        found = await once.run_scenario("ticket-twice-at-once", parameters)
        assert collect_violations(found) != []


class TestResponses:
    """Guards against mixed-up or truncated responses that look complete."""

    async def test_pass_complete_responses_only(self):
        faults = [{"crossed": True}, {"cut": "short"}, {"refuse_reused": True}]
        found = await schedules.run_faults(
            ScenarioParameters(seed=1), faults, 30
        )
        assert collect_violations(found) == []


class TestLeaving:
    """Guards against new requests to a leaving upstream."""

    @pytest.mark.parametrize("channel", ["header", "list"])
    async def test_stop_using_a_leaving_upstream(self, channel):
        parameters = ScenarioParameters(seed=1)
        assert (
            await leaving.check_no_new_requests(channel, parameters, TIMEOUT_S)
            == []
        )

    async def test_stop_after_the_health_endpoint_says_so(self):
        assert (
            await leaving.check_no_new_requests(
                "health", ScenarioParameters(seed=1), 5.0
            )
            == []
        )


class TestShutdown:
    """Guards against a graceful shutdown that aborts requests in flight."""

    async def test_finish_requests_in_flight(self):
        found = await shutdown.run_shutdown_of_all(ScenarioParameters(seed=1))
        assert collect_violations(found) == []


class TestRevisions:
    """Guards against a configuration revision that is lost or rolled back."""

    async def test_keep_the_newest_valid_revision(self):
        deployment = reduce_deployment(BRAMBLEWICK, billing=1)
        async with open_fleet(
            deployment, ScenarioParameters(seed=1), daemons=3
        ) as fleet:
            await revisions.publish_invalid(fleet, "billing")
            await fleet.control_platform("save")
            newest = await revisions.publish_valid(fleet, "billing")
            assert await revisions.wait_in_force(
                fleet, "billing", newest, limit_s=TIMEOUT_S
            )
            await fleet.control_platform("stale?on=1&saved=1")
            restarted_member = fleet.members[0]
            fleet.kill(restarted_member)
            await trio.to_thread.run_sync(restarted_member.process.popen.wait)
            fleet.start_member(restarted_member)
            await fleet.wait_until_serving(restarted_member)
            for member in fleet.members:
                revision = await revisions.read_revision(
                    fleet, member, "billing"
                )
                assert revision == newest
