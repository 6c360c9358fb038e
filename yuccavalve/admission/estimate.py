"""Estimate how long waiting requests go on waiting."""

import math
from collections import deque
from collections.abc import Iterator

import attrs

from yuccavalve.admission.const import (
    ABANDON_GAP_OBJECTIVES,
    ABANDON_MIN_S,
    ABANDON_OBJECTIVES,
    FIRST_EVENT_S,
    LESS_URGENT_INTERVAL,
    RATE_HOLD_S,
    RATE_WINDOW_S,
)
from yuccavalve.admission.models import WaitingRequest

__all__ = ('CompletionRate', 'Forecast', 'give_up_at_s', 'ranked_waits_s')

_MIN_RATE_PER_S = 0.01


@attrs.frozen
class Forecast:
    """What is expected of the engines of a pool.

    Attributes
    ----------
    first_s
        Time until the next request is taken; None if none is expected to be.
    free
        Requests that are taken at once then.
    per_s
        Requests that are taken each second after these.
    reason
        What is expected, for the log.
    engine_wait_s
        Expected wait for a slot at the engine with the shortest queue.
    """

    first_s: float | None
    free: float
    per_s: float
    reason: str
    engine_wait_s: float = 0

    def wait_s(self, ahead: float) -> float:
        """Return the expected wait behind a number of other requests."""
        if self.first_s is None:
            return math.inf
        behind = max(0, ahead + 1 - max(1, self.free))
        return self.first_s + behind / max(_MIN_RATE_PER_S, self.per_s)


@attrs.define
class CompletionRate:
    """Rate at which this daemon's requests were taken by a pool's engines.

    Engines that are full take as many as end, so this is the daemon's part
    of what they serve. A rate seen earlier counts for some seconds, since
    nothing is taken while a replica is lost.
    """

    _taken_at_s: deque[float] = attrs.field(factory=deque)
    _held_per_s: float = 0
    _held_at_s: float = 0

    def record(self, now_s: float) -> None:
        """Record a request that an engine takes."""
        self._taken_at_s.append(now_s)
        recent_per_s = self._recent_per_s(now_s)
        if recent_per_s >= self._held(now_s):
            self._held_per_s = recent_per_s
            self._held_at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate, in requests a second."""
        return max(self._recent_per_s(now_s), self._held(now_s))

    def _recent_per_s(self, now_s: float) -> float:
        while self._taken_at_s and self._taken_at_s[0] < now_s - RATE_WINDOW_S:
            self._taken_at_s.popleft()
        return len(self._taken_at_s) / RATE_WINDOW_S

    def _held(self, now_s: float) -> float:
        age_s = max(0, now_s - self._held_at_s)
        return self._held_per_s * math.exp(-age_s / RATE_HOLD_S)


def give_up_at_s(
    deadline_at_s: float,
    service_s: float,
    stream_silent_since_s: float | None,
    objective_s: float,
    gap_objective_s: float,
) -> float:
    """Return the monotonic time after which an engine is of no use.

    Parameters
    ----------
    deadline_at_s
        Monotonic time at which the caller stops waiting.
    service_s
        Mean time for which a request of its kind occupies a slot.
    stream_silent_since_s
        Monotonic time since which the caller of a stream has received
        nothing; None for other requests.
    objective_s, gap_objective_s
        Objectives for the first event and for the time between events.
    """
    answer_by_s = deadline_at_s - service_s
    if stream_silent_since_s is None:
        return answer_by_s
    abandoned_s = max(
        ABANDON_MIN_S,
        ABANDON_OBJECTIVES * objective_s,
        ABANDON_GAP_OBJECTIVES * gap_objective_s,
    )
    return min(answer_by_s, stream_silent_since_s + abandoned_s - FIRST_EVENT_S)


def ranked_waits_s(
    ranks: list[list[list[WaitingRequest]]], forecast: Forecast
) -> Iterator[tuple[WaitingRequest, float]]:
    """Yield each waiting request of a pool with its expected wait.

    Parameters
    ----------
    ranks
        Requests by rank and workspace, as the queue returns them.
    forecast
        What is expected of the engines.
    """
    ahead_of_rank = 0
    first_count = 0
    for flows in ranks:
        total = sum(len(flow) for flow in flows)
        for flow in flows:
            for index, request in enumerate(flow):
                within = min(total - 1, (index + 1) * len(flows) - 1)
                ahead = ahead_of_rank + within
                if first_count:
                    turns = ahead - first_count + 1
                    ahead = min(ahead, turns * LESS_URGENT_INTERVAL)
                yield request, forecast.wait_s(ahead)
        first_count = first_count or total
        ahead_of_rank += total
