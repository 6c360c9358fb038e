"""The platform's transactional table service."""

from collections.abc import Sequence
from typing import Any, Protocol

import attrs

__all__ = (
    'Condition',
    'Row',
    'TableStore',
    'Transaction',
    'Write',
    'row_version',
)


@attrs.frozen
class Row:
    """A row, whose version grows with each write."""

    key: str
    version: int
    fields: dict[str, Any]


@attrs.frozen
class Condition:
    """The version that a row must have; None if it must not exist."""

    key: str
    version: int | None


@attrs.frozen
class Write:
    """The new fields of a row; None deletes it."""

    key: str
    fields: dict[str, Any] | None


@attrs.frozen
class Transaction:
    """Writes that are applied together if every condition holds.

    Attributes
    ----------
    era
        Era of the table service in which the conditions were read, outside of
        which they hold by chance alone; None if that can't matter.
    """

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    era: int | None = None


class TableStore(Protocol):
    """A table service with conditional transactions over several rows.

    Every method raises ``StoreUnavailableError`` without a valid answer.
    """

    async def async_read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the existing rows of the keys, by key."""

    async def async_scan(self, prefix: str) -> list[Row]:
        """Return all rows whose keys begin with a prefix."""

    async def async_transact(self, transaction: Transaction) -> int | None:
        """Apply a transaction or raise ``TransactionConflictError``.

        Returns
        -------
        int or None
            The version of the rows written, if the service returns one.
        """


def row_version(row: Row | None) -> int | None:
    """Return a row's version in the form that ``Condition`` takes."""
    return None if row is None else row.version
