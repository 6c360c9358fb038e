"""Start to form new replicas and to warm engines for the next ones."""

from collections.abc import Iterator, Mapping

import attrs
from absl import logging

from yuccavalve.formation.const import EPOCHS_PER_TERM, OTHER_LOADS_FRACTION
from yuccavalve.formation.load_rate import LoadRateLimiter
from yuccavalve.formation.models import (
    FormationInput,
    FormingReplica,
    ObservedReplica,
)
from yuccavalve.formation.observation import (
    cold_members,
    held_model,
    is_loading,
    is_warm,
    usable_engines,
)
from yuccavalve.formation.selection import choose_next, choose_warm
from yuccavalve.formation.spares import choose_spares
from yuccavalve.formation.suspensions import JoinSuspensions
from yuccavalve.formation.warming import Warmups
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.routing import ModelProfile

__all__ = ('ReplicaStarter',)


@attrs.define
class ReplicaStarter:
    """Starts replicas and warm-ups, and assigns their epochs.

    Attributes
    ----------
    loads
        Rate limit of loads from the weight store.
    suspensions
        Models whose joins are suspended, except for trials.
    warmups
        Spares that are being warmed.
    """

    loads: LoadRateLimiter
    suspensions: JoinSuspensions
    warmups: Warmups = attrs.field(factory=Warmups)
    _term: int = 0
    _epochs: int = 0

    def start_term(self, term: int) -> None:
        """Reset the state and assign epochs of a new term."""
        self._term = term
        self._epochs = 0
        self.warmups.clear()
        self.suspensions.clear()

    def form(
        self,
        facts: FormationInput,
        counts: dict[str, int],
        taken: set[str],
        now_s: float,
    ) -> Iterator[FormingReplica]:
        """Yield replicas that begin to form; update ``counts`` and ``taken``.

        Once callers' requests have begun, replicas are formed only of engines
        that need no load. Other engines are warmed first, so that the
        remaining members are not bound during a load and can replace members
        of other replicas that die.
        """
        choose = choose_warm if facts.started else choose_next
        while self._has_epochs():
            chosen = choose(facts, usable_engines(facts, taken), counts)
            if chosen is None:
                return
            model, members = chosen
            yield self._begin(model, members, now_s)
            taken.update(record.engine for record in members)
            counts[model.name] += 1

    def renew(
        self,
        forming: FormingReplica,
        records: list[EngineRecord],
        now_s: float,
    ) -> FormingReplica:
        """Return a replica of the same members, all ready, with a new epoch."""
        return self._begin(forming.model, records, now_s)

    def next_epoch(self) -> int:
        """Return an epoch above all earlier ones."""
        self._epochs += 1
        return self._term * EPOCHS_PER_TERM + self._epochs

    def warm(
        self,
        facts: FormationInput,
        replicas: Mapping[str, ObservedReplica],
        counts: Mapping[str, int],
        taken: set[str],
        now_s: float,
    ) -> None:
        """Start to warm engines for the next replicas, then other spares."""
        self._begin_trials(facts, taken, now_s)
        reserved = set(taken)
        planned = dict(counts)
        wanted: list[tuple[EngineRecord, ModelProfile]] = []
        while True:
            usable = usable_engines(facts, reserved)
            chosen = choose_next(facts, usable, planned)
            if chosen is None:
                break
            model, members = chosen
            planned[model.name] += 1
            reserved.update(record.engine for record in members)
            wanted.extend(
                (record, model)
                for record in members
                if not _is_prepared(facts, record, model.name)
            )
        wanted.extend(choose_spares(facts, usable, replicas))
        for record, model in wanted:
            self._begin_warming(facts, record, model, now_s)
        self.warmups.remove_finished(facts, taken, now_s)

    def _begin(
        self,
        model: ModelProfile,
        members: list[EngineRecord],
        now_s: float,
    ) -> FormingReplica:
        cold = cold_members(members, model.name)
        epoch = self.next_epoch()
        forming = FormingReplica.of(
            f'r{epoch}',
            epoch,
            model,
            members,
            now_s,
            model.load_s if cold else model.warm_s,
        )
        self.loads.start(cold, now_s)
        logging.info(
            'event=replica_forming replica=%s epoch=%d model=%s domain=%s '
            'cold=%d members=%s',
            forming.replica,
            epoch,
            model.name,
            members[0].fabric_domain,
            cold,
            ','.join(forming.members),
        )
        return forming

    def _begin_trials(
        self, facts: FormationInput, taken: set[str], now_s: float
    ) -> None:
        """Warm one spare for each model whose suspension is over."""
        for name in self.suspensions.due_trials(now_s):
            model = next((each for each in facts.models if each.name == name))
            spare = _trial_spare(facts, taken, name)
            if spare is None:
                continue
            epoch = self._begin_warming(facts, spare, model, now_s)
            if epoch is not None:
                self.suspensions.begin_trial(name, spare.engine, epoch)

    def _begin_warming(
        self,
        facts: FormationInput,
        record: EngineRecord,
        model: ModelProfile,
        now_s: float,
    ) -> int | None:
        """Start to warm a spare; return its epoch, or None if not allowed."""
        loads = int(not is_warm(record, model.name))
        if not self._has_epochs():
            return None
        fraction = 1.0
        if facts.missing and model.name not in facts.missing:
            fraction = OTHER_LOADS_FRACTION
        if not self.loads.may_start(facts, loads, now_s, fraction):
            return None
        self.loads.start(loads, now_s)
        epoch = self.next_epoch()
        self.warmups.begin(record, model, epoch, now_s)
        return epoch

    def _has_epochs(self) -> bool:
        return self._epochs < EPOCHS_PER_TERM


def _trial_spare(
    facts: FormationInput, taken: set[str], model: str
) -> EngineRecord | None:
    """Return the spare that a trial costs least: one that holds the model."""
    spares = [
        record
        for records in usable_engines(facts, taken).values()
        for record in records
        if not is_loading(facts, record)
    ]
    return min(
        spares,
        default=None,
        key=lambda each: (
            not is_warm(each, model),
            bool(held_model(facts, each)),
            each.engine,
        ),
    )


def _is_prepared(
    facts: FormationInput,
    record: EngineRecord,
    model: str,
) -> bool:
    """Return whether an engine holds a model, or is loading any model.

    A load that is in progress is finished even if it is of another model:
    aborting it costs more than one spare too many. For a model without a
    replica it is aborted, since the engine could not join before two loads.
    """
    if is_warm(record, model):
        return True
    if model in facts.missing and held_model(facts, record) != model:
        return held_model(facts, record) in facts.missing and is_loading(
            facts, record
        )
    return is_loading(facts, record)
