"""Subcommands that read the administration API of a daemon."""

from collections.abc import Callable
import functools
import json
from typing import Any
import urllib.parse

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option
from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast import http
from hawthornmast.catalogue import rules
from hawthornmast.catalogue.problems import find_nearest
from hawthornmast.cli import output
from hawthornmast.cli import rendering

DEFAULT_ADMIN = "127.0.0.1:9180"
_ADMIN_OPTION = option(
    "admin",
    None,
    "Administration address of the daemon (admin_host and admin_port of its"
    " settings).",
    flag=False,
    default=DEFAULT_ADMIN,
)
_JSON_OPTION = option("json", None, "Print the raw JSON of the daemon.")

KINDS: dict[str, tuple[str, tuple[str, ...]]] = {
    "request": ("requests", ("ID",)),
    "upstream": ("upstreams", ("SERVICE", "ID")),
    "entry": ("entries", ("SERVICE", "NAME")),
}
"""URL path and argument names of each kind of explanation."""


def parse_admin(text: str) -> Result[tuple[str, int], str]:
    """Parse ``HOST:PORT``; an IPv6 address must be in brackets."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if (
        rules.Address().check(host).is_ok()
        and port.isascii()
        and port.isdigit()
        and len(port) <= 5
        and rules.PORT.check(int(port)).is_ok()
    ):
        return Ok((host, int(port)))
    return Err(
        f"--admin is {text!r}, allowed: IP address and port, such as"
        f" {DEFAULT_ADMIN}"
    )


def _format_json(value: Any) -> str:
    return json.dumps(value, indent=2)


def _print_response(
    command: Command,
    path: str,
    render: Callable[[Any], str] = _format_json,
) -> int:
    """Fetch a path and print the response; return the exit status."""
    parsed = parse_admin(command.option("admin"))
    if isinstance(parsed, Err):
        output.write_error(command, parsed.err_value)
        return 1
    host, port = parsed.ok_value
    fetched = trio.run(functools.partial(http.fetch, host, port, "GET", path))
    if isinstance(fetched, Err):
        error = fetched.err_value
        output.write_error(
            command,
            f"no response from {command.option('admin')} at step"
            f" {error.step}: {error.detail}; is --admin the administration"
            " address of a running daemon?",
        )
        return 1
    response = fetched.ok_value
    try:
        value = response.json()
    except ValueError:
        output.write_error(
            command,
            f"{host}:{port}: status {response.status} without JSON; is --admin"
            " the administration address of a daemon?",
        )
        return 1
    if response.status != 200:
        output.write_error(command, _format_error_response(value))
        return 1
    output.write_text(command, render(value))
    return 0


def _format_error_response(value: Any) -> str:
    """Return the text of an error response, with the retention if given."""
    if not isinstance(value, dict) or "error" not in value:
        return _format_json(value)
    parts = [str(value["error"])]
    if "retention" in value:
        parts.append(str(value["retention"]))
    return "; ".join(parts)


class StatusCommand(Command):
    """Shows the status of a daemon."""

    name = "status"
    description = "Show a daemon's services, peers and configuration."
    options = [_ADMIN_OPTION]
    help = """\
Prints JSON. Exit status 1 means that the daemon could not be asked.

  <info>hawthornmast status --admin 127.0.0.1:9180</info>
"""

    def handle(self) -> int:
        """Fetch and print the status."""
        return _print_response(self, "/v1/status")


class ExplainCommand(Command):
    """Shows the reasons for the actions of a daemon."""

    name = "explain"
    description = (
        "Explain what a daemon did with a request, upstream or entry."
    )
    arguments = [
        argument("kind", "request, upstream or entry."),
        argument("terms", "What to explain, see below.", multiple=True),
    ]
    options = [_ADMIN_OPTION, _JSON_OPTION]
    help = """\
  <info>explain request ID</info>
    Outcome, reason, upstreams tried and times of one request. The ID is in
    the response header Hawthornmast-Request-Id.
  <info>explain upstream SERVICE ID</info>
    Whether the upstream is in use, and the evidence for it.
  <info>explain entry SERVICE NAME</info>
    The limits of a catalogue entry and what was refused under them.

Each daemon explains only what it did itself, from the latest records in its
memory. The text names owners, limits and revision as in the catalogue, and
--json prints what the daemon sent. Exit status 1 means that there is no such
record or that the daemon could not be asked.
"""

    def handle(self) -> int:
        """Fetch and print one explanation."""
        kind = self.argument("kind")
        terms = self.argument("terms")
        if kind not in KINDS:
            nearest = find_nearest(kind, list(KINDS))
            hint = f" (nearest: {nearest})" if nearest else ""
            output.write_error(
                self,
                f"kind is {kind!r}, allowed: {', '.join(KINDS)}{hint}",
            )
            return 1
        path, names = KINDS[kind]
        if len(terms) != len(names):
            output.write_error(
                self,
                f"explain {kind} received {' '.join(terms)!r}, allowed:"
                f" {' '.join(names)}",
            )
            return 1
        quoted_terms = [urllib.parse.quote(term, safe="") for term in terms]
        render: Callable[[Any], str] = _format_json
        if not self.option("json"):
            render = functools.partial(rendering.render_explanation, kind)
        return _print_response(
            self, f"/v1/explain/{path}/{'/'.join(quoted_terms)}", render
        )
