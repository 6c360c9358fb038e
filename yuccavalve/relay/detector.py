"""Decide whether this daemon reaches no engine at all.

A failure counts until a connection that was begun after it succeeds. Events
on older connections prove nothing: these may live on while new connections
are refused.
"""

import enum
from collections import deque

import attrs

from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.relay.const import (
    END_CONNECTED,
    END_PROBES,
    FAILURE_MAX_AGE_S,
    MIN_FAILED_CONNECTIONS,
    MIN_FAILED_ENGINES,
    MIN_FAILED_GROUPS,
)

__all__ = (
    'ContactFailure',
    'PartitionChange',
    'PartitionDetector',
    'Target',
    'target_of',
)

_NEVER_S = float('-inf')


class ContactFailure(enum.StrEnum):
    """How an engine was not reached."""

    TIMED_OUT = 'timed_out'
    REFUSED = 'refused'
    RESET = 'reset'
    SILENT = 'silent'


# Failures that a delay of this daemon's event loop can bring about.
_BY_TIME = frozenset((ContactFailure.TIMED_OUT, ContactFailure.SILENT))


@attrs.frozen
class Target:
    """An engine as far as it matters for the detection.

    Attributes
    ----------
    group
        What fails together: the engine's replica, or the engine.
    is_plain
        Whether it belongs to no model service.
    """

    engine: str
    group: str
    service: str
    availability_zone: str
    is_plain: bool


@attrs.frozen
class _Failure:
    target: Target
    kind: ContactFailure
    began_at_s: float
    seen_at_s: float


@attrs.frozen
class PartitionChange:
    """The beginning or end of a partition, and its cause."""

    partitioned: bool
    cause: str


@attrs.define
class PartitionDetector:
    """Failures and successes of connections to engines.

    Attributes
    ----------
    partitioned
        Whether this daemon reaches no engine.
    changed_at_s
        Monotonic time at which that last changed.
    connected_at_s
        Monotonic time at which the newest connection that succeeded was begun.
    """

    partitioned: bool = False
    changed_at_s: float = _NEVER_S
    connected_at_s: float = _NEVER_S
    _failures: dict[str, _Failure] = attrs.field(factory=dict)
    _probed: deque[tuple[str, bool]] = attrs.field(
        factory=lambda: deque(maxlen=END_PROBES)
    )

    def record_failure(
        self,
        target: Target,
        kind: ContactFailure,
        began_at_s: float,
        now_s: float,
    ) -> None:
        """Record a failed connection or a silent stream.

        Parameters
        ----------
        began_at_s
            Monotonic time at which the attempt that failed was begun, for a
            reset or a silence that at which it was seen.
        """
        if began_at_s > self.connected_at_s:
            failure = _Failure(target, kind, began_at_s, now_s)
            self._failures[target.engine] = failure

    def record_connected(self, began_at_s: float) -> None:
        """Record that a connection begun at a monotonic time succeeded."""
        if began_at_s <= self.connected_at_s:
            return
        self.connected_at_s = began_at_s
        self._failures = {
            engine: failure
            for engine, failure in self._failures.items()
            if failure.began_at_s > began_at_s
        }

    def record_probe(
        self,
        target: Target,
        failure: ContactFailure | None,
        began_at_s: float,
        now_s: float,
    ) -> None:
        """Record the end of a probe; without a failure it connected."""
        if failure is None:
            self.record_connected(began_at_s)
        else:
            self.record_failure(target, failure, began_at_s, now_s)
        if self.partitioned and began_at_s >= self.changed_at_s:
            self._probed.append((target.engine, failure is None))

    def is_suspected(self) -> bool:
        """Return whether there are failures and no later success."""
        return bool(self._failures) and not self.partitioned

    def failed_groups(self) -> frozenset[str]:
        """Return the groups with failures that count."""
        return frozenset(
            failure.target.group for failure in self._failures.values()
        )

    def unconnected_groups(self) -> frozenset[str]:
        """Return the groups to which connections failed or broke off."""
        return frozenset(
            failure.target.group
            for failure in self._failures.values()
            if failure.kind is not ContactFailure.SILENT
        )

    def check(
        self, now_s: float, delayed_at_s: float = _NEVER_S
    ) -> PartitionChange | None:
        """Return the beginning or the end of a partition, once.

        Parameters
        ----------
        delayed_at_s
            Monotonic time at which the event loop was last delayed so much
            that what had arrived was not read in time.
        """
        self._failures = {
            engine: failure
            for engine, failure in self._failures.items()
            if now_s - failure.seen_at_s <= FAILURE_MAX_AGE_S
            and (
                failure.kind not in _BY_TIME
                or failure.began_at_s > delayed_at_s
            )
        }
        if self.partitioned:
            return self._check_end(now_s)
        if not self._is_proven():
            return None
        self._change(True, now_s)
        return PartitionChange(True, self._cause())

    def _check_end(self, now_s: float) -> PartitionChange | None:
        connected = [engine for engine, is_up in self._probed if is_up]
        if len(connected) < END_CONNECTED:
            return None
        self._change(False, now_s)
        self._failures.clear()
        names = ' '.join(sorted(set(connected)))
        return PartitionChange(False, f'probes connected to {names}')

    def _change(self, partitioned: bool, now_s: float) -> None:
        self.partitioned = partitioned
        self.changed_at_s = now_s
        self._probed.clear()

    def _is_proven(self) -> bool:
        failures = self._failures.values()
        connections = sum(
            failure.kind is not ContactFailure.SILENT for failure in failures
        )
        services = {failure.target.service for failure in failures}
        only_plain = all(failure.target.is_plain for failure in failures)
        return (
            len(failures) >= MIN_FAILED_ENGINES
            and connections >= MIN_FAILED_CONNECTIONS
            and len(self.failed_groups()) >= MIN_FAILED_GROUPS
            and not (only_plain and len(services) == 1)
        )

    def _cause(self) -> str:
        return ' '.join(
            f'{failure.target.engine}:{failure.kind}'
            for failure in self._failures.values()
        )


def target_of(record: EngineRecord) -> Target:
    """Return an engine's target."""
    membership = record.membership
    group = record.engine if membership is None else membership.replica
    return Target(
        engine=record.engine,
        group=f'{record.service}/{group}',
        service=record.service,
        availability_zone=record.availability_zone,
        is_plain=not record.fabric_domain,
    )
