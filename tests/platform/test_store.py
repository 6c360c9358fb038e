"""What the store's answers mean for the rows of yuccavalve."""

import json
import unittest

from tests.support.byte_server import ByteServer
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.ports import Transaction, Write
from yuccavalve.ports.position import Position
from yuccavalve_platform.client import JsonClient
from yuccavalve_platform.store import RoutingRows, StoreTable

_TIMEOUT_S = 5.0
_WHOLE_BODY = b'{"ver": 7, "now_ms": 1}'
_HEAD = b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n'
_WRITE = Transaction((), (Write('lease/planner', {'holder': 'a'}),))


class StoreAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A store whose answers may be broken off."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the server."""
        self.server = ByteServer()
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_stop)
        self.table = StoreTable.from_address(
            JsonClient(), self.server.address, _TIMEOUT_S
        )

    async def test_write_answered_in_part_may_have_applied(self) -> None:
        for length in range(len(_WHOLE_BODY)):
            self.server.answer_bytes = _HEAD + _WHOLE_BODY[:length]
            with (
                self.subTest(length=length),
                self.assertRaises(StoreUnavailableError) as raised,
            ):
                await self.table.async_transact(_WRITE)
            self.assertTrue(raised.exception.may_have_applied)

    async def test_refused_write_has_not_applied(self) -> None:
        self.server.answer_bytes = (
            b'HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n'
        )
        with self.assertRaises(StoreUnavailableError) as raised:
            await self.table.async_transact(_WRITE)
        self.assertFalse(raised.exception.may_have_applied)

    async def test_rows_answered_in_part_are_unread(self) -> None:
        whole = b'{"ver": 7, "rows": []}'
        for length in range(len(whole)):
            self.server.answer_bytes = _HEAD + whole[:length]
            with (
                self.subTest(length=length),
                self.assertRaises(StoreUnavailableError),
            ):
                await self.table.async_scan('lease/')

    async def test_evacuations_arrive_without_a_change_of_the_routes(
        self,
    ) -> None:
        rows = [
            {'key': 'evacuate/z1', 'value': 'e30=', 'ver': 7},
            {'key': 'evacuate/z2', 'is_gone': True, 'ver': 8},
            {'key': 'evacuate/', 'value': 'e30=', 'ver': 8},
            {'key': 'evacuated', 'value': 'e30=', 'ver': 8},
            {'key': 'evacuate/z3', 'part': 'x', 'value': 'e30=', 'ver': 8},
            {'key': 'evacuate/\ud800', 'value': 'e30=', 'ver': 8},
            *(7, None, {'ver': 8}, {'key': ['config'], 'ver': 8}),
        ]
        body = json.dumps({'ver': 8, 'rows': rows}).encode()
        self.server.answer_bytes = _HEAD + body
        feed = RoutingRows(self.table.calls)
        changes = await feed.async_wait(Position(0, 6), 0)
        self.assertEqual(changes.document, b'')
        self.assertEqual(changes.evacuated, {'z1': True, 'z2': False})
        self.assertFalse(changes.is_complete)
        self.assertTrue((await feed.async_read()).is_complete)
