"""How a daemon keeps its list of engines."""

import unittest
from random import Random
from unittest import mock

import attrs

from tests.platform import builders
from yuccavalve.daemon.gateway_loops import EngineLoop
from yuccavalve.daemon.gateway_node import build_gateway_node
from yuccavalve.ports.fleet import EngineChanges, EngineRecord
from yuccavalve_platform.daemon import build_ports

_RECORD = EngineRecord('i-1', 'portal', '10.0.0.1:1', 'a')


class OvertakenReadingTest(unittest.IsolatedAsyncioTestCase):
    """Another daemon tells of later changes while the store answers."""

    async def test_full_reading_is_repeated(self) -> None:
        """A planner would not learn when engines renewed their records."""
        settings = builders.settings('127.0.0.1:1')
        feed = mock.Mock()
        ports = attrs.evolve(build_ports(settings), engine_feed=feed)
        node = build_gateway_node(settings, ports, Random(1))
        node.record_planning(True)

        async def async_read() -> EngineChanges:
            version = 100 + 10 * feed.async_read.call_count
            if version == 110:
                later = EngineChanges(115, {'i-1': _RECORD})
                node.view.apply_relayed(later, node.clock.now_s())
            return EngineChanges(version, {'i-1': _RECORD}, is_complete=True)

        feed.async_read = mock.AsyncMock(side_effect=async_read)
        feed.async_changes = mock.AsyncMock(side_effect=KeyboardInterrupt)
        with (
            mock.patch('asyncio.sleep', mock.AsyncMock()),
            self.assertRaises(KeyboardInterrupt),
        ):
            await EngineLoop(node).async_run()
        self.assertEqual(feed.async_read.call_count, 2)
        self.assertEqual(node.view.version, 120)
