"""Ledger of requests that run at most once.

A row is inserted before the first byte goes to a backend server, and no
attempt takes over the row of a running one. Inserts that arrive within
``LEDGER_BATCH_DELAY_S`` share a transaction, to stay below the table service's
write limit.
"""

import asyncio
from collections import OrderedDict

import attrs
import cattrs
from absl import logging

from yuccavalve.exceptions import (
    StoreUnavailableError,
    TransactionConflictError,
)
from yuccavalve.ports import (
    Condition,
    ObjectStore,
    Row,
    TableStore,
    Transaction,
    Write,
)
from yuccavalve.requests.const import (
    ANSWER_NAME,
    LEDGER_BATCH_DELAY_S,
    LEDGER_MAX_PENDING_RETRIES,
    LEDGER_RETRY_PERIOD_S,
    LEDGER_KEY,
)
from yuccavalve.requests.models import LedgerEntry, LedgerState

__all__ = ('Ledger', 'LedgerId', 'may_claim')

_CONVERTER = cattrs.Converter()
_CLAIMABLE_STATES = frozenset((LedgerState.NOT_RUN,))


@attrs.frozen
class LedgerId:
    """Workspace and idempotency key of a request."""

    workspace: str
    key: str

    @property
    def row_key(self) -> str:
        """Return the key of the row."""
        return LEDGER_KEY.format(workspace=self.workspace, key=self.key)

    @property
    def answer_name(self) -> str:
        """Return the name of the stored answer."""
        return ANSWER_NAME.format(workspace=self.workspace, key=self.key)


@attrs.define(eq=False)
class _Insert:
    row_key: str
    entry: LedgerEntry
    condition: Condition
    done: asyncio.Future[bool]


def may_claim(entry: LedgerEntry | None, digest: str) -> bool:
    """Return whether a request may claim a row that is new or not run."""
    if entry is None:
        return True
    return entry.digest == digest and entry.state in _CLAIMABLE_STATES


class Ledger:
    """Rows of requests that run at most once, and their stored answers."""

    def __init__(self, table: TableStore, object_store: ObjectStore) -> None:
        """Start with nothing to write."""
        self._table = table
        self._object_store = object_store
        self._pending_inserts: list[_Insert] = []
        self._flush_task: asyncio.Task[None] | None = None
        self._pending_retries: OrderedDict[str, LedgerEntry] = OrderedDict()

    async def async_find(self, ledger_id: LedgerId) -> LedgerEntry | None:
        """Return the entry of an earlier attempt, or None."""
        row = await self._async_read_row(ledger_id.row_key)
        return None if row is None else _decode(row)

    async def async_claim(
        self,
        ledger_id: LedgerId,
        entry: LedgerEntry,
    ) -> bool:
        """Insert a running entry; return False if another attempt has it.

        Raises
        ------
        StoreUnavailableError
            When the row is not known to be this attempt's. If it may have
            been written, it is set to not run once the store answers.
        """
        row = await self._async_read_row(ledger_id.row_key)
        if row is not None and not may_claim(_decode(row), entry.digest):
            return False
        version = None if row is None else row.version
        insert = _Insert(
            ledger_id.row_key,
            entry,
            Condition(ledger_id.row_key, version),
            asyncio.get_running_loop().create_future(),
        )
        self._pending_inserts.append(insert)
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._async_flush())
        try:
            return await insert.done
        except asyncio.CancelledError:
            not_run = attrs.evolve(entry, state=LedgerState.NOT_RUN)
            self._retry_later(insert.row_key, not_run)
            raise

    async def async_finish(
        self,
        ledger_id: LedgerId,
        entry: LedgerEntry,
        answer: bytes | None = None,
    ) -> None:
        """Store this attempt's answer and final state.

        A state that can't be written now is retried in the background.
        """
        if answer is not None:
            try:
                await self._object_store.async_put(
                    ledger_id.answer_name, answer
                )
            except StoreUnavailableError as error:
                logging.warning('answer not stored: %s', error)
                entry = attrs.evolve(entry, state=LedgerState.UNKNOWN)
        if not await self._async_write_entry(ledger_id.row_key, entry):
            self._retry_later(ledger_id.row_key, entry)

    async def async_answer(self, ledger_id: LedgerId) -> bytes | None:
        """Return the stored answer."""
        return await self._object_store.async_get(ledger_id.answer_name)

    async def async_run_retries(self) -> None:
        """Retry entries that could not be written, until cancelled."""
        while True:
            await asyncio.sleep(LEDGER_RETRY_PERIOD_S)
            for row_key, entry in list(self._pending_retries.items()):
                if not await self._async_write_entry(row_key, entry):
                    break
                self._pending_retries.pop(row_key, None)

    async def _async_flush(self) -> None:
        while self._pending_inserts:
            await asyncio.sleep(LEDGER_BATCH_DELAY_S)
            batch = self._take_batch()
            await self._async_insert(batch)

    def _take_batch(self) -> list[_Insert]:
        """Take pending inserts, at most one per row.

        In one transaction, two inserts of the same row would both meet
        their conditions, and both attempts would run.
        """
        batch = {
            insert.row_key: insert for insert in reversed(self._pending_inserts)
        }
        self._pending_inserts = [
            insert
            for insert in self._pending_inserts
            if batch[insert.row_key] is not insert
        ]
        return list(batch.values())

    async def _async_insert(self, batch: list[_Insert]) -> None:
        while batch:
            transaction = Transaction(
                tuple(insert.condition for insert in batch),
                tuple(
                    Write(insert.row_key, _encode(insert.entry))
                    for insert in batch
                ),
            )
            try:
                await self._table.async_transact(transaction)
            except TransactionConflictError as error:
                batch = _drop_conflicting(batch, set(error.row_keys))
            except StoreUnavailableError as error:
                await self._async_read_back(batch, error)
                return
            else:
                _set_results(batch, applied=True)
                return

    async def _async_read_back(
        self,
        batch: list[_Insert],
        error: StoreUnavailableError,
    ) -> None:
        """Read back which inserts were applied after a failed call."""
        for insert in batch:
            try:
                row = await self._async_read_row(insert.row_key)
            except StoreUnavailableError:
                row = None
            if row is not None and _is_row_of(row, insert.entry):
                _set_results([insert], applied=True)
                continue
            if error.may_have_applied:
                not_run = attrs.evolve(
                    insert.entry,
                    state=LedgerState.NOT_RUN,
                )
                self._retry_later(insert.row_key, not_run)
            if not insert.done.done():
                insert.done.set_exception(error)

    async def _async_write_entry(
        self, row_key: str, entry: LedgerEntry
    ) -> bool:
        """Write this attempt's entry; return False if it must be retried."""
        try:
            row = await self._async_read_row(row_key)
            if row is None or not _is_row_of(row, entry):
                return True
            await self._table.async_transact(
                Transaction(
                    (Condition(row_key, row.version),),
                    (Write(row_key, _encode(entry)),),
                ),
            )
        except (StoreUnavailableError, TransactionConflictError):
            return False
        return True

    async def _async_read_row(self, row_key: str) -> Row | None:
        rows = await self._table.async_read([row_key])
        return rows.get(row_key)

    def _retry_later(self, row_key: str, entry: LedgerEntry) -> None:
        self._pending_retries[row_key] = entry
        if len(self._pending_retries) > LEDGER_MAX_PENDING_RETRIES:
            dropped, _ = self._pending_retries.popitem(last=False)
            logging.error('ledger row left as running: %s', dropped)


def _set_results(batch: list[_Insert], *, applied: bool) -> None:
    for insert in batch:
        if not insert.done.done():
            insert.done.set_result(applied)


def _drop_conflicting(
    batch: list[_Insert], conflicting: set[str]
) -> list[_Insert]:
    _set_results(
        [insert for insert in batch if insert.row_key in conflicting],
        applied=False,
    )
    return [insert for insert in batch if insert.row_key not in conflicting]


def _is_row_of(row: Row, entry: LedgerEntry) -> bool:
    return row.fields.get('request_id') == entry.request_id


def _encode(entry: LedgerEntry) -> dict[str, str]:
    return _CONVERTER.unstructure(entry)


def _decode(row: Row) -> LedgerEntry:
    return _CONVERTER.structure(row.fields, LedgerEntry)
