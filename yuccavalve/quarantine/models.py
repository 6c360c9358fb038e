"""Data classes of the quarantine of prompts' parts."""

from collections.abc import Sequence

import attrs

from yuccavalve.prompts import PART_PREFIX, PromptParts, parts_text
from yuccavalve.quarantine.const import (
    CRASH_SPACING_S,
    MAX_ENGINES_PER_PART,
    MAX_QUARANTINE_S,
    MIN_ANSWERS,
    MIN_CRASHES,
    MIN_REQUESTS,
    QUARANTINE_S,
    SETTLE_S,
    SUSPECT_MEMORY_S,
    TRIAL_MEMORY_S,
)

__all__ = (
    'PartCrash',
    'PartHold',
    'PartRecord',
    'PartSound',
    'PromptCrash',
    'QuarantineHit',
    'QuarantineNews',
)

_NEVER_S = float('-inf')


@attrs.frozen
class PromptCrash:
    """An engine that was lost when it began to answer a request.

    Attributes
    ----------
    engine, request
        32-bit ids of the engine's start and of the request.
    parts
        Parts of the request's prompt.
    """

    engine: int
    request: int
    parts: PromptParts


@attrs.frozen
class PartCrash:
    """A crash under a request with one part, as daemons tell each other."""

    part: int
    engine: int
    request: int
    at_s: float


@attrs.frozen
class PartSound:
    """A whole answer to a request with one part."""

    part: int
    at_s: float


@attrs.frozen
class PartHold:
    """A part in quarantine or on trial.

    Attributes
    ----------
    crashes
        Number of crashes so far.
    at_s
        Monotonic time of the last crash.
    """

    part: int
    crashes: int
    at_s: float


@attrs.frozen
class QuarantineNews:
    """What one daemon tells another, with local monotonic times."""

    crashes: Sequence[PartCrash] = ()
    sound: Sequence[PartSound] = ()
    holds: Sequence[PartHold] = ()


@attrs.frozen
class QuarantineHit:
    """A part in quarantine that a request holds."""

    part: int
    crashes: int
    retry_after_s: float

    @property
    def text(self) -> str:
        """Return the reason of the refusal, for the caller and the log."""
        return (
            f'{PART_PREFIX}{parts_text((self.part,))} of the prompt, '
            f'after {self.crashes} crashes of engines'
        )


@attrs.define
class PartRecord:
    """Crashes of engines under requests with one part of a prompt.

    Attributes
    ----------
    engines
        Monotonic times of the crashes by 32-bit id of the engine's start.
    requests
        32-bit ids of the requests.
    crashes
        Number of crashes that count.
    is_held
        Whether the part is in quarantine or on trial.
    trial_delay_s
        Time after the quarantine at which this daemon may try the part.
    trial_until_s
        Monotonic time until which this daemon waits for its trial's end.
    answers_before
        Number of whole answers before the first crash.
    """

    first_at_s: float
    last_at_s: float
    engines: dict[int, float] = attrs.field(factory=dict)
    requests: set[int] = attrs.field(factory=set)
    crashes: int = 0
    is_held: bool = False
    trial_delay_s: float = 0
    trial_until_s: float = _NEVER_S
    answers_before: int = 0

    def add(self, crash: PartCrash) -> bool:
        """Add a crash; return whether it counts."""
        if crash.engine in self.engines:
            return False
        counts = all(
            abs(crash.at_s - at_s) >= CRASH_SPACING_S
            for at_s in self.engines.values()
        )
        if len(self.engines) >= MAX_ENGINES_PER_PART:
            self.engines.pop(min(self.engines, key=self.engines.__getitem__))
        self.engines[crash.engine] = crash.at_s
        if len(self.requests) < MAX_ENGINES_PER_PART:
            self.requests.add(crash.request)
        self.first_at_s = min(self.first_at_s, crash.at_s)
        self.last_at_s = max(self.last_at_s, crash.at_s)
        self.crashes += counts
        return counts

    def is_conclusive(self, now_s: float, answers: int) -> bool:
        """Return whether the crashes prove that the part causes them.

        ``answers`` is the number of whole answers so far.
        """
        return (
            self.crashes >= MIN_CRASHES
            and len(self.requests) >= MIN_REQUESTS
            and answers - self.answers_before >= MIN_ANSWERS
            and now_s - self.first_at_s >= SETTLE_S
        )

    @property
    def duration_s(self) -> float:
        """Return how long the quarantine lasts from the last crash."""
        doublings = max(0, self.crashes - MIN_CRASHES)
        return min(MAX_QUARANTINE_S, QUARANTINE_S * 2**doublings)

    @property
    def until_s(self) -> float:
        """Return the monotonic time at which the quarantine ends."""
        return self.last_at_s + self.duration_s

    @property
    def blocked_until_s(self) -> float:
        """Return from when on this daemon may try the part."""
        return max(self.until_s + self.trial_delay_s, self.trial_until_s)

    @property
    def memory_until_s(self) -> float:
        """Return the monotonic time until which the crashes count."""
        if not self.is_held:
            return self.last_at_s + SUSPECT_MEMORY_S
        memory_s = max(TRIAL_MEMORY_S, self.duration_s)
        return max(self.until_s + memory_s, self.trial_until_s)
