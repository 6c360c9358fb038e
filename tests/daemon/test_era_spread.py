"""What hundreds of daemons do when the store returns from a copy."""

import unittest
from collections import Counter
from collections.abc import Iterable
from random import Random
from unittest import mock

from tests.platform import builders
from tests.support.builders import member
from yuccavalve.daemon.gateway_loops import EngineLoop
from yuccavalve.daemon.gateway_node import GatewayNode, build_gateway_node
from yuccavalve.daemon.gateway_peers import MemberLoop
from yuccavalve.eras import FIRST_STATED_ERA
from yuccavalve.exceptions import EraEndedError, FeedHistoryLostError
from yuccavalve_platform.daemon import build_ports

_DAEMONS = 380
# A quarter of the 400 writing calls a second of a small deployment, and its
# 2,000 reading ones in a tenth of a second: a follower reads three pages.
_MAX_WRITES_PER_S = 100
_WINDOWS_PER_S = 10
_MAX_READERS = 66


def _most_in_one(times_s: Iterable[float]) -> int:
    return max(Counter(map(int, times_s)).values())


class EraSpreadTest(unittest.IsolatedAsyncioTestCase):
    """A daemon among hundreds, drawn again and again."""

    def setUp(self) -> None:
        """Build a follower that knows the others."""
        self.random = Random(1)

    def _build(self, *, follows: bool = True) -> GatewayNode:
        settings = builders.settings('127.0.0.1:1')
        node = build_gateway_node(settings, build_ports(settings), self.random)
        node.member_rows_read = True
        node.share_state.follows = follows
        node.roster.learn_all(
            member(f'd{number}') for number in range(_DAEMONS - 1)
        )
        return node

    async def test_rows_are_written_one_after_another(self) -> None:
        node = self._build()
        began_s = node.clock.now_s()
        due_s = []
        for era in range(2, _DAEMONS + 2):
            loop = MemberLoop(node, registered=True)
            node.ports.eras.record_peer(era * FIRST_STATED_ERA)
            due_s.append(loop._rewrite_at_s)
        self.assertLessEqual(_most_in_one(due_s), _MAX_WRITES_PER_S)
        self.assertLess(max(due_s) - began_s, 10)

    async def _async_waits_s(
        self, node: GatewayNode, error: FeedHistoryLostError
    ) -> list[float]:
        """Return how long a loop waits after an error, for each daemon."""
        feed = mock.Mock()
        feed.async_read = mock.AsyncMock(side_effect=[error, KeyboardInterrupt])
        waits_s = []
        for _ in range(_DAEMONS):
            feed.async_read.side_effect = [error, KeyboardInterrupt]
            with (
                mock.patch.object(
                    type(node.ports), 'engine_feed', feed, create=True
                ),
                mock.patch('asyncio.sleep', mock.AsyncMock()) as slept,
                self.assertRaises(KeyboardInterrupt),
            ):
                await EngineLoop(node).async_run()
            waits_s.append(slept.call_args.args[0] if slept.call_args else 0)
        return waits_s

    async def test_followers_take_turns_to_read_anew(self) -> None:
        waits_s = await self._async_waits_s(self._build(), EraEndedError(''))
        windows = (wait_s * _WINDOWS_PER_S for wait_s in waits_s)
        self.assertLessEqual(_most_in_one(windows), _MAX_READERS)

    async def test_hub_reads_at_once(self) -> None:
        node = self._build(follows=False)
        waits_s = await self._async_waits_s(node, EraEndedError(''))
        self.assertEqual(set(waits_s), {0})

    async def test_loss_of_history_alone_is_no_reason_to_wait(self) -> None:
        node = self._build()
        waits_s = await self._async_waits_s(node, FeedHistoryLostError(''))
        self.assertEqual(set(waits_s), {0})
