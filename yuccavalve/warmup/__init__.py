"""Cold engines, which take few requests until their warm-up time has passed."""

from yuccavalve.warmup.models import WarmupChange, WarmupLimit
from yuccavalve.warmup.table import WarmupTable
from yuccavalve.warmup.window import PermitWindow

__all__ = (
    'PermitWindow',
    'WarmupChange',
    'WarmupLimit',
    'WarmupTable',
)
