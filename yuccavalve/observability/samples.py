"""Keep the request counts of the last six hours for the burn report."""

from collections import Counter, deque

import attrs

from yuccavalve.observability.burn import Objective, Sample, is_good
from yuccavalve.observability.metrics import RequestMeasurement

__all__ = ('BurnSamples',)

_INTERVAL_S = 60.0
_MAX_INTERVALS = 360


@attrs.define
class BurnSamples:
    """Counts good and bad requests per minute, service and class."""

    _closed: deque[list[Sample]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_INTERVALS),
    )
    _open_counts: Counter[tuple[str, str, bool]] = attrs.field(factory=Counter)
    _open_at_s: float = 0

    def record(
        self,
        objective: Objective,
        measured: RequestMeasurement,
        now_s: float,
    ) -> None:
        """Count an ended request."""
        self._close_if_due(now_s)
        good = is_good(
            objective,
            measured.code,
            measured.first_byte_ms,
            measured.between_events_ms,
        )
        if good is not None:
            key = (objective.service, objective.request_class, good)
            self._open_counts[key] += 1

    def samples(self, now_s: float) -> list[Sample]:
        """Return all samples, including the current minute's."""
        self._close_if_due(now_s)
        closed = [sample for minute in self._closed for sample in minute]
        return [*closed, *self._open_samples()]

    def _close_if_due(self, now_s: float) -> None:
        if now_s - self._open_at_s < _INTERVAL_S:
            return
        if self._open_counts:
            self._closed.append(self._open_samples())
        self._open_counts.clear()
        self._open_at_s = now_s

    def _open_samples(self) -> list[Sample]:
        keys = {
            (service, request_class)
            for service, request_class, _ in self._open_counts
        }
        return [
            Sample(
                self._open_at_s,
                service,
                request_class,
                self._open_counts[service, request_class, True],
                self._open_counts[service, request_class, False],
            )
            for service, request_class in sorted(keys)
        ]
