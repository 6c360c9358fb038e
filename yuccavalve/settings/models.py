"""Data classes of the settings file; field names carry their units."""

from pathlib import Path

import attrs

from yuccavalve.const import FIRST_BYTE_S, MAX_BODY_BYTES, STREAM_IDLE_S

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
    """Where this daemon listens and where it stands.

    Attributes
    ----------
    caller_address, peer_address
        IP number and port; port 0 takes a free one.
    advertised_caller_address, advertised_peer_address
        Where others reach this daemon, when not at the address it binds.
    peer_seeds
        Peer addresses to try when the platform's service is down.
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
    """The platform's services, each an IP number and port."""

    table_address: str
    object_address: str
    host_list_address: str
    timeout_s: float = 2


@attrs.frozen
class AccessSettings:
    """Files that hold keys; workspace keys are in the configuration."""

    operator_key_file: Path
    peer_key_file: Path
    platform_key_file: Path


@attrs.frozen
class LimitSettings:
    """Bounds on what one daemon takes in."""

    max_body_bytes: int = MAX_BODY_BYTES
    max_queued: int = 512
    max_in_flight: int = 1024
    stream_idle_s: float = STREAM_IDLE_S
    first_byte_s: float = FIRST_BYTE_S
    merge_delay_ms: int = 60
    caller_stall_s: float = 30


@attrs.frozen
class StopSettings:
    """The planned stop.

    Attributes
    ----------
    entry_lifetime_s
        How long a caller may keep an answer of the entry directory.
    drain_bound_s
        The longest wait for streams in flight.
    """

    entry_lifetime_s: float = 5
    drain_bound_s: float = 600


@attrs.frozen
class Settings:
    """A whole settings file."""

    daemon: DaemonSettings
    platform: PlatformSettings
    access: AccessSettings
    limits: LimitSettings = LimitSettings()
    stop: StopSettings = StopSettings()
