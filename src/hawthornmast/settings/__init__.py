"""TOML settings of one process, with strict validation."""

from hawthornmast.settings.documents import load_settings
from hawthornmast.settings.documents import parse_settings
from hawthornmast.settings.values import InstanceSettings
from hawthornmast.settings.values import LimitSettings
from hawthornmast.settings.values import LogSettings
from hawthornmast.settings.values import PeerSettings
from hawthornmast.settings.values import PlatformSettings
from hawthornmast.settings.values import Settings

__all__ = [
    "InstanceSettings",
    "LimitSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "load_settings",
    "parse_settings",
]
