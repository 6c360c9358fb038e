"""Count the calls to engines that the planner makes besides requests."""

import attrs

from yuccavalve.clock import Clock
from yuccavalve.fleet.activity import process_hash
from yuccavalve.ports.fleet import (
    EngineControlPort,
    EngineRecord,
    EngineReport,
    GroupOrder,
    OrderOutcome,
)
from yuccavalve.ports.sending import MaySend, always
from yuccavalve.ratelimit import PermitGrantor

__all__ = ('CountedControl',)


@attrs.frozen
class CountedControl:
    """Takes orders and probes from the engines' limits before requests."""

    control: EngineControlPort
    grantor: PermitGrantor
    clock: Clock

    async def async_order(
        self,
        engine: EngineRecord,
        order: GroupOrder,
        may_send: MaySend = always,
    ) -> OrderOutcome:
        """Send an order and return its outcome."""
        self._spend(engine)
        return await self.control.async_order(engine, order, may_send)

    async def async_report(self, engine: EngineRecord) -> EngineReport | None:
        """Return the engine's report; None without a valid one in time."""
        self._spend(engine)
        return await self.control.async_report(engine)

    def _spend(self, engine: EngineRecord) -> None:
        self.grantor.spend(process_hash(engine), 1, self.clock.now_s())
