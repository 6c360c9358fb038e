"""Orders that the planner has other daemons give to a head engine."""

import asyncio
import unittest
from random import Random

import attrs

from tests.support.queue_model import head_record
from yuccavalve.clock import BootClock
from yuccavalve.daemon.loop_delay import LoopDelay
from yuccavalve.daemon.order_passing import OrderPasser, PassedOrders
from yuccavalve.exceptions import EngineResetError
from yuccavalve.formation import OrderTask
from yuccavalve.formation.const import ENGINE_SILENCE_S, PASSING_DAEMONS
from yuccavalve.membership import Member
from yuccavalve.peers import PeerUnreachableError
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.ports.fleet import (
    EngineRecord,
    EngineReport,
    GroupOrder,
    GroupOrderKind,
    OrderOutcome,
)


@attrs.define
class _Engine:
    """An engine that gives its outcomes in order, the last one repeatedly."""

    outcomes: list[OrderOutcome]
    resets: bool = False
    orders: list[tuple[EngineRecord, GroupOrder]] = attrs.field(factory=list)

    async def async_order(
        self, engine: EngineRecord, order: GroupOrder
    ) -> OrderOutcome:
        """Return the next outcome."""
        self.orders.append((engine, order))
        if len(self.outcomes) > 1:
            return self.outcomes.pop(0)
        return self.outcomes[0]

    async def async_report(self, engine: EngineRecord) -> EngineReport | None:
        """Return no report, or reset the connection."""
        if self.resets:
            raise EngineResetError('connection reset')
        return None


@attrs.define
class _Peers:
    """Daemons by address; the others don't reply."""

    daemons: dict[str, PassedOrders]
    asked: int = 0

    async def async_call(
        self, address: str, method: str, request: object, timeout_s: float
    ) -> peer_pb2.OrderReply:
        """Pass a request on to a daemon."""
        self.asked += 1
        if address not in self.daemons:
            raise PeerUnreachableError(address)
        outcome = await self.daemons[address].async_carry_out(request)
        return peer_pb2.OrderReply(outcome=outcome)


def _member(number: int) -> Member:
    return Member(f'm{number}', f'f{number}', '', '', '', f'a{number}')


class OrderPassingTest(unittest.IsolatedAsyncioTestCase):
    """Three other daemons, each with its own way to the engine."""

    def setUp(self) -> None:
        """Create the order to be passed on."""
        self.order = GroupOrder(GroupOrderKind.LEAVE, 'r7', 7, term=2)
        self.doubtful = False

    def _daemon(self, *outcomes: OrderOutcome) -> PassedOrders:
        return PassedOrders(
            _Engine(list(outcomes)),
            BootClock(),
            LoopDelay(),
            lambda: self.doubtful,
        )

    async def _async_pass_on(
        self, daemons: list[PassedOrders], known: int = 3
    ) -> OrderOutcome:
        self.peers = _Peers(
            {f'a{number}': each for number, each in enumerate(daemons)}
        )
        passer = OrderPasser(
            self.peers,
            Random(1),
            lambda: [_member(number) for number in range(known)],
        )
        task = OrderTask(head_record('i-1'), self.order)
        return await passer.async_pass_on(task)

    async def test_one_daemon_that_reaches_the_engine_suffices(self) -> None:
        reaching = self._daemon(OrderOutcome.UNKNOWN, OrderOutcome.DONE)
        cut = [self._daemon(OrderOutcome.UNKNOWN) for _ in range(2)]
        outcome = await self._async_pass_on([*cut, reaching])
        self.assertIs(outcome, OrderOutcome.DONE)
        engine, order = reaching.orders.orders[-1]
        self.assertEqual(order, self.order)
        self.assertEqual(
            (engine.engine, engine.address), ('i-1', head_record('i-1').address)
        )

    async def test_engine_is_silent_only_after_the_allowed_silence(
        self,
    ) -> None:
        began_s = asyncio.get_running_loop().time()
        daemons = [self._daemon(OrderOutcome.UNKNOWN) for _ in range(3)]
        outcome = await self._async_pass_on(daemons)
        took_s = asyncio.get_running_loop().time() - began_s
        self.assertIs(outcome, OrderOutcome.SILENT)
        self.assertGreaterEqual(took_s, ENGINE_SILENCE_S)

    async def test_engine_that_resets_connections_is_not_silent(self) -> None:
        """Its members joined others while its replica was open."""
        daemons = [self._daemon(OrderOutcome.UNKNOWN) for _ in range(3)]
        for daemon in daemons:
            daemon.orders.resets = True
        outcome = await self._async_pass_on(daemons)
        self.assertIs(outcome, OrderOutcome.UNKNOWN)

    async def test_too_few_replies_prove_nothing(self) -> None:
        daemon = self._daemon(OrderOutcome.UNKNOWN)
        outcome = await self._async_pass_on([daemon])
        self.assertIs(outcome, OrderOutcome.UNKNOWN)

    async def test_daemon_that_may_reach_no_engine_proves_nothing(self) -> None:
        self.doubtful = True
        daemon = self._daemon(OrderOutcome.UNKNOWN)
        outcome = await self._async_pass_on([daemon], known=1)
        self.assertIs(outcome, OrderOutcome.UNKNOWN)

    async def test_asks_a_bounded_number_of_daemons(self) -> None:
        outcome = await self._async_pass_on([], known=PASSING_DAEMONS * 3)
        self.assertIs(outcome, OrderOutcome.UNKNOWN)
        self.assertEqual(self.peers.asked, PASSING_DAEMONS)
