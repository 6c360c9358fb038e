"""In-memory fakes of the ports."""

from collections.abc import Sequence

import attrs

from yuccavalve.exceptions import (
    StoreUnavailableError,
    TransactionConflictError,
)
from yuccavalve.ports import Row, Transaction

__all__ = ('FakeTable',)


@attrs.define
class FakeTable:
    """In-memory table with switchable outages and lost answers.

    Attributes
    ----------
    down
        Every call fails and no write is applied.
    answers_to_lose
        Number of coming transactions that are applied although their
        answer is lost.
    writes
        Number of applied transactions.
    """

    rows: dict[str, Row] = attrs.field(factory=dict)
    down: bool = False
    answers_to_lose: int = 0
    writes: int = 0
    _last_version: int = 0

    async def async_read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist, by key."""
        self._raise_if_down()
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def async_scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key has a prefix, sorted by key."""
        self._raise_if_down()
        return [
            self.rows[key]
            for key in sorted(self.rows)
            if key.startswith(prefix)
        ]

    async def async_transact(self, transaction: Transaction) -> None:
        """Apply a transaction if all its conditions hold, else raise."""
        self._raise_if_down()
        failed = tuple(
            condition.key
            for condition in transaction.conditions
            if self._version(condition.key) != condition.version
        )
        if failed:
            raise TransactionConflictError(failed)
        self.writes += 1
        for write in transaction.writes:
            self._apply(write.key, write.fields)
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise StoreUnavailableError('answer lost', may_have_applied=True)

    def _raise_if_down(self) -> None:
        if self.down:
            raise StoreUnavailableError('table is down')

    def _version(self, key: str) -> int | None:
        row = self.rows.get(key)
        return None if row is None else row.version

    def _apply(self, key: str, fields: dict | None) -> None:
        if fields is None:
            self.rows.pop(key, None)
            return
        self._last_version += 1
        self.rows[key] = Row(key, self._last_version, fields)
