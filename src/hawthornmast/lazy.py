"""Public names of a package that are imported when they are first used.

A process that uses a few modules of a package then doesn't spend its start on
the others.
"""

from collections.abc import Callable
from collections.abc import Mapping
import importlib
import sys


def make_getattr(
    package: str, modules: Mapping[str, str]
) -> Callable[[str], object]:
    """Return the ``__getattr__`` of a package.

    Parameters
    ----------
    package
        Name of the package.
    modules
        Module of the package that defines each public name.
    """

    def get(name: str) -> object:
        module = modules.get(name)
        if module is None:
            raise AttributeError(
                f"module {package!r} has no attribute {name!r}"
            )
        value = getattr(importlib.import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return get
