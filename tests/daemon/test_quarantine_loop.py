"""The quarantine outlives all daemons, and is not put back by an old row."""

import unittest
from random import Random

from tests.quarantine import builders
from tests.quarantine.builders import BAD, crash
from tests.support.fakes import FakeTable
from tests.support.odd_documents import odd_documents
from yuccavalve.clock import ManualClock
from yuccavalve.daemon.quarantine_loop import QuarantineLoop
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.peers.quarantine_news import encode_quarantine
from yuccavalve.ports import Transaction, Write
from yuccavalve.quarantine import RequestQuarantine
from yuccavalve.quarantine.const import MIN_CRASHES, SETTLE_S

_KEY = 'prompts/quarantine'


class QuarantineLoopTest(unittest.IsolatedAsyncioTestCase):
    """A planner that knows a part, and a daemon that starts later."""

    def setUp(self) -> None:
        """Let the planner put a part into quarantine."""
        self.table = FakeTable()
        self.clock = ManualClock(1000)
        self.planner = builders.quarantine()
        for number in range(MIN_CRASHES):
            self.planner.record_crash(crash(number), self.clock.now_s())
            self.clock.advance(SETTLE_S)
        builders.answer_others(self.planner, self.clock.now_s())

    def _loop(
        self, quarantine: RequestQuarantine, *, plans: bool
    ) -> QuarantineLoop:
        return QuarantineLoop(
            quarantine, self.table, self.clock, Random(1), lambda: plans
        )

    async def _async_started_refuses(self) -> bool:
        started = builders.quarantine()
        await self._loop(started, plans=False).async_run_once()
        return started.find((BAD,), self.clock.now_s()) is not None

    async def test_daemon_that_starts_after_all_have_stopped_refuses_the_part(
        self,
    ) -> None:
        await self._loop(self.planner, plans=True).async_run_once()
        self.clock.advance(1)
        self.assertTrue(await self._async_started_refuses())

    async def test_part_that_was_cleared_is_not_put_back(self) -> None:
        loop = self._loop(self.planner, plans=True)
        await loop.async_run_once()
        self.planner.record_sound((BAD,), self.clock.now_s())
        await self._loop(self.planner, plans=True).async_run_once()
        self.assertIsNone(self.planner.find((BAD,), self.clock.now_s()))
        self.assertFalse(await self._async_started_refuses())

    async def test_unchanged_quarantine_is_written_once(self) -> None:
        loop = self._loop(self.planner, plans=True)
        for _ in range(5):
            await loop.async_run_once()
        version = (await self.table.async_read([_KEY]))[_KEY].version
        await loop.async_run_once()
        rows = await self.table.async_read([_KEY])
        self.assertEqual(rows[_KEY].version, version)

    async def test_row_that_the_store_lost_is_written_again(self) -> None:
        loop = self._loop(self.planner, plans=True)
        await loop.async_run_once()
        await self.table.async_transact(Transaction((), (Write(_KEY, None),)))
        await loop.async_run_once()
        self.assertEqual(await self.table.async_read([_KEY]), {})
        loop.begin_era(2)
        await loop.async_run_once()
        self.assertIn(_KEY, await self.table.async_read([_KEY]))

    async def test_daemon_that_does_not_plan_writes_nothing(self) -> None:
        await self._loop(self.planner, plans=False).async_run_once()
        self.assertEqual(await self.table.async_read([_KEY]), {})

    async def test_row_that_is_no_quarantine_is_left_out(self) -> None:
        for holds in (None, [{}], [{'part': 'x'}], 'text', [7]):
            write = Write(_KEY, {'holds': holds})
            await self.table.async_transact(Transaction((), (write,)))
            with self.subTest(holds=holds):
                self.assertFalse(await self._async_started_refuses())

    async def test_row_is_read_once_the_table_service_answers(self) -> None:
        await self._loop(self.planner, plans=True).async_run_once()
        started = builders.quarantine()
        loop = self._loop(started, plans=False)
        self.table.down = True
        with self.assertRaises(StoreUnavailableError):
            await loop.async_run_once()
        self.table.down = False
        await loop.async_run_once()
        self.assertEqual(started.held_count, 1)

    async def test_row_with_odd_fields_leaves_messages_readable(self) -> None:
        await self._loop(self.planner, plans=True).async_run_once()
        rows = await self.table.async_read([_KEY])
        fields = dict(rows[_KEY].fields)
        for odd in odd_documents(fields):
            write = Write(_KEY, odd)
            await self.table.async_transact(Transaction((), (write,)))
            started = builders.quarantine()
            await self._loop(started, plans=False).async_run_once()
            encode_quarantine(started, self.clock.now_s())
