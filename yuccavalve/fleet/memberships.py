"""Remember the heads of replicas, and which engines have left a replica."""

import attrs

from yuccavalve.fleet.const import MAX_RECORDS_REMEMBERED
from yuccavalve.ports.fleet import EngineRecord

__all__ = ('Departure', 'MembershipHistory')


@attrs.frozen
class Departure:
    """An engine's leaving of a replica.

    It may have been in another one since, between two readings of the list.

    Attributes
    ----------
    rank
        Its index among the members; the head engine has 0.
    at_s
        Monotonic time at which its record first showed that it had left.
    """

    replica: str
    epoch: int
    rank: int
    at_s: float


@attrs.define
class MembershipHistory:
    """What records have shown of replicas beyond the present records.

    Attributes
    ----------
    heads
        Newest record of each replica's head engine, by replica.
    departures
        Engines that have left a replica and joined none since.
    """

    heads: dict[str, EngineRecord] = attrs.field(factory=dict)
    departures: dict[str, Departure] = attrs.field(factory=dict)
    _joined: dict[str, EngineRecord] = attrs.field(factory=dict)

    def record(self, record: EngineRecord, now_s: float) -> None:
        """Record an engine's new record."""
        membership = record.membership
        last = self._joined.pop(record.engine, None)
        if membership is not None:
            self.departures.pop(record.engine, None)
            _remember(self._joined, record.engine, record)
            if not membership.rank:
                _remember(self.heads, membership.replica, record)
            return
        if last is None or last.membership is None:
            return
        left = last.membership
        if last.born_ms == record.born_ms:
            self.departures[record.engine] = Departure(
                left.replica, left.epoch, left.rank, now_s
            )

    def forget_before(self, at_s: float) -> None:
        """Forget the departures before a monotonic time."""
        self.departures = {
            engine: departure
            for engine, departure in self.departures.items()
            if departure.at_s >= at_s
        }


def _remember(
    records: dict[str, EngineRecord], key: str, record: EngineRecord
) -> None:
    """Store a record as the newest one; drop the oldest of too many."""
    records.pop(key, None)
    records[key] = record
    if len(records) > MAX_RECORDS_REMEMBERED:
        records.pop(next(iter(records)))
