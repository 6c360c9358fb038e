"""Build quarantines and crashes for the tests."""

from random import Random

from yuccavalve.quarantine import PromptCrash, PromptQuarantine
from yuccavalve.quarantine.const import MIN_ANSWERS

__all__ = (
    'ANSWERED',
    'BAD',
    'OTHER',
    'SHARED',
    'answer_others',
    'crash',
    'quarantine',
)

BAD = 1
SHARED = 2
OTHER = 3
ANSWERED = 4


def answer_others(table: PromptQuarantine, now_s: float) -> None:
    """Record as many whole answers to other prompts as are needed."""
    for _ in range(MIN_ANSWERS):
        table.record_sound((ANSWERED,), now_s)


def quarantine(seed: int = 1, daemons: int = 1) -> PromptQuarantine:
    """Return an empty quarantine of one of some daemons."""
    return PromptQuarantine(Random(seed), lambda: daemons)


def crash(number: int, *parts: int) -> PromptCrash:
    """Return a crash of its own engine under its own request."""
    return PromptCrash(number, number, parts or (BAD,))
