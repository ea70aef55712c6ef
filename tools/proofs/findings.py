"""What a scenario found, and the fleets that scenarios run on."""

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
from tools.judge import Findings
from tools.processes import ProcessGroup

PROMISES = (
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
class Finding:
    """What one scenario showed about one promise.

    Parameters
    ----------
    promise
        One of ``PROMISES``.
    scenario
        Name of the scenario.
    schedules
        Number of schedules or cases that were judged.
    violations
        One text for each violation.
    figures
        Measured values to print.
    """

    promise: str
    scenario: str
    schedules: int = 1
    violations: list[str] = attrs.Factory(list)
    figures: dict[str, Any] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class Trial:
    """The parameters of one run of a scenario.

    Parameters
    ----------
    seed
        Seed of all random choices.
    schedules
        Number of schedules of scenarios that draw them.
    defect
        Name of the mechanism that the daemons run without; empty for none.
    """

    seed: int
    schedules: int = 1
    defect: str = ""


Scenario = Callable[[Trial], Awaitable[list[Finding]]]


def shrink(
    deployment: Deployment = BRAMBLEWICK, **upstreams: int
) -> Deployment:
    """Return a deployment with only these services and sizes."""
    return attrs.evolve(
        deployment,
        upstreams=upstreams,
        work=tuple(w for w in deployment.work if w.service in upstreams),
    )


@contextlib.asynccontextmanager
async def open_fleet(
    deployment: Deployment, trial: Trial, **options: Any
) -> AsyncIterator[Fleet]:
    """Start a fleet and end all its processes at the end."""
    if trial.defect:
        options["command"] = ("tools.proofs.defects", trial.defect)
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


def judge_promises(
    scenario: str, findings: Findings, *, schedules: int = 1
) -> list[Finding]:
    """Return what the calls of a run show about three promises."""
    asked = max(1, findings.ordered)
    return [
        Finding(
            promise="own-answer",
            scenario=scenario,
            schedules=schedules,
            violations=[f"wrong answer for {k}" for k in findings.wrong_keys]
            + [f"{k} is complete and never ran" for k in findings.lost],
            figures={"requests": findings.requests},
        ),
        Finding(
            promise="not-run",
            scenario=scenario,
            schedules=schedules,
            violations=[
                f"{k} ran though refused" for k in findings.ran_though_refused
            ],
            figures={"refused": findings.not_run},
        ),
        Finding(
            promise="at-most-once",
            scenario=scenario,
            schedules=schedules,
            violations=[f"{k} ran twice" for k in findings.doubled],
            figures={
                "non_idempotent": findings.ordered,
                "unknown_share": round(findings.ordered_unknown / asked, 4),
            },
        ),
    ]
