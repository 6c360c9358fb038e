"""Detect replicas that fail or are slower than the others."""

import statistics

import attrs

from yuccavalve.load.const import (
    EWMA_WEIGHT,
    OUTLIER_FACTOR,
    OUTLIER_MIN_SAMPLES,
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
    """Speed and recent failures of each replica, as seen by this daemon."""

    _scores: dict[str, _Score] = attrs.field(factory=dict)

    def record_speed(self, replica: str, token_s: float) -> None:
        """Record the mean time between tokens of a completed stream."""
        score = self._scores.setdefault(replica, _Score())
        score.samples += 1
        if score.samples == 1:
            score.token_s = token_s
        else:
            score.token_s += EWMA_WEIGHT * (token_s - score.token_s)

    def record_failure(self, replica: str, now_s: float) -> None:
        """Record a failure, which suspends the replica for a while."""
        score = self._scores.setdefault(replica, _Score())
        score.suspended_until_s = now_s + SUSPEND_S

    def is_suspended(self, replica: str, now_s: float) -> bool:
        """Return whether a replica is suspended after a failure."""
        score = self._scores.get(replica)
        return score is not None and now_s < score.suspended_until_s

    def slowness(self, replica: str) -> float:
        """Return a replica's time per token relative to the median.

        It is at least 1, and 1 for a replica with too few samples.
        """
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
        """Return whether a replica is much slower than the median."""
        return self.slowness(replica) >= OUTLIER_FACTOR

    def forget_except(self, replicas: set[str]) -> None:
        """Drop the scores of all replicas but the given ones."""
        for name in self._scores.keys() - replicas:
            self._scores.pop(name)
