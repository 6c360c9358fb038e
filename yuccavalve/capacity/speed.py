"""Estimate how slow a server is relative to the typical one."""

import attrs

from yuccavalve.capacity.const import (
    ALARM_MAX_AGE_S,
    ALARM_DEVIATIONS,
    DEVIATION_WEIGHT,
    DRIFT_DEVIATIONS,
    FIRST_DEVIATION,
    MAX_ALARM_PART,
    MAX_DEVIATION,
    MAX_RESIDUAL,
    MAX_SAMPLES,
    MIN_ALARM,
    MIN_DEVIATION,
    MIN_DRIFT,
    MIN_SAMPLES,
    RISE_PART,
    SAMPLES_HALF_LIFE_S,
    SLOWER_SAMPLES,
    WEIGHT_HALF_LIFE_S,
)

__all__ = ('SpeedEstimate',)

_NEVER_S = float('-inf')
# Standard deviation of a normal distribution by its mean absolute deviation.
_NORMAL_MEAN_FACTOR = 1.2533


@attrs.define
class _Alarm:
    """Cumulative sum of the deviations in one direction."""

    _sum: float = 0
    _residuals: float = 0
    _count: int = 0
    _added_at_s: float = _NEVER_S

    def add(self, residual: float, deviation: float, now_s: float) -> bool:
        """Add a residual; return whether the sum shows a change."""
        if now_s - self._added_at_s > ALARM_MAX_AGE_S:
            self.clear()
        self._added_at_s = now_s
        drift = max(MIN_DRIFT, DRIFT_DEVIATIONS * deviation)
        alarm = max(MIN_ALARM, ALARM_DEVIATIONS * deviation)
        self._sum += min(residual - drift, MAX_ALARM_PART * alarm)
        if self._sum <= 0:
            self.clear()
            return False
        self._residuals += residual
        self._count += 1
        return self._sum > alarm

    def take_mean(self) -> float:
        """Return the mean residual since the sum left 0, and start again."""
        mean = self._residuals / self._count
        self.clear()
        return mean

    def clear(self) -> None:
        self._sum = 0
        self._residuals = 0
        self._count = 0


@attrs.define
class SpeedEstimate:
    """Logarithm of a server's slowness, with detection of slowdowns.

    Notes
    -----
    Page, "Continuous inspection schemes", 1954 (CUSUM).

    Attributes
    ----------
    level
        Logarithm of the slowness; 0 for the typical server.
    deviation
        Standard deviation of single observations.
    """

    level: float = 0
    deviation: float = FIRST_DEVIATION
    observed_at_s: float = _NEVER_S
    _samples: float = 0
    _weight: float = 0
    _slower: _Alarm = attrs.field(factory=_Alarm)
    _faster: _Alarm = attrs.field(factory=_Alarm)

    def samples(self, now_s: float) -> int:
        """Return the number of observations, fewer the older they are."""
        if self.observed_at_s == _NEVER_S:
            return 0
        age_s = max(0, now_s - self.observed_at_s)
        return round(self._samples * 0.5 ** (age_s / SAMPLES_HALF_LIFE_S))

    def add(self, residual: float, now_s: float) -> bool:
        """Add how much an observation deviates from this estimate.

        Returns
        -------
        bool
            Whether it shows that the server has become slower.
        """
        known = self.samples(now_s)
        weight = self._weight_at(now_s)
        self._samples = min(MAX_SAMPLES, known + 1)
        self._weight = min(MAX_SAMPLES, weight + 1)
        self.observed_at_s = now_s
        if self._slower.add(residual, self.deviation, now_s):
            self._become_slower()
            return True
        bounded = max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))
        if self._faster.add(-residual, self.deviation, now_s):
            self.level -= RISE_PART * self._faster.take_mean()
        else:
            self.level += bounded / (weight + 2)
        spread = min(abs(bounded), 2 * MAX_DEVIATION) * _NORMAL_MEAN_FACTOR
        self.deviation += DEVIATION_WEIGHT * (spread - self.deviation)
        self.deviation = max(MIN_DEVIATION, min(MAX_DEVIATION, self.deviation))
        return False

    def adopt(self, level: float, samples: int, observed_at_s: float) -> None:
        """Replace the estimate with that of another daemon."""
        self.level = level
        self._samples = min(MAX_SAMPLES, samples)
        self._weight = self._samples
        self.observed_at_s = observed_at_s
        self._slower.clear()
        self._faster.clear()

    def is_outlier(self, residual: float) -> bool:
        """Return whether a second residual like this one shows a change."""
        drift = max(MIN_DRIFT, DRIFT_DEVIATIONS * self.deviation)
        alarm = max(MIN_ALARM, ALARM_DEVIATIONS * self.deviation)
        return residual - drift >= MAX_ALARM_PART * alarm

    def confirm(self, residual: float, now_s: float) -> bool:
        """Add an outlier that another daemon observed.

        Returns
        -------
        bool
            Whether it shows, with others, that the server has become slower.
        """
        if not self._slower.add(residual, self.deviation, now_s):
            return False
        self._become_slower()
        self.observed_at_s = now_s
        return True

    def _become_slower(self) -> None:
        self.level += self._slower.take_mean()
        self._samples = max(SLOWER_SAMPLES, MIN_SAMPLES)
        self._weight = self._samples

    def _weight_at(self, now_s: float) -> float:
        if not self._weight:
            return 0
        age_s = max(0, now_s - self.observed_at_s)
        return self._weight * 0.5 ** (age_s / WEIGHT_HALF_LIFE_S)
