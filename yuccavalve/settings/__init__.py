"""Settings of a daemon: TOML checked before anything is opened."""

from yuccavalve.settings.loader import load_settings
from yuccavalve.settings.models import (
    AccessSettings,
    DaemonSettings,
    LimitSettings,
    PlatformSettings,
    Settings,
    StopSettings,
)

__all__ = (
    'AccessSettings',
    'DaemonSettings',
    'LimitSettings',
    'PlatformSettings',
    'Settings',
    'StopSettings',
    'load_settings',
)
