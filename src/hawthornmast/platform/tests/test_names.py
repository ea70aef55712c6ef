"""Only the adapter knows the platform's names."""

import pathlib
import re

import hawthornmast

PACKAGE = pathlib.Path(hawthornmast.__file__).parent
NAMES = re.compile(
    r"kv-(key|range|watch)|op/config|PathPrefix|VirtualHosts|RouteType"
    r"|TrafficSplit|TargetLatency|MaxAttempts|HealthPath|MaxConns"
    r"|StoreRevision|AllowStale|WarmupLeft"
    r"|Attempt-Id|Request-Deadline|Response-Signature|Expected-Instance"
    r"|Not-Executed|RetryBudgetRatio|BudgetSlack|InternalPorts",
    re.IGNORECASE,
)


class TestNames:
    """A platform name elsewhere means that something is decoded twice."""

    def test_stay_in_the_adapter(self) -> None:
        found = []
        for path in PACKAGE.rglob("*.py"):
            parts = path.relative_to(PACKAGE).parts
            if parts[0] == "platform" or "tests" in parts:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                match = NAMES.search(line)
                if match:
                    found.append(f"{'/'.join(parts)}:{number}: {match[0]}")
        assert found == []

    def test_adapter_is_a_small_part_of_the_product(self) -> None:
        def count(path: pathlib.Path) -> int:
            return sum(
                bool(line.strip())
                for file in path.rglob("*.py")
                if "tests" not in file.parts
                for line in file.read_text().splitlines()
            )

        assert count(PACKAGE / "platform") * 10 <= count(PACKAGE)
