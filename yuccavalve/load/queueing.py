"""Estimate the wait for a slot, and decide whether a request may wait.

Designed for engines with a fixed number of slots whose requests take from
some milliseconds to seconds, at any number of slots. A request waits if a
slot is expected to become free early enough, so that an engine that answers
in milliseconds may have a longer queue than one that answers in seconds.
"""

from typing import Protocol

import attrs

from yuccavalve.load.const import (
    EWMA_WEIGHT,
    MAX_RESUME_WAIT_S,
    QUEUE_OBJECTIVES,
    RETRY_AFTER_QUEUE_MIN_S,
)

__all__ = (
    'BoundedWait',
    'QueuedRequest',
    'ServiceTimes',
    'WaitPolicy',
    'expected_wait_s',
    'queue_retry_after_s',
)


@attrs.frozen
class QueuedRequest:
    """What a request needs from a queue.

    Attributes
    ----------
    objective_s
        Objective for the time to the answer or to the first event.
    remaining_s
        Time left until the caller stops waiting.
    service_s
        Mean time for which a request of its kind occupies a slot.
    begun
        Whether the caller has received a part of the answer, which is lost
        if the request is refused.
    """

    objective_s: float
    remaining_s: float
    service_s: float
    begun: bool = False


class WaitPolicy(Protocol):
    """Decides how long a request may wait for a slot."""

    def limit_s(self, request: QueuedRequest) -> float:
        """Return the longest expected wait with which it is accepted."""


@attrs.frozen
class BoundedWait:
    """Lets a request wait for some multiple of its objective.

    A late answer is worth more to a caller than a refusal, after which it
    returns to the same queues. The bound keeps the queues short enough in a
    lasting overload that accepted requests begin before their callers give
    up. A begun stream may wait for a fixed time. The wait always leaves the
    time to answer before the caller's deadline.
    """

    objectives: float = QUEUE_OBJECTIVES
    max_resume_wait_s: float = MAX_RESUME_WAIT_S

    def limit_s(self, request: QueuedRequest) -> float:
        """Return the longest expected wait with which it is accepted."""
        wanted_s = request.objective_s * self.objectives
        if request.begun:
            wanted_s = self.max_resume_wait_s
        return min(wanted_s, request.remaining_s - request.service_s)


def expected_wait_s(load: int, slots: float, service_s: float) -> float:
    """Return the expected time until a further request gets a slot.

    Parameters
    ----------
    load
        Requests that the engine has, waiting ones included.
    slots
        Requests that it answers at the same time.
    service_s
        Mean time for which a request occupies a slot.
    """
    ahead = load + 1 - slots
    return max(0, ahead) * service_s / slots


def queue_retry_after_s(wait_s: float, limit_s: float) -> float:
    """Return the time after which the wait is expected to be short enough."""
    return max(RETRY_AFTER_QUEUE_MIN_S, wait_s - max(0, limit_s))


@attrs.define
class ServiceTimes:
    """Mean time for which requests occupy a slot, by key.

    Only requests that began with a free slot are recorded, so that the time
    in a queue does not count.
    """

    _mean_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, key: str, duration_s: float) -> None:
        """Record the time from sending a request to its whole answer."""
        mean_s = self._mean_s.get(key, duration_s)
        self._mean_s[key] = mean_s + EWMA_WEIGHT * (duration_s - mean_s)

    def mean_s(self, key: str, default_s: float) -> float:
        """Return the mean time, or the default without any request."""
        return self._mean_s.get(key, default_s)
