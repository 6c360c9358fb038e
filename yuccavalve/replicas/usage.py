"""Measure downtime of groups and stranded time of hosts."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from yuccavalve.replicas.models import Replica, ReplicaState

__all__ = ('ReplicaUsage',)

_WAITING = 'waiting'


@attrs.define
class ReplicaUsage:
    """Downtime and stranded time, as seen by the planner's lease holder."""

    downtime_by_cause_s: Counter[str] = attrs.field(factory=Counter)
    stranded_host_s: float = 0
    _recorded_at_s: float | None = None

    def pause(self) -> None:
        """Stop counting, as another daemon holds the lease."""
        self._recorded_at_s = None

    def record(
        self,
        records: Iterable[Replica],
        wanted: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Add the time since the last call, by the present states."""
        previous_at_s = self._recorded_at_s
        self._recorded_at_s = now_s
        if previous_at_s is None:
            return
        elapsed_s = now_s - previous_at_s
        held = list(records)
        for record in held:
            if record.state is not ReplicaState.SERVING:
                self.stranded_host_s += elapsed_s * len(record.hosts)
        for group, count in wanted.items():
            in_group = [each for each in held if each.group == group]
            self._record_group(in_group, count, elapsed_s)

    def _record_group(
        self,
        in_group: list[Replica],
        wanted: int,
        elapsed_s: float,
    ) -> None:
        others = [
            record.state.value
            for record in in_group
            if record.state is not ReplicaState.SERVING
        ]
        missing = max(0, wanted - (len(in_group) - len(others)))
        for cause in others[:missing]:
            self.downtime_by_cause_s[cause] += elapsed_s
        waiting = max(0, missing - len(others))
        if waiting:
            self.downtime_by_cause_s[_WAITING] += waiting * elapsed_s
