"""Output of subcommands."""

from collections.abc import Iterable

from cleo.commands.command import Command
from cleo.io.outputs.output import Type
from cleo.io.outputs.output import Verbosity

from hawthornmast.catalogue import Problem


def write_text(command: Command, text: str) -> None:
    """Write unformatted text; cleo would parse ``<name>`` as a style."""
    command.io.write_line(text, Verbosity.NORMAL, Type.RAW)


def write_error(command: Command, text: str) -> None:
    """Write text to standard error without formatting."""
    command.io.write_error_line(text, Verbosity.QUIET, Type.RAW)


def write_problems(command: Command, problems: Iterable[Problem]) -> None:
    """Write problems to standard error, one per line."""
    for problem in problems:
        write_error(command, str(problem))
