"""Stand-in store: rows, conditional transactions and a change feed."""

import asyncio
import base64
import json
import time
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ('StoreCopy', 'StoreFaults', 'StoreStandin')

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_UNAVAILABLE = 503
_MS = 1000
_SILENCE_S = 3600
_RowKey = tuple[str, str, str]


@attrs.define
class StoreFaults:
    """Faults that tests switch on.

    Attributes
    ----------
    down
        Every call is answered 503.
    silent
        No call is answered.
    lose_answers
        Transactions are applied but not answered.
    delay_s
        Delay of each call.
    hides_era
        Answers don't state the era.
    """

    down: bool = False
    silent: bool = False
    lose_answers: bool = False
    delay_s: float = 0
    hides_era: bool = False


@attrs.frozen
class _Row:
    text: str
    version: int


@attrs.frozen
class StoreCopy:
    """The store's rows and history as of a version."""

    version: int
    rows: dict[_RowKey, _Row]
    changes: list[tuple[int, _RowKey]]


class StoreStandin:
    """Rows in memory; each transaction increments one version counter."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.faults = StoreFaults()
        self.version = 0
        self.calls = 0
        self.era = 1
        self._rows: dict[_RowKey, _Row] = {}
        self._changes: list[tuple[int, _RowKey]] = []
        self._changed = asyncio.Condition()
        self.application = Starlette(
            routes=[
                Route('/-/rows-tx', self._async_transact, methods=['POST']),
                Route('/-/rows-get', self._async_get),
                Route('/-/rows-feed', self._async_feed),
            ],
        )

    async def async_put(self, table: str, key: str, document: Any) -> None:
        """Write a row that holds a JSON document."""
        text = base64.b64encode(json.dumps(document).encode()).decode()
        await self._async_apply({(table, '', key): text})

    async def async_put_raw(self, table: str, key: str, text: str) -> None:
        """Write a row without encoding its text."""
        await self._async_apply({(table, '', key): text})

    async def async_remove(self, table: str, key: str) -> None:
        """Remove a row."""
        await self._async_apply({(table, '', key): None})

    def document(self, table: str, key: str) -> Any:
        """Return the document of a row, or None without that row."""
        row = self._rows.get((table, '', key))
        return None if row is None else json.loads(base64.b64decode(row.text))

    def take_copy(self) -> StoreCopy:
        """Return a copy from which the store can return."""
        return StoreCopy(self.version, dict(self._rows), list(self._changes))

    def return_from(self, copy: StoreCopy) -> None:
        """Lose what was written since a copy, whose versions go on."""
        self.version = copy.version
        self._rows = dict(copy.rows)
        self._changes = list(copy.changes)
        self.era += 1

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return [row_key[2] for row_key in self._rows if row_key[0] == table]

    def forget_history(self) -> None:
        """Drop the change history, so that older feed readers get 410."""
        self._changes = [(self.version, ('', '', ''))]

    async def _async_apply(self, writes: dict[_RowKey, str | None]) -> None:
        self.version += 1
        for row_key, text in writes.items():
            if text is None:
                self._rows.pop(row_key, None)
            else:
                self._rows[row_key] = _Row(text, self.version)
            self._changes.append((self.version, row_key))
        async with self._changed:
            self._changed.notify_all()

    async def _async_apply_faults(self) -> Response | None:
        self.calls += 1
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.silent:
            await asyncio.sleep(_SILENCE_S)
        if self.faults.down:
            return JSONResponse({}, _UNAVAILABLE)
        return None

    async def _async_transact(self, request: Request) -> Response:
        refusal = await self._async_apply_faults()
        if refusal is not None:
            return refusal
        body = await request.json()
        row_keys = [_row_key_of(each) for each in body['expected']]
        found = [self._rows.get(row_key) for row_key in row_keys]
        matches = [
            (row.version if row else 0) == each['ver']
            for row, each in zip(found, body['expected'], strict=True)
        ]
        if not all(matches):
            rows = [
                self._encode_row(row_key)
                for row_key in row_keys
                if row_key in self._rows
            ]
            return self._respond({'rows': rows}, _PRECONDITION_FAILED)
        writes = {_row_key_of(each): each['value'] for each in body['set_keys']}
        removals = {_row_key_of(each): None for each in body['remove']}
        await self._async_apply({**writes, **removals})
        if self.faults.lose_answers:
            await asyncio.sleep(_SILENCE_S)
        return self._respond({})

    async def _async_get(self, request: Request) -> Response:
        refusal = await self._async_apply_faults()
        if refusal is not None:
            return refusal
        query = request.query_params
        rows = [
            self._encode_row(row_key)
            for row_key in sorted(self._rows)
            if row_key[0] == query['table']
            and row_key[1] == query.get('part', '')
            and row_key[2] >= query.get('from', '')
        ]
        limit = int(query.get('limit', '500'))
        more = len(rows) > limit
        return self._respond({'rows': rows[:limit], 'more_pages': more})

    async def _async_feed(self, request: Request) -> Response:
        refusal = await self._async_apply_faults()
        if refusal is not None:
            return refusal
        query = request.query_params
        after = int(query['after'])
        if after > self.version:
            return self._respond({'rows': []}, _GONE)
        if self._changes and after < self._changes[0][0] - 1:
            return self._respond({'rows': []}, _GONE)
        wait_s = int(query.get('wait_ms', '0')) / _MS
        rows = self._changed_rows(query['table'], after)
        until_s = time.monotonic() + wait_s
        while not rows and time.monotonic() < until_s:
            await self._async_wait_for_change(until_s - time.monotonic())
            rows = self._changed_rows(query['table'], after)
        return self._respond({'rows': rows})

    async def _async_wait_for_change(self, limit_s: float) -> None:
        async with self._changed:
            try:
                async with asyncio.timeout(limit_s):
                    await self._changed.wait()
            except TimeoutError:
                return

    def _changed_rows(self, table: str, after: int) -> list[dict[str, Any]]:
        row_keys = [
            row_key
            for version, row_key in self._changes
            if version > after and row_key[0] == table
        ]
        return [
            self._encode_row(row_key) for row_key in dict.fromkeys(row_keys)
        ]

    def _encode_row(self, row_key: _RowKey) -> dict[str, Any]:
        encoded = dict(zip(('table', 'part', 'key'), row_key, strict=True))
        row = self._rows.get(row_key)
        if row is None:
            return {**encoded, 'is_gone': True, 'ver': self.version}
        return {**encoded, 'value': row.text, 'ver': row.version}

    def _respond(self, body: dict[str, Any], status: int = _OK) -> Response:
        now_ms = int(time.monotonic() * _MS)
        return JSONResponse(
            {**body, 'ver': self.version, 'now_ms': now_ms},
            status,
            {} if self.faults.hides_era else {'store-era': str(self.era)},
        )


def _row_key_of(each: dict[str, Any]) -> _RowKey:
    return (each['table'], each['part'], each['key'])
