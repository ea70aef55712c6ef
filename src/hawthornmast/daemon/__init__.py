"""Assembly of one member of the fleet."""

from hawthornmast.daemon.member import Daemon
from hawthornmast.daemon.process import run_daemon

__all__ = [
    "Daemon",
    "run_daemon",
]
