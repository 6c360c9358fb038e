"""Stand-in for the platform's table service, object store and host list."""

import asyncio
import hmac
import time
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from yuccavalve.standin.const import (
    HOST_LIST_LAG_S,
    MAX_READS_PER_S,
    MAX_WRITES_PER_S,
)

__all__ = ('PlatformFaults', 'PlatformStandin')

_OK = 200
_UNAUTHENTICATED = 401
_NOT_FOUND = 404
_CONFLICT = 409
_OVERLOADED = 429
_UNAVAILABLE = 503


@attrs.define
class PlatformFaults:
    """Faults that are injected by an admin call.

    Attributes
    ----------
    table_down, objects_down, hosts_down
        Answer calls to this service as unavailable.
    slow_s
        Delay of every call but those to admin paths.
    lose_answers
        Number of next transactions that are applied but answered with an
        error, so that their outcome is unknown to the daemon.
    lose_prefix
        Limits ``lose_answers`` to transactions that write a key with this
        prefix.
    """

    table_down: bool = False
    objects_down: bool = False
    hosts_down: bool = False
    slow_s: float = 0
    lose_answers: int = 0
    lose_prefix: str = ''


@attrs.define
class _RateLimiter:
    """Counts calls and limits their rate."""

    max_per_s: int
    total: int = 0
    peak_per_s: int = 0
    _second: int = 0
    _in_second: int = 0

    def admit(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._in_second = 0
        self.total += 1
        self._in_second += 1
        self.peak_per_s = max(self.peak_per_s, self._in_second)
        return self._in_second <= self.max_per_s


@attrs.define
class _StoredRow:
    version: int
    fields: dict[str, Any]


class PlatformStandin:
    """Keeps rows, objects and hosts in memory."""

    def __init__(self, key: str = '', lag_s: float = HOST_LIST_LAG_S) -> None:
        """Start empty; every call has to carry the key."""
        self.faults = PlatformFaults()
        self._key = key
        self._lag_s = lag_s
        self._rows: dict[str, _StoredRow] = {}
        self._row_counter = 0
        self._object_bodies: dict[str, str] = {}
        self._hosts: dict[str, tuple[float, dict[str, Any]]] = {}
        self._writes = _RateLimiter(MAX_WRITES_PER_S)
        self._reads = _RateLimiter(MAX_READS_PER_S)
        self.application = Starlette(
            routes=[
                Route(path, self._guard(endpoint), methods=['POST'])
                for path, endpoint in self._endpoints().items()
            ],
        )

    async def async_run(self, address: str) -> None:
        """Wait; the platform has no background work."""
        await asyncio.Event().wait()

    def _endpoints(self) -> dict[str, Any]:
        return {
            '/table/read': self._async_read,
            '/table/scan': self._async_scan,
            '/table/transact': self._async_transact,
            '/objects/put': self._async_put,
            '/objects/get': self._async_get,
            '/hosts/list': self._async_hosts,
            '/hosts/beat': self._async_heartbeat,
            '/hosts/state': self._async_state,
            '/admin/faults': self._async_faults,
            '/admin/counts': self._async_counts,
        }

    def _guard(self, endpoint: Any) -> Any:
        async def guarded(request: Request) -> Response:  # noqa: WPS430
            given = request.headers.get('authorization', '')
            if not hmac.compare_digest(given, f'Bearer {self._key}'):
                return JSONResponse({}, _UNAUTHENTICATED)
            if not request.url.path.startswith('/admin'):
                await asyncio.sleep(self.faults.slow_s)
            return await endpoint(await request.json())

        return guarded

    async def _async_read(self, body: Any) -> Response:
        refusal = self._read_refusal()
        if refusal is not None:
            return refusal
        return self._reply_rows([key for key in body['keys']])

    async def _async_scan(self, body: Any) -> Response:
        refusal = self._read_refusal()
        if refusal is not None:
            return refusal
        prefix = body['prefix']
        return self._reply_rows(
            [key for key in sorted(self._rows) if key.startswith(prefix)],
        )

    async def _async_transact(self, body: Any) -> Response:
        if self.faults.table_down:
            return JSONResponse({}, _UNAVAILABLE)
        if not self._writes.admit():
            return JSONResponse({}, _OVERLOADED, {'retry-after': '1'})
        failed = [
            condition['key']
            for condition in body['conditions']
            if self._row_version(condition['key']) != condition['version']
        ]
        if failed:
            return JSONResponse({'keys': failed}, _CONFLICT)
        for write in body['writes']:
            self._apply(write['key'], write['fields'])
        if self._should_lose_answer(body):
            await asyncio.sleep(0)
            return JSONResponse({}, _UNAVAILABLE)
        return JSONResponse({})

    async def _async_put(self, body: Any) -> Response:
        if self.faults.objects_down:
            return JSONResponse({}, _UNAVAILABLE)
        self._object_bodies[body['name']] = body['body']
        return JSONResponse({})

    async def _async_get(self, body: Any) -> Response:
        if self.faults.objects_down:
            return JSONResponse({}, _UNAVAILABLE)
        found = self._object_bodies.get(body['name'])
        if found is None:
            return JSONResponse({}, _NOT_FOUND)
        return JSONResponse({'body': found})

    async def _async_hosts(self, body: Any) -> Response:
        if self.faults.hosts_down:
            return JSONResponse({}, _UNAVAILABLE)
        now = time.monotonic()
        listed = [
            host_entry
            for last_seen_at, host_entry in self._hosts.values()
            if now - last_seen_at < self._lag_s
        ]
        return JSONResponse({'hosts': listed})

    async def _async_heartbeat(self, body: Any) -> Response:
        previous = self._hosts.get(body['host'])
        state = previous[1]['state'] if previous else 'live'
        host_entry = {**body, 'state': state}
        self._hosts[body['host']] = (time.monotonic(), host_entry)
        return JSONResponse({})

    async def _async_state(self, body: Any) -> Response:
        self._hosts[body['host']][1]['state'] = body['state']
        return JSONResponse({})

    async def _async_faults(self, body: Any) -> Response:
        for name, setting in body.items():
            setattr(self.faults, name, setting)
        return JSONResponse(attrs.asdict(self.faults))

    async def _async_counts(self, body: Any) -> Response:
        if body.get('reset'):
            self._writes = _RateLimiter(MAX_WRITES_PER_S)
            self._reads = _RateLimiter(MAX_READS_PER_S)
        return JSONResponse(
            {
                'reads': self._reads.total,
                'writes': self._writes.total,
                'peak_reads_per_s': self._reads.peak_per_s,
                'peak_writes_per_s': self._writes.peak_per_s,
            },
        )

    def _read_refusal(self) -> Response | None:
        if self.faults.table_down:
            return JSONResponse({}, _UNAVAILABLE)
        if not self._reads.admit():
            return JSONResponse({}, _OVERLOADED, {'retry-after': '1'})
        return None

    def _reply_rows(self, keys: list[str]) -> Response:
        rows = [
            {'key': key, **attrs.asdict(self._rows[key])}
            for key in keys
            if key in self._rows
        ]
        return JSONResponse({'rows': rows})

    def _row_version(self, key: str) -> int | None:
        row = self._rows.get(key)
        return None if row is None else row.version

    def _apply(self, key: str, fields: dict[str, Any] | None) -> None:
        if fields is None:
            self._rows.pop(key, None)
            return
        self._row_counter += 1
        self._rows[key] = _StoredRow(self._row_counter, fields)

    def _should_lose_answer(self, body: Any) -> bool:
        faults = self.faults
        matches = any(
            write['key'].startswith(faults.lose_prefix)
            for write in body['writes']
        )
        if faults.lose_answers <= 0 or not matches:
            return False
        faults.lose_answers -= 1
        return True
