"""Data classes of a gateway daemon's settings file."""

import attrs

__all__ = (
    'AdmissionSettings',
    'BoundSettings',
    'CapacitySettings',
    'GatewayDaemonSettings',
    'GatewaySettings',
    'ListenSettings',
    'MemorySettings',
    'StoreSettings',
)

_HELD_FRACTION = 0.125
_RECEIVED_FRACTION = 0.125
# Descriptors for files, listening sockets, the store and other daemons, and the
# fraction of the others that callers may take: a request takes one more to an
# engine.
_OWN_DESCRIPTORS = 200
_CALLERS_FRACTION = 0.5
_MIN_CONNECTIONS = 16
_BYTES_PER_MB = 1048576


@attrs.frozen
class GatewayDaemonSettings:
    """Name, location and processor of this daemon.

    Attributes
    ----------
    processor_share
        Share of a core that the daemon may use.
    processor_speed
        Speed of this core relative to a reference core. The daemons with the
        most processor time in an availability zone serve as its hubs.
    """

    name: str
    region: str
    availability_zone: str
    processor_share: float = 1
    processor_speed: float = 1


@attrs.frozen
class ListenSettings:
    """Addresses that the daemon listens on; an empty one is disabled.

    Attributes
    ----------
    caller_address
        Serves callers' requests.
    ready_address
        Serves the readiness check.
    directory_address
        Serves the entry directory, which lists the daemons for callers.
    peer_address
        Serves other daemons.
    metrics_address
        Serves metrics.
    relay_address
        Serves requests of daemons that reach no engine.
    """

    caller_address: str
    peer_address: str
    ready_address: str = ''
    directory_address: str = ''
    metrics_address: str = ''
    relay_address: str = ''


@attrs.frozen
class StoreSettings:
    """Address of the platform's table service and timeout of a call."""

    address: str
    timeout_ms: int = 1000


@attrs.frozen
class BoundSettings:
    """Time bounds and the retry budget set by the deployment.

    Attributes
    ----------
    drain_ms
        How long an engine goes on serving after it announced that it leaves.
    grace_s
        Time from the stop signal to the end of the process.
    stall_ms
        Time after which a replica that has lost a member breaks.
    entry_lifetime_s
        How long callers may cache an answer of the entry directory.
    retry_ratio, retry_extra, retry_window_s
        Retry budget shared by all daemons.
    cold_overage, cold_slack
        Bound on the requests that a cold engine gets in a second from all
        daemons: its rate times the overage, plus the slack. Without an overage
        cold engines are treated as warm ones.
    """

    drain_ms: int = 2000
    stall_ms: int = 6000
    grace_s: float = 8
    entry_lifetime_s: float = 2
    retry_ratio: float = 0.2
    retry_extra: float = 100
    retry_window_s: float = 10
    cold_overage: float = 0
    cold_slack: float = 0


@attrs.frozen
class CapacitySettings:
    """Whether daemons learn what each backend server takes well."""

    learn: bool = False


@attrs.frozen
class AdmissionSettings:
    """Whether requests that no engine takes wait for one."""

    queue: bool = False


@attrs.frozen
class MemorySettings:
    """Memory of the process.

    Attributes
    ----------
    limit_mb
        What the process may use.
    held_mb
        Bound of the answers that are held for callers; 0 for an eighth of the
        limit, since the rest of a daemon needs about half of the smallest one.
    received_mb
        Bound of what callers have sent and is held; 0 for an eighth.
    max_descriptors
        Open files and sockets that the process may have, if the system doesn't
        allow fewer; 0 for what the system allows.
    """

    limit_mb: float = 256
    held_mb: float = 0
    received_mb: float = 0
    max_descriptors: int = 0

    @property
    def held_limit_bytes(self) -> int:
        """Return the bound of the answers that are held."""
        held_mb = self.held_mb or self.limit_mb * _HELD_FRACTION
        return int(held_mb * _BYTES_PER_MB)

    @property
    def received_limit_bytes(self) -> int:
        """Return the bound of what callers have sent and is held."""
        received_mb = self.received_mb or self.limit_mb * _RECEIVED_FRACTION
        return int(received_mb * _BYTES_PER_MB)

    def max_connections(self, allowed_descriptors: int) -> int:
        """Return how many callers' connections may be open.

        Parameters
        ----------
        allowed_descriptors
            Descriptors that the system allows.
        """
        descriptors = allowed_descriptors
        if self.max_descriptors:
            descriptors = min(descriptors, self.max_descriptors)
        left = max(0, descriptors - _OWN_DESCRIPTORS)
        return max(_MIN_CONNECTIONS, int(left * _CALLERS_FRACTION))


@attrs.frozen
class GatewaySettings:
    """All sections of a gateway daemon's settings file."""

    daemon: GatewayDaemonSettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    capacity: CapacitySettings = CapacitySettings()
    admission: AdmissionSettings = AdmissionSettings()
    memory: MemorySettings = MemorySettings()
