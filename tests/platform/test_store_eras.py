"""Answers of a store before and after it has returned from a copy."""

import json
import unittest

from tests.support.byte_server import ByteServer
from yuccavalve.eras import FIRST_STATED_ERA
from yuccavalve.exceptions import (
    FeedHistoryLostError,
    StoreUnavailableError,
    TransactionConflictError,
)
from yuccavalve.ports import Condition, Transaction, Write
from yuccavalve.ports.position import Position
from yuccavalve_platform.client import JsonClient
from yuccavalve_platform.store import EngineRows, RoutingRows, StoreTable

_TIMEOUT_S = 5.0
_SECOND = 2 * FIRST_STATED_ERA
_WRITE = Write('lease/planner', {'holder': 'a'})


class StoreEraTest(unittest.IsolatedAsyncioTestCase):
    """A store that states its era in each answer."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the server and read from its first era."""
        self.server = ByteServer()
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_stop)
        self.table = StoreTable.from_address(
            JsonClient(), self.server.address, _TIMEOUT_S
        )
        self.engines = EngineRows(self.table.calls)
        self._answer(b'1', 100)
        await self.engines.async_read()

    def _answer(self, era: bytes, version: int, status: int = 200) -> None:
        body = json.dumps({'ver': version, 'rows': []}).encode()
        self.server.answer_bytes = b''.join(
            (
                b'HTTP/1.1 %d -\r\nstore-era: %s\r\n' % (status, era),
                b'content-length: %d\r\n\r\n' % len(body),
                body,
            )
        )

    async def test_reading_carries_its_era(self) -> None:
        self._answer(b'2', 50)
        changes = await self.engines.async_read()
        self.assertEqual(changes.position, Position(_SECOND, 50))
        routes = await RoutingRows(self.table.calls).async_read()
        self.assertEqual(routes.position, Position(_SECOND, 50))

    async def test_each_answer_tells_the_era(self) -> None:
        """A refusal tells it as well as a page of rows."""
        told = []
        self.table.eras.listeners.append(told.append)
        for number, status in enumerate((503, 410, 412, 429), 2):
            self._answer(b'%d' % number, 50, status)
            with self.subTest(status=status):
                with self.assertRaises(
                    (StoreUnavailableError, FeedHistoryLostError)
                ):
                    await self.engines.async_read()
                self.assertEqual(told[-1], number * FIRST_STATED_ERA)

    async def test_late_answer_of_an_earlier_era_counts_as_none(self) -> None:
        self.table.eras.record_peer(_SECOND)
        self._answer(b'1', 120)
        with self.assertRaises(StoreUnavailableError):
            await self.engines.async_read()
        with self.assertRaises(StoreUnavailableError) as raised:
            await self.table.async_transact(Transaction((), (_WRITE,)))
        self.assertTrue(raised.exception.may_have_applied)

    async def test_feed_is_read_anew_in_another_era(self) -> None:
        """What changed up to its version in the new history is unknown."""
        position = Position(FIRST_STATED_ERA, 100)
        self._answer(b'2', 130)
        for _ in range(2):
            with self.assertRaises(FeedHistoryLostError):
                await self.engines.async_changes(position)

    async def test_condition_of_an_earlier_era_is_not_sent(self) -> None:
        """Its version may have been given out again."""
        transaction = Transaction(
            (Condition(_WRITE.key, 100),), (_WRITE,), FIRST_STATED_ERA
        )
        self._answer(b'1', 101)
        self.assertEqual(await self.table.async_transact(transaction), 101)
        self._answer(b'2', 101)
        with self.assertRaises(StoreUnavailableError) as raised:
            await self.table.async_transact(transaction)
        self.assertTrue(raised.exception.may_have_applied)
        self.server.answer_bytes = b''
        with self.assertRaises(TransactionConflictError):
            await self.table.async_transact(transaction)

    async def test_unreadable_era_counts_as_none_stated(self) -> None:
        for era in (b'', b'-2', b'two', b'2.5', b'9' * 40, b'0'):
            self._answer(era, 101)
            with self.subTest(era=era):
                changes = await self.engines.async_read()
                self.assertEqual(
                    changes.position, Position(FIRST_STATED_ERA, 101)
                )
