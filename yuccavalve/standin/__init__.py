"""Stand-ins for the platform, the engines and a plain service.

For demos and tests only. Faults are injected by calls to admin paths.
"""

from yuccavalve.standin.engine import EngineStandin, EngineStandinOptions
from yuccavalve.standin.plain import PlainStandin
from yuccavalve.standin.platform import PlatformStandin
from yuccavalve.standin.runner import run_standin

__all__ = (
    'EngineStandin',
    'EngineStandinOptions',
    'PlainStandin',
    'PlatformStandin',
    'run_standin',
)
