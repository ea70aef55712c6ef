"""The floor on the virtual clock, in worker processes."""

import os
import re
import subprocess
import sys

import trio

from tools.processes import ROOT
from tools.proofs.findings import Finding
from tools.proofs.findings import Trial

WORKERS = 4
MODULE = "hawthornmast.health.tests.schedules"


async def run_simulated(trial: Trial) -> list[Finding]:
    """Run schedules of the health slice, divided among processes."""
    each = max(1, trial.schedules // WORKERS)
    outputs: list[str] = []
    async with trio.open_nursery() as nursery:
        for number in range(WORKERS if trial.schedules > 1 else 1):
            nursery.start_soon(
                _run_worker,
                outputs,
                each,
                trial.seed + number * each,
                trial.defect or "none",
            )
    finding = Finding(promise="floor", scenario="virtual clock", schedules=0)
    for output in outputs:
        values = dict(re.findall(r"(\w+)=(\S+)", output))
        finding.schedules += int(values["schedules"])
        if int(values["broken"]):
            finding.violations.append(output.strip())
        for name in ("ejections", "transfers", "steps"):
            total = finding.figures.get(name, 0) + int(values[name])
            finding.figures[name] = total
    return [finding]


async def _run_worker(
    outputs: list[str], count: int, seed: int, defect: str
) -> None:
    command = [sys.executable, "-m", MODULE]
    command += ["--count", str(count), "--seed", str(seed)]
    done = await trio.run_process(
        [*command, "--defect", defect],
        cwd=ROOT,
        env=dict(os.environ),
        capture_stdout=True,
        stderr=subprocess.STDOUT,
        check=False,
    )
    outputs.append(done.stdout.decode())
