"""Order, bounds and estimates of requests that wait for an engine."""

from yuccavalve.admission.estimate import (
    CompletionRate,
    Forecast,
    give_up_at_s,
    ranked_waits_s,
)
from yuccavalve.admission.models import (
    PoolKey,
    WaitingRequest,
    priority_rank,
)
from yuccavalve.admission.promises import RoomPromises
from yuccavalve.admission.queue import AdmissionQueue
from yuccavalve.admission.repairs import PoolEngines, RepairTimes

__all__ = (
    'AdmissionQueue',
    'CompletionRate',
    'Forecast',
    'PoolEngines',
    'PoolKey',
    'RepairTimes',
    'RoomPromises',
    'WaitingRequest',
    'give_up_at_s',
    'priority_rank',
    'ranked_waits_s',
)
