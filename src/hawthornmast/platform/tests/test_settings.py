"""Tests of the settings file in the format of the platform."""

import pathlib

import pytest

from hawthornmast.gateway import Bounds
from hawthornmast.platform.settings import load_settings
from hawthornmast.platform.settings import parse_settings

TEXT = """\
Node=edge-zone-a-1
Role=member
MachineClass=edge
Ip=10.1.0.18
Zone=zone-a
Region=region-1
Listen.Front=10.1.0.18:8381
Listen.Ready=10.1.0.18:8388
Listen.Control=10.1.0.18:8382
Listen.Directory=10.1.0.18:8383
InternalPorts=7200,7215
Seeds=10.1.0.18:8382,10.2.0.34:8382
Limits.CpuShare=0.5
Limits.Cores=3
Limits.MaxFds=4100
Bounds.Grace=6s
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindow=10s
Bounds.BudgetSlack=62
Bounds.FloorShare=0.75
Bounds.ttl_max=500ms
Platform.Address=10.200.1.7:8384
New.Field=of a later version
"""


def remove_key(key: str) -> str:
    """Return the settings text without a key."""
    lines = TEXT.splitlines()
    return "\n".join(line for line in lines if not line.startswith(key + "="))


class TestParseSettings:
    """Known keys are parsed; unknown keys are ignored."""

    def test_quota_and_zones(self) -> None:
        # Guards against zones that aren't counted, each of which would then
        # hold the whole rate of every team.
        text = TEXT + (
            "Bounds.QuotaWindow=4s\nBounds.QuotaOvershoot=0.1\n"
            "Bounds.QuotaSlack=7\nZones.zone-a=region-1\n"
            "Zones.zone-b=region-1\nZones.zone-c=region-2\n"
        )
        options = parse_settings(text, source="s").unwrap().options
        assert options.zones == 3
        assert options.bounds.quota_window_s == 4.0
        assert options.bounds.quota_overshoot == 0.1
        assert options.bounds.quota_slack == 7.0
        assert parse_settings(TEXT, source="s").unwrap().options.zones == 1

    def test_fields(self) -> None:
        settings = parse_settings(TEXT, source="s").unwrap()
        options = settings.options
        assert options.instance.address == "10.1.0.18:8381"
        assert options.instance.peer_port == 7200
        assert options.instance.capacity == 1.5
        assert options.seeds == ("10.1.0.18", "10.2.0.34")
        assert options.bounds == Bounds(
            retry_ratio=0.2,
            retry_slack=62.0,
            retry_window_s=10.0,
            grace_s=6.0,
            address_ttl_s=0.5,
            floor_share=0.75,
        )
        assert settings.store_address == ("10.200.1.7", 8384)
        assert settings.ready_address == ("10.1.0.18", 8388)
        assert settings.directory_address == ("10.1.0.18", 8383)

    def test_file_descriptors_are_left_for_upstreams(self) -> None:
        options = parse_settings(TEXT, source="s").unwrap().options
        assert 100 <= options.connections <= 4100 - 200

    def test_capacity_defaults_to_one_core(self) -> None:
        text = remove_key("Limits.CpuShare").replace("Limits.Cores=3\n", "")
        options = parse_settings(text, source="s").unwrap().options
        assert options.instance.capacity == 1.0

    def test_optional_fields(self) -> None:
        text = remove_key("Seeds")
        settings = parse_settings(text, source="s").unwrap()
        assert settings.options.seeds == ()

    def test_missing_field_is_named(self) -> None:
        for key in ("Node", "Listen.Front", "Platform.Address"):
            error = parse_settings(remove_key(key), source="file").unwrap_err()
            assert error.detail == f"{key} is missing"
            assert error.peer == "file"

    def test_bad_value_is_named(self) -> None:
        text = TEXT.replace("Grace=6s", "Grace=soon")
        error = parse_settings(text, source="file").unwrap_err()
        assert "'soon'" in error.detail

    @pytest.mark.parametrize("value", ["70", "-0.1", "nan", "most"])
    def test_floor_is_a_share(self, value: str) -> None:
        # Guards against a floor in percent, which no choice could keep.
        text = TEXT.replace("FloorShare=0.75", f"FloorShare={value}")
        error = parse_settings(text, source="file").unwrap_err()
        assert error.detail == (
            f"Bounds.FloorShare: share is '{value}', allowed: 0 to 1"
        )


class TestLoadSettings:
    """An unreadable file gives an error with its path."""

    def test_file(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "settings.conf"
        path.write_text(TEXT)
        assert load_settings(str(path)).is_ok()

    def test_missing_file(self, tmp_path: pathlib.Path) -> None:
        path = str(tmp_path / "none")
        assert load_settings(path).unwrap_err().peer == path
