"""Composition of the packages into one daemon process."""

from hawthornmast.daemon.member import Daemon
from hawthornmast.daemon.process import run_daemon

__all__ = [
    "Daemon",
    "run_daemon",
]
