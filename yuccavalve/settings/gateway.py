"""Data classes of a gateway daemon's settings."""

import attrs

__all__ = (
    'BoundSettings',
    'GatewayDaemonSettings',
    'GatewaySettings',
    'ListenSettings',
    'StoreSettings',
)


@attrs.frozen
class GatewayDaemonSettings:
    """Which daemon this is and where it stands.

    Attributes
    ----------
    processor_share, processor_speed
        Part of a core that the daemon has, and how many times as fast as a
        usual one that core is. The fastest of a zone serve as its hubs.
    """

    name: str
    region: str
    availability_zone: str
    processor_share: float = 1
    processor_speed: float = 1


@attrs.frozen
class ListenSettings:
    """Where the daemon listens; empty where it does not.

    Attributes
    ----------
    caller_address
        Callers' requests.
    ready_address
        The check whether the daemon takes requests.
    directory_address
        Callers' question which daemons to use.
    peer_address
        Other daemons.
    metrics_address
        Counters and histograms.
    """

    caller_address: str
    peer_address: str
    ready_address: str = ''
    directory_address: str = ''
    metrics_address: str = ''


@attrs.frozen
class StoreSettings:
    """The platform's table service."""

    address: str
    timeout_ms: int = 1000


@attrs.frozen
class BoundSettings:
    """Bounds that the deployment states.

    Attributes
    ----------
    drain_ms
        How long an engine serves after it said that it leaves.
    grace_s
        Time between the order to stop and the end of the process.
    entry_lifetime_s
        How long callers may keep an answer of the directory.
    retry_ratio, retry_extra, retry_window_s
        The retry budget of all daemons.
    """

    drain_ms: int = 2000
    grace_s: float = 8
    entry_lifetime_s: float = 2
    retry_ratio: float = 0.2
    retry_extra: float = 100
    retry_window_s: float = 10


@attrs.frozen
class GatewaySettings:
    """A whole settings file of a gateway daemon."""

    daemon: GatewayDaemonSettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
