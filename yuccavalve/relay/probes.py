"""Choose when and which engines are probed."""

from collections import Counter, deque
from collections.abc import Collection, Iterable
from random import Random

import attrs

from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.relay.const import PROBE_BURST, PROBE_PERIOD_S, PROBES_PER_S
from yuccavalve.relay.detector import Target, target_of

__all__ = ('ProbeSchedule',)

_WINDOW_S = 1.0


@attrs.define
class ProbeSchedule:
    """The probes of the last second; they never exceed ``PROBES_PER_S``."""

    random: Random
    total: int = 0
    _begun_at_s: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=PROBES_PER_S)
    )
    _recent: deque[Target] = attrs.field(
        factory=lambda: deque(maxlen=PROBES_PER_S)
    )

    def due(self, now_s: float, *, partitioned: bool) -> int:
        """Return how many probes may begin now.

        At the first failure several follow at once, so that a partition is
        known after one further timeout. While partitioned they are spread out.
        """
        recent = sum(now_s - at_s < _WINDOW_S for at_s in self._begun_at_s)
        room = PROBES_PER_S - recent
        if not partitioned:
            return min(PROBE_BURST, room)
        last_at_s = self._begun_at_s[-1] if self._begun_at_s else now_s - 1
        is_due = now_s - last_at_s >= PROBE_PERIOD_S
        return min(1, room) if is_due else 0

    def choose(
        self,
        records: Iterable[EngineRecord],
        avoided_groups: Collection[str],
        now_s: float,
    ) -> EngineRecord | None:
        """Return the engine for the next probe, or None, and count it.

        Engines of groups without failures come first, then those of zones and
        services that were probed least: a zone that failed must not be taken
        for a partition.
        """
        zones = Counter(each.availability_zone for each in self._recent)
        services = Counter(each.service for each in self._recent)
        groups = {each.group for each in self._recent}
        best: EngineRecord | None = None
        best_rank: tuple[float, ...] = ()
        for record in records:
            target = target_of(record)
            rank = (
                target.group in avoided_groups or target.group in groups,
                zones[target.availability_zone],
                services[target.service],
                self.random.random(),
            )
            if best is None or rank < best_rank:
                best, best_rank = record, rank
        if best is not None:
            self._begun_at_s.append(now_s)
            self._recent.append(target_of(best))
            self.total += 1
        return best
