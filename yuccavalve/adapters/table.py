"""The table service over HTTP."""

from collections.abc import Sequence
from typing import Any

import attrs

from yuccavalve.adapters.http import CallFailedError, HttpJsonClient, Reply
from yuccavalve.exceptions import (
    StoreUnavailableError,
    TransactionConflictError,
)
from yuccavalve.ports import Row, Transaction

__all__ = ('HttpTableStore',)

_OK = 200
_CONFLICT = 409
_OVERLOADED = 429


@attrs.frozen
class HttpTableStore:
    """Client of the platform's table service."""

    caller: HttpJsonClient
    address: str

    async def async_read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the existing rows of the keys, by key."""
        reply = await self._async_call('read', {'keys': list(keys)})
        return {row['key']: Row(**row) for row in reply.body['rows']}

    async def async_scan(self, prefix: str) -> list[Row]:
        """Return all rows whose keys begin with a prefix."""
        reply = await self._async_call('scan', {'prefix': prefix})
        return [Row(**row) for row in reply.body['rows']]

    async def async_transact(self, transaction: Transaction) -> None:
        """Apply a transaction or raise ``TransactionConflictError``."""
        body = attrs.asdict(transaction)
        reply = await self._async_call('transact', body, writes=True)
        if reply.status == _CONFLICT:
            raise TransactionConflictError(tuple(reply.body['keys']))

    async def _async_call(
        self,
        operation: str,
        body: Any,
        *,
        writes: bool = False,
    ) -> Reply:
        path = f'/table/{operation}'
        try:
            reply = await self.caller.async_post(self.address, path, body)
        except CallFailedError as error:
            raise StoreUnavailableError(
                str(error),
                may_have_applied=writes and error.sent,
            ) from error
        if reply.status in {_OK, _CONFLICT}:
            return reply
        raise StoreUnavailableError(
            f'table service answered {reply.status}',
            may_have_applied=writes and reply.status != _OVERLOADED,
        )
