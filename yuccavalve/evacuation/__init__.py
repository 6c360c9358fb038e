"""Zones whose servers get no new requests, as operators have written them."""

from yuccavalve.evacuation.models import (
    EvacuationNews,
    EvacuationReading,
    ZoneMark,
)
from yuccavalve.evacuation.state import EvacuationState

__all__ = (
    'EvacuationNews',
    'EvacuationReading',
    'EvacuationState',
    'ZoneMark',
)
