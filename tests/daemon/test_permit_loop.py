"""How a daemon asks for permits."""

import unittest
from random import Random

import attrs

from tests.support.limit_model import ENGINE
from yuccavalve.clock import ManualClock
from yuccavalve.daemon.permit_loop import PermitLoop
from yuccavalve.peers import PeerUnreachableError
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.limit_news import answer_permits
from yuccavalve.ratelimit import LimitTable, PermitGrantor, RateLimiter
from yuccavalve.ratelimit.const import PERMIT_LIFETIME_S

_LIMIT_PER_S = 10


@attrs.define
class _Peers:
    """Daemons by address; the others don't answer.

    Attributes
    ----------
    delay_s
        Time that each call takes.
    """

    clock: ManualClock
    grantors: dict[str, PermitGrantor] = attrs.field(factory=dict)
    called: list[str] = attrs.field(factory=list)
    delay_s: float = 0

    async def async_call(
        self,
        address: str,
        method: str,
        request: peer_pb2.PermitsRequest,
        timeout_s: float,
    ) -> peer_pb2.PermitsReply:
        """Answer as the daemon at an address does."""
        self.called.append(address)
        if address not in self.grantors:
            raise PeerUnreachableError(address)
        reply = answer_permits(
            self.grantors[address], request, self.clock.now_s()
        )
        self.clock.advance(self.delay_s)
        return reply


class PermitLoopTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that wants permits, and the planner at address ``p``."""

    def setUp(self) -> None:  # noqa: N802
        """Let the planner's bucket fill."""
        self.clock = ManualClock(100)
        self.planner = PermitGrantor(LimitTable(), lambda: 1)
        self.planner.table.record_named(ENGINE, _LIMIT_PER_S, 100)
        self.peers = _Peers(self.clock, {'p': self.planner})
        table = LimitTable()
        table.record_named(ENGINE, _LIMIT_PER_S, 100)
        self.limiter = RateLimiter(Random(1), table, lambda: 4)
        self.addresses = ['p']
        self.loop = PermitLoop(
            self.limiter,
            PermitGrantor(table),
            self.peers,
            self.clock,
            Random(1),
            'member',
            lambda: self.addresses,
        )

    async def _async_want(self) -> float:
        self.limiter.want(ENGINE, self.clock.now_s())
        return await self.loop.async_ask()

    async def _async_want_twice(self) -> None:
        """Ask once to create the bucket, and again when it is full."""
        await self._async_want()
        self.clock.advance(0.5)
        await self._async_want()

    def _held(self) -> int:
        return self.limiter.permits_held(self.clock.now_s())

    async def test_nothing_is_asked_without_demand(self) -> None:
        await self.loop.async_ask()
        self.assertEqual(self.peers.called, [])

    async def test_planner_is_asked_for_what_is_wanted(self) -> None:
        await self._async_want_twice()
        self.assertEqual(self._held(), 2)

    async def test_daemon_that_knows_the_planner_is_followed(self) -> None:
        self.peers.grantors['q'] = PermitGrantor(
            LimitTable(), holder_address=lambda: 'p'
        )
        self.addresses = ['gone', 'q', 'r']
        await self._async_want_twice()
        self.assertEqual(self.peers.called[:3], ['gone', 'q', 'p'])
        self.assertEqual(self._held(), 2)

    async def test_daemons_that_name_each_other_are_asked_once(self) -> None:
        for address, other in (('q', 'r'), ('r', 'q')):
            self.peers.grantors[address] = PermitGrantor(
                LimitTable(),
                holder_address=lambda other=other: other,
            )
        self.addresses = ['q']
        await self._async_want()
        self.assertEqual(self.peers.called, ['q', 'r'])

    async def test_answer_that_is_late_brings_no_valid_permits(self) -> None:
        await self._async_want()
        self.clock.advance(0.5)
        self.peers.delay_s = PERMIT_LIFETIME_S
        await self._async_want()
        self.assertEqual(self._held(), 0)

    async def test_reserve_is_used_when_no_planner_answers(self) -> None:
        self.addresses = ['gone']
        await self._async_want()
        self.clock.advance(2)
        self.limiter.allows(ENGINE, self.clock.now_s())
        self.clock.advance(10)
        self.assertTrue(self.limiter.allows(ENGINE, self.clock.now_s()))
