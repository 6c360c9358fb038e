"""Rows of dead members are removed, those of live members never."""

import unittest

from tests.support.builders import member
from tests.support.fakes import FakeTable
from yuccavalve.membership import MemberRegistry
from yuccavalve.membership.const import MEMBER_PREFIX, MEMBERS_REMOVED_KEY
from yuccavalve.ports import Transaction, Write

_EXPIRY_S = 60


class SweepTest(unittest.IsolatedAsyncioTestCase):
    """Sweeps of a suspect's row."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Register one member."""
        self.table = FakeTable()
        self.registry = MemberRegistry(self.table)
        self.member = member('e1')
        self.names = [self.member.member]
        await self.registry.async_write(self.member)

    async def _async_sweep(self, now_s: float) -> list[str]:
        return await self.registry.async_sweep(self.names, now_s, _EXPIRY_S)

    async def test_unchanged_row_is_removed(self) -> None:
        self.assertEqual(await self._async_sweep(0), [])
        self.assertEqual(await self._async_sweep(_EXPIRY_S - 1), [])
        self.assertEqual(await self._async_sweep(_EXPIRY_S), self.names)
        self.assertEqual(await self.registry.async_list(), [])
        self.assertIn(MEMBERS_REMOVED_KEY, self.table.rows)

    async def test_renewed_row_stays(self) -> None:
        await self._async_sweep(0)
        await self.registry.async_write(self.member)
        self.assertEqual(await self._async_sweep(_EXPIRY_S), [])
        self.assertEqual(await self._async_sweep(_EXPIRY_S + 1), [])
        self.assertEqual(await self.registry.async_list(), [self.member])

    async def test_suspect_that_was_seen_starts_over(self) -> None:
        await self._async_sweep(0)
        await self.registry.async_sweep([], 1, _EXPIRY_S)
        self.assertEqual(await self._async_sweep(_EXPIRY_S + 1), [])

    async def test_each_removal_writes_the_mark(self) -> None:
        await self.registry.async_remove(self.member.member)
        first = self.table.rows[MEMBERS_REMOVED_KEY].version
        await self.registry.async_remove('e2-boot')
        self.assertGreater(self.table.rows[MEMBERS_REMOVED_KEY].version, first)

    async def test_row_of_another_form_hides_no_other_member(self) -> None:
        for odd in ({}, {'member': 'e2', 'added_later': 1}):
            write = Write(f'{MEMBER_PREFIX}e2', odd)
            await self.table.async_transact(Transaction((), (write,)))
            self.assertEqual(await self.registry.async_list(), [self.member])
