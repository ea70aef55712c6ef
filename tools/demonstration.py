"""Runs both deployments and the platform adapter with injected faults.

Started by ``make run``. The last line of the output is
``result=ok requests=N ...`` when all invariants held, else ``result=failed``.
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
from tools.load import LoadGenerator
from tools.processes import ProcessGroup
from tools.verification import VerificationResult
from tools.verification import verify_calls

RunResult = tuple[str, VerificationResult, float, list[str]]
"""Name, verification result, added latency in ms and problems of one run."""

REQUESTS_PER_DEPLOYMENT = 1500
REQUESTS_PER_S = 120.0
LIST_DELAY_S = 3.0
"""Time from a daemon's death until the platform's list omits it."""

LATENCY_SAMPLES = 300
LATENCY_SAMPLES_PER_S = 200.0


async def run_deployment(
    deployment: Deployment,
    group: ProcessGroup,
    folder: pathlib.Path,
    results: list[RunResult],
) -> None:
    """Run one deployment and append its result."""
    fleet = Fleet(deployment, group=group, folder=folder)
    await fleet.start()
    print(f"{deployment.name}: {len(fleet.members)} daemons serve", flush=True)
    added_ms = await measure_added_latency(fleet)
    load = LoadGenerator(fleet, rate=REQUESTS_PER_S, seed=7)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(inject_faults, fleet)
        await load.run(REQUESTS_PER_DEPLOYMENT)
        nursery.cancel_scope.cancel()
    await load.close()
    verified = verify_calls(load.calls, await fleet.read_executions())
    problems = [f"{p.name} did not stop" for p in await fleet.stop()]
    problems += [
        f"{m.instance.instance_id} exited with {m.process.popen.returncode}"
        for m in fleet.members
        if m.process is not None and m.process.popen.returncode not in (0, -9)
    ]
    results.append((deployment.name, verified, added_ms, problems))


async def inject_faults(fleet: Fleet) -> None:
    """Kill one daemon and make one upstream fail during the load."""
    await trio.sleep(2.0)
    member = fleet.members[-1]
    print(f"{fleet.deployment.name}: kill {member.instance.instance_id}")
    fleet.kill(member)
    await trio.sleep(LIST_DELAY_S)
    # The platform's list is updated with a delay.
    await fleet.publish_daemons(gone=(member.instance.instance_id,))
    failing = fleet.backends[0]
    print(
        f"{fleet.deployment.name}: "
        f"{failing.upstream.upstream_id} fails requests"
    )
    await fleet.set_faults(failing, error_rate=1.0)
    await trio.sleep_forever()


async def measure_added_latency(fleet: Fleet) -> float:
    """Return the latency in ms that a daemon adds at the 99th percentile."""
    service = next(iter(fleet.deployment.upstreams))
    path = next(
        request_type.path
        for request_type in fleet.deployment.request_types
        if request_type.service == service
        and request_type.method in ("GET", "PUT")
    )
    method = next(
        request_type.method
        for request_type in fleet.deployment.request_types
        if request_type.service == service and request_type.path == path
    )
    owner = await find_owner(fleet, service)
    backend = next(b for b in fleet.backends if b.service == service)
    proxied = Client(owner[0], owner[1])
    direct = Client(backend.upstream.host, backend.upstream.port)
    times: dict[str, list[float]] = {"proxied": [], "direct": []}
    # Each sample is one proxied and one direct request, each of which takes
    # half of the sampling interval.
    for number in range(LATENCY_SAMPLES):
        for name, client in (("proxied", proxied), ("direct", direct)):
            started = trio.current_time()
            response = await client.request(
                method,
                f"{path}/sample",
                headers=(
                    ("Host", service),
                    (KEY_HEADER, f"sample-{name}-{number}"),
                ),
            )
            seconds = trio.current_time() - started
            if response.is_ok() and response.unwrap().status == 200:
                times[name].append(seconds)
            await trio.sleep(max(0.0, 0.5 / LATENCY_SAMPLES_PER_S - seconds))
    await proxied.close()
    await direct.close()
    p99_s = [
        statistics.quantiles(times[name], n=100)[98]
        for name in ("proxied", "direct")
    ]
    return (p99_s[0] - p99_s[1]) * 1000


async def find_owner(fleet: Fleet, service: str) -> tuple[str, int]:
    """Return the address of a daemon that serves a service."""
    for member in fleet.members:
        status = (await fleet.query_admin(member, "/v1/status")).unwrap()
        if service in [item["name"] for item in status["services"]]:
            return member.instance.host, member.instance.port
    raise LookupError(f"no daemon serves {service}")


async def run() -> int:
    """Run the demonstration and return the exit status."""
    results: list[RunResult] = []
    with tempfile.TemporaryDirectory(prefix="hawthornmast-") as name:
        folder = pathlib.Path(name)
        group = ProcessGroup(folder)
        try:
            async with trio.open_nursery() as nursery:
                for deployment in DEPLOYMENTS:
                    nursery.start_soon(
                        run_deployment, deployment, group, folder, results
                    )
            verified, problems = await AdapterRun(group, folder).run()
            results.append(("adapter", verified, 0.0, problems))
        finally:
            with trio.CancelScope(shield=True):
                await group.close()
    return report(results)


def report(results: list[RunResult]) -> int:
    """Print the results; return 0 when all invariants held."""
    passed = len(results) == len(DEPLOYMENTS) + 1
    for name, verified, added_ms, problems in results:
        print(f"{name}: {verified} p99_added_ms={added_ms:.2f}")
        for problem in problems:
            print(f"{name}: {problem}")
        passed = passed and not verified.violations and not problems
    total = [verified for _, verified, _, _ in results]
    added_ms = max((item[2] for item in results), default=float("nan"))
    print(
        f"result={'ok' if passed else 'failed'} "
        f"requests={sum(item.requests for item in total)} "
        f"complete={sum(item.complete for item in total)} "
        f"not_run={sum(item.not_run for item in total)} "
        f"unknown={sum(item.unknown for item in total)} "
        f"wrong={sum(item.wrong for item in total)} "
        f"doubled={sum(len(item.doubled) for item in total)} "
        f"p99_added_ms={added_ms:.2f}"
    )
    return 0 if passed else 1


def main() -> int:
    """Handle ``--help`` and run."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    return trio.run(run)


if __name__ == "__main__":
    sys.exit(main())
