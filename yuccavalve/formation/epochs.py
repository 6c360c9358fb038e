"""Notice epochs of engines that are above those of the planner.

The epochs of a term are above all earlier ones only while the store loses no
write. Engines refuse lower ones than they have seen, and an order that fences
late orders has to be above theirs. A planner that meets a higher epoch
therefore begins a new term above it.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

from yuccavalve.formation.const import (
    EPOCHS_PER_TERM,
    MAX_HEEDED_EPOCH,
    REFUSED_TERM_FRACTION,
    REFUSED_TERMS,
)
from yuccavalve.formation.models import FormationInput, OrderTask
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrderKind,
    OrderOutcome,
)

__all__ = ('EpochWatch',)


@attrs.define
class EpochWatch:
    """Epochs that the engines of one service have shown, over all terms.

    Attributes
    ----------
    reported
        Highest epoch in engines' reports.
    """

    reported: int = 0
    _term: int = 0
    _last_epoch: int = 0
    _refused: bool = False
    _ordered: dict[str, int] = attrs.field(factory=dict)
    _refusals: Counter[tuple[str, int]] = attrs.field(factory=Counter)

    def start_term(self, term: int) -> None:
        """Forget the orders of an earlier term."""
        self._term = term
        self._last_epoch = term * EPOCHS_PER_TERM
        self._refused = False
        self._ordered.clear()

    def record_orders(self, tasks: Iterable[OrderTask]) -> None:
        """Record the epochs that engines are ordered to join."""
        for task in tasks:
            if task.order.kind is GroupOrderKind.JOIN:
                engine, epoch = task.engine.engine, task.order.epoch
                self._last_epoch = max(self._last_epoch, epoch)
                self._ordered[engine] = max(self._ordered.get(engine, 0), epoch)

    def record(self, task: OrderTask, outcome: OrderOutcome) -> None:
        """Record whether an engine refuses the epochs or fence of the term.

        It also refuses an order to join if a later one has overtaken it. One
        that refuses several terms in a row is no longer heeded, so that a
        faulty engine can't keep the planner from its work.
        """
        order = task.order
        if order.term != self._term:
            return
        is_join = order.kind is GroupOrderKind.JOIN
        start = (task.engine.engine, task.engine.born_ms)
        if is_join and outcome in {OrderOutcome.BEGUN, OrderOutcome.DONE}:
            self._refusals.pop(start, None)
        if outcome is not OrderOutcome.FENCED or self._refused:
            return
        if is_join and order.epoch < self._ordered.get(task.engine.engine, 0):
            return
        if self._refusals[start] < REFUSED_TERMS:
            self._refusals[start] += 1
            self._refused = True

    def higher_term(self, facts: FormationInput) -> int | None:
        """Return a term that the planner's has to be above, or None.

        Engines have seen epochs above the planner's. Its orders would be
        refused, or be taken for fences that they are not, so it must not take
        a step until a higher term has begun.
        """
        records = (*facts.unlisted.values(), *facts.engines.values())
        shown = max(self.reported, 0, *map(_shown_epoch, records))
        if shown > self._last_epoch:
            return shown // EPOCHS_PER_TERM
        if self._refused:
            # A refusal doesn't say how high the engine's epoch is.
            return self._term + int(self._term * REFUSED_TERM_FRACTION)
        return None

    def record_report(self, epoch: int) -> None:
        """Record the epoch in an engine's report."""
        if epoch <= MAX_HEEDED_EPOCH:
            self.reported = max(self.reported, epoch)


def _shown_epoch(record: EngineRecord) -> int:
    membership = record.membership
    if membership is None or membership.epoch > MAX_HEEDED_EPOCH:
        return 0
    return membership.epoch
