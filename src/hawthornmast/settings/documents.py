"""Loading and validation of settings files."""

import pathlib
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.catalogue.problems import Problem
from hawthornmast.catalogue.tables import load_toml
from hawthornmast.catalogue.tables import TableReader
from hawthornmast.settings import values

TABLES: dict[str, type] = {
    "instance": values.InstanceSettings,
    "platform": values.PlatformSettings,
    "peers": values.PeerSettings,
    "limits": values.LimitSettings,
    "log": values.LogSettings,
}
"""Class of each table of a settings file."""


def parse_settings(
    text: str, *, source: str
) -> Result[values.Settings, list[Problem]]:
    """Parse and validate settings; any problem rejects all of them.

    Parameters
    ----------
    text
        The settings in TOML.
    source
        File name that is shown in problems.
    """
    loaded = load_toml(text, source=source)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.ok_value
    reader = TableReader(source=source)
    reader.check_keys(document, list(TABLES))
    tables: dict[str, Any] = {}
    for name, cls in TABLES.items():
        problems_before = len(reader.problems)
        fields = reader.read(cls, document.get(name, {}), prefix=f"{name}.")
        if len(reader.problems) == problems_before:
            tables[name] = cls(**fields)
    if "instance" in tables:
        _check_ports(reader, tables["instance"])
    if reader.problems:
        return Err(reader.problems)
    return Ok(values.Settings(**tables))


def _check_ports(
    reader: TableReader, instance: values.InstanceSettings
) -> None:
    """Report a port that is assigned to two listeners of the process."""
    keys_by_port = {instance.port: "instance.port"}
    ports = attrs.asdict(instance)
    for name in ("peer_port", "admin_port"):
        port = ports[name]
        if port in keys_by_port:
            reader.report(
                f"instance.{name}",
                str(port),
                f"a port other than {keys_by_port[port]}",
            )
        keys_by_port.setdefault(port, f"instance.{name}")


def load_settings(
    path: str | pathlib.Path,
) -> Result[values.Settings, list[Problem]]:
    """Read and parse a settings file."""
    return read_text(path).and_then(
        lambda text: parse_settings(text, source=str(path))
    )


def read_text(path: str | pathlib.Path) -> Result[str, list[Problem]]:
    """Return the text of a file, or the problem that prevents reading it."""
    try:
        return Ok(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        detail = getattr(error, "strerror", None) or "not UTF-8"
        return Err(
            [
                Problem(
                    source=str(path),
                    key="document",
                    value=f"an error: {detail}",
                    allowed="a readable UTF-8 file",
                )
            ]
        )
