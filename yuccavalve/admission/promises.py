"""Spread the return of rejected callers, and remember their first arrival."""

from random import Random

import attrs

from yuccavalve.admission.const import (
    MAX_PROMISE_AHEAD_S,
    MAX_PROMISES,
    MIN_RETRY_AFTER_S,
    PROMISE_JITTER,
    PROMISE_KEPT_S,
)
from yuccavalve.admission.models import PoolKey

__all__ = ('RoomPromises',)


@attrs.frozen
class _Promise:
    first_arrived_at_s: float
    until_s: float


@attrs.define
class RoomPromises:
    """Times that were promised to callers, by pool.

    Each promise takes the capacity of one request out of what is expected
    later, so that callers return as fast as they can be served.
    """

    random: Random
    max_count: int = MAX_PROMISES
    _promises: dict[int, _Promise] = attrs.field(factory=dict)
    _promised_until_s: dict[PoolKey, float] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of callers that are remembered."""
        return len(self._promises)

    def promise_s(
        self, pool: PoolKey, room_s: float, per_s: float, now_s: float
    ) -> float:
        """Return the time after which a rejected caller should return.

        Parameters
        ----------
        pool
            Service and model.
        room_s
            Time until room is expected behind the waiting requests.
        per_s
            Requests that are served each second from then on.
        now_s
            The current monotonic time.
        """
        room_at_s = now_s + max(MIN_RETRY_AFTER_S, room_s)
        promised_at_s = max(
            room_at_s, self._promised_until_s.get(pool, room_at_s)
        )
        if promised_at_s - room_at_s > MAX_PROMISE_AHEAD_S:
            promised_at_s = room_at_s + self.random.uniform(
                0, MAX_PROMISE_AHEAD_S
            )
        else:
            self._promised_until_s[pool] = promised_at_s + 1 / max(1, per_s)
        jitter = self.random.uniform(1, 1 + PROMISE_JITTER)
        return (promised_at_s - now_s) * jitter

    def remember(
        self,
        fingerprint: int,
        first_arrived_at_s: float,
        retry_after_s: float,
        now_s: float,
    ) -> None:
        """Remember when the caller of a rejected request first came."""
        self._promises.pop(fingerprint, None)
        self._promises[fingerprint] = _Promise(
            first_arrived_at_s, now_s + retry_after_s + PROMISE_KEPT_S
        )
        while len(self._promises) > self.max_count:
            self._promises.pop(next(iter(self._promises)))

    def first_arrival_s(self, fingerprint: int, now_s: float) -> float:
        """Return the first arrival of a caller, and forget it.

        It counts for one of several repeats that come at the same time.
        """
        promise = self._promises.pop(fingerprint, None)
        if promise is None or now_s > promise.until_s:
            return now_s
        return promise.first_arrived_at_s
