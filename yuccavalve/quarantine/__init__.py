"""Requests that crash engines: evidence, quarantine and release."""

from yuccavalve.quarantine.models import (
    QuarantineHit,
    QuarantineNews,
    RequestCrash,
    SuspectCrash,
    SuspectHold,
    SuspectRecord,
    SuspectSound,
)
from yuccavalve.quarantine.quarantine import RequestQuarantine
from yuccavalve.quarantine.rules import (
    PART_RULES,
    REQUEST_RULES,
    EvidenceRules,
)
from yuccavalve.quarantine.table import SuspectTable

__all__ = (
    'PART_RULES',
    'REQUEST_RULES',
    'EvidenceRules',
    'QuarantineHit',
    'QuarantineNews',
    'RequestCrash',
    'RequestQuarantine',
    'SuspectCrash',
    'SuspectHold',
    'SuspectRecord',
    'SuspectSound',
    'SuspectTable',
)
