"""Parts of prompts that crash engines: evidence, quarantine and release."""

from yuccavalve.quarantine.models import (
    PartCrash,
    PartHold,
    PartRecord,
    PartSound,
    PromptCrash,
    QuarantineHit,
    QuarantineNews,
)
from yuccavalve.quarantine.table import PromptQuarantine

__all__ = (
    'PartCrash',
    'PartHold',
    'PartRecord',
    'PartSound',
    'PromptCrash',
    'PromptQuarantine',
    'QuarantineHit',
    'QuarantineNews',
)
