"""Tests of what a member process imports before it listens."""

import pathlib
import subprocess
import sys
import threading

from standins.deployment import allocate_loopback_prefix
from standins.deployment import write_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent

UNNEEDED_MODULES = (
    "cattrs",
    "cleo",
    "difflib",
    "email",
    "hawthornmast.administration",
    "hawthornmast.audit.trail",
    "hawthornmast.catalogue.documents",
    "hawthornmast.cli",
    "hawthornmast.configuration",
    "hawthornmast.daemon",
    "hawthornmast.forwarding.forwarder",
    "hawthornmast.forwarding.native",
    "hawthornmast.forwarding.tickets",
    "hawthornmast.gateway.exposition",
    "hawthornmast.health.monitor",
    "hawthornmast.limits.allocator",
    "hawthornmast.membership.directory",
    "hawthornmast.membership.lists",
    "hawthornmast.peers",
    "hawthornmast.settings",
    "http",
    "hypothesis",
    "matplotlib",
    "numpy",
    "prometheus_client",
    "statistics",
    "tomllib",
    "urllib.request",
    "xml",
)
"""Modules that a member doesn't need to listen, with their submodules."""

MAX_PROJECT_MODULES = 110
"""The modules that serve requests, with room for a few more."""

START_TIMEOUT_S = 60.0


def _list_imports(path: pathlib.Path) -> set[str]:
    """Return the modules that a member imports until it has started."""
    packages = [item for item in sys.path if item.endswith("site-packages")]
    process = subprocess.Popen(
        [
            *(sys.executable, "-S", "-X", "importtime"),
            *("-m", "hawthornmast.platform"),
        ],
        env={
            "HAWTHORNMAST_CONFIG": str(path),
            "PYTHONPATH": ":".join([str(ROOT / "src"), *packages]),
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        stdin=subprocess.DEVNULL,
        text=True,
    )
    timer = threading.Timer(START_TIMEOUT_S, process.kill)
    timer.start()
    try:
        assert process.stdout is not None
        assert any("event=started " in line for line in process.stdout)
    finally:
        process.kill()
        _, times = process.communicate()
        timer.cancel()
    return {
        line.rpartition("|")[2].strip()
        for line in times.splitlines()
        if line.startswith("import time:")
    }


class TestImports:
    def test_start_imports_only_what_a_member_needs(
        self, tmp_path: pathlib.Path
    ) -> None:
        # Guards against imports that make each start of a member longer.
        path = tmp_path / "settings.conf"
        host = f"{allocate_loopback_prefix()}.1"
        write_settings(
            path, name="m", host=host, zone="z", store_port=1, seeds=""
        )
        imported = _list_imports(path)
        assert "hawthornmast.gateway.member" in imported
        unneeded = {
            name
            for name in imported
            for prefix in UNNEEDED_MODULES
            if f"{name}.".startswith(f"{prefix}.")
        }
        assert unneeded == set()
        own = {name for name in imported if name.startswith("hawthornmast")}
        assert len(own) <= MAX_PROJECT_MODULES
