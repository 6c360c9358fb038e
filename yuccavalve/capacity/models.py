"""Data classes of learned capacities."""

import math

import attrs

__all__ = ('Capacity', 'CapacityBelief', 'CapacityChange', 'Observation')

_MIN_RATIO = 1e-6


@attrs.frozen
class Observation:
    """A measured time of one server.

    Attributes
    ----------
    server
        32-bit id of the server's start and replica.
    service
        Service whose servers are compared.
    kind
        Key of times that are comparable once divided by ``expected_s``.
    concurrency
        Requests at the server during the measurement, this one included.
    """

    server: int
    service: str
    kind: str
    duration_s: float
    concurrency: float
    slots: int
    expected_s: float = 1

    @property
    def log_ratio(self) -> float:
        """Return the logarithm of the time as a multiple of the expected."""
        return math.log(max(self.duration_s / self.expected_s, _MIN_RATIO))


@attrs.frozen
class Capacity:
    """What a server is believed to handle well.

    Attributes
    ----------
    concurrency
        Concurrent requests; at most the slots.
    speed
        Speed relative to the typical server of its service.
    """

    concurrency: float
    speed: float = 1

    def load_per_slot(
        self, load: int, slots: int, latency_weight: float
    ) -> float:
        """Return the load of a further request, relative to the capacity.

        It equals ``load / slots`` for a typical server that handles all of
        its slots well. A slow server costs more even while it is idle.
        """
        return (
            (load + 1) / (self.concurrency * self.speed)
            - 1 / slots
            + latency_weight * (1 / self.speed - 1)
        )


@attrs.frozen
class CapacityBelief:
    """A daemon's belief about a server, as told to other daemons.

    Attributes
    ----------
    concurrency
        Concurrent requests; infinite if no bound below the slots is known.
    samples
        Number of observations behind it.
    observed_at_s
        Monotonic time of the newest of them.
    """

    server: int
    concurrency: float
    speed: float
    samples: int
    observed_at_s: float

    @property
    def level(self) -> float:
        """Return the logarithm of the slowness."""
        return -math.log(self.speed)


@attrs.frozen
class CapacityChange:
    """A change of a belief that is worth a log line."""

    server: int
    concurrency: float
    speed: float
    previous_concurrency: float
    previous_speed: float
    samples: int
    source: str
