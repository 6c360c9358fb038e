"""Select the engine for a request, or refuse the request without waiting.

Designed for streams of one to two seconds, replicas with about a dozen
slots, a few hundred requests per second over all daemons, and the loss of a
replica every few seconds. The least loaded engine in the local availability
zone is preferred; one in another zone is selected if its load is clearly
lower.
"""

from collections.abc import Sequence
from random import Random

import attrs

from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fleet.activity import Activity, engine_key
from yuccavalve.fleet.view import FleetView
from yuccavalve.gateway.const import (
    MAX_LOAD_PER_SLOT,
    MAX_LOGGED_ENGINES,
    MAX_PLAIN_LOAD_PER_SLOT,
    REMOTE_ZONE_PENALTY,
    RETRY_AFTER_BUSY_S,
    RETRY_AFTER_JITTER,
    RETRY_AFTER_NO_REPLICA_S,
)
from yuccavalve.observability.explain import UNSOUND_PREFIX
from yuccavalve.gateway.models import RoutedRequest
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.results import ResultCode
from yuccavalve.routing import ServiceProfile

__all__ = ('EngineSelector', 'jittered_retry_s')


def jittered_retry_s(random: Random, base_s: float) -> float:
    """Return a retry-after time with jitter, so that retries spread out."""
    return base_s * random.uniform(
        1 - RETRY_AFTER_JITTER,
        1 + RETRY_AFTER_JITTER,
    )


@attrs.frozen
class EngineSelector:
    """Selects the least loaded engine, preferring the local zone.

    Attributes
    ----------
    availability_zone
        Zone of this daemon.
    """

    view: FleetView
    activity: Activity
    random: Random
    availability_zone: str

    def choose(
        self,
        service: ServiceProfile,
        routed: RoutedRequest,
        now_s: float,
    ) -> EngineRecord:
        """Return the best engine that the request has not tried yet.

        Raises
        ------
        RequestRefusedError
            If no engine can take the request now.
        """
        candidates = self._candidates(service, routed.inbound.model)
        untried = [
            each for each in candidates if each.engine not in routed.tried
        ]
        sound = [
            each
            for each in untried
            if not self.activity.is_suspect(engine_key(each), now_s)
        ]
        if not sound:
            raise self._refusal(
                ResultCode.NO_REPLICA,
                RETRY_AFTER_NO_REPLICA_S,
                f'{len(candidates)} engines serve, {len(untried)} not tried, '
                f'none of them sound{_unsound_text(untried, sound)}',
            )
        best = min(sound, key=lambda each: self._cost(service, each))
        if self._is_full(service, best):
            load = self.activity.load(engine_key(best))
            raise self._refusal(
                ResultCode.QUEUE_FULL,
                RETRY_AFTER_BUSY_S,
                f'{len(sound)} sound engines of {len(candidates)}, the freest '
                f'has {load} requests for {_slots(service, best)} slots'
                f'{_unsound_text(untried, sound)}',
            )
        return best

    def _candidates(
        self,
        service: ServiceProfile,
        model: str,
    ) -> Sequence[EngineRecord]:
        if service.engine is None:
            return self.view.backends(service.name)
        return self.view.heads(service.name, model)

    def _cost(self, service: ServiceProfile, engine: EngineRecord) -> float:
        load = self.activity.load(engine_key(engine)) + self.random.random()
        remote = engine.availability_zone != self.availability_zone
        return load / _slots(service, engine) + REMOTE_ZONE_PENALTY * remote

    def _is_full(self, service: ServiceProfile, engine: EngineRecord) -> bool:
        plain = service.engine is None
        factor = MAX_PLAIN_LOAD_PER_SLOT if plain else MAX_LOAD_PER_SLOT
        load = self.activity.load(engine_key(engine))
        return load >= factor * _slots(service, engine)

    def _refusal(
        self,
        code: ResultCode,
        base_s: float,
        text: str,
    ) -> RequestRefusedError:
        return RequestRefusedError(
            code,
            text,
            retry_after_s=jittered_retry_s(self.random, base_s),
        )


def _slots(service: ServiceProfile, engine: EngineRecord) -> int:
    slots = engine.slots if service.engine is None else service.engine.slots
    return max(1, slots)


def _unsound_text(
    untried: Sequence[EngineRecord],
    sound: Sequence[EngineRecord],
) -> str:
    """Return the end of a refusal text, which lists the suspected engines.

    The ``explain`` command parses it from the log.
    """
    unsound = [each.engine for each in untried if each not in sound]
    if not unsound:
        return ''
    return f', {UNSOUND_PREFIX} {" ".join(unsound[:MAX_LOGGED_ENGINES])}'
