"""One daemon's view of the engine records in the store."""

from collections.abc import Callable, Iterable

import attrs
from absl import logging

from yuccavalve.fleet.const import (
    MAX_LOGGED_SILENCE_S,
    MAX_READ_GAP_S,
    MAX_REMOVALS_REMEMBERED,
    MIN_EXPIRY_SILENCE_S,
    RELIST_GRACE_S,
    UNLISTED_RETENTION_S,
)
from yuccavalve.fleet.memberships import MembershipHistory
from yuccavalve.ports.fleet import EngineChanges, EngineRecord, MemberState
from yuccavalve.ports.position import Position

__all__ = ('FleetView',)

_NEVER_S = float('-inf')
_MS = 1000
_FORMING_STATES = frozenset((MemberState.JOINING, MemberState.READY))


def _ignore_record(
    record: EngineRecord, read_at_s: float, is_start: bool
) -> None:
    """Do nothing."""


@attrs.define
class FleetView:
    """Engine records by engine id, kept up to date from the feed.

    Records that go missing during an outage of the store or shortly after it
    are kept for the time within which live engines are listed again.

    Attributes
    ----------
    version, era
        Position of the feed up to which changes were applied.
    read_at_s, first_read_at_s
        Monotonic times of the last and the first answer of the feed.
    as_of_s
        Monotonic time at which this daemon's last reading of the feed began.
        The records show all that the store had accepted by then.
    followed_since_s
        Monotonic time since which no engine can have been listed and removed
        unseen, as the feed was read often enough.
    revision
        Revision of this view, which grows with each change.
    relisted_at_s
        Monotonic time from which the records are those that engines have
        written since the store last returned from a copy.
    unlisted
        Records of engines that were removed recently and may still run. They
        get no new requests, but their replicas may serve on.
    on_record
        Called with each record that is read, the time of reading, and whether
        the engine has started since the engines were first read.
    withdrawn
        Those of them that withdrew their record. They serve on for some
        seconds, sometimes longer. The records of the others expired.
    leaving_at_s
        Monotonic times at which engines were first known to drain or to have
        withdrawn their record, unless they did when they were first read.
    memberships
        Heads of replicas, and engines that have left a replica.
    """

    version: int = 0
    era: int = 0
    read_at_s: float = _NEVER_S
    first_read_at_s: float = _NEVER_S
    as_of_s: float = _NEVER_S
    followed_since_s: float = _NEVER_S
    revision: int = 0
    relisted_at_s: float = _NEVER_S
    unlisted: dict[str, EngineRecord] = attrs.field(factory=dict)
    withdrawn: set[str] = attrs.field(factory=set)
    leaving_at_s: dict[str, float] = attrs.field(factory=dict)
    memberships: MembershipHistory = attrs.field(factory=MembershipHistory)
    on_record: Callable[[EngineRecord, float, bool], None] = _ignore_record
    _unlisted_at_s: dict[str, float] = attrs.field(factory=dict)
    _renewed_at_s: dict[str, float] = attrs.field(factory=dict)
    _records: dict[str, EngineRecord] = attrs.field(factory=dict)
    _revisions: dict[str, int] = attrs.field(factory=dict)
    _oldest_revision: int = 0
    _missing_since_s: dict[str, float] = attrs.field(factory=dict)
    _warm_at_s: dict[str, float] = attrs.field(factory=dict)
    _outage_until_s: float = _NEVER_S
    _leaving_born_ms: dict[str, int] = attrs.field(factory=dict)
    _routable: dict[str, tuple[EngineRecord, ...]] = attrs.field(factory=dict)
    _routable_version: int = -1

    @property
    def position(self) -> Position:
        """Return the position of the feed up to which changes were applied."""
        return Position(self.era, self.version)

    def record_outage(self, now_s: float) -> None:
        """Record that the feed does not answer."""
        self._outage_until_s = now_s + RELIST_GRACE_S

    def is_settled(self, now_s: float) -> bool:
        """Return whether a missing record is certain to be removed."""
        return now_s >= self._outage_until_s

    def apply(
        self,
        engine_changes: EngineChanges,
        now_s: float,
        began_at_s: float | None = None,
    ) -> bool:
        """Apply changes that this daemon read from the feed.

        Parameters
        ----------
        engine_changes
            Changes since the last reading, or all records.
        now_s
            Monotonic time.
        began_at_s
            Monotonic time at which the reading began; ``now_s`` if None.

        Returns
        -------
        bool
            Whether they were applied. They are not if another daemon has told
            of later ones meanwhile.
        """
        if engine_changes.position < self.position:
            return False
        self._record_era(engine_changes, now_s)
        self.version = engine_changes.version
        self.as_of_s = now_s if began_at_s is None else began_at_s
        self._record_read(now_s)
        for engine, record in engine_changes.records.items():
            self._log_change(engine, record, engine_changes)
            self._apply_record(engine, record, now_s)
        if engine_changes.is_complete:
            logging.info(
                'event=engines_read engines=%d version=%d',
                len(engine_changes.records),
                engine_changes.version,
            )
            for engine in self._records.keys() - engine_changes.records.keys():
                self._apply_record(engine, None, now_s)
        self._remove_expired(now_s)
        return True

    def apply_relayed(
        self,
        engine_changes: EngineChanges,
        read_at_s: float,
        now_s: float | None = None,
    ) -> bool:
        """Apply changes of another daemon's view unless they are older.

        Engines that the other daemon removed are removed at once: it has
        already waited for records that may be listed again.

        Parameters
        ----------
        engine_changes
            Changes, with the position of the feed that they reflect.
        read_at_s
            Monotonic time on this daemon's clock that is not later than
            the other daemon's reading of the feed.
        now_s
            Monotonic time; ``read_at_s`` if None.

        Returns
        -------
        bool
            Whether the changes were applied.
        """
        if engine_changes.position < self.position:
            return False
        self._record_era(engine_changes, read_at_s)
        self.version = engine_changes.version
        self._record_read(read_at_s)
        for engine, record in engine_changes.records.items():
            self._log_change(engine, record, engine_changes)
            if record is None:
                self._remove(engine, MIN_EXPIRY_SILENCE_S)
            else:
                self._apply_record(engine, record, read_at_s, now_s)
        if engine_changes.is_complete:
            for missing in self._records.keys() - engine_changes.records.keys():
                self._remove(missing, MIN_EXPIRY_SILENCE_S)
        return True

    def _record_era(self, engine_changes: EngineChanges, now_s: float) -> None:
        """Keep what the copy lacks once the store has returned from one.

        Engines write their records again with their next heartbeat. Until
        then the copy may lack them, or show an earlier state: of an engine that
        has begun to drain or has left since, or is in another replica.
        """
        is_return = self.version > 0 and engine_changes.era > self.era
        self.era = engine_changes.era
        if not is_return:
            return
        self.record_outage(now_s)
        self.relisted_at_s = self._outage_until_s
        self.followed_since_s = now_s
        # A record that is missing from the copy was not withdrawn.
        self._renewed_at_s.clear()
        known = (*self._records.values(), *self.unlisted.values())
        self._leaving_born_ms.update(
            (record.engine, record.born_ms)
            for record in known
            if record.draining or record.engine in self.withdrawn
        )

    def _is_from_copy(self, record: EngineRecord, now_s: float) -> bool:
        """Return whether a record is older than the one that is known.

        That happens for some time after a return from a copy. Later on a number
        that another writer gave an entry would hide those of the engine.
        """
        if now_s > self.relisted_at_s + UNLISTED_RETENTION_S:
            return False
        known = self._records.get(record.engine)
        if known is None:
            known = self.unlisted.get(record.engine)
        if known is None or known.born_ms != record.born_ms:
            return False
        return 0 < record.sequence < known.sequence

    def _record_read(self, read_at_s: float) -> None:
        if read_at_s - self.read_at_s > MAX_READ_GAP_S:
            self.followed_since_s = read_at_s
        self.read_at_s = max(self.read_at_s, read_at_s)
        if self.first_read_at_s == _NEVER_S:
            self.first_read_at_s = read_at_s

    def changed_since(
        self,
        revision: int,
    ) -> dict[str, EngineRecord | None] | None:
        """Return the records that changed after a revision of this view.

        Returns
        -------
        dict or None
            Records by engine, with None for a removed engine. None instead
            of a dict if that revision is too old or unknown, so that the caller
            needs all records.
        """
        if not self._oldest_revision <= revision <= self.revision:
            return None
        return {
            engine: self._records.get(engine)
            for engine, changed_revision in self._revisions.items()
            if changed_revision > revision
        }

    def mark_leaving(self, leaving: EngineRecord) -> bool:
        """Record that a start of an engine says that it leaves.

        Its record counts as draining from now on, whatever the store says.

        Returns
        -------
        bool
            Whether this is news of an engine that gets requests.
        """
        engine = leaving.engine
        self._leaving_born_ms[engine] = leaving.born_ms
        current = self._records.get(engine)
        if current is None or current == self._as_told(current):
            return False
        self._records[engine] = self._as_told(current)
        self.leaving_at_s.setdefault(engine, self.read_at_s)
        self._record_change(engine)
        return True

    def warmup_left_s(self, engine: str) -> float:
        """Return how long an engine stayed cold when this view was read."""
        return max(0, self._warm_at_s.get(engine, 0) - self.read_at_s)

    def records(self) -> Iterable[EngineRecord]:
        """Return the records of all engines that are not removed."""
        return self._records.values()

    def forget(self, engine: str) -> None:
        """Drop the record kept of a removed engine."""
        self.unlisted.pop(engine, None)
        self._unlisted_at_s.pop(engine, None)
        self.withdrawn.discard(engine)

    def engine(self, engine: str) -> EngineRecord | None:
        """Return the record of an engine, or None if it has none."""
        return self._records.get(engine)

    @property
    def missing(self) -> frozenset[str]:
        """Return the engines that are no longer listed, but may be again.

        Their records are kept meanwhile, and show what they last were.
        """
        return frozenset(self._missing_since_s)

    def is_listed(self, engine: str) -> bool:
        """Return whether the store currently lists an engine."""
        return engine in self._records and engine not in self._missing_since_s

    def backends(self, service: str) -> tuple[EngineRecord, ...]:
        """Return the backend servers of a service for new requests."""
        return tuple(
            record
            for record in self._routable_by_service().get(service, ())
            if record.membership is None
        )

    def heads(self, service: str, model: str) -> tuple[EngineRecord, ...]:
        """Return the head engines of a model's open replicas."""
        return tuple(
            record
            for record in self._routable_by_service().get(service, ())
            if record.membership is not None and model in record.models
        )

    def forming(self, service: str, model: str) -> frozenset[str]:
        """Return the replicas that are being formed for a model.

        Records don't name the model that an engine without one loads, so it
        counts for each model.
        """
        return frozenset(
            record.membership.replica
            for record in self._records.values()
            if record.service == service
            and _is_forming(record)
            and (not record.models or model in record.models)
        )

    def _routable_by_service(self) -> dict[str, tuple[EngineRecord, ...]]:
        if self._routable_version != self.revision:
            by_service: dict[str, list[EngineRecord]] = {}
            for record in self._records.values():
                if _takes_requests(record):
                    by_service.setdefault(record.service, []).append(record)
            self._routable = {
                service: tuple(records)
                for service, records in by_service.items()
            }
            self._routable_version = self.revision
        return self._routable

    def _apply_record(
        self,
        engine: str,
        record: EngineRecord | None,
        read_at_s: float,
        now_s: float | None = None,
    ) -> None:
        current = self._records.get(engine)
        if record is None:
            if current is not None and engine not in self._missing_since_s:
                self._missing_since_s[engine] = read_at_s
            return
        if current is not None and record.born_ms < current.born_ms:
            return
        if self._is_from_copy(record, read_at_s):
            self._missing_since_s.pop(engine, None)
            return
        self.on_record(record, read_at_s, self._is_start(record))
        self._warm_at_s.pop(engine, None)
        if record.warmup_left_s > 0:
            self._warm_at_s[engine] = read_at_s + record.warmup_left_s
        record = self._as_told(record)
        self._missing_since_s.pop(engine, None)
        self._record_leaving(record, current, read_at_s)
        # Engines left before this daemon learned of it, not before the reading.
        learned_at_s = read_at_s if now_s is None else now_s
        self.memberships.record(record, learned_at_s)
        self.forget(engine)
        self._renewed_at_s[engine] = read_at_s
        if record != current:
            self._records[engine] = record
            self._record_change(engine)

    def _record_leaving(
        self, record: EngineRecord, current: EngineRecord | None, now_s: float
    ) -> None:
        if not record.draining:
            self.leaving_at_s.pop(record.engine, None)
        elif current is not None and not current.draining:
            self.leaving_at_s[record.engine] = now_s

    def _is_start(self, record: EngineRecord) -> bool:
        """Return whether an engine started after the first reading."""
        if self.read_at_s <= self.first_read_at_s:
            return False
        known = self._records.get(record.engine)
        if known is None:
            known = self.unlisted.get(record.engine)
        return known is None or known.born_ms != record.born_ms

    def _as_told(self, record: EngineRecord) -> EngineRecord:
        """Return a record with what the engine itself said of leaving."""
        if self._leaving_born_ms.get(record.engine) != record.born_ms:
            return record
        return attrs.evolve(record, draining=True)

    def _record_change(self, engine: str) -> None:
        self.revision += 1
        self._revisions[engine] = self.revision
        if len(self._revisions) > len(self._records) + MAX_REMOVALS_REMEMBERED:
            self._oldest_revision = self.revision
            self._revisions = {
                each: revision
                for each, revision in self._revisions.items()
                if each in self._records
            }

    def _remove_expired(self, now_s: float) -> None:
        """Remove engines that have left or whose records have expired.

        A record that was still renewed when it went missing was withdrawn,
        so its engine is removed even if the feed has just failed. An engine
        whose record expired may only have been cut off from the store; it is
        removed once the grace time after the outage has passed.
        """
        for engine, unlisted_at_s in list(self._unlisted_at_s.items()):
            if now_s - unlisted_at_s > UNLISTED_RETENTION_S:
                self.forget(engine)
        self.memberships.forget_before(now_s - UNLISTED_RETENTION_S)
        self._leaving_born_ms = {
            leaving: born_ms
            for leaving, born_ms in self._leaving_born_ms.items()
            if leaving in self._records or leaving in self.unlisted
        }
        for leaving in self.leaving_at_s.keys() - self._records.keys():
            if leaving not in self.unlisted:
                self.leaving_at_s.pop(leaving)
        settled = self.is_settled(now_s)
        for engine, since_s in list(self._missing_since_s.items()):
            silent_s = since_s - self._renewed_at_s.get(engine, _NEVER_S)
            if settled or silent_s < MIN_EXPIRY_SILENCE_S:
                self._remove(engine, silent_s)

    def _remove(self, engine: str, silent_s: float) -> None:
        self._missing_since_s.pop(engine, None)
        self._renewed_at_s.pop(engine, None)
        self._warm_at_s.pop(engine, None)
        record = self._records.pop(engine, None)
        if record is None:
            return
        self.unlisted[engine] = record
        self._unlisted_at_s[engine] = self.read_at_s
        if silent_s < MIN_EXPIRY_SILENCE_S:
            self.withdrawn.add(engine)
            if not record.draining:
                self.leaving_at_s[engine] = self.read_at_s
        self._record_change(engine)
        logging.info(
            'event=engine_gone engine=%s silent_ms=%d',
            engine,
            min(silent_s, MAX_LOGGED_SILENCE_S) * _MS,
        )

    def _log_change(
        self,
        engine: str,
        record: EngineRecord | None,
        engine_changes: EngineChanges,
    ) -> None:
        """Log an engine that is new or that begins to drain."""
        current = self._records.get(engine)
        if record is None or engine_changes.is_complete:
            return
        if current is None or current.born_ms != record.born_ms:
            logging.info(
                'event=engine_listed engine=%s service=%s born_ms=%d '
                'address=%s domain=%s',
                record.engine,
                record.service,
                record.born_ms,
                record.address,
                record.fabric_domain,
            )
        elif record.draining and not current.draining:
            logging.info('event=engine_draining engine=%s', record.engine)


def _is_forming(record: EngineRecord) -> bool:
    membership = record.membership
    if membership is None or record.draining:
        return False
    return membership.state in _FORMING_STATES


def _takes_requests(record: EngineRecord) -> bool:
    if record.draining:
        return False
    membership = record.membership
    if membership is None:
        return not record.fabric_domain
    return membership.rank == 0 and membership.state is MemberState.OPEN
