"""Daemon settings, read from TOML and validated before use."""

from yuccavalve.settings.gateway import (
    AdmissionSettings,
    BoundSettings,
    CapacitySettings,
    GatewayDaemonSettings,
    GatewaySettings,
    ListenSettings,
    MemorySettings,
    StoreSettings,
)
from yuccavalve.settings.loader import load_gateway_settings, load_settings
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
    'AdmissionSettings',
    'BoundSettings',
    'CapacitySettings',
    'DaemonSettings',
    'GatewayDaemonSettings',
    'GatewaySettings',
    'LimitSettings',
    'ListenSettings',
    'MemorySettings',
    'PlatformSettings',
    'Settings',
    'StopSettings',
    'StoreSettings',
    'load_gateway_settings',
    'load_settings',
)
