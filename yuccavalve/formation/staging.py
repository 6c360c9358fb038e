"""Stage a second model on the hosts of engines.

An engine has one model in memory, while its host can hold others. If the host
holds a second model, the engine can join a replica of either within a second
or two. Then any spare can replace any member, and a replica of one model can
be given up for another without a load from the weight store.
"""

from collections.abc import Iterator

import attrs
from absl import logging

from yuccavalve.formation.const import FORMING_FACTOR, STAGING_FRACTION
from yuccavalve.formation.load_rate import LoadRateLimiter
from yuccavalve.formation.models import FormationInput, OrderTask
from yuccavalve.formation.observation import held_model, is_loading
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    MemberState,
)
from yuccavalve.routing import ModelProfile

__all__ = ('HostStaging',)


@attrs.frozen
class _HostLoad:
    born_ms: int
    model: str
    give_up_at_s: float


@attrs.define
class HostStaging:
    """Starts and tracks loads of a second model onto hosts.

    Attributes
    ----------
    loads
        Rate limit of loads from the weight store, shared by all parts of the
        planner.
    """

    loads: LoadRateLimiter
    _in_progress: dict[str, _HostLoad] = attrs.field(factory=dict)

    def clear(self) -> None:
        """Forget the loads in progress."""
        self._in_progress.clear()

    def tasks(
        self,
        facts: FormationInput,
        term: int,
        now_s: float,
    ) -> Iterator[OrderTask]:
        """Start loads within the limits and yield the orders for them."""
        self._remove_ended(facts, now_s)
        for record in facts.engines.values():
            model = _second_model(facts, record)
            if model is None or record.engine in self._in_progress:
                continue
            if not self._may_start(facts, now_s):
                return
            self.loads.start(1, now_s)
            self._in_progress[record.engine] = _HostLoad(
                record.born_ms,
                model.name,
                now_s + model.load_s * FORMING_FACTOR,
            )
            logging.info(
                'event=host_staging engine=%s model=%s',
                record.engine,
                model.name,
            )
            order = GroupOrder(
                GroupOrderKind.STAGE,
                model=model.name,
                term=term,
            )
            yield OrderTask(record, order)

    def _remove_ended(self, facts: FormationInput, now_s: float) -> None:
        """Forget loads that have ended or timed out."""
        for engine, staging in list(self._in_progress.items()):
            record = facts.engines.get(engine)
            ended = (
                record is None
                or record.born_ms != staging.born_ms
                or staging.model in record.staged
            )
            if ended or now_s > staging.give_up_at_s:
                self._in_progress.pop(engine)

    def _may_start(self, facts: FormationInput, now_s: float) -> bool:
        """Return whether a load may begin beside those of spares."""
        profile = facts.service.engine
        if profile is None or not facts.started:
            return True
        if facts.missing:
            # A model without a replica needs the whole rate of loads.
            return False
        max_loads = max(1, int(profile.max_concurrent_loads * STAGING_FRACTION))
        if len(self._in_progress) >= max_loads:
            return False
        return self.loads.may_start(facts, 1, now_s)


def _second_model(
    facts: FormationInput,
    record: EngineRecord,
) -> ModelProfile | None:
    """Return the second model that an engine's host should load, or None."""
    membership = record.membership
    is_joining = (
        membership is not None and membership.state is MemberState.JOINING
    )
    if record.draining or is_joining or is_loading(facts, record):
        return None
    if record.availability_zone in facts.evacuated:
        return None
    held = held_model(facts, record)
    if held not in record.models or record.engine in facts.dead:
        return None
    others = [model for model in facts.joinable_models if model.name != held]
    if any(model.name in record.staged for model in others):
        return None
    # The loss of any member stops a replica, so larger models come first.
    return max(others, default=None, key=lambda model: model.size)
