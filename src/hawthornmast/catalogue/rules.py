"""Validation rules for the values of catalogue documents.

Each rule is attached to an attribute of an attrs class. The parser and the
reference of the settings and catalogue keys (``docs/reference.md``) both use
it, so they stay consistent with the class.
"""

import ipaddress
import math
import re
from typing import Any
from typing import Protocol

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue.problems import find_nearest
from hawthornmast.catalogue.problems import short_repr
from hawthornmast.common import Rank


@attrs.frozen(kw_only=True)
class Violation:
    """Reason why a rule rejects a value."""

    value: str
    allowed: str
    nearest: str = ""


class Rule(Protocol):
    """Validates and converts one value."""

    @property
    def unit(self) -> str:
        """Unit of the value, or an empty string."""

    @property
    def allowed(self) -> str:
        """Allowed values, for error messages and the reference page."""

    def check(self, value: Any) -> Result[Any, Violation]:
        """Return the converted value or the reason for its rejection."""


@attrs.frozen(kw_only=True)
class Integer:
    """An integer in a closed range."""

    low: int
    high: int
    unit: str = ""

    @property
    def allowed(self) -> str:
        """Allowed range, for error messages."""
        return f"whole number from {self.low} to {self.high}"

    def check(self, value: Any) -> Result[int, Violation]:
        """Reject other types, including booleans, a separate TOML type."""
        if type(value) is int and self.low <= value <= self.high:
            return Ok(value)
        return Err(Violation(value=short_repr(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Fraction:
    """A number from 0 to 1."""

    exclude_zero: bool = False
    unit: str = "share"

    @property
    def allowed(self) -> str:
        """Allowed range, for error messages."""
        if self.exclude_zero:
            return "number above 0 and at most 1"
        return "number from 0 to 1"

    def check(self, value: Any) -> Result[float, Violation]:
        """Reject other types, infinities and NaN."""
        if (
            type(value) in (int, float)
            and 0 <= value <= 1
            and math.isfinite(value)
            and not (self.exclude_zero and value == 0)
        ):
            return Ok(float(value))
        return Err(Violation(value=short_repr(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Boolean:
    """A boolean."""

    unit: str = ""

    @property
    def allowed(self) -> str:
        """Allowed values, for error messages."""
        return "true or false"

    def check(self, value: Any) -> Result[bool, Violation]:
        """Reject anything but a boolean."""
        if isinstance(value, bool):
            return Ok(value)
        return Err(Violation(value=short_repr(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class String:
    """A string that fully matches a pattern."""

    pattern: str
    allowed: str
    max_length: int = 63
    unit: str = ""

    def check(self, value: Any) -> Result[str, Violation]:
        """Reject other types, long strings and strings without a match."""
        if (
            isinstance(value, str)
            and len(value) <= self.max_length
            and re.fullmatch(self.pattern, value)
        ):
            return Ok(value)
        return Err(Violation(value=short_repr(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Secret:
    """A shared secret, which is left out of error messages."""

    min_length: int = 16
    unit: str = ""

    @property
    def allowed(self) -> str:
        """Minimum length, for error messages."""
        return f"text of at least {self.min_length} characters"

    def check(self, value: Any) -> Result[str, Violation]:
        """Reject short secrets without including them in the message."""
        if isinstance(value, str) and len(value) >= self.min_length:
            return Ok(value)
        shown = f"a {type(value).__name__}"
        if isinstance(value, str):
            shown = f"a text of {len(value)} characters"
        return Err(Violation(value=shown, allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Choice:
    """One of a fixed set of names."""

    names: tuple[str, ...]
    unit: str = ""

    @property
    def allowed(self) -> str:
        """Allowed names, for error messages."""
        return ", ".join(self.names)

    def check(self, value: Any) -> Result[Any, Violation]:
        """Reject other names and suggest the most similar one."""
        if isinstance(value, str) and value in self.names:
            return Ok(value)
        nearest = find_nearest(value, list(self.names))
        return Err(
            Violation(
                value=short_repr(value), allowed=self.allowed, nearest=nearest
            )
        )


class RankName(Choice):
    """The name of a rank."""

    def check(self, value: Any) -> Result[Rank, Violation]:
        """Return the rank with a name."""
        return super().check(value).map(lambda name: Rank[name.upper()])


@attrs.frozen(kw_only=True)
class UniqueList:
    """A list without duplicates whose items all follow the same rule."""

    item: Rule
    min_items: int = 0
    max_items: int = 16
    unit: str = ""

    @property
    def allowed(self) -> str:
        """Number of items and the rule of each, for error messages."""
        return (
            f"list of {self.min_items} to {self.max_items} distinct items,"
            f" each: {self.item.allowed}"
        )

    def check(self, value: Any) -> Result[tuple[Any, ...], Violation]:
        """Reject other types, wrong numbers of items and duplicates."""
        if not isinstance(value, list):
            return Err(
                Violation(
                    value=f"a {type(value).__name__}", allowed=self.allowed
                )
            )
        if not self.min_items <= len(value) <= self.max_items:
            shown = f"{len(value)} items"
            return Err(Violation(value=shown, allowed=self.allowed))
        items: list[Any] = []
        for number, item in enumerate(value, 1):
            checked = self.item.check(item)
            if isinstance(checked, Err):
                violation = checked.err_value
                shown = f"{violation.value} as item {number}"
                return Err(attrs.evolve(violation, value=shown))
            if checked.ok_value in items:
                shown = f"item {number} equal to an earlier item"
                return Err(Violation(value=shown, allowed=self.allowed))
            items.append(checked.ok_value)
        return Ok(tuple(items))


# A service names a response header by which its upstreams certify that a
# request was not run, so that it can be retried. Framing and routing headers
# occur on ordinary responses, so they cannot be that header.
_RESERVED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen(kw_only=True)
class Header:
    """A header field written as ``Name: value``."""

    unit: str = ""

    @property
    def allowed(self) -> str:
        """Allowed format, for error messages."""
        return (
            '"Name: value" in ASCII, at most 200 characters, no header of'
            " the framing and none that begins with Hawthornmast-"
        )

    def check(self, value: Any) -> Result[tuple[str, str], Violation]:
        """Return the header name and value."""
        match = None
        if isinstance(value, str) and len(value) <= 200:
            match = re.fullmatch(
                r"([!#$%&'*+.^_`|~0-9A-Za-z-]+): ?([!-~]|[!-~][ -~]*[!-~])",
                value,
            )
        if match:
            name = match[1].lower()
            if name not in _RESERVED_HEADERS and not name.startswith(
                "hawthornmast-"
            ):
                return Ok((match[1], match[2]))
        return Err(Violation(value=short_repr(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Address:
    """An IP address."""

    allow_unspecified: bool = False
    unit: str = ""

    @property
    def allowed(self) -> str:
        """Allowed format, for error messages."""
        if self.allow_unspecified:
            return "IP address"
        return "IP address other than 0.0.0.0 and ::"

    def check(self, value: Any) -> Result[str, Violation]:
        """Reject host names, because daemons do no name resolution."""
        if isinstance(value, str):
            try:
                address = ipaddress.ip_address(value)
            except ValueError:
                pass
            else:
                if self.allow_unspecified or not address.is_unspecified:
                    return Ok(value)
        return Err(Violation(value=short_repr(value), allowed=self.allowed))


NAME = String(
    pattern=r"[a-z]([a-z0-9-]*[a-z0-9])?",
    allowed="lower-case letters, digits and hyphens, from a letter, at most"
    " 63 characters",
)
PORT = Integer(low=1, high=65535)
