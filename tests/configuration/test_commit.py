"""Commits with conflicts, lost responses and outages."""

import unittest

from tests.support.fakes import FakeTable
from yuccavalve.configuration import ConfigurationStore
from yuccavalve.configuration.commit import Change
from yuccavalve.configuration.edits import Edit, apply_edit
from yuccavalve.exceptions import (
    ConfigurationInvalidError,
    RevisionConflictError,
    StoreUnavailableError,
)

_GROUP = {'model': 'm', 'hosts_per_replica': 2}


def _change(name: str, against: int | None = None) -> Change:
    edit = Edit('groups', name, _GROUP)
    return Change(
        f'change-{name}',
        'operator',
        edit.summary,
        lambda document: apply_edit(document, edit),
        against,
    )


class CommitTest(unittest.IsolatedAsyncioTestCase):
    """Each commit reports its outcome, or that the outcome is unknown."""

    def setUp(self) -> None:
        self.table = FakeTable()
        self.store = ConfigurationStore(self.table, backoff_s=0)

    async def test_versions_grow(self) -> None:
        await self.store.async_commit(_change('a'))
        committed = await self.store.async_commit(_change('b'))
        self.assertEqual(committed.version, 2)
        self.assertEqual(len(committed.document.groups), 2)

    async def test_conflict_names_the_earlier_edit(self) -> None:
        await self.store.async_commit(_change('a', 0))
        with self.assertRaises(RevisionConflictError) as caught:
            await self.store.async_commit(_change('b', 0))
        self.assertEqual(caught.exception.revision, 1)
        self.assertIn('put groups.a', str(caught.exception))

    async def test_lost_answer_is_resolved(self) -> None:
        self.table.answers_to_lose = 1
        committed = await self.store.async_commit(_change('a', 0))
        self.assertEqual(committed.version, 1)
        self.assertEqual((await self.store.async_head()).version, 1)

    async def test_same_change_again_is_not_applied_twice(self) -> None:
        await self.store.async_commit(_change('a', 0))
        committed = await self.store.async_commit(_change('a', 0))
        self.assertEqual(committed.version, 1)

    async def test_outage_changes_nothing(self) -> None:
        self.table.down = True
        with self.assertRaises(StoreUnavailableError) as caught:
            await self.store.async_commit(_change('a'))
        self.assertFalse(caught.exception.may_have_applied)

    async def test_invalid_edit_names_its_path(self) -> None:
        edit = Edit('services', 's', {'kind': 'model', 'group': 'none'})
        change = Change(
            'c',
            'o',
            '',
            lambda document: apply_edit(document, edit),
        )
        with self.assertRaisesRegex(
            ConfigurationInvalidError,
            'services.s.group',
        ):
            await self.store.async_commit(change)
