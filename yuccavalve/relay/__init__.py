"""Requests of a daemon that reaches no engine, sent through other daemons.

Decisions are made here without a network; ``sender`` and ``entry`` carry them
out. They depend on the gateway, which depends on this package, so they are
imported by their own names.
"""

from yuccavalve.relay.bounds import RelayBounds
from yuccavalve.relay.detector import (
    ContactFailure,
    PartitionChange,
    PartitionDetector,
    Target,
    target_of,
)
from yuccavalve.relay.neighbors import NeighborChooser
from yuccavalve.relay.probes import ProbeSchedule
from yuccavalve.relay.reach import EngineReach

__all__ = (
    'ContactFailure',
    'EngineReach',
    'NeighborChooser',
    'PartitionChange',
    'PartitionDetector',
    'ProbeSchedule',
    'RelayBounds',
    'Target',
    'target_of',
)
