"""The ``hawthornmast`` command."""

from hawthornmast.cli.application import build_application
from hawthornmast.cli.application import main

__all__ = [
    "build_application",
    "main",
]
