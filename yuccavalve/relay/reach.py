"""What a daemon's requests say of whether it reaches engines."""

import asyncio
from collections.abc import Callable

import attrs

from yuccavalve.exceptions import BackendNotReachedError, PermitExpiredError
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.relay.const import HELD_EVIDENCE_MAX_S, MIN_DOUBTFUL_GROUPS
from yuccavalve.relay.detector import (
    ContactFailure,
    PartitionDetector,
    target_of,
)

__all__ = ('EngineReach',)


@attrs.frozen
class _HeldEvidence:
    at_s: float
    record: Callable[[], None]


@attrs.define
class EngineReach:
    """Collects contacts with engines, and holds back evidence against them.

    Attributes
    ----------
    active
        Whether partitions are looked for at all.
    evidence
        Set when there is a new failure to be looked at.
    """

    active: bool = False
    detector: PartitionDetector = attrs.field(factory=PartitionDetector)
    evidence: asyncio.Event = attrs.field(factory=asyncio.Event)
    dropped_total: int = 0
    _held: list[_HeldEvidence] = attrs.field(factory=list)

    @property
    def partitioned(self) -> bool:
        """Return whether this daemon reaches no engine."""
        return self.detector.partitioned

    @property
    def doubtful(self) -> bool:
        """Return whether failed connections may be no fault of engines."""
        groups = self.detector.unconnected_groups()
        return self.partitioned or len(groups) >= MIN_DOUBTFUL_GROUPS

    def record_not_reached(
        self,
        engine: EngineRecord,
        error: BackendNotReachedError,
        began_at_s: float,
        now_s: float,
    ) -> None:
        """Record an attempt whose connection was not made."""
        if isinstance(error, PermitExpiredError):
            self.record_connected(began_at_s)
            return
        timed_out = isinstance(error.__cause__, TimeoutError)
        kind = ContactFailure.TIMED_OUT if timed_out else ContactFailure.REFUSED
        self.record_failure(engine, kind, began_at_s, now_s)

    def record_lost(self, engine: EngineRecord, now_s: float) -> None:
        """Record an exchange whose connection broke off."""
        self.record_failure(engine, ContactFailure.RESET, now_s, now_s)

    def record_failure(
        self,
        engine: EngineRecord,
        kind: ContactFailure,
        began_at_s: float,
        now_s: float,
    ) -> None:
        """Record a failure and have it looked at."""
        if self.active:
            self.detector.record_failure(
                target_of(engine), kind, began_at_s, now_s
            )
            self.evidence.set()

    def record_connected(self, began_at_s: float) -> None:
        """Record that an engine answered on a new connection."""
        self.detector.record_connected(began_at_s)

    def hold(self, record: Callable[[], None], now_s: float) -> None:
        """Record evidence against an engine once this daemon reaches others.

        A cut resets the streams at many engines, which looks as if all of
        them had crashed. The evidence is dropped if that is what happened.
        """
        if self.active:
            self._held.append(_HeldEvidence(now_s, record))
            self.evidence.set()
        else:
            record()

    def certain_until_s(self, now_s: float) -> float:
        """Return the time up to which failures are those of engines."""
        return max(self.detector.connected_at_s, now_s - HELD_EVIDENCE_MAX_S)

    def release(self, now_s: float) -> None:
        """Record or drop the evidence that is certain by now."""
        held = self._held
        self._held = []
        if self.partitioned:
            self.dropped_total += len(held)
            return
        for each in held:
            if each.at_s <= self.certain_until_s(now_s):
                each.record()
            else:
                self._held.append(each)

    def is_busy(self) -> bool:
        """Return whether checks should be frequent."""
        is_doubtful = self.partitioned or self.detector.is_suspected()
        return is_doubtful or bool(self._held)
