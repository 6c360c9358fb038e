"""Warm spares, so that they can join a replica at once.

An engine joins fastest if its last replica had the same model. A spare is
therefore ordered to join a standby replica as its only member, and stays there
until it is needed. A standby replica is never opened, so it gets no requests.
"""

from collections.abc import Iterator, Mapping

import attrs
from absl import logging

from yuccavalve.formation.const import (
    FORMING_FACTOR,
    FORMING_MARGIN_S,
)
from yuccavalve.formation.models import FormationInput, OrderTask
from yuccavalve.formation.observation import standby_name
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    MemberState,
)
from yuccavalve.routing import ModelProfile

__all__ = ('WarmingSpare', 'Warmups')


@attrs.frozen
class WarmingSpare:
    """A spare that is being warmed."""

    engine: str
    born_ms: int
    replica: str
    epoch: int
    model: str
    give_up_at_s: float


@attrs.define
class Warmups:
    """Starts and tracks the warming of spares."""

    _warming: dict[str, WarmingSpare] = attrs.field(factory=dict)

    def clear(self) -> None:
        """Forget all spares; records show which ones are warm."""
        self._warming.clear()

    def models(self) -> Mapping[str, str]:
        """Return the models that spares are warmed for, by engine."""
        return {each.engine: each.model for each in self._warming.values()}

    def begin(
        self,
        record: EngineRecord,
        model: ModelProfile,
        epoch: int,
        now_s: float,
    ) -> None:
        """Start to warm a spare."""
        limit_s = model.load_s * FORMING_FACTOR + FORMING_MARGIN_S
        warming = WarmingSpare(
            record.engine,
            record.born_ms,
            standby_name(model.name, epoch),
            epoch,
            model.name,
            now_s + limit_s,
        )
        self._warming[record.engine] = warming
        logging.info(
            'event=spare_warming engine=%s model=%s replica=%s domain=%s',
            warming.engine,
            warming.model,
            warming.replica,
            record.fabric_domain,
        )

    def remove_finished(
        self,
        facts: FormationInput,
        taken: set[str],
        now_s: float,
    ) -> None:
        """Forget spares that are warm, lost, taken or that have timed out."""
        self._warming = {
            engine: each
            for engine, each in self._warming.items()
            if engine not in taken
            and now_s <= each.give_up_at_s
            and _is_warming(facts, each)
        }

    def tasks(self, facts: FormationInput, term: int) -> Iterator[OrderTask]:
        """Yield the orders for spares that have not joined yet."""
        for each in self._warming.values():
            record = facts.engines[each.engine]
            membership = record.membership
            if membership is None or membership.epoch != each.epoch:
                order = GroupOrder(
                    GroupOrderKind.JOIN,
                    each.replica,
                    each.epoch,
                    each.model,
                    (each.engine,),
                    term,
                )
                yield OrderTask(record, order)


def _is_warming(facts: FormationInput, warming: WarmingSpare) -> bool:
    record = facts.engines.get(warming.engine)
    if record is None or record.born_ms != warming.born_ms:
        return False
    if record.draining or warming.engine in facts.dead:
        return False
    if facts.is_evacuated(warming.engine):
        return False
    membership = record.membership
    if membership is None or membership.epoch < warming.epoch:
        return True
    is_joining = membership.state is MemberState.JOINING
    return membership.epoch == warming.epoch and is_joining
