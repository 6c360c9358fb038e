"""What the store's answers mean for the rows of yuccavalve."""

import unittest

from tests.support.byte_server import ByteServer
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.ports import Transaction, Write
from yuccavalve_platform.client import JsonClient
from yuccavalve_platform.store import StoreTable

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
