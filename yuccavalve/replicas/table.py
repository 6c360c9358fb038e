"""Table of the replica records that this daemon knows."""

from collections.abc import Iterable

import attrs
import xxhash

from yuccavalve.hashing import hash64
from yuccavalve.replicas.const import RELEASED_RETENTION_S
from yuccavalve.replicas.lifecycle import state_rank
from yuccavalve.replicas.models import Replica, ReplicaState

__all__ = ('ReplicaTable',)


@attrs.define
class ReplicaTable:
    """Records by name; the furthest state wins, in whatever order merged."""

    _records: dict[str, Replica] = attrs.field(factory=dict)
    _released_at_s: dict[str, float] = attrs.field(factory=dict)
    _digest: int | None = None

    def merge(self, records: Iterable[Replica], now_s: float) -> None:
        """Store records whose state is further than the known one.

        A released record that is not known has been removed here already, so
        it is ignored.
        """
        for record in records:
            if self._is_newer(record):
                self._store(record, now_s)

    def reconcile(self, stored: Iterable[Replica], now_s: float) -> None:
        """Merge the complete list of the table service.

        A known record that is missing there has been released, unless it is
        newer than all that are listed.
        """
        records = list(stored)
        present = {record.replica for record in records}
        newest = max((record.incarnation for record in records), default=0)
        released = [
            attrs.evolve(record, state=ReplicaState.RELEASED)
            for record in self._records.values()
            if record.replica not in present and record.incarnation < newest
        ]
        self.merge([*records, *released], now_s)

    def all_records(self) -> list[Replica]:
        """Return the records of replicas that are not released."""
        return [
            record
            for record in self._records.values()
            if record.state is not ReplicaState.RELEASED
        ]

    def serving(self, group: str) -> list[Replica]:
        """Return a group's serving replicas."""
        return [
            record
            for record in self._records.values()
            if record.group == group and record.state is ReplicaState.SERVING
        ]

    def serving_order(self) -> list[Replica]:
        """Return all serving replicas, sorted by name."""
        return [
            self._records[name]
            for name in sorted(self._records)
            if self._records[name].state is ReplicaState.SERVING
        ]

    def get(self, replica: str) -> Replica | None:
        """Return a record by name."""
        return self._records.get(replica)

    def state_hashes(self) -> list[int]:
        """Return a short hash of each record's name and state."""
        return [_state_hash(record) for record in self._records.values()]

    def unknown_to(self, state_hashes: Iterable[int]) -> list[Replica]:
        """Return the records that a peer with these hashes lacks."""
        known = set(state_hashes)
        return [
            record
            for record in self._records.values()
            if _state_hash(record) not in known
        ]

    def digest(self) -> int:
        """Return a hash of the names and states of unreleased records."""
        if self._digest is None:
            state_hashes = sorted(map(_state_hash, self.all_records()))
            text = ' '.join(map(str, state_hashes))
            self._digest = xxhash.xxh64_intdigest(text.encode())
        return self._digest

    def _is_newer(self, record: Replica) -> bool:
        known = self._records.get(record.replica)
        if known is None:
            return record.state is not ReplicaState.RELEASED
        return _state_rank(known) < _state_rank(record)

    def _store(self, record: Replica, now_s: float) -> None:
        self._records[record.replica] = record
        self._digest = None
        if record.state is ReplicaState.RELEASED:
            self._released_at_s[record.replica] = now_s

    def sweep(self, now_s: float) -> None:
        """Remove records that were released long ago."""
        for name, since_s in list(self._released_at_s.items()):
            if now_s - since_s > RELEASED_RETENTION_S:
                self._released_at_s.pop(name)
                self._records.pop(name, None)
                self._digest = None


def _state_rank(record: Replica) -> int:
    return state_rank(record.state)


def _state_hash(record: Replica) -> int:
    return hash64(f'{record.replica}|{record.state}')
