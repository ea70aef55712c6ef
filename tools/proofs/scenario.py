"""Results and parameters of scenarios, and the fleets that they run on."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import pathlib
import tempfile
from typing import Any

import attrs
import trio

from tools.deployments import BRAMBLEWICK
from tools.deployments import Deployment
from tools.fleet import Fleet
from tools.processes import ProcessGroup
from tools.verification import VerificationResult

INVARIANTS = (
    "floor",
    "own-answer",
    "not-run",
    "at-most-once",
    "leaving-upstream",
    "graceful-shutdown",
    "configuration",
)
"""The invariants of section 1.1 of the design page, in its order."""


@attrs.define(kw_only=True)
class InvariantResult:
    """Result of one scenario for one invariant.

    Parameters
    ----------
    invariant
        One of ``INVARIANTS``.
    scenario
        Name of the scenario.
    schedules
        Number of schedules, rounds or steps that were checked.
    violations
        One description for each violation.
    figures
        Measured values to print.
    """

    invariant: str
    scenario: str
    schedules: int = 1
    violations: list[str] = attrs.Factory(list)
    figures: dict[str, Any] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class ScenarioParameters:
    """Parameters of one run of a scenario.

    Parameters
    ----------
    seed
        Seed of all random choices.
    schedules
        Number of schedules, for scenarios that generate them at random.
    defect
        Name of the mechanism that is disabled in the daemons; empty for
        none.
    """

    seed: int
    schedules: int = 1
    defect: str = ""


Scenario = Callable[[ScenarioParameters], Awaitable[list[InvariantResult]]]


def reduce_deployment(
    deployment: Deployment = BRAMBLEWICK, **upstreams: int
) -> Deployment:
    """Return a deployment with only these services and upstream counts."""
    return attrs.evolve(
        deployment,
        upstreams=upstreams,
        request_types=tuple(
            item
            for item in deployment.request_types
            if item.service in upstreams
        ),
    )


@contextlib.asynccontextmanager
async def open_fleet(
    deployment: Deployment, parameters: ScenarioParameters, **options: Any
) -> AsyncIterator[Fleet]:
    """Start a fleet and kill all its processes on exit."""
    if parameters.defect:
        options["command"] = ("tools.proofs.defects", parameters.defect)
    with tempfile.TemporaryDirectory(prefix="hawthornmast-") as name:
        folder = pathlib.Path(name)
        group = ProcessGroup(folder)
        fleet = Fleet(deployment, group=group, folder=folder, **options)
        try:
            await fleet.start()
            yield fleet
        finally:
            with trio.CancelScope(shield=True):
                await group.close()


def check_call_invariants(
    scenario: str, verified: VerificationResult, *, schedules: int = 1
) -> list[InvariantResult]:
    """Return the results of a run's calls for three invariants."""
    non_idempotent = max(1, verified.non_idempotent)
    return [
        InvariantResult(
            invariant="own-answer",
            scenario=scenario,
            schedules=schedules,
            violations=[f"wrong response for {k}" for k in verified.wrong_keys]
            + [
                f"{k} is complete but was never executed"
                for k in verified.lost
            ],
            figures={"requests": verified.requests},
        ),
        InvariantResult(
            invariant="not-run",
            scenario=scenario,
            schedules=schedules,
            violations=[
                f"{k} was executed although refused"
                for k in verified.executed_though_refused
            ],
            figures={"refused": verified.not_run},
        ),
        InvariantResult(
            invariant="at-most-once",
            scenario=scenario,
            schedules=schedules,
            violations=[
                f"{k} was executed more than once" for k in verified.doubled
            ],
            figures={
                "non_idempotent": verified.non_idempotent,
                "unknown_share": round(
                    verified.non_idempotent_unknown / non_idempotent, 4
                ),
            },
        ),
    ]
