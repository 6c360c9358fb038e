"""Find replicas that are slower than their peers, or failing."""

import statistics

import attrs

from yuccavalve.load.const import (
    OUTLIER_FACTOR,
    OUTLIER_MIN_SAMPLES,
    SMOOTHING,
    SUSPEND_S,
)

__all__ = ('ReplicaScores',)

_MIN_TOKEN_S = 1e-9


@attrs.define
class _Score:
    token_s: float = 0
    samples: int = 0
    suspended_until_s: float = 0


@attrs.define
class ReplicaScores:
    """What one daemon has seen of each replica on the data path."""

    _scores: dict[str, _Score] = attrs.field(factory=dict)

    def note_speed(self, replica: str, token_s: float) -> None:
        """Note the mean time between tokens of an ended stream."""
        score = self._scores.setdefault(replica, _Score())
        score.samples += 1
        if score.samples == 1:
            score.token_s = token_s
        else:
            score.token_s += SMOOTHING * (token_s - score.token_s)

    def note_failure(self, replica: str, now_s: float) -> None:
        """Suspend a replica for a while after a failure."""
        score = self._scores.setdefault(replica, _Score())
        score.suspended_until_s = now_s + SUSPEND_S

    def is_suspended(self, replica: str, now_s: float) -> bool:
        """Tell whether a replica failed a moment ago."""
        score = self._scores.get(replica)
        return score is not None and now_s < score.suspended_until_s

    def slowness(self, replica: str) -> float:
        """Return how many times slower than its peers a replica is."""
        score = self._scores.get(replica)
        measured = [
            entry.token_s
            for entry in self._scores.values()
            if entry.samples >= OUTLIER_MIN_SAMPLES
        ]
        if score is None or score.samples < OUTLIER_MIN_SAMPLES:
            return 1
        typical_s = statistics.median_low(measured)
        return max(1, score.token_s / max(typical_s, _MIN_TOKEN_S))

    def is_straggler(self, replica: str) -> bool:
        """Tell whether a replica is an outlier against its peers."""
        return self.slowness(replica) >= OUTLIER_FACTOR

    def forget_except(self, replicas: set[str]) -> None:
        """Drop the scores of replicas that no longer exist."""
        for name in self._scores.keys() - replicas:
            self._scores.pop(name)
