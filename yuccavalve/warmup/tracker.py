"""Derive the bounds of cold engines from records, answers and routes."""

from collections import deque
from collections.abc import Callable

import attrs

from yuccavalve.fleet.activity import process_hash
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.routing import ServiceProfile
from yuccavalve.warmup.const import MAX_PENDING
from yuccavalve.warmup.models import WarmupLimit
from yuccavalve.warmup.table import WarmupTable

__all__ = ('WarmupTracker',)


@attrs.frozen
class _Announcement:
    """What was told of an engine before its service was known."""

    record: EngineRecord
    left_s: float | None
    read_at_s: float
    cause: str


@attrs.define
class WarmupTracker:
    """Records in the table which engines are cold.

    Attributes
    ----------
    services
        Returns the services by name; None before the routes are known.
    overage, slack
        Bound on requests in a second: the rate of the service's cold engines
        times the overage, plus the slack. Without an overage all engines
        count as warm.
    """

    table: WarmupTable
    services: Callable[[], dict[str, ServiceProfile] | None]
    overage: float = 0
    slack: float = 0
    _pending: deque[_Announcement] = attrs.field(
        factory=lambda: deque(maxlen=MAX_PENDING)
    )

    def record_listed(
        self, record: EngineRecord, read_at_s: float, *, is_start: bool
    ) -> None:
        """Record what an engine's record says.

        Parameters
        ----------
        record
            The record.
        read_at_s
            Monotonic time at which it was read.
        is_start
            Whether the engine has started since this daemon knows the
            engines; it then counts as cold even if its record does not say
            so.
        """
        if is_start:
            left_s = record.warmup_left_s or None
            self._record(_Announcement(record, left_s, read_at_s, 'start'))
        elif record.warmup_left_s > 0:
            left_s = record.warmup_left_s
            self._record(_Announcement(record, left_s, read_at_s, 'record'))

    def record_answer(
        self, record: EngineRecord, left_s: float, now_s: float
    ) -> None:
        """Record what an engine says in an answer."""
        if left_s > 0:
            self._record(_Announcement(record, left_s, now_s, 'answer'))

    def apply_routes(self) -> None:
        """Apply what was told before the routes were known."""
        pending = tuple(self._pending)
        self._pending.clear()
        for each in pending:
            self._record(each)

    def _record(self, told: _Announcement) -> None:
        if self.overage <= 0:
            return
        services = self.services()
        if services is None:
            self._pending.append(told)
            return
        service = services.get(told.record.service)
        if service is None or service.cold_s <= 0 or service.cold_per_s <= 0:
            return
        left_s = service.cold_s if told.left_s is None else told.left_s
        limit = WarmupLimit(
            process_hash(told.record),
            service.cold_per_s * self.overage + self.slack,
            told.read_at_s + left_s,
            is_start=told.cause == 'start',
        )
        self.table.apply(limit, told.read_at_s, told.cause)
