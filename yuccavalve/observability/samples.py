"""Keep the request counts of the last six hours for the burn report."""

from collections import Counter, deque

import attrs

from yuccavalve.observability.burn import Objective, Sample, is_good
from yuccavalve.observability.metrics import Measured

__all__ = ('BurnSamples',)

_INTERVAL_S = 60.0
_KEPT = 360


@attrs.define
class BurnSamples:
    """Counts good and bad requests per minute, service and class."""

    _closed: deque[list[Sample]] = attrs.field(
        factory=lambda: deque(maxlen=_KEPT),
    )
    _open: Counter[tuple[str, str, bool]] = attrs.field(factory=Counter)
    _open_at_s: float = 0

    def note(
        self,
        objective: Objective,
        measured: Measured,
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
            self._open[key] += 1

    def samples(self, now_s: float) -> list[Sample]:
        """Return all samples, including the current minute's."""
        self._close_if_due(now_s)
        closed = [sample for minute in self._closed for sample in minute]
        return [*closed, *self._minute()]

    def _close_if_due(self, now_s: float) -> None:
        if now_s - self._open_at_s < _INTERVAL_S:
            return
        if self._open:
            self._closed.append(self._minute())
        self._open.clear()
        self._open_at_s = now_s

    def _minute(self) -> list[Sample]:
        keys = {(service, name) for service, name, _ in self._open}
        return [
            Sample(
                self._open_at_s,
                service,
                name,
                self._open[service, name, True],
                self._open[service, name, False],
            )
            for service, name in sorted(keys)
        ]
