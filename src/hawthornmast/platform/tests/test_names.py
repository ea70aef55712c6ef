"""Tests that only the adapter uses names of the platform."""

import pathlib
import re

import hawthornmast

PACKAGE = pathlib.Path(hawthornmast.__file__).parent
PLATFORM_NAMES = re.compile(
    r"kv-(key|range|watch)|op/config|PathPrefix|VirtualHosts|RouteType"
    r"|TrafficSplit|TargetLatency|MaxAttempts|HealthPath|MaxConns"
    r"|StoreRevision|AllowStale|WarmupLeft"
    r"|Attempt-Id|Request-Deadline|Response-Signature|Expected-Instance"
    r"|Not-Executed|RetryBudgetRatio|BudgetSlack|InternalPorts"
    r"|Tenant|ApiKeys|RatePerS|QuotaWindow|QuotaOvershoot|Store-Era",
    re.IGNORECASE,
)


class TestNames:
    """Guards against decoding of the platform's data outside the adapter.

    A platform name in another package shows that the package decodes data
    that the adapter has already converted.
    """

    def test_occur_only_in_the_adapter(self) -> None:
        found = []
        for path in PACKAGE.rglob("*.py"):
            parts = path.relative_to(PACKAGE).parts
            if parts[0] == "platform" or "tests" in parts:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                match = PLATFORM_NAMES.search(line)
                if match:
                    found.append(f"{'/'.join(parts)}:{number}: {match[0]}")
        assert found == []

    def test_adapter_is_at_most_a_tenth_of_the_code(self) -> None:
        # Guards against logic in the adapter, which only converts names and
        # formats.
        def count_lines(path: pathlib.Path) -> int:
            return sum(
                bool(line.strip())
                for file in path.rglob("*.py")
                if "tests" not in file.parts
                for line in file.read_text().splitlines()
            )

        assert count_lines(PACKAGE / "platform") * 10 <= count_lines(PACKAGE)
