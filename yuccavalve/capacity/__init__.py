"""Learned concurrency and speed of backend servers."""

from yuccavalve.capacity.book import CapacityBook
from yuccavalve.capacity.models import (
    Capacity,
    CapacityBelief,
    CapacityChange,
    Observation,
)
from yuccavalve.capacity.recorder import RunRecorder

__all__ = (
    'Capacity',
    'CapacityBelief',
    'CapacityBook',
    'CapacityChange',
    'Observation',
    'RunRecorder',
)
