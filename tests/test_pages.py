"""Tests that the documentation for operators and clients matches the code."""

import ast
import pathlib
import re

from hawthornmast import administration
from hawthornmast.administration.metrics import REFUSAL_REASONS
from hawthornmast.audit import Action
from hawthornmast.limits import Reason

ROOT = pathlib.Path(__file__).parents[1]
SOURCE = ROOT / "src" / "hawthornmast"
DOCS = ROOT / "docs"

# h11 suggests the status of these kinds at run time, so that the source has no
# constant for it.
PARSER_STATUSES = {"header-too-long": {431}, "protocol": {400, 501}}


def _parse_forwarding_modules():
    for path in sorted((SOURCE / "forwarding").glob("*.py")):
        yield ast.parse(path.read_text())


def _resolve_strings(node, tree):
    """Return the string values that an argument may have.

    A name resolves to all constants assigned to it in the module, and an
    f-string such as ``slow-{step}`` to one string per read step.
    """
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return {node.value} - {""}
    if isinstance(node, ast.IfExp):
        return _resolve_strings(node.body, tree) | _resolve_strings(
            node.orelse, tree
        )
    if isinstance(node, ast.JoinedStr):
        prefix = node.values[0].value
        return {prefix + step for step in _list_step_names(tree) if step}
    if isinstance(node, ast.Name):
        return {
            text
            for assign in ast.walk(tree)
            if isinstance(assign, ast.Assign)
            and getattr(assign.targets[0], "id", "") == node.id
            for text in _resolve_strings(assign.value, tree)
        }
    return set()


def _list_step_names(tree):
    return {
        assign.value.value
        for assign in ast.walk(tree)
        if isinstance(assign, ast.Assign)
        and getattr(assign.targets[0], "attr", "") == "_step"
    }


def _list_calls(name):
    for tree in _parse_forwarding_modules():
        for node in ast.walk(tree):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Name)
                and node.func.id == name
            ):
                yield node, tree


def _read_keywords(call):
    return {item.arg: item.value for item in call.keywords}


def _read_outcome(node):
    return node.attr.lower().replace("_", "-") if node else "not-run"


def list_bad_input():
    """Return (status, kind) for each kind of malformed input."""
    found = set()
    for call, tree in _list_calls("BadInputError"):
        status = getattr(call.args[0], "value", None)
        for kind in _resolve_strings(call.args[1], tree):
            statuses = {status} if status else PARSER_STATUSES[kind]
            found |= {(item, kind) for item in statuses}
    return found


def list_refusals():
    """Return (status, reason, outcome) for each other response of a daemon."""
    found = {(503, reason.value, "not-run") for reason in Reason}
    for call, tree in _list_calls("build_error_response"):
        outcome = _read_outcome(_read_keywords(call).get("outcome"))
        if isinstance(call.args[0], ast.Constant):
            for reason in _resolve_strings(call.args[1], tree):
                found.add((call.args[0].value, reason, outcome))
    for call, tree in _list_calls("build_unavailable_response"):
        for reason in _resolve_strings(call.args[0], tree):
            found.add((503, reason, "not-run"))
    for call, _ in _list_calls("Rejected"):
        values = _read_keywords(call)
        found.add(
            (
                values["status"].value,
                values["reason"].value,
                _read_outcome(values["outcome"]),
            )
        )
    server = (SOURCE / "forwarding" / "server.py").read_text()
    raw_responses = re.findall(
        r"HTTP/1.1 (\d+) .*?Outcome: ([\w-]+).*?Reason: ([\w-]+)", server, re.S
    )
    found |= {
        (int(s), reason, outcome) for s, outcome, reason in raw_responses
    }
    return found


def read_table(page, title):
    """Return the rows of the first table under a heading."""
    text = (DOCS / page).read_text()
    section = text.split(f"# {title}\n")[1].split("\n#")[0]
    rows = [line for line in section.splitlines() if line.startswith("|")]
    return [
        [cell.strip().replace("`", "") for cell in row.strip("|").split("|")]
        for row in rows[2:]
    ]


class TestClientContract:
    def test_responses_of_the_fleet(self):
        # Guards against a reason that the client contract doesn't document.
        rows = read_table("client-contract.md", "Responses of the fleet")
        documented = {(int(row[0]), row[1], row[2]) for row in rows}
        bad = {(status, kind, "not-run") for status, kind in list_bad_input()}
        assert len(bad) > 15
        assert documented == list_refusals() | bad

    def test_metrics_name_each_reason(self):
        # Guards against reasons that the metric counts as "other".
        reasons = {
            reason
            for _, reason, outcome in list_refusals()
            if outcome == "not-run"
        }
        assert reasons == REFUSAL_REASONS

    def test_metrics_name_each_kind_of_bad_input(self):
        counted = {kind for _, kind in list_bad_input()}
        for call, tree in _list_counts():
            counted |= _resolve_strings(call.args[0], tree)
        kinds = {kind.value for kind in administration.BadInput}
        assert kinds == counted | {"other"}


def _list_counts():
    for tree in _parse_forwarding_modules():
        for node in ast.walk(tree):
            if (
                isinstance(node, ast.Call)
                and getattr(node.func, "attr", "") == "count_bad_input"
            ):
                yield node, tree


class TestOperations:
    def test_metrics(self):
        # Guards against a metric that the page doesn't describe.
        expected = {
            name: set(labels) for name, labels in _list_metrics().items()
        }
        rows = read_table("OPERATIONS.md", "Metrics")
        documented = {row[0]: set(row[1].split(", ")) - {"-"} for row in rows}
        assert documented == expected
        assert all(len(row[2]) > 15 for row in rows)

    def test_kinds_of_bad_input(self):
        rows = read_table("OPERATIONS.md", "Kinds of bad input")
        kinds = {kind.value for kind in administration.BadInput}
        assert {row[0] for row in rows} == kinds

    def test_acts(self):
        # Guards against actions that the page doesn't explain, and against
        # documented actions that no code records.
        used = set()
        for path in SOURCE.rglob("*.py"):
            if "tests" not in path.parts and path.name != "trail.py":
                names = re.findall(r"\bAction\.([A-Z_]+)", path.read_text())
                used |= {Action[name].value for name in names}
        rows = read_table("OPERATIONS.md", "The audit trail")
        assert {row[0] for row in rows} == used


def _list_metrics():
    metrics = administration.Metrics()
    return {
        name: collector._labelnames
        for collector, names in (metrics.registry._collector_to_names.items())
        for name in [_choose_name(collector, names)]
    }


def _choose_name(collector, names):
    """Return the name under which a metric's samples are exported."""
    total = f"{collector._name}_total"
    return total if total in names else collector._name
