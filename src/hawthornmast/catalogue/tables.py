"""Strict validation of TOML tables against attrs classes."""

from collections.abc import Mapping
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue.problems import find_nearest
from hawthornmast.catalogue.problems import Problem
from hawthornmast.catalogue.problems import short_repr
from hawthornmast.catalogue.rules import Rule

RULE_METADATA_KEY = "rule"
"""Key of the validation rule in the metadata of an attribute."""

MAX_PROBLEMS = 200
"""Maximum number of problems reported for one document.

For the 90,000 unknown keys that fit into a 1 MB document, the search for
similar names blocks the event loop for 2 s.
"""


def rule_metadata(rule: Rule) -> dict[str, Any]:
    """Return attribute metadata that declares a document key with a rule."""
    return {RULE_METADATA_KEY: rule}


def document_fields(cls: type) -> dict[str, attrs.Attribute]:
    """Return the attributes of a class that are document keys, by name."""
    return {
        attribute.name: attribute
        for attribute in attrs.fields(cls)
        if RULE_METADATA_KEY in attribute.metadata
    }


def load_toml(
    text: str, *, source: str
) -> Result[dict[str, Any], list[Problem]]:
    """Parse TOML; a syntax error is reported as a problem."""
    # Imported only here, since daemons of a platform read no documents.
    import tomllib

    try:
        return Ok(tomllib.loads(text))
    except (ValueError, RecursionError) as error:
        # tomllib raises RecursionError for deeply nested arrays.
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
    """Validates the tables of one document and collects its problems.

    Parameters
    ----------
    source
        File name or platform key of the document.
    problems
        Problems found so far.
    """

    source: str
    problems: list[Problem] = attrs.field(factory=list)

    @property
    def is_full(self) -> bool:
        """Whether ``MAX_PROBLEMS`` is reached."""
        return len(self.problems) >= MAX_PROBLEMS

    def report(
        self, key: str, value: str, allowed: str, nearest: str = ""
    ) -> None:
        """Add a problem, unless the list is full."""
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
        extra_keys: tuple[str, ...] = (),
    ) -> dict[str, Any]:
        """Return the valid values of a table, by attribute name.

        Parameters
        ----------
        cls
            attrs class whose attributes have rules.
        table
            Parsed value; anything but a table is a problem.
        prefix
            Prefix of the keys in problems.
        extra_keys
            Additional keys that the caller reads itself.
        """
        if not isinstance(table, dict):
            self.report(prefix.rstrip("."), short_repr(table), "a table")
            return {}
        rules = document_fields(cls)
        self.check_keys(table, [*rules, *extra_keys], prefix=prefix)
        values: dict[str, Any] = {}
        for name, attribute in rules.items():
            rule: Rule = attribute.metadata[RULE_METADATA_KEY]
            if name not in table:
                if attribute.default is attrs.NOTHING:
                    self.report(f"{prefix}{name}", "nothing", rule.allowed)
                continue
            checked = rule.check(table[name])
            if isinstance(checked, Ok):
                values[name] = checked.ok_value
            else:
                violation = checked.err_value
                self.report(
                    f"{prefix}{name}",
                    violation.value,
                    violation.allowed,
                    violation.nearest,
                )
        return values
