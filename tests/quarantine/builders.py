"""Build quarantines and crashes for the tests."""

from random import Random

from yuccavalve.fingerprints import FINGERPRINT_BIT
from yuccavalve.quarantine import RequestCrash, RequestQuarantine
from yuccavalve.quarantine.const import MIN_ANSWERS

__all__ = (
    'ANSWERED',
    'BAD',
    'OTHER',
    'SHARED',
    'answer_others',
    'crash',
    'fingerprint',
    'quarantine',
)

BAD = 1
SHARED = 2
OTHER = 3
ANSWERED = 4


def answer_others(table: RequestQuarantine, now_s: float) -> None:
    """Record as many whole answers to other prompts as are needed."""
    for _ in range(MIN_ANSWERS):
        table.record_sound((ANSWERED,), now_s)


def fingerprint(number: int) -> int:
    """Return the fingerprint of a numbered request."""
    return FINGERPRINT_BIT | number


def quarantine(seed: int = 1, daemons: int = 1) -> RequestQuarantine:
    """Return an empty quarantine of one of some daemons."""
    return RequestQuarantine(Random(seed), lambda: daemons)


def crash(number: int, *parts: int) -> RequestCrash:
    """Return a crash of its own engine under its own request."""
    return RequestCrash(number, parts or (BAD,), fingerprint(number))
