"""Subcommands that run a daemon and check files."""

import importlib
import tomllib

import attrs
from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err
from result import Ok
from result import Result

from hawthornmast import settings
from hawthornmast.catalogue import parse_service
from hawthornmast.catalogue import Problem
from hawthornmast.catalogue import Service
from hawthornmast.cli import output
from hawthornmast.settings.documents import read_text
from hawthornmast.settings.documents import TABLES


class DaemonCommand(Command):
    """Runs one daemon until SIGTERM or SIGINT."""

    name = "daemon"
    description = "Run one daemon of the fleet in the foreground."
    arguments = [
        argument("settings", "Settings file in TOML, one for each instance.")
    ]
    help = """\
The settings name this instance, its zone, its ports, the platform and the
secrets shared by all daemons. Start from <info>examples/settings.toml</info>;
<info>docs/reference.md</info> documents every key. Settings are read once, at
the start.

SIGTERM or SIGINT begins a graceful shutdown: the daemon is no longer handed
out to clients, finishes its requests in flight and exits with status 0.

Invalid settings end the command with status 1 before any port is opened.
"""

    def handle(self) -> int:
        """Load the settings and run the daemon."""
        loaded = settings.load_settings(self.argument("settings"))
        if isinstance(loaded, Err):
            output.write_problems(self, loaded.err_value)
            return 1
        # Imported here to keep the startup of the other subcommands short.
        module = importlib.import_module("hawthornmast.daemon")
        return module.run_daemon(loaded.ok_value) or 0


class CheckCommand(Command):
    """Validates files by the rules that a daemon applies."""

    name = "check"
    description = "Check settings and catalogue files before they are used."
    arguments = [
        argument(
            "files",
            "Settings or catalogue files in TOML, distinguished by content.",
            multiple=True,
        )
    ]
    help = """\
A file with more tables of the settings, such as [instance] and [platform],
than keys of the catalogue, such as name and [[entry]], is checked as settings,
any other as the catalogue document of one service. The rules are the ones that
a daemon applies, so a document that passes here is not rejected when it is
published.

Each problem is one line on standard error: the file, the key, the value
received, what is allowed, and the nearest valid name. The exit status is 1
when any file has a problem, otherwise 0.

  <info>hawthornmast check examples/settings.toml examples/*/*.toml</info>
"""

    def handle(self) -> int:
        """Check each file and report all problems."""
        status = 0
        paths_by_service: dict[str, str] = {}
        for path in self.argument("files"):
            checked = check_file(path)
            if isinstance(checked, Ok):
                checked = _check_unique(
                    checked.ok_value, path, paths_by_service
                )
            if isinstance(checked, Ok):
                output.write_text(self, f"{path}: {_summarize(checked)}")
            else:
                status = 1
                output.write_problems(self, checked.err_value)
        return status


def check_file(
    path: str,
) -> Result[settings.Settings | Service, list[Problem]]:
    """Read a file and parse it as settings or as a catalogue document."""
    text = read_text(path)
    if isinstance(text, Err):
        return text
    return check_text(text.ok_value, source=path)


def check_text(
    text: str, *, source: str
) -> Result[settings.Settings | Service, list[Problem]]:
    """Parse text as settings or as a catalogue document."""
    try:
        keys = set(tomllib.loads(text))
    except (ValueError, RecursionError):
        # Both parsers report syntax errors in the same way.
        keys = set()
    catalogue_keys = {"entry", *attrs.fields_dict(Service)}
    if len(keys & set(TABLES)) > len(keys & catalogue_keys):
        return settings.parse_settings(text, source=source)
    return parse_service(text, source=source)


def _check_unique(
    parsed: settings.Settings | Service,
    path: str,
    paths_by_service: dict[str, str],
) -> Result[settings.Settings | Service, list[Problem]]:
    """Reject a service that an earlier file of the same run defines."""
    if isinstance(parsed, Service):
        earlier_path = paths_by_service.setdefault(parsed.name, path)
        if earlier_path != path:
            problem = Problem(
                source=path,
                key="name",
                value=repr(parsed.name),
                allowed=f"a name that {earlier_path} does not have",
            )
            return Err([problem])
    return Ok(parsed)


def _summarize(checked: Ok[settings.Settings | Service]) -> str:
    value = checked.ok_value
    if isinstance(value, Service):
        return f"service {value.name}, {len(value.entries)} entries, valid"
    return f"settings of instance {value.instance.id}, valid"
