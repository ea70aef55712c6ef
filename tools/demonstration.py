"""Runs both deployments and the platform's adapter, and judges the outcome.

Parts are broken meanwhile.

Started by ``make run``. The last line of the output is
``result=ok requests=N ...`` when every promise held, else ``result=failed``.
"""

import argparse
import pathlib
import statistics
import sys
import tempfile

import trio

from hawthornmast.http import Client
from standins.client import KEY_HEADER
from tools.adapter import AdapterRun
from tools.deployments import Deployment
from tools.deployments import DEPLOYMENTS
from tools.fleet import Fleet
from tools.judge import Findings
from tools.judge import judge_calls
from tools.load import Load
from tools.processes import ProcessGroup

Judged = tuple[str, Findings, float, list[str]]
"""Name, findings, added latency in ms and problems of one run."""

REQUESTS = 1500
"""For each deployment, of which there are two."""

RATE = 120.0
LIST_LAG_S = 3.0
SAMPLES = 300
SAMPLE_RATE = 200.0


async def run_deployment(
    deployment: Deployment,
    group: ProcessGroup,
    folder: pathlib.Path,
    results: list[Judged],
) -> None:
    """Run one deployment and append its fleet, findings and problems."""
    fleet = Fleet(deployment, group=group, folder=folder)
    await fleet.start()
    print(f"{deployment.name}: {len(fleet.members)} daemons serve", flush=True)
    added = await measure_added_latency(fleet)
    load = Load(fleet, rate=RATE, seed=7)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(break_parts, fleet)
        await load.run(REQUESTS)
        nursery.cancel_scope.cancel()
    await load.close()
    findings = judge_calls(load.calls, await fleet.read_runs())
    problems = [f"{p.name} did not stop" for p in await fleet.stop()]
    problems += [
        f"{m.instance.instance_id} ended with {m.process.popen.returncode}"
        for m in fleet.members
        if m.process is not None and m.process.popen.returncode not in (0, -9)
    ]
    results.append((deployment.name, findings, added, problems))


async def break_parts(fleet: Fleet) -> None:
    """Kill one daemon and turn one upstream gray during the load."""
    await trio.sleep(2.0)
    victim = fleet.members[-1]
    print(f"{fleet.deployment.name}: kill {victim.instance.instance_id}")
    fleet.kill(victim)
    await trio.sleep(LIST_LAG_S)
    # The platform's list follows with a lag.
    await fleet.publish_daemons(gone=(victim.instance.instance_id,))
    gray = fleet.backends[0]
    print(f"{fleet.deployment.name}: {gray.upstream.upstream_id} fails work")
    await fleet.set_faults(gray, error_rate=1.0)
    await trio.sleep_forever()


async def measure_added_latency(fleet: Fleet) -> float:
    """Return milliseconds added at the 99th percentile, by the client."""
    service = next(iter(fleet.deployment.upstreams))
    path = next(
        work.path
        for work in fleet.deployment.work
        if work.service == service and work.method in ("GET", "PUT")
    )
    method = next(
        work.method
        for work in fleet.deployment.work
        if work.service == service and work.path == path
    )
    owner = await find_owner(fleet, service)
    backend = next(b for b in fleet.backends if b.service == service)
    through = Client(owner[0], owner[1])
    direct = Client(backend.upstream.host, backend.upstream.port)
    times: dict[str, list[float]] = {"through": [], "direct": []}
    for number in range(SAMPLES):
        for name, client in (("through", through), ("direct", direct)):
            begun = trio.current_time()
            done = await client.request(
                method,
                f"{path}/sample",
                headers=(
                    ("Host", service),
                    (KEY_HEADER, f"sample-{name}-{number}"),
                ),
            )
            taken = trio.current_time() - begun
            if done.is_ok() and done.unwrap().status == 200:
                times[name].append(taken)
            await trio.sleep(max(0.0, 0.5 / SAMPLE_RATE - taken))
    await through.close()
    await direct.close()
    centiles = [
        statistics.quantiles(times[name], n=100)[98]
        for name in ("through", "direct")
    ]
    return (centiles[0] - centiles[1]) * 1000


async def find_owner(fleet: Fleet, service: str) -> tuple[str, int]:
    """Return the address of a daemon that serves a service."""
    for member in fleet.members:
        status = (await fleet.ask_admin(member, "/v1/status")).unwrap()
        if service in [item["name"] for item in status["services"]]:
            return member.instance.host, member.instance.port
    raise LookupError(f"no daemon serves {service}")


async def run() -> int:
    """Run the demonstration and return the exit status."""
    results: list[Judged] = []
    with tempfile.TemporaryDirectory(prefix="hawthornmast-") as name:
        folder = pathlib.Path(name)
        group = ProcessGroup(folder)
        try:
            async with trio.open_nursery() as nursery:
                for deployment in DEPLOYMENTS:
                    nursery.start_soon(
                        run_deployment, deployment, group, folder, results
                    )
            findings, problems = await AdapterRun(group, folder).run()
            results.append(("adapter", findings, 0.0, problems))
        finally:
            with trio.CancelScope(shield=True):
                await group.close()
    return report(results)


def report(results: list[Judged]) -> int:
    """Print the findings; return 0 when every promise held."""
    held = len(results) == len(DEPLOYMENTS) + 1
    for name, findings, added, problems in results:
        print(f"{name}: {findings} p99_added_ms={added:.2f}")
        for problem in problems:
            print(f"{name}: {problem}")
        held = held and not findings.violations and not problems
    total = [findings for _, findings, _, _ in results]
    added = max((item[2] for item in results), default=float("nan"))
    print(
        f"result={'ok' if held else 'failed'} "
        f"requests={sum(item.requests for item in total)} "
        f"complete={sum(item.complete for item in total)} "
        f"not_run={sum(item.not_run for item in total)} "
        f"unknown={sum(item.unknown for item in total)} "
        f"wrong={sum(item.wrong for item in total)} "
        f"doubled={sum(len(item.doubled) for item in total)} "
        f"p99_added_ms={added:.2f}"
    )
    return 0 if held else 1


def main() -> int:
    """Parse no arguments and run."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    return trio.run(run)


if __name__ == "__main__":
    sys.exit(main())
