"""Rules for the values of operator documents.

A rule is attached to an attribute of an attrs class, so that the parser, the
reference page and the class cannot disagree.
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
from hawthornmast.catalogue.problems import show_value
from hawthornmast.common import Rank


@attrs.frozen(kw_only=True)
class Fault:
    """Why a rule refuses a value."""

    value: str
    allowed: str
    nearest: str = ""


class Rule(Protocol):
    """Checks and converts one value."""

    @property
    def unit(self) -> str:
        """Unit of the value, or empty."""

    @property
    def allowed(self) -> str:
        """What is allowed, for messages and the reference page."""

    def check(self, value: Any) -> Result[Any, Fault]:
        """Return the converted value or why it is refused."""


@attrs.frozen(kw_only=True)
class Whole:
    """A whole number in a closed range."""

    low: int
    high: int
    unit: str = ""

    @property
    def allowed(self) -> str:
        """The range."""
        return f"whole number from {self.low} to {self.high}"

    def check(self, value: Any) -> Result[int, Fault]:
        """Refuse other types; a boolean is not a number in TOML."""
        if type(value) is int and self.low <= value <= self.high:
            return Ok(value)
        return Err(Fault(value=show_value(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Share:
    """A number from 0 to 1."""

    above_zero: bool = False
    unit: str = "share"

    @property
    def allowed(self) -> str:
        """The range."""
        if self.above_zero:
            return "number above 0 and at most 1"
        return "number from 0 to 1"

    def check(self, value: Any) -> Result[float, Fault]:
        """Refuse other types, infinities and NaN."""
        if (
            type(value) in (int, float)
            and 0 <= value <= 1
            and math.isfinite(value)
            and not (self.above_zero and value == 0)
        ):
            return Ok(float(value))
        return Err(Fault(value=show_value(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Flag:
    """True or false."""

    unit: str = ""

    @property
    def allowed(self) -> str:
        """Both values."""
        return "true or false"

    def check(self, value: Any) -> Result[bool, Fault]:
        """Refuse anything but a boolean."""
        if isinstance(value, bool):
            return Ok(value)
        return Err(Fault(value=show_value(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Text:
    """A text that matches a pattern as a whole."""

    pattern: str
    allowed: str
    max_length: int = 63
    unit: str = ""

    def check(self, value: Any) -> Result[str, Fault]:
        """Refuse other types, long texts and texts that do not match."""
        if (
            isinstance(value, str)
            and len(value) <= self.max_length
            and re.fullmatch(self.pattern, value)
        ):
            return Ok(value)
        return Err(Fault(value=show_value(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Secret:
    """A shared secret, which no message shows."""

    min_length: int = 16
    unit: str = ""

    @property
    def allowed(self) -> str:
        """The least length."""
        return f"text of at least {self.min_length} characters"

    def check(self, value: Any) -> Result[str, Fault]:
        """Refuse short secrets without repeating them."""
        if isinstance(value, str) and len(value) >= self.min_length:
            return Ok(value)
        shown = f"a {type(value).__name__}"
        if isinstance(value, str):
            shown = f"a text of {len(value)} characters"
        return Err(Fault(value=shown, allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Choice:
    """One of several names."""

    names: tuple[str, ...]
    unit: str = ""

    @property
    def allowed(self) -> str:
        """The names."""
        return ", ".join(self.names)

    def check(self, value: Any) -> Result[Any, Fault]:
        """Refuse other names and name the nearest."""
        if isinstance(value, str) and value in self.names:
            return Ok(value)
        nearest = find_nearest(value, list(self.names))
        return Err(
            Fault(
                value=show_value(value), allowed=self.allowed, nearest=nearest
            )
        )


class RankName(Choice):
    """The name of a rank."""

    def check(self, value: Any) -> Result[Rank, Fault]:
        """Return the rank of a name."""
        return super().check(value).map(lambda name: Rank[name.upper()])


@attrs.frozen(kw_only=True)
class Items:
    """A list without duplicates, each item under the same rule."""

    item: Rule
    min_items: int = 0
    max_items: int = 16
    unit: str = ""

    @property
    def allowed(self) -> str:
        """The number of items and the rule of each."""
        return (
            f"list of {self.min_items} to {self.max_items} distinct items,"
            f" each: {self.item.allowed}"
        )

    def check(self, value: Any) -> Result[tuple[Any, ...], Fault]:
        """Refuse other types, wrong numbers of items and duplicates."""
        if not isinstance(value, list):
            return Err(
                Fault(value=f"a {type(value).__name__}", allowed=self.allowed)
            )
        if not self.min_items <= len(value) <= self.max_items:
            shown = f"{len(value)} items"
            return Err(Fault(value=shown, allowed=self.allowed))
        items: list[Any] = []
        for number, item in enumerate(value, 1):
            checked = self.item.check(item)
            if isinstance(checked, Err):
                fault = checked.err_value
                shown = f"{fault.value} as item {number}"
                return Err(attrs.evolve(fault, value=shown))
            if checked.ok_value in items:
                shown = f"the same text as items {number} and earlier"
                return Err(Fault(value=shown, allowed=self.allowed))
            items.append(checked.ok_value)
        return Ok(tuple(items))


# Headers that frame or route a message cannot certify anything about it.
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
    """A header as ``Name: value``."""

    unit: str = ""

    @property
    def allowed(self) -> str:
        """The form."""
        return (
            '"Name: value" in ASCII, at most 200 characters, no header of'
            " the framing and none that begins with Hawthornmast-"
        )

    def check(self, value: Any) -> Result[tuple[str, str], Fault]:
        """Return the name and the value."""
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
        return Err(Fault(value=show_value(value), allowed=self.allowed))


@attrs.frozen(kw_only=True)
class Address:
    """An IP address."""

    unspecified: bool = False
    unit: str = ""

    @property
    def allowed(self) -> str:
        """The form."""
        if self.unspecified:
            return "IP address"
        return "IP address other than 0.0.0.0 and ::"

    def check(self, value: Any) -> Result[str, Fault]:
        """Refuse names, since a process resolves none."""
        if isinstance(value, str):
            try:
                address = ipaddress.ip_address(value)
            except ValueError:
                pass
            else:
                if self.unspecified or not address.is_unspecified:
                    return Ok(value)
        return Err(Fault(value=show_value(value), allowed=self.allowed))


NAME = Text(
    pattern=r"[a-z]([a-z0-9-]*[a-z0-9])?",
    allowed="lower-case letters, digits and hyphens, from a letter, at most"
    " 63 characters",
)
PORT = Whole(low=1, high=65535)
