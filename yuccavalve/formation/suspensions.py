"""Suspend joins of a model whose join orders crash engines.

An engine that ends shortly after an order to join is evidence against the
model of the order. Engines also end for other reasons while they join, so
evidence leads to a suspension only if joins of another model succeed or none
of this model has succeeded, and if fewer engines end without an order to join.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs
from absl import logging

from yuccavalve.formation.const import (
    END_NOTICE_S,
    JOIN_CRASH_S,
    JOIN_CRASHES,
    JOIN_EVIDENCE_S,
    JOIN_SUCCESS_MAX_AGE_S,
    JOIN_SUSPENSION_MAX_S,
    JOIN_SUSPENSION_S,
    JOIN_TRIAL_TIMEOUT_S,
    LATE_END_NOTICE_S,
)
from yuccavalve.formation.models import FormationInput, OrderTask
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrderKind,
    MemberState,
    OrderOutcome,
)

__all__ = ('JoinSuspensions',)

_MAX_NOTICE_S = JOIN_CRASH_S + END_NOTICE_S
_SUCCEEDED = frozenset((MemberState.READY, MemberState.OPEN))


@attrs.define
class _OrderedJoin:
    """The first order for an engine to join a replica.

    Attributes
    ----------
    reached
        Whether the order may have reached the engine.
    """

    model: str
    epoch: int
    ordered_at_s: float
    reached: bool = False


@attrs.frozen
class _End:
    """An engine that ended; ``model`` is empty if it had no fresh order."""

    engine: str
    domain: str
    model: str
    seen_at_s: float


@attrs.define
class _Suspension:
    """Suspension of a model's joins, and the engine of its trial."""

    duration_s: float
    began_at_s: float
    trial: str = ''
    trial_epoch: int = 0

    def is_over(self, now_s: float) -> bool:
        """Return whether a trial may begin."""
        return now_s - self.began_at_s >= self.duration_s


@attrs.define
class JoinSuspensions:
    """Evidence against models, and the models whose joins are suspended.

    The state is not shared: a planner that takes over starts without evidence,
    and reads only from records which models have joined engines.
    """

    suspended: dict[str, _Suspension] = attrs.field(factory=dict)
    _joins: dict[str, _OrderedJoin] = attrs.field(factory=dict)
    _engines: dict[str, tuple[EngineRecord, float]] = attrs.field(factory=dict)
    _ended: dict[str, int] = attrs.field(factory=dict)
    _ends: list[_End] = attrs.field(factory=list)
    _succeeded_at_s: dict[str, float] = attrs.field(factory=dict)

    def clear(self) -> None:
        """Forget all evidence and suspensions."""
        self.suspended.clear()
        self._joins.clear()
        self._engines.clear()
        self._ended.clear()
        self._ends.clear()
        self._succeeded_at_s.clear()

    def record_orders(self, tasks: Iterable[OrderTask], now_s: float) -> None:
        """Record orders to join; repeated ones change nothing."""
        for task in tasks:
            order = task.order
            if order.kind is not GroupOrderKind.JOIN:
                continue
            join = self._joins.get(task.engine.engine)
            if join is None or join.epoch != order.epoch:
                self._joins[task.engine.engine] = _OrderedJoin(
                    order.model, order.epoch, now_s
                )

    def record_outcome(self, task: OrderTask, outcome: OrderOutcome) -> None:
        """Record whether an order to join may have reached its engine.

        An engine that already refused the first order ended before it.
        """
        join = self._joins.get(task.engine.engine)
        if join is not None and join.epoch == task.order.epoch:
            join.reached |= outcome is not OrderOutcome.NOT_REACHED

    def update(self, facts: FormationInput, now_s: float) -> frozenset[str]:
        """Evaluate the records, and return the suspended models."""
        self._record_successes(facts, now_s)
        self._record_ends(facts, now_s)
        for model in facts.models:
            if model.name not in self.suspended:
                self._evaluate(facts, model.name, now_s)
        for model, suspension in list(self.suspended.items()):
            if suspension.trial:
                self._finish_trial(suspension, now_s)
            elif self._is_refuted(facts, model, suspension, now_s):
                self._resume(model, 'other engines have ended as well')
        return frozenset(self.suspended)

    def due_trials(self, now_s: float) -> list[str]:
        """Return the models of which one engine may be ordered to join."""
        return [
            model
            for model, suspension in self.suspended.items()
            if not suspension.trial and suspension.is_over(now_s)
        ]

    def begin_trial(self, model: str, engine: str, epoch: int) -> None:
        """Record the engine that joins for a suspended model."""
        suspension = self.suspended[model]
        suspension.trial = engine
        suspension.trial_epoch = epoch
        logging.info('event=join_trial model=%s engine=%s', model, engine)

    def may_send(self, task: OrderTask) -> bool:
        """Return whether an order is none to join for a suspended model."""
        suspension = self.suspended.get(task.order.model)
        if suspension is None or task.order.kind is not GroupOrderKind.JOIN:
            return True
        return suspension.trial == task.engine.engine

    def suspects(self, now_s: float) -> frozenset[str]:
        """Return engines to be probed as earlier ones of their model ended."""
        models = {end.model for end in self._ends}
        return frozenset(
            engine
            for engine, join in self._joins.items()
            if (join.model in models or join.model in self.suspended)
            and now_s - join.ordered_at_s <= _MAX_NOTICE_S
        )

    def _record_successes(self, facts: FormationInput, now_s: float) -> None:
        for record in facts.engines.values():
            membership = record.membership
            if membership is None or record.engine in facts.dead:
                continue
            if membership.state in _SUCCEEDED:
                self._succeeded_at_s.update(dict.fromkeys(record.models, now_s))
                self._finish_join(record.engine, membership.epoch)
        self._succeeded_at_s = {
            model: at_s
            for model, at_s in self._succeeded_at_s.items()
            if now_s - at_s <= JOIN_SUCCESS_MAX_AGE_S
        }

    def _finish_join(self, engine: str, epoch: int) -> None:
        join = self._joins.get(engine)
        if join is not None and join.epoch == epoch:
            self._joins.pop(engine)
            self._record_success(join.model)

    def _record_success(self, model: str) -> None:
        self._ends = [end for end in self._ends if end.model != model]
        if model in self.suspended:
            self._resume(model, 'an engine has joined')

    def _resume(self, model: str, cause: str) -> None:
        self.suspended.pop(model)
        logging.info('event=joins_resumed model=%s cause=%r', model, cause)

    def _record_ends(self, facts: FormationInput, now_s: float) -> None:
        """Record engines that ended since the last step."""
        self._ends = [
            end
            for end in self._ends
            if now_s - end.seen_at_s <= JOIN_EVIDENCE_S + LATE_END_NOTICE_S
        ]
        for engine, (seen, _) in list(self._engines.items()):
            if _has_ended(facts, seen):
                self._engines.pop(engine)
                self._ended[engine] = seen.born_ms
                self._record_end(facts, seen, now_s)
        self._ended = {
            ended: born_ms
            for ended, born_ms in self._ended.items()
            if ended in facts.engines
        }
        for record in facts.engines.values():
            is_dead = record.engine in facts.dead
            if is_dead or record.born_ms <= self._ended.get(record.engine, -1):
                continue
            _, since_s = self._engines.get(record.engine, (record, now_s))
            self._engines[record.engine] = (record, since_s)

    def _record_end(
        self, facts: FormationInput, record: EngineRecord, now_s: float
    ) -> None:
        join = self._joins.pop(record.engine, None)
        if record.draining or record.engine in facts.withdrawn:
            return
        model = ''
        if join is not None and join.reached:
            age_s = now_s - join.ordered_at_s
            if _MAX_NOTICE_S < age_s <= LATE_END_NOTICE_S:
                # It may have ended at once and been noticed only now.
                return
            if age_s <= _MAX_NOTICE_S:
                model = join.model
        if model:
            logging.info(
                'event=join_crash engine=%s model=%s', record.engine, model
            )
            self._fail_trial(model, record.engine, now_s)
        self._ends.append(
            _End(record.engine, record.fabric_domain, model, now_s)
        )

    def _evaluate(
        self, facts: FormationInput, model: str, now_s: float
    ) -> None:
        if self._is_proven(facts, model, now_s):
            self._suspend(model, JOIN_SUSPENSION_S, now_s)

    def _suspend(self, model: str, duration_s: float, now_s: float) -> None:
        duration_s = min(duration_s, JOIN_SUSPENSION_MAX_S)
        self.suspended[model] = _Suspension(duration_s, now_s)
        logging.warning(
            'event=joins_suspended model=%s duration_s=%d engines=%s',
            model,
            duration_s,
            ','.join(end.engine for end in self._ends if end.model == model),
        )

    def _is_refuted(
        self,
        facts: FormationInput,
        model: str,
        suspension: _Suspension,
        now_s: float,
    ) -> bool:
        """Return whether ends noticed since then explain the evidence."""
        if suspension.duration_s > JOIN_SUSPENSION_S:
            return False
        if now_s - suspension.began_at_s > LATE_END_NOTICE_S:
            return False
        return not self._is_proven(facts, model, suspension.began_at_s)

    def _is_proven(
        self, facts: FormationInput, model: str, at_s: float
    ) -> bool:
        """Return whether the evidence against a model is no coincidence."""
        since_s = at_s - JOIN_EVIDENCE_S
        recent = [end for end in self._ends if end.seen_at_s >= since_s]
        crashes = [end for end in recent if end.model == model]
        others = [end for end in recent if not end.model]
        if len(crashes) < JOIN_CRASHES:
            return False
        has_joined = model in self._succeeded_at_s
        if has_joined:
            dark = self._dark_domains(facts)
            crashes = [end for end in crashes if end.domain not in dark]
        if len(crashes) < JOIN_CRASHES or len(others) >= len(crashes):
            return False
        crashing = {end.model for end in recent}
        return not has_joined or bool(self._succeeded_at_s.keys() - crashing)

    def _dark_domains(self, facts: FormationInput) -> set[str]:
        """Return domains of whose other engines most ended as well."""
        counts: Mapping[str, list[int]] = defaultdict(lambda: [0, 0])
        begun_s = min(end.seen_at_s for end in self._ends)
        for end in self._ends:
            counts[end.domain][0] += not end.model
        for record, since_s in self._engines.values():
            is_survivor = since_s < begun_s and record.engine not in facts.dead
            counts[record.fabric_domain][1] += is_survivor
        return {
            domain
            for domain, (ended, survivors) in counts.items()
            if ended >= survivors
        }

    def _fail_trial(self, model: str, engine: str, now_s: float) -> None:
        suspension = self.suspended.get(model)
        if suspension is not None and suspension.trial == engine:
            self._suspend(model, suspension.duration_s * 2, now_s)

    def _finish_trial(self, suspension: _Suspension, now_s: float) -> None:
        """Allow another trial if the last one has ended without a result."""
        join = self._joins.get(suspension.trial)
        if join is None or join.epoch != suspension.trial_epoch:
            suspension.trial = ''
        elif now_s - join.ordered_at_s > JOIN_TRIAL_TIMEOUT_S:
            suspension.trial = ''


def _has_ended(facts: FormationInput, seen: EngineRecord) -> bool:
    """Return whether the process of a record has ended."""
    record = facts.engines.get(seen.engine)
    if record is None:
        return facts.settled
    return seen.engine in facts.dead or record.born_ms > seen.born_ms
