"""Run the test suite and allow only the tests of KNOWN-RED.txt to fail.

Each entry of KNOWN-RED.txt starts with a line ``test: <pytest node id>``.
The run fails when any other test fails, or when a listed test passes or is
missing, so that an entry is removed once its fault is fixed.
"""

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class _Collector:
    """Collects the node ids of passed and failed tests."""

    def __init__(self) -> None:
        self.passed: set[str] = set()
        self.failed: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.when == "call":
            self.passed.add(report.nodeid)


def read_known_red() -> set[str]:
    """Return the node ids listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def main(arguments: list[str]) -> int:
    """Run pytest and return the exit code of the suite."""
    known = read_known_red()
    full_run = not arguments
    collector = _Collector()
    # pytest modifies the list that it is passed.
    code = pytest.main(list(arguments), plugins=[collector])
    if code not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
        return int(code)
    passed = collector.passed - collector.failed
    unexpected = collector.failed - known
    stale = known - collector.failed if full_run else set()
    for name in sorted(known & collector.failed):
        print(f"known red: {name}")
    for name in sorted(unexpected):
        print(f"unexpected failure: {name}")
    for name in sorted(stale):
        print(f"listed in KNOWN-RED.txt but not failing: {name}")
    failures = len(unexpected) + len(stale)
    print(f"{len(passed)} passed, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
