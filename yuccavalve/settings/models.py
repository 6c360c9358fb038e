"""Data classes of the settings file; field names end in their unit."""

from pathlib import Path

import attrs

from yuccavalve.const import (
    FIRST_BYTE_TIMEOUT_S,
    MAX_BODY_BYTES,
    STREAM_IDLE_TIMEOUT_S,
)

__all__ = (
    'AccessSettings',
    'DaemonSettings',
    'LimitSettings',
    'PlatformSettings',
    'Settings',
    'StopSettings',
)


@attrs.frozen
class DaemonSettings:
    """Name, location and addresses of this daemon.

    Attributes
    ----------
    caller_address, peer_address
        IP address and port to bind; port 0 selects a free port.
    advertised_caller_address, advertised_peer_address
        Addresses where others reach this daemon, if they differ from the
        bound addresses.
    peer_seeds
        Peer addresses to try while no other daemon is known, as when the
        platform's table service is unavailable.
    ready_file
        File that is written with the caller address once the daemon is ready.
    """

    name: str
    region: str
    availability_zone: str
    caller_address: str
    peer_address: str
    peer_seeds: tuple[str, ...] = ()
    ready_file: Path | None = None
    advertised_caller_address: str = ''
    advertised_peer_address: str = ''


@attrs.frozen
class PlatformSettings:
    """Addresses of the platform's services, each an IP address and port."""

    table_address: str
    object_address: str
    host_list_address: str
    timeout_s: float = 2


@attrs.frozen
class AccessSettings:
    """Key files; workspace keys are part of the configuration instead."""

    operator_key_file: Path
    peer_key_file: Path
    platform_key_file: Path


@attrs.frozen
class LimitSettings:
    """Limits on the requests that one daemon accepts."""

    max_body_bytes: int = MAX_BODY_BYTES
    max_queued: int = 512
    max_in_flight: int = 1024
    stream_idle_s: float = STREAM_IDLE_TIMEOUT_S
    first_byte_s: float = FIRST_BYTE_TIMEOUT_S
    merge_delay_ms: int = 60
    caller_stall_s: float = 30


@attrs.frozen
class StopSettings:
    """Times of a planned stop.

    Attributes
    ----------
    entry_lifetime_s
        How long a caller may cache an answer of the entry directory. The
        daemon goes on accepting requests for this time after it has left the
        directory.
    drain_bound_s
        The longest wait for requests in flight to end.
    """

    entry_lifetime_s: float = 5
    drain_bound_s: float = 600


@attrs.frozen
class Settings:
    """All sections of the settings file."""

    daemon: DaemonSettings
    platform: PlatformSettings
    access: AccessSettings
    limits: LimitSettings = LimitSettings()
    stop: StopSettings = StopSettings()
