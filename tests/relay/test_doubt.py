"""Test how an engine is chosen while a partition is suspected."""

import unittest
from random import Random
from unittest import mock

from yuccavalve.clock import ManualClock
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.gateway.dispatch import Dispatcher
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.relay import ContactFailure, EngineReach
from yuccavalve.results import ResultCode


class DoubtfulReachTest(unittest.IsolatedAsyncioTestCase):
    """Two engines weren't reached, which is not enough for a partition."""

    async def test_request_waits_for_a_slot(self) -> None:
        """Guards against refusing what the admission queue would hold."""
        reach = EngineReach(active=True)
        for name in ('i-0', 'i-1'):
            engine = EngineRecord(name, 'llm', 'a:1', 'zone-a')
            reach.record_failure(engine, ContactFailure.REFUSED, 10, 10)
        self.assertTrue(reach.doubtful)
        dispatcher = Dispatcher(
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            ManualClock(10),
            Random(1),
            reach=reach,
            relay=mock.Mock(),
            admission=mock.Mock(),
        )
        dispatcher.selector.choose.side_effect = RequestRefusedError(
            ResultCode.QUEUE_FULL, 'all slots are in use'
        )
        free = EngineRecord('i-2', 'llm', 'a:1', 'zone-a')
        dispatcher.admission.async_choose = mock.AsyncMock(return_value=free)
        routed = mock.Mock(
            relayed=False, may_have_run=False, response_began=False, tried=[]
        )
        chosen = await dispatcher._async_choose(routed, mock.Mock())
        self.assertEqual(chosen, free)
