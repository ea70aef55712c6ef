"""Runs all benchmarks and prints one table.

Each benchmark is a module that prints its rows as JSON lines. It runs in a
separate process with a time limit; a benchmark that fails or exceeds the limit
is reported as a failure. All rows are written to ``results/bench.json``.
"""

import argparse
import datetime
import importlib.util
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import attrs

from benchmarks import plots
from benchmarks.detection_rows import add_checks
from benchmarks.detection_rows import collect_detection_times

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / "results"
DOCS_IMAGES = ROOT / "docs" / "images"
INTERRUPT_TIMEOUT_S = 30.0


@attrs.frozen(kw_only=True)
class Benchmark:
    """A benchmark module with its arguments and time limit.

    Parameters
    ----------
    quick
        Arguments of the short run; None when there is no short run because
        the figures depend on the machine or take too long.
    """

    name: str
    full: tuple[str, ...] = ()
    quick: tuple[str, ...] | None = None
    limit_s: float = 300.0
    seeded: bool = True

    @property
    def exists(self) -> bool:
        """Whether the benchmark module can be imported."""
        found = importlib.util.find_spec(f"benchmarks.{self.name}")
        return found is not None


BENCHMARKS = (
    Benchmark(name="overload", quick=("--set", "0"), limit_s=300),
    # A 99% aim needs at least 100 trials per row.
    Benchmark(
        name="detection",
        quick=("--trials", "100", "--baseline-trials", "0", "--wrong-s", "0"),
        limit_s=900,
    ),
    Benchmark(name="configuration", quick=("--quick",), limit_s=120),
    Benchmark(name="latency", limit_s=300),
)


def run_benchmark(
    benchmark: Benchmark, *, seed: int, quick: bool
) -> dict[str, Any]:
    """Run one benchmark; return its rows and the reason for a failure."""
    arguments = benchmark.full
    if quick:
        assert benchmark.quick is not None
        arguments = benchmark.quick
    if benchmark.seeded:
        arguments = (*arguments, "--seed", str(seed))
    command = [sys.executable, "-m", f"benchmarks.{benchmark.name}"]
    started = time.monotonic()
    popen = subprocess.Popen(
        [*command, *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stdin=subprocess.DEVNULL,
        text=True,
    )
    failure = ""
    try:
        output, _ = popen.communicate(timeout=benchmark.limit_s)
    except subprocess.TimeoutExpired:
        failure = f"stopped after {benchmark.limit_s:g} s"
        output = _interrupt(popen)
    if not failure and popen.returncode not in (0, 1):
        failure = f"exit status {popen.returncode}"
    rows = parse_rows(output)
    if not failure and not rows:
        failure = "no rows"
    return {
        "benchmark": benchmark.name,
        "command": " ".join(
            ["python", "-m", f"benchmarks.{benchmark.name}", *arguments]
        ),
        "seconds": round(time.monotonic() - started, 1),
        "failure": failure,
        "rows": rows,
    }


def _interrupt(popen: subprocess.Popen[str]) -> str:
    """Interrupt a benchmark and return its output."""
    # SIGINT raises KeyboardInterrupt, so that the benchmark stops its own
    # processes before it exits; other signals would orphan them.
    popen.send_signal(signal.SIGINT)
    try:
        return popen.communicate(timeout=INTERRUPT_TIMEOUT_S)[0]
    except subprocess.TimeoutExpired:
        popen.kill()
        return popen.communicate()[0]


def parse_rows(output: str) -> list[dict[str, Any]]:
    """Return the rows in the output of a benchmark; skip all other lines."""
    rows = []
    for line in output.splitlines():
        if not line.startswith("{"):
            continue
        try:
            row = json.loads(line)
        except ValueError:
            continue
        if "row" in row:
            rows.append(row if "checks" in row else add_checks(row))
    return rows


def read_commit() -> str:
    """Return the commit, with a suffix when the working tree is modified."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty", "--abbrev=10"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip() or "unknown"


def build_table(runs: list[dict[str, Any]]) -> list[dict[str, str]]:
    """Return one table line per figure."""
    lines = []
    for run in runs:
        for row in run["rows"]:
            title = " ".join(
                str(row[key])
                for key in ("upstreams", "row", "policy", "monitor")
                if key in row
            )
            for item in row["checks"]:
                lines.append(
                    {
                        "benchmark": run["benchmark"],
                        "row": title,
                        "measure": item["measure"],
                        "figure": str(item["figure"]),
                        "aim": item["aim"] or "-",
                        "held": _format_result(item),
                    }
                )
    return lines


def _format_result(item: dict[str, Any]) -> str:
    if item["note"]:
        return str(item["note"])
    names = {True: "yes", False: "MISSED", None: "-"}
    return names[item["held"]]


def print_table(runs: list[dict[str, Any]]) -> None:
    """Print all figures as an aligned table."""
    lines = build_table(runs)
    if not lines:
        return
    titles = {key: key for key in lines[0]}
    widths = {
        key: max(len(line[key]) for line in [titles, *lines]) for key in titles
    }
    for line in [titles, *lines]:
        cells = [line[key].ljust(widths[key]) for key in titles]
        print("  ".join(cells).rstrip())


def write_plots(runs: list[dict[str, Any]], *, update_docs: bool) -> list[str]:
    """Write the plots; return the names of those without any rows."""
    rows = {run["benchmark"]: run["rows"] for run in runs}
    folders = [RESULTS, *([DOCS_IMAGES] if update_docs else [])]
    missing = []
    times = collect_detection_times(rows.get("detection", []))
    for folder in folders:
        if not plots.plot_service_by_rank(
            rows.get("overload", []), folder / plots.SERVICE_PLOT
        ):
            missing.append(plots.SERVICE_PLOT)
        if not plots.plot_detection_times(
            times, folder / plots.DETECTION_PLOT
        ):
            missing.append(plots.DETECTION_PLOT)
    return sorted(set(missing))


def main() -> int:
    """Run the selected benchmarks; return 1 on a missed aim or a failure."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks", description=__doc__
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--quick",
        action="store_true",
        help="run only short rows that do not depend on the machine",
    )
    parser.add_argument(
        "--only",
        action="append",
        choices=[item.name for item in BENCHMARKS],
        help="run only this benchmark; may be repeated",
    )
    parser.add_argument(
        "--keep-images",
        action="store_true",
        help="also write the plots to docs/images, to keep them in the pages",
    )
    options = parser.parse_args()
    runs, not_run = [], []
    for benchmark in BENCHMARKS:
        if options.only and benchmark.name not in options.only:
            continue
        if not benchmark.exists or (options.quick and not benchmark.quick):
            not_run.append(benchmark.name)
            continue
        run = run_benchmark(benchmark, seed=options.seed, quick=options.quick)
        runs.append(run)
        status = run["failure"] or "ended"
        print(f"{run['command']}: {status}, {run['seconds']} s", flush=True)
    print_table(runs)
    missing_plots = write_plots(runs, update_docs=options.keep_images)
    checks = [c for run in runs for row in run["rows"] for c in row["checks"]]
    missed = sum(item["held"] is False for item in checks)
    failures = [run for run in runs if run["failure"]]
    document = {
        "date": datetime.datetime.now(datetime.UTC).isoformat("T", "seconds"),
        "commit": read_commit(),
        "seed": options.seed,
        "cores": os.cpu_count(),
        # Latencies rise with other load on the machine.
        "load_average": os.getloadavg(),
        "quick": options.quick,
        "not_run": not_run,
        "runs": runs,
    }
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "bench.json").write_text(json.dumps(document, indent=1))
    held = sum(item["held"] is True for item in checks)
    print(
        f"held {held}, missed {missed}, not run: {', '.join(not_run) or '-'}"
    )
    if missing_plots:
        print(f"plots skipped for lack of rows: {', '.join(missing_plots)}")
    return 1 if missed or failures else 0


if __name__ == "__main__":
    sys.exit(main())
