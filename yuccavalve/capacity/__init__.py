"""Learned concurrency and speed of backend servers."""

from yuccavalve.capacity.book import CapacityBook
from yuccavalve.capacity.const import DELAY_SETTLE_S
from yuccavalve.capacity.models import (
    Capacity,
    CapacityBelief,
    CapacityChange,
    Observation,
)
from yuccavalve.capacity.recorder import RunRecorder

__all__ = (
    'DELAY_SETTLE_S',
    'Capacity',
    'CapacityBelief',
    'CapacityBook',
    'CapacityChange',
    'Observation',
    'RunRecorder',
)
