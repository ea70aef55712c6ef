"""Strict reading of TOML tables into attrs classes."""

from collections.abc import Mapping
import tomllib
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue.problems import find_nearest
from hawthornmast.catalogue.problems import Problem
from hawthornmast.catalogue.problems import show_value
from hawthornmast.catalogue.rules import Rule

RULE = "rule"
"""Metadata key under which an attribute holds its rule."""

MAX_PROBLEMS = 200
"""Problems listed for one document.

Finding the nearest names of 90,000 unknown keys, which a value of 1 MB can
hold, stopped the event loop for 2 s in a trial run.
"""


def describe(rule: Rule) -> dict[str, Any]:
    """Return the metadata of an attribute that is a key of a document."""
    return {RULE: rule}


def find_rules(cls: type) -> dict[str, attrs.Attribute]:
    """Return the attributes of a class that are keys of its document."""
    return {
        attribute.name: attribute
        for attribute in attrs.fields(cls)
        if RULE in attribute.metadata
    }


def load_toml(
    text: str, *, source: str
) -> Result[dict[str, Any], list[Problem]]:
    """Parse TOML; a syntax error is a problem of the whole document."""
    try:
        return Ok(tomllib.loads(text))
    except (ValueError, RecursionError) as error:
        # RecursionError: arrays nested deeper than the interpreter's stack.
        detail = str(error) if isinstance(error, ValueError) else "nesting"
        return Err(
            [
                Problem(
                    source=source,
                    key="document",
                    value=f"a syntax error: {detail[:200]}",
                    allowed="TOML 1.0",
                )
            ]
        )


@attrs.define(kw_only=True)
class TableReader:
    """Reads tables of one document and collects all of its problems.

    Parameters
    ----------
    source
        File or platform key of the document.
    problems
        Problems found so far.
    """

    source: str
    problems: list[Problem] = attrs.field(factory=list)

    @property
    def is_full(self) -> bool:
        """Whether no further problem is listed."""
        return len(self.problems) >= MAX_PROBLEMS

    def report(
        self, key: str, value: str, allowed: str, nearest: str = ""
    ) -> None:
        """Add a problem while the list is not full."""
        if self.is_full:
            return
        self.problems.append(
            Problem(
                source=self.source,
                key=key,
                value=value,
                allowed=allowed,
                nearest=nearest,
            )
        )

    def check_keys(
        self, table: Mapping[str, Any], names: list[str], *, prefix: str = ""
    ) -> None:
        """Report keys that are not among ``names``."""
        for key in table:
            if self.is_full:
                return
            if key not in names:
                self.report(
                    f"{prefix}{key[:63]}",
                    "an unknown key",
                    ", ".join(names),
                    find_nearest(key, names),
                )

    def read(
        self,
        cls: type,
        table: Any,
        *,
        prefix: str = "",
        also: tuple[str, ...] = (),
    ) -> dict[str, Any]:
        """Return the valid values of a table by attribute name.

        Parameters
        ----------
        cls
            attrs class whose attributes carry rules.
        table
            Parsed value; anything but a table is a problem.
        prefix
            Put before the keys in problems.
        also
            Further keys, which the caller reads itself.
        """
        if not isinstance(table, dict):
            self.report(prefix.rstrip("."), show_value(table), "a table")
            return {}
        rules = find_rules(cls)
        self.check_keys(table, [*rules, *also], prefix=prefix)
        values: dict[str, Any] = {}
        for name, attribute in rules.items():
            rule: Rule = attribute.metadata[RULE]
            if name not in table:
                if attribute.default is attrs.NOTHING:
                    self.report(f"{prefix}{name}", "nothing", rule.allowed)
                continue
            checked = rule.check(table[name])
            if isinstance(checked, Ok):
                values[name] = checked.ok_value
            else:
                fault = checked.err_value
                self.report(
                    f"{prefix}{name}",
                    fault.value,
                    fault.allowed,
                    fault.nearest,
                )
        return values
