"""Pass the planner's orders to head engines on through other daemons.

An engine that does not answer the planner may be cut off from it alone, and
serve other daemons. One of them can then give it the order. Silence at all of
them proves no end: it may serve on, out of reach.
"""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.daemon.loop_delay import LoopDelay
from yuccavalve.exceptions import EngineNotListeningError, EngineResetError
from yuccavalve.formation import OrderTask
from yuccavalve.formation.const import (
    ENGINE_SILENCE_S,
    ORDER_TIMEOUT_S,
    PASSING_DAEMONS,
    PASSING_TIMEOUT_S,
)
from yuccavalve.membership import Member
from yuccavalve.peers import PeerClient, PeerUnreachableError
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.ports.fleet import (
    EngineControlPort,
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    OrderOutcome,
)

__all__ = ('OrderPasser', 'PassedOrders', 'joint_outcome')

_ANSWERS = (
    OrderOutcome.DONE,
    OrderOutcome.BEGUN,
    OrderOutcome.REFUSED,
    OrderOutcome.FENCED,
    OrderOutcome.OTHER_ENGINE,
    OrderOutcome.NOT_REACHED,
)


def joint_outcome(outcomes: Sequence[OrderOutcome]) -> OrderOutcome:
    """Return the outcome of an order that several daemons have passed on.

    The engine is silent if half of them or more found it silent: those that
    did not reply may have been cut off together with it.
    """
    for answer in _ANSWERS:
        if answer in outcomes:
            return answer
    silent = outcomes.count(OrderOutcome.SILENT)
    if silent and silent * 2 >= len(outcomes):
        return OrderOutcome.SILENT
    return OrderOutcome.UNKNOWN


@attrs.define
class OrderPasser:
    """Asks other daemons to give an order to an engine.

    Attributes
    ----------
    others
        Returns the other live daemons.
    """

    peers: PeerClient
    random: Random
    others: Callable[[], list[Member]]

    async def async_pass_on(self, task: OrderTask) -> OrderOutcome:
        """Have some daemons give an order; return their joint outcome."""
        others = self.others()
        asked = self.random.sample(others, min(PASSING_DAEMONS, len(others)))
        order = task.order
        request = peer_pb2.OrderRequest(
            engine=task.engine.engine,
            address=task.engine.address,
            kind=order.kind.value,
            replica=order.replica,
            epoch=order.epoch,
            term=order.term,
        )
        outcomes = await asyncio.gather(
            *(self._async_ask(member, request) for member in asked)
        )
        outcome = joint_outcome(outcomes)
        logging.info(
            'event=order_passed_on engine=%s order=%s replica=%s asked=%d '
            'outcome=%s',
            task.engine.engine,
            order.kind,
            order.replica,
            len(asked),
            outcome,
        )
        return outcome

    async def _async_ask(
        self, member: Member, request: peer_pb2.OrderRequest
    ) -> OrderOutcome:
        try:
            reply = await self.peers.async_call(
                member.peer_address, 'Order', request, PASSING_TIMEOUT_S
            )
            return OrderOutcome(reply.outcome)
        except (PeerUnreachableError, ValueError):
            return OrderOutcome.UNKNOWN


@attrs.define
class PassedOrders:
    """Gives engines the orders that a planner passes on.

    Attributes
    ----------
    is_doubtful_reach
        Returns whether this daemon may reach no engine at all; silence is no
        evidence then.
    """

    orders: EngineControlPort
    clock: Clock
    loop_delay: LoopDelay
    is_doubtful_reach: Callable[[], bool]

    async def async_carry_out(self, request: Any) -> str:
        """Repeat an order until it is answered; return its outcome.

        Silence counts only if this daemon was not slow itself in the end, and
        the engine does not reset connections.
        """
        order = GroupOrder(
            GroupOrderKind(request.kind),
            request.replica,
            request.epoch,
            term=request.term,
        )
        engine = EngineRecord(request.engine, '', request.address, '')
        until_s = self.clock.now_s() + ENGINE_SILENCE_S
        is_conclusive = False
        while True:
            began_at_s = self.clock.now_s()
            left_s = until_s - began_at_s
            if left_s <= 0:
                break
            outcome = await self._async_order(engine, order, left_s)
            if outcome is not OrderOutcome.UNKNOWN:
                return outcome.value
            is_conclusive = not self.loop_delay.was_delayed_since(began_at_s)
        if not is_conclusive or self.is_doubtful_reach():
            return OrderOutcome.UNKNOWN.value
        if await self._async_shows_life(engine):
            return OrderOutcome.UNKNOWN.value
        return OrderOutcome.SILENT.value

    async def _async_shows_life(self, engine: EngineRecord) -> bool:
        """Return whether an engine reports, or resets the connection."""
        try:
            return await self.orders.async_report(engine) is not None
        except EngineResetError:
            return True
        except EngineNotListeningError:
            return False

    async def _async_order(
        self, engine: EngineRecord, order: GroupOrder, limit_s: float
    ) -> OrderOutcome:
        """Give an order once; an early failure counts as a time-out."""
        timeout = asyncio.create_task(
            asyncio.sleep(min(limit_s, ORDER_TIMEOUT_S))
        )
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self.orders.async_order(engine, order)
        except TimeoutError:
            outcome = OrderOutcome.UNKNOWN
        if outcome is OrderOutcome.UNKNOWN:
            await timeout
        timeout.cancel()
        return outcome
