"""Data classes of the quarantine."""

from collections.abc import Mapping, Sequence

import attrs

from yuccavalve.prompts import PromptParts
from yuccavalve.quarantine.const import (
    CRASH_SPACING_S,
    MAX_DOUBLINGS,
    MAX_ENGINES_PER_SUSPECT,
    MAX_QUARANTINE_S,
    MIN_CRASHES,
    QUARANTINE_S,
    SETTLE_S,
    SUSPECT_MEMORY_S,
    TRIAL_MEMORY_S,
)
from yuccavalve.quarantine.rules import EvidenceRules

__all__ = (
    'QuarantineHit',
    'QuarantineNews',
    'RequestCrash',
    'SuspectCrash',
    'SuspectHold',
    'SuspectRecord',
    'SuspectSound',
)

_NEVER_S = float('-inf')
_SHORT_ID_MASK = 0xFFFFFFFF


@attrs.frozen
class RequestCrash:
    """An engine that was lost when it began to answer a request.

    Attributes
    ----------
    engine
        32-bit id of the engine's start.
    parts
        Parts of the request's prompt.
    fingerprint
        Id of the whole request, which its repeats share.
    ran_s
        Time from sending the request to the crash.
    """

    engine: int
    parts: PromptParts
    fingerprint: int
    ran_s: float = 0

    @property
    def suspects(self) -> tuple[int, ...]:
        """Return what of the request may have crashed the engine."""
        return (*self.parts, self.fingerprint)

    @property
    def request(self) -> int:
        """Return a 32-bit id of the whole request."""
        return self.fingerprint & _SHORT_ID_MASK


@attrs.frozen
class SuspectCrash:
    """A crash under a request with a suspect, as daemons tell each other.

    Attributes
    ----------
    ran_s
        Time from sending the request to the crash; None for a crash that
        another daemon saw, whose time is not exact.
    """

    suspect: int
    engine: int
    request: int
    at_s: float
    ran_s: float | None = None

    def is_separate(self, other: 'SuspectCrash', rules: EvidenceRules) -> bool:
        """Return whether two engines did not end in the same event."""
        if abs(self.at_s - other.at_s) >= CRASH_SPACING_S:
            return True
        if not rules.separates_runs:
            return False
        if self.ran_s is None or other.ran_s is None:
            return True
        first_at_s = min(self.at_s, other.at_s)
        last_began_s = max(self.at_s - self.ran_s, other.at_s - other.ran_s)
        return last_began_s >= first_at_s


@attrs.frozen
class SuspectSound:
    """A whole answer to a request with a suspect."""

    suspect: int
    at_s: float


@attrs.frozen
class SuspectHold:
    """A suspect in quarantine or on trial.

    Attributes
    ----------
    crashes
        Number of crashes so far.
    at_s
        Monotonic time of the last crash.
    failed_trials
        Number of crashes after an end of the quarantine.
    """

    suspect: int
    crashes: int
    at_s: float
    failed_trials: int = 0


@attrs.frozen
class QuarantineNews:
    """What one daemon tells another, with local monotonic times."""

    crashes: Sequence[SuspectCrash] = ()
    sound: Sequence[SuspectSound] = ()
    holds: Sequence[SuspectHold] = ()


@attrs.frozen
class QuarantineHit:
    """A suspect in quarantine that a request holds.

    Attributes
    ----------
    label
        Says what kind of suspect it is.
    """

    suspect: int
    label: str
    crashes: int
    retry_after_s: float

    @property
    def text(self) -> str:
        """Return the reason of the refusal, for the caller and the log."""
        return (
            f'{self.label}{self.suspect:016x} '
            f'after {self.crashes} crashes of engines'
        )


@attrs.define
class SuspectRecord:
    """Crashes of engines under requests with one suspect.

    Attributes
    ----------
    engines
        Crashes by 32-bit id of the engine's start.
    requests
        32-bit ids of the requests.
    crashes
        Number of crashes that count.
    failed_trials
        Number of crashes after an end of the quarantine.
    is_held
        Whether the suspect is in quarantine or on trial.
    trial_delay_s
        Time after the quarantine at which this daemon may try the suspect.
    trial_until_s
        Monotonic time until which this daemon waits for its trial's end.
    answers_before
        Number of whole answers before the first crash.
    """

    first_at_s: float
    last_at_s: float
    engines: dict[int, SuspectCrash] = attrs.field(factory=dict)
    requests: set[int] = attrs.field(factory=set)
    crashes: int = 0
    failed_trials: int = 0
    is_held: bool = False
    trial_delay_s: float = 0
    trial_until_s: float = _NEVER_S
    answers_before: int = 0

    def add(self, crash: SuspectCrash, rules: EvidenceRules) -> bool:
        """Add a crash; return whether it counts."""
        if crash.engine in self.engines:
            return False
        counts = all(
            crash.is_separate(other, rules) for other in self.engines.values()
        )
        if len(self.engines) >= MAX_ENGINES_PER_SUSPECT:
            oldest = min(self.engines.values(), key=lambda each: each.at_s)
            self.engines.pop(oldest.engine)
        self.engines[crash.engine] = crash
        if len(self.requests) < MAX_ENGINES_PER_SUSPECT:
            self.requests.add(crash.request)
        self.failed_trials += self.is_held and crash.at_s >= self.until_s
        self.first_at_s = min(self.first_at_s, crash.at_s)
        self.last_at_s = max(self.last_at_s, crash.at_s)
        self.crashes += counts
        return counts

    def has_unexplained_crashes(self, explained: Mapping[int, int]) -> bool:
        """Return whether enough crashes have no likelier cause.

        Parameters
        ----------
        explained
            Most crashes of a held suspect by engine that it crashed.
        """
        unexplained = sum(
            explained.get(engine, 0) <= self.crashes for engine in self.engines
        )
        return unexplained >= MIN_CRASHES

    def is_conclusive(
        self, rules: EvidenceRules, now_s: float, answers: int
    ) -> bool:
        """Return whether the crashes suffice to hold the suspect.

        ``answers`` is the number of whole answers so far.
        """
        return (
            self.crashes >= MIN_CRASHES
            and len(self.requests) >= rules.min_requests
            and answers - self.answers_before >= rules.min_answers
            and now_s - self.first_at_s >= SETTLE_S
        )

    @property
    def duration_s(self) -> float:
        """Return how long the quarantine lasts from the last crash."""
        doublings = min(self.failed_trials, MAX_DOUBLINGS)
        return min(MAX_QUARANTINE_S, QUARANTINE_S * 2**doublings)

    @property
    def until_s(self) -> float:
        """Return the monotonic time at which the quarantine ends."""
        return self.last_at_s + self.duration_s

    @property
    def blocked_until_s(self) -> float:
        """Return from when on this daemon may try the suspect."""
        return max(self.until_s + self.trial_delay_s, self.trial_until_s)

    @property
    def memory_until_s(self) -> float:
        """Return the monotonic time until which the crashes count."""
        if not self.is_held:
            return self.last_at_s + SUSPECT_MEMORY_S
        memory_s = max(TRIAL_MEMORY_S, self.duration_s)
        return max(self.until_s + memory_s, self.trial_until_s)
