"""Tell when the engines of a service and model take further requests."""

import math
from collections.abc import Callable

import attrs

from yuccavalve.admission import (
    CompletionRate,
    Forecast,
    PoolEngines,
    PoolKey,
    RepairTimes,
)
from yuccavalve.admission.const import SOON_S
from yuccavalve.fleet.activity import engine_key
from yuccavalve.gateway.models import RoutedRequest
from yuccavalve.gateway.selection import EngineSelector, slots
from yuccavalve.load import QueuedRequest, expected_wait_s
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.routing import ServiceProfile

__all__ = ('PoolForecasts',)


def _one_daemon() -> int:
    return 1


@attrs.define
class _PoolState:
    service: ServiceProfile
    rate: CompletionRate = attrs.field(factory=CompletionRate)
    repairs: RepairTimes = attrs.field(factory=RepairTimes)
    slots: int = 1


@attrs.define
class PoolForecasts:
    """What this daemon knows of the engines of each pool that was asked for.

    Attributes
    ----------
    daemon_count
        Returns the number of live daemons, this one included.
    """

    selector: EngineSelector
    daemon_count: Callable[[], int] = _one_daemon
    _pools: dict[PoolKey, _PoolState] = attrs.field(factory=dict)

    def add(self, key: PoolKey, service: ServiceProfile, now_s: float) -> None:
        """Add a pool, or its changed service."""
        pool = self._pools.get(key)
        if pool is None:
            pool = _PoolState(service)
            self._pools[key] = pool
            pool.repairs.observe(self._engines(key, now_s), now_s)
        pool.service = service
        if service.engine is not None:
            pool.slots = service.engine.slots

    def record_taken(
        self, key: PoolKey, service: ServiceProfile, now_s: float
    ) -> None:
        """Record that an engine takes a request."""
        self.add(key, service, now_s)
        self._pools[key].rate.record(now_s)

    def repair_s(self, key: PoolKey) -> float:
        """Return the mean time of a repair."""
        return self._pools[key].repairs.repair_s

    def bearable_s(self, routed: RoutedRequest) -> float:
        """Return the longest expected wait at an engine that takes it."""
        route = routed.route
        return self.selector.waits.limit_s(
            QueuedRequest(
                objective_s=0 if route is None else route.objective_s,
                remaining_s=math.inf,
                service_s=0,
                begun=routed.response_began,
            )
        )

    def observe(self, now_s: float) -> None:
        """Take note of the engines of all pools."""
        for key, pool in self._pools.items():
            pool.repairs.observe(self._engines(key, now_s), now_s)

    def forecast(self, key: PoolKey, now_s: float) -> Forecast:
        """Return what is expected of the engines of a pool."""
        pool = self._pools[key]
        engines = self._engines(key, now_s)
        pool.repairs.observe(engines, now_s)
        service_s = self.selector.service_s(pool.service, key[1])
        own_slots = pool.slots / max(1, self.daemon_count())
        per_s = max(
            own_slots * max(1, len(engines.sound)) / service_s,
            pool.rate.per_s(now_s),
        )
        if not engines.sound:
            first_s, reason = self._first_expected_s(key, now_s)
            return Forecast(first_s, own_slots, per_s, reason)
        loads = list(map(self.selector.activity.load, engines.sound))
        free = sum(max(0, 1 - load / pool.slots) for load in loads)
        return Forecast(
            0,
            free * own_slots,
            per_s,
            'engines serve',
            expected_wait_s(min(loads), pool.slots, service_s),
        )

    def _first_expected_s(
        self, key: PoolKey, now_s: float
    ) -> tuple[float | None, str]:
        """Return when a pool without a sound engine gets one, and why."""
        pool = self._pools[key]
        expected = pool.repairs.expected_s(now_s)
        records = self._open_records(key)
        ends_s = [
            self.selector.activity.suspect_until_s(engine_key(each)) - now_s
            for each in records
        ]
        left_s = min((end_s for end_s in ends_s if end_s > 0), default=None)
        if left_s is not None:
            suspicion = (left_s, 'a suspicion ends')
            expected = min(expected or suspicion, suspicion)
        if expected is None:
            return None, 'nothing is being repaired or formed'
        return max(SOON_S, expected[0]), expected[1]

    def _open_records(self, key: PoolKey) -> list[EngineRecord]:
        """Return the engines that are not in an evacuated zone."""
        evacuations = self.selector.evacuations
        return [
            each
            for each in self.selector.candidates(
                self._pools[key].service, key[1]
            )
            if not evacuations.is_evacuated(each.availability_zone)
        ]

    def _engines(self, key: PoolKey, now_s: float) -> PoolEngines:
        pool = self._pools[key]
        activity = self.selector.activity
        records = self._open_records(key)
        pool.slots = max(
            (slots(pool.service, each) for each in records),
            default=pool.slots,
        )
        keys = frozenset(engine_key(each) for each in records)
        suspect = frozenset(
            each for each in keys if activity.is_suspect(each, now_s)
        )
        forming: frozenset[str] = frozenset()
        if pool.service.engine is not None:
            forming = self.selector.view.forming(*key)
        return PoolEngines(keys - suspect, suspect, forming)
