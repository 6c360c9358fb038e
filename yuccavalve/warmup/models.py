"""Data classes of cold engines."""

import attrs

__all__ = ('WarmupChange', 'WarmupLimit')


@attrs.frozen
class WarmupLimit:
    """Requests that a cold engine takes in any second from all daemons.

    Attributes
    ----------
    engine
        32-bit id of a start of an engine.
    per_s
        Largest number of requests in any second.
    ends_at_s
        Monotonic time at which the engine is warm.
    learned_at_s
        Monotonic time at which this daemon learned that it is cold.
    is_start
        Whether the engine has just started, so that no daemon has sent it
        requests without permits.
    """

    engine: int
    per_s: float
    ends_at_s: float
    learned_at_s: float = 0
    is_start: bool = False


@attrs.frozen
class WarmupChange:
    """An engine that became cold, or that is warm again.

    Attributes
    ----------
    left_s
        Time until it is warm; 0 if it is.
    cause
        What told of it: ``record``, ``start``, ``answer``, ``peer`` or
        ``time``.
    """

    engine: int
    per_s: float
    left_s: float
    cause: str
