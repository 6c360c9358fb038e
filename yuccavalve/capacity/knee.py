"""Fit the concurrency from which a server becomes slower."""

import math

import attrs

from yuccavalve.capacity.const import (
    KNEE_BUCKET_SAMPLES,
    KNEE_BUCKETS,
    KNEE_EVIDENCE,
    KNEE_FIT_PERIOD_S,
    KNEE_HALF_LIFE_S,
    KNEE_MIN_SAMPLES,
    KNEE_RISE_PER_S,
)

__all__ = ('KneeEstimate',)

_NEVER_S = float('-inf')
_MIN_WEIGHT = 1e-3


@attrs.define
class _Bucket:
    weight: float = 0
    mean: float = 0
    mean_concurrency: float = 1
    updated_at_s: float = _NEVER_S

    def add(self, deviation: float, concurrency: float, now_s: float) -> None:
        weight = min(KNEE_BUCKET_SAMPLES, self.weight_at(now_s) + 1)
        self.weight = weight
        self.mean += (deviation - self.mean) / weight
        self.mean_concurrency += (concurrency - self.mean_concurrency) / weight
        self.updated_at_s = now_s

    def weight_at(self, now_s: float) -> float:
        if not self.weight:
            return 0
        age_s = now_s - self.updated_at_s
        return self.weight * 0.5 ** (age_s / KNEE_HALF_LIFE_S)


@attrs.define
class KneeEstimate:
    """Largest concurrency at which a server is as fast as at a low one.

    Attributes
    ----------
    concurrency
        Concurrent requests; infinite while no knee is known.
    """

    concurrency: float = math.inf
    _buckets: list[_Bucket] = attrs.field(
        factory=lambda: [_Bucket() for _ in range(KNEE_BUCKETS)]
    )
    _fitted_at_s: float = _NEVER_S

    def excess(self, concurrency: float) -> float:
        """Return the logarithm of the slowdown expected at a concurrency."""
        if math.isinf(self.concurrency):
            return 0
        return max(0, math.log(max(concurrency, 1) / self.concurrency))

    def add(
        self, deviation: float, concurrency: float, slots: int, now_s: float
    ) -> None:
        """Add the logarithm of a time relative to the server's speed."""
        position = int((concurrency - 1) * KNEE_BUCKETS / slots)
        bucket = self._buckets[max(0, min(KNEE_BUCKETS - 1, position))]
        bucket.add(deviation, concurrency, now_s)

    def clear(self) -> None:
        """Drop the means, which belong to another speed of the server."""
        self._buckets = [_Bucket() for _ in range(KNEE_BUCKETS)]

    def fit(self, slots: int, deviation: float, now_s: float) -> None:
        """Fit the knee, at most every ``KNEE_FIT_PERIOD_S``."""
        passed_s = now_s - self._fitted_at_s
        if passed_s < KNEE_FIT_PERIOD_S:
            return
        self._fitted_at_s = now_s
        points = [
            (bucket.mean_concurrency, bucket.mean, bucket.weight_at(now_s))
            for bucket in self._buckets
            if bucket.weight_at(now_s) > 1
        ]
        if sum(point[2] for point in points) < KNEE_MIN_SAMPLES:
            return
        known = min(self.concurrency, slots)
        fitted = _fitted_knee(points, slots, deviation)
        if fitted < known:
            self.concurrency = fitted
        elif any(point[0] > known for point in points):
            step = KNEE_RISE_PER_S * slots * min(1, passed_s)
            risen = min(fitted, known + step)
            self.concurrency = math.inf if risen >= slots else risen


def _fitted_knee(
    points: list[tuple[float, float, float]], slots: int, deviation: float
) -> float:
    """Return the knee that fits best, or the slots without a clear one.

    Steps of half a request would suit few slots; more than 16 candidates
    cost more than their precision is worth.
    """
    best = slots
    flat = _squares(points, slots)
    best_squares = flat
    candidates = min(2 * slots, 2 * KNEE_BUCKETS)
    for index in range(1, candidates):
        knee = max(1, slots * index / candidates)
        squares = _squares(points, knee)
        if squares < best_squares:
            best_squares = squares
            best = knee
    if (flat - best_squares) / deviation**2 < KNEE_EVIDENCE:
        return slots
    return best


def _squares(points: list[tuple[float, float, float]], knee: float) -> float:
    """Return the weighted squared errors of the curve with a knee."""
    errors = [
        (mean - max(0, math.log(max(concurrency, 1) / knee)), weight)
        for concurrency, mean, weight in points
    ]
    total = max(_MIN_WEIGHT, sum(weight for _, weight in errors))
    offset = sum(error * weight for error, weight in errors) / total
    return sum(weight * (error - offset) ** 2 for error, weight in errors)
