"""Stand-in of the platform: its store and its engines, in one process."""

from tests.platform.standin.engines import (
    CrashingRequest,
    EngineOptions,
    EngineStandin,
    Framing,
    ScriptedAnswer,
)
from tests.platform.standin.fleet import FleetStandin
from tests.platform.standin.store import StoreCopy, StoreFaults, StoreStandin

__all__ = (
    'CrashingRequest',
    'EngineOptions',
    'EngineStandin',
    'FleetStandin',
    'Framing',
    'ScriptedAnswer',
    'StoreCopy',
    'StoreFaults',
    'StoreStandin',
)
