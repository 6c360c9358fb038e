"""Stand-ins of the platform, the engines and a plain service.

For demos and tests only. Each fault of an outside system is switched on
over an admin path.
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
