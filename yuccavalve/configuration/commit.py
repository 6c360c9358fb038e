"""Commit configuration versions to the table service.

A commit with an unknown outcome is retried under the same conditions. The
retry either applies or conflicts because the head has moved; in that case the
row of the change's id shows whether the first attempt moved it.
"""

import asyncio
from collections.abc import Callable, Mapping

import attrs

from yuccavalve.configuration.codec import (
    check_document,
    decode_configuration,
    encode_configuration,
)
from yuccavalve.configuration.const import (
    CHANGE_KEY,
    COMMIT_ATTEMPTS,
    COMMIT_BACKOFF_S,
    HEAD_KEY,
    VERSION_KEY,
)
from yuccavalve.configuration.models import (
    Configuration,
    Document,
    Electorate,
)
from yuccavalve.exceptions import (
    RevisionConflictError,
    StoreUnavailableError,
    TransactionConflictError,
)
from yuccavalve.ports import Condition, Row, TableStore, Transaction, Write

__all__ = ('Change', 'ConfigurationStore', 'Head', 'head_from_rows')

_EMPTY = Configuration(0, 0, '', '', '')


@attrs.frozen
class Head:
    """The newest committed version.

    Attributes
    ----------
    version
        Number of the configuration version; 0 when there is none.
    row_version
        Version of the head row in the table service; None without a row.
    """

    version: int
    row_version: int | None


@attrs.frozen
class Change:
    """An edit to commit.

    Attributes
    ----------
    against_revision
        Revision that the edit is based on; None skips the check.
    """

    change_id: str
    author: str
    summary: str
    edit: Callable[[Document], Document]
    against_revision: int | None = None


@attrs.frozen
class ConfigurationStore:
    """Configuration versions in the table service."""

    table: TableStore
    backoff_s: float = COMMIT_BACKOFF_S

    async def async_head(self) -> Head:
        """Return the head; its version is 0 when nothing is committed."""
        return head_from_rows(await self.table.async_read([HEAD_KEY]))

    async def async_load(self, version: int) -> Configuration:
        """Return a committed version, or an empty one for version 0."""
        if version == 0:
            return _EMPTY
        key = VERSION_KEY.format(version=version)
        rows = await self.table.async_read([key])
        return decode_configuration(rows[key].fields['body'])

    async def async_commit(self, change: Change) -> Configuration:
        """Commit an operator's edit on top of the head.

        A change that is already the head is not applied again.

        Raises
        ------
        RevisionConflictError
            When another edit was committed first; the error names it.
        StoreUnavailableError
            With ``may_have_applied`` set when the outcome is unknown.
        """
        while True:
            head = await self.async_head()
            base = await self.async_load(head.version)
            if base.change_id == change.change_id:
                return base
            _check_revision(base, change)
            document = change.edit(base.document)
            check_document(document)
            successor = attrs.evolve(
                base,
                version=base.version + 1,
                revision=base.revision + 1,
                change_id=change.change_id,
                author=change.author,
                summary=change.summary,
                document=document,
            )
            if await self._async_advance_head(head, successor):
                return successor

    async def async_commit_electorate(
        self,
        base: Configuration,
        electorate: Electorate,
        change_id: str,
    ) -> Configuration | None:
        """Commit an electorate on top of a base; None if the head has moved."""
        head = await self.async_head()
        if head.version != base.version:
            return None
        successor = attrs.evolve(
            base,
            version=base.version + 1,
            change_id=change_id,
            electorate=electorate,
        )
        if await self._async_advance_head(head, successor):
            return successor
        return None

    async def _async_advance_head(
        self,
        head: Head,
        successor: Configuration,
    ) -> bool:
        """Move the head, retrying while the outcome is unknown."""
        transaction = _advance_transaction(head, successor)
        for _ in range(COMMIT_ATTEMPTS - 1):
            try:
                return await self._async_try_commit(transaction, successor)
            except StoreUnavailableError as error:
                if not error.may_have_applied:
                    raise
            await asyncio.sleep(self.backoff_s)
        return await self._async_try_commit(transaction, successor)

    async def _async_try_commit(
        self,
        transaction: Transaction,
        successor: Configuration,
    ) -> bool:
        try:
            await self.table.async_transact(transaction)
        except TransactionConflictError:
            return await self._async_is_applied(successor)
        return True

    async def _async_is_applied(self, successor: Configuration) -> bool:
        key = CHANGE_KEY.format(change_id=successor.change_id)
        rows = await self.table.async_read([key])
        row: Row | None = rows.get(key)
        return row is not None and row.fields['version'] == successor.version


def head_from_rows(rows: Mapping[str, Row]) -> Head:
    """Return the head from rows by key."""
    row = rows.get(HEAD_KEY)
    if row is None:
        return Head(0, None)
    return Head(row.fields['version'], row.version)


def _check_revision(base: Configuration, change: Change) -> None:
    against = change.against_revision
    if against is not None and against != base.revision:
        raise RevisionConflictError(base.revision, base.author, base.summary)


def _advance_transaction(head: Head, successor: Configuration) -> Transaction:
    body = encode_configuration(successor).decode()
    version_key = VERSION_KEY.format(version=successor.version)
    change_key = CHANGE_KEY.format(change_id=successor.change_id)
    return Transaction(
        conditions=(
            Condition(HEAD_KEY, head.row_version),
            Condition(change_key, None),
        ),
        writes=(
            Write(HEAD_KEY, {'version': successor.version}),
            Write(version_key, {'body': body}),
            Write(change_key, {'version': successor.version}),
        ),
    )
