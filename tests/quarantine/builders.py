"""Build quarantines and crashes for the tests."""

from random import Random

from yuccavalve.quarantine import PromptCrash, PromptQuarantine

__all__ = ('BAD', 'OTHER', 'SHARED', 'crash', 'quarantine')

BAD = 1
SHARED = 2
OTHER = 3


def quarantine(seed: int = 1, daemons: int = 1) -> PromptQuarantine:
    """Return an empty quarantine of one of some daemons."""
    return PromptQuarantine(Random(seed), lambda: daemons)


def crash(number: int, *parts: int) -> PromptCrash:
    """Return a crash of its own engine under its own request."""
    return PromptCrash(number, number, parts or (BAD,))
