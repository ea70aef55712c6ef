"""Short runs of the scenarios of ``tools.proofs`` on real processes."""

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

LIMIT_S = 30.0
"""Far above what is needed, so that a busy machine doesn't decide."""


def list_violations(found):
    return [text for finding in found for text in finding.violations]


class TestOnce:
    """Guards against work that runs twice, or runs though refused."""

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
        assert list_violations(found) == []
        assert max(f.figures.get("executions", 0) for f in found) > 0

    async def test_see_forgotten_tickets(self):
        # Guards against a check that would pass without the mechanism.
        parameters = ScenarioParameters(seed=1, defect="forget-tickets")
        found = await once.run_scenario("ticket-twice-at-once", parameters)
        assert list_violations(found) != []


class TestAnswers:
    """Guards against foreign or cut answers that look whole."""

    async def test_pass_whole_answers_only(self):
        faults = [{"crossed": True}, {"cut": "short"}, {"refuse_reused": True}]
        found = await schedules.run_faults(
            ScenarioParameters(seed=1), faults, 30
        )
        assert list_violations(found) == []


class TestLeaving:
    """Guards against new requests to an upstream that leaves."""

    @pytest.mark.parametrize("channel", ["header", "list"])
    async def test_stop_using_a_leaving_upstream(self, channel):
        parameters = ScenarioParameters(seed=1)
        assert await leaving.check_stopped(channel, parameters, LIMIT_S) == []

    async def test_stop_after_the_health_endpoint_says_so(self):
        assert (
            await leaving.check_stopped(
                "health", ScenarioParameters(seed=1), 5.0
            )
            == []
        )


class TestShutdown:
    """Guards against a graceful shutdown that cuts running requests."""

    async def test_finish_requests_in_flight(self):
        found = await shutdown.run_in_flight(ScenarioParameters(seed=1))
        assert list_violations(found) == []


class TestRevisions:
    """Guards against a revision that is lost or goes back."""

    async def test_keep_the_newest_valid_revision(self):
        deployment = reduce_deployment(BRAMBLEWICK, billing=1)
        async with open_fleet(
            deployment, ScenarioParameters(seed=1), daemons=3
        ) as fleet:
            await revisions.publish_invalid(fleet, "billing")
            await fleet.control_platform("save")
            newest = await revisions.publish_valid(fleet, "billing")
            assert await revisions.wait_in_force(
                fleet, "billing", newest, limit_s=LIMIT_S
            )
            await fleet.control_platform("stale?on=1&saved=1")
            fresh = fleet.members[0]
            fleet.kill(fresh)
            await trio.to_thread.run_sync(fresh.process.popen.wait)
            fleet.start_member(fresh)
            await fleet.wait_until_serving(fresh)
            for member in fleet.members:
                seen = await revisions.read_revision(fleet, member, "billing")
                assert seen == newest
