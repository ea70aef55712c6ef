"""Checks the floor with fault schedules on a virtual clock.

The floor is the share of a service's upstreams that ejection leaves in
service. The schedules simulate ejections by several daemons, in worker
processes.
"""

import os
import re
import subprocess
import sys

import trio

from tools.processes import ROOT
from tools.proofs.scenario import InvariantResult
from tools.proofs.scenario import ScenarioParameters

WORKERS = 4
MODULE = "hawthornmast.health.tests.schedules"


async def run_simulated(
    parameters: ScenarioParameters,
) -> list[InvariantResult]:
    """Run the schedules of the health package, divided among processes."""
    schedules_per_worker = max(1, parameters.schedules // WORKERS)
    outputs: list[str] = []
    async with trio.open_nursery() as nursery:
        for number in range(WORKERS if parameters.schedules > 1 else 1):
            nursery.start_soon(
                _run_worker,
                outputs,
                schedules_per_worker,
                parameters.seed + number * schedules_per_worker,
                parameters.defect or "none",
            )
    result = InvariantResult(
        invariant="floor", scenario="virtual clock", schedules=0
    )
    for output in outputs:
        values = dict(re.findall(r"(\w+)=(\S+)", output))
        result.schedules += int(values["schedules"])
        if int(values["broken"]):
            result.violations.append(output.strip())
        for name in ("ejections", "transfers", "steps"):
            total = result.figures.get(name, 0) + int(values[name])
            result.figures[name] = total
    return [result]


async def _run_worker(
    outputs: list[str], count: int, seed: int, defect: str
) -> None:
    command = [sys.executable, "-m", MODULE]
    command += ["--count", str(count), "--seed", str(seed)]
    completed = await trio.run_process(
        [*command, "--defect", defect],
        cwd=ROOT,
        env=dict(os.environ),
        capture_stdout=True,
        stderr=subprocess.STDOUT,
        check=False,
    )
    outputs.append(completed.stdout.decode())
