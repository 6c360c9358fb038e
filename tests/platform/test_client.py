"""Calls whose answers are no JSON, or don't end."""

import asyncio
import base64
import unittest

from tests.support.byte_server import ByteServer
from yuccavalve.exceptions import EngineNotListeningError, EngineResetError
from yuccavalve.fleet.notices import NoticeRelay
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    OrderOutcome,
)
from yuccavalve_platform.client import JsonClient, UnansweredError
from yuccavalve_platform.engines import EngineControl
from yuccavalve_platform.store import EngineRows, StoreTable

_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
_SPACES = b' ' * 65536
_SENT_LIMIT_BYTES = 8000000
_WAIT_S = 5


class JsonClientTest(unittest.IsolatedAsyncioTestCase):
    """A server that answers with bytes of no use."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the server."""
        self.server = ByteServer()
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_stop)
        self.client = JsonClient()

    async def test_deeply_nested_body_is_no_json(self) -> None:
        self.server.answer_bytes = _HEAD + b'[' * 100000
        reply = await self.client.async_call(
            self.server.address, 'GET', '/x', _WAIT_S
        )
        self.assertEqual((reply.status, reply.body), (200, None))

    async def test_deeply_nested_record_names_no_engine(self) -> None:
        record = base64.b64encode(b'[' * 40000)
        self.server.answer_bytes = _HEAD + (
            b'{"ver": 1, "rows": [{"key": "i-1", "ver": 1, "value": "%b"}]}'
            % record
        )
        table = StoreTable.from_address(
            self.client, self.server.address, _WAIT_S
        )
        changes = await EngineRows(table.calls).async_read()
        self.assertEqual(changes.records, {'i-1': None})

    async def test_body_larger_than_the_limit_is_unanswered(self) -> None:
        self.server.answer_bytes = _HEAD + b'"0123456789"'
        with self.assertRaises(UnansweredError) as raised:
            await self.client.async_call(
                self.server.address, 'GET', '/x', _WAIT_S, limit_bytes=10
            )
        self.assertTrue(raised.exception.sent)

    async def test_order_of_a_planner_whose_lease_ran_out_is_not_sent(
        self,
    ) -> None:
        engine = EngineRecord(
            'i-1', 'llm', self.server.address, 'zone-a', draining=False
        )
        outcome = await EngineControl(self.client, NoticeRelay()).async_order(
            engine,
            GroupOrder(GroupOrderKind.STAGE, model='m', term=1),
            may_send=lambda: False,
        )
        self.assertEqual(outcome, OrderOutcome.UNKNOWN)
        await self.server.caller_closed.wait()
        self.assertEqual(self.server.request_head, b'')

    async def test_only_an_established_connection_is_reset(self) -> None:
        """A probe that is reset was taken for one that is not answered."""
        engine = EngineRecord(
            'i-1', 'llm', self.server.address, 'zone-a', draining=False
        )
        control = EngineControl(self.client, NoticeRelay())
        self.assertIsNone(await control.async_report(engine))
        self.server.resets = True
        with self.assertRaises(EngineResetError):
            await control.async_report(engine)
        await self.server.async_stop()
        with self.assertRaises(EngineNotListeningError):
            await control.async_report(engine)

    async def test_endless_report_of_an_engine_is_closed_early(self) -> None:
        self.server.answer_bytes = _HEAD
        self.server.repeated_bytes = _SPACES
        engine = EngineRecord(
            'i-1', 'llm', self.server.address, 'zone-a', draining=False
        )
        async with asyncio.timeout(_WAIT_S):
            report = await EngineControl(
                self.client, NoticeRelay()
            ).async_report(engine)
            await self.server.caller_closed.wait()
        self.assertIsNone(report)
        self.assertLess(self.server.sent_bytes, _SENT_LIMIT_BYTES)
