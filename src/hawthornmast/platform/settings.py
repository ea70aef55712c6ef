"""Settings file in the format of the platform."""

from collections.abc import Mapping
import pathlib
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result

from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.gateway import Bounds
from hawthornmast.gateway import GatewayOptions
from hawthornmast.platform.values import parse_address
from hawthornmast.platform.values import parse_duration
from hawthornmast.platform.values import parse_share

RESERVED_FILE_DESCRIPTORS = 200
"""File descriptors that the platform reserves for files."""

CLIENT_DESCRIPTOR_SHARE = 0.6
"""Share of the remaining file descriptors for client connections; the rest is
for upstream connections."""

ADDRESS_TTL_S = 1.0
"""Lifetime of addresses at clients, unless the platform limits it to less.
Clients stop using a failed daemon within this time."""


@attrs.frozen(kw_only=True)
class MemberSettings:
    """Settings of one daemon on the platform.

    Parameters
    ----------
    options
        Options of the daemon.
    store_address
        Host and port of the platform's store.
    ready_address
        Host and port of the readiness endpoint.
    directory_address
        Host and port of the endpoint that resolves addresses; None without
        one.
    """

    options: GatewayOptions
    store_address: tuple[str, int]
    ready_address: tuple[str, int]
    directory_address: tuple[str, int] | None


def load_settings(path: str) -> Result[MemberSettings, StepError]:
    """Read and parse a settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(
            StepError(step="read-settings", detail=str(error), peer=path)
        )
    return parse_settings(text, source=path)


def parse_settings(
    text: str, *, source: str
) -> Result[MemberSettings, StepError]:
    """Parse lines of the form ``a.b=value``; unknown keys are ignored."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        key, equals, value = line.strip().partition("=")
        if equals and not key.startswith("#"):
            fields[key] = value
    try:
        return Ok(_build_settings(fields))
    except (KeyError, ValueError) as error:
        detail = (
            f"{error.args[0]} is missing"
            if isinstance(error, KeyError)
            else str(error)
        )
        return Err(
            StepError(step="parse-settings", detail=detail, peer=source)
        )


def _build_settings(fields: Mapping[str, str]) -> MemberSettings:
    client_host, client_port = parse_address(fields["Listen.Front"])
    directory = fields.get("Listen.Directory")
    seeds = [item for item in fields.get("Seeds", "").split(",") if item]
    peer_port = int(fields["InternalPorts"].partition(",")[0])
    file_descriptors = int(fields["Limits.MaxFds"]) - RESERVED_FILE_DESCRIPTORS
    return MemberSettings(
        options=GatewayOptions(
            instance=Instance(
                instance_id=fields["Node"],
                zone=fields["Zone"],
                host=client_host,
                port=client_port,
                peer_port=peer_port,
                capacity=_parse_capacity(fields),
            ),
            # The port of a seed is not used: daemons connect to each other
            # on the same port everywhere.
            seeds=tuple(parse_address(item)[0] for item in seeds),
            # At least 100 client connections, however low the limit of file
            # descriptors is.
            connections=max(
                100, int(file_descriptors * CLIENT_DESCRIPTOR_SHARE)
            ),
            bounds=_build_bounds(fields),
            zones=max(1, sum(key.startswith("Zones.") for key in fields)),
        ),
        store_address=parse_address(fields["Platform.Address"]),
        ready_address=parse_address(fields["Listen.Ready"]),
        directory_address=parse_address(directory) if directory else None,
    )


def _parse_capacity(fields: Mapping[str, str]) -> float:
    """Return the available CPU time in cores; 1 if it isn't set."""
    share = float(fields.get("Limits.CpuShare") or 1.0)
    return share * float(fields.get("Limits.Cores") or 1.0)


def _build_bounds(fields: Mapping[str, str]) -> Bounds:
    values: dict[str, Any] = {}

    def set_bound(field: str, key: str, parse: Any) -> None:
        text = fields.get(f"Bounds.{key}")
        if text:
            try:
                values[field] = parse(text)
            except ValueError as error:
                raise ValueError(f"Bounds.{key}: {error}") from error

    set_bound("retry_ratio", "RetryBudgetRatio", float)
    set_bound("retry_slack", "BudgetSlack", float)
    set_bound("retry_window_s", "BudgetWindow", parse_duration)
    set_bound("grace_s", "Grace", parse_duration)
    set_bound("floor_share", "FloorShare", parse_share)
    set_bound("quota_window_s", "QuotaWindow", parse_duration)
    set_bound("quota_overshoot", "QuotaOvershoot", float)
    set_bound("quota_slack", "QuotaSlack", float)
    max_ttl_s = parse_duration(fields.get("Bounds.ttl_max") or "5s")
    return Bounds(address_ttl_s=min(ADDRESS_TTL_S, max_ttl_s), **values)
