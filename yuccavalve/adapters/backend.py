"""Streams from backend servers, each on a connection of its own.

A pooled connection may have died unnoticed, and the client library resends
a request whose pooled connection was lost; a new connection for each request
avoids both. Bodies are read as they arrive and decoded by ``httptools``, many
chunks at a time.
"""

import asyncio
import os
from collections.abc import Awaitable, Mapping
from typing import Any, Protocol

import aiosonic
import attrs
import httptools
from aiosonic.exceptions import ConnectTimeout
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from yuccavalve.adapters.http import EXCHANGE_ERRORS, new_client
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError

__all__ = (
    'BackendCall',
    'BackendClient',
    'BackendStream',
    'PollSchedule',
)

_READ_BYTES = 65536
_POOL_SIZE = 8192
_CONNECT_TIMEOUT_S = 1.5
_MAX_EMPTY_POLLS = 6
_BODILESS_STATUSES = frozenset((204, 304))


@attrs.frozen
class BackendCall:
    """A request to a backend server."""

    method: str
    address: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    first_byte_s: float


class PollSchedule(Protocol):
    """Schedule by which polled streams are read."""

    def is_polling(self) -> bool:
        """Return whether streams are to be polled now."""

    def async_wait(self, *, after_empty_read: bool) -> Awaitable[None]:
        """Wait for the next step, or a sooner one after an empty poll."""


class _BodyDecoder:
    """Collects what the parser decodes."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.complete = False

    def on_body(self, body: bytes) -> None:
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.complete = True


class BackendStream:
    """An answer whose head was received and whose body is being read.

    Attributes
    ----------
    status
        HTTP status.
    complete
        True once the framing has marked the end of the body.
    """

    def __init__(self, response: Any, method: str) -> None:
        """Take over the connection of the library's response."""
        self.status: int = response.status_code
        self.headers: Mapping[str, str] = response.headers
        self.complete = False
        self._response = response
        # The library yields single chunks only; the relay reads everything
        # that has arrived at once.
        self._connection = response._connection  # noqa: SLF001, WPS437
        self._decoder = _BodyDecoder()
        self._parser = httptools.HttpResponseParser(self._decoder)
        self._reader = self._connection.reader if self._connection else None
        self._transport: Any = None
        self._descriptor = -1
        if self._connection is not None and self._connection.writer:
            self._transport = self._connection.writer.transport
            socket = self._transport.get_extra_info('socket')
            self._descriptor = socket.fileno()
        self._schedule: PollSchedule | None = None
        self._polled = False
        self._reader_empty = False
        if method == 'HEAD' or self.status in _BODILESS_STATUSES:
            self.complete = True
        else:
            self._start_parser()

    async def async_read(self) -> bytes:
        """Return the next chunk of the body; empty once it has ended.

        Raises
        ------
        BackendLostError
            When the connection ends before the body does.
        """
        while not self.complete:
            try:
                raw = await self._async_read_raw()
            except OSError as error:
                raise BackendLostError(repr(error)) from error
            if not raw:
                raise BackendLostError('connection ended inside the body')
            body = self._decode(raw)
            if body:
                return body
        return b''

    async def async_read_all(self, idle_s: float, limit_bytes: int) -> bytes:
        """Return the rest of the body."""
        chunks = []
        size_bytes = 0
        while True:
            try:
                async with asyncio.timeout(idle_s):
                    chunk = await self.async_read()
            except TimeoutError as error:
                raise BackendLostError('body went silent') from error
            if not chunk:
                return b''.join(chunks)
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                raise BackendLostError('body is too large')

    def poll_by(self, schedule: PollSchedule) -> None:
        """Read only at steps of the schedule while polling; see ``pacing``."""
        self._schedule = schedule

    def close(self) -> None:
        """Abort the connection; unread data is discarded."""
        if self._transport is not None:
            self._transport.abort()

    async def _async_read_raw(self) -> bytes:
        """Read what has arrived, at the next step or as soon as possible."""
        schedule = self._schedule
        if schedule is not None and self._try_take_socket(schedule):
            raw = await self._async_poll(schedule)
            if raw is not None:
                return raw
        if self._polled and not self._transport.is_closing():
            self._polled = False
            self._transport.resume_reading()
        raw = await self._reader.read(_READ_BYTES)
        self._reader_empty = len(raw) < _READ_BYTES
        return raw

    async def _async_poll(self, schedule: PollSchedule) -> bytes | None:
        """Read at a step; None means that the event loop reads again."""
        for attempt in range(_MAX_EMPTY_POLLS):
            await schedule.async_wait(after_empty_read=attempt > 0)
            if self._transport.is_closing():
                return b''
            try:
                return os.read(self._descriptor, _READ_BYTES)
            except BlockingIOError:
                if not schedule.is_polling():
                    return None
        return None

    def _try_take_socket(self, schedule: PollSchedule) -> bool:
        """Return whether the stream is polled, taking over the socket if due.

        The socket is taken from the event loop only once the reader's buffer
        is empty.
        """
        if self._polled:
            return True
        ready = self._reader_empty and not self._reader.at_eof()
        if (
            not schedule.is_polling()
            or not ready
            or self._transport.is_closing()
        ):
            return False
        self._reader_empty = False
        self._polled = True
        self._transport.pause_reading()
        return True

    def _start_parser(self) -> None:
        chunked = getattr(self._response, 'chunked', False)
        length = self.headers.get('content-length')
        if chunked:
            head = b'transfer-encoding: chunked'
        elif length:
            head = f'content-length: {int(length)}'.encode()
        else:
            raise BackendLostError('answer without a length')
        try:
            self._parser.feed_data(b'HTTP/1.1 200 OK\r\n%b\r\n\r\n' % head)
        except httptools.HttpParserError as error:
            raise BackendLostError(repr(error)) from error
        self.complete = self._decoder.complete

    def _decode(self, raw: bytes) -> bytes:
        try:
            self._parser.feed_data(raw)
        except httptools.HttpParserError as error:
            raise BackendLostError(repr(error)) from error
        self.complete = self._decoder.complete
        parts = self._decoder.parts
        self._decoder.parts = []
        return parts[0] if len(parts) == 1 else b''.join(parts)


class BackendClient:
    """Opens a stream for each request."""

    def __init__(self) -> None:
        """Prepare a client that never reuses a connection."""
        self._client: aiosonic.HTTPClient | None = None

    async def async_open(self, call: BackendCall) -> BackendStream:
        """Send a request and wait for the head of its answer.

        Raises
        ------
        BackendNotReachedError
            When no byte of the request was sent.
        BackendLostError
            When the backend server may have run the request.
        """
        limit_s = call.first_byte_s
        request = self._ensure_client().request(
            f'http://{call.address}{call.path}',
            call.method,
            headers=dict(call.headers),
            data=call.body,
            stream=True,
            timeouts=Timeouts(_CONNECT_TIMEOUT_S, limit_s, None, limit_s),
        )
        try:
            return BackendStream(await request, call.method)
        except (ConnectionRefusedError, ConnectTimeout) as error:
            raise BackendNotReachedError(repr(error)) from error
        except EXCHANGE_ERRORS as error:
            raise BackendLostError(repr(error)) from error

    def _ensure_client(self) -> aiosonic.HTTPClient:
        if self._client is None:
            pool = PoolConfig(size=_POOL_SIZE, max_conn_requests=0)
            self._client = new_client(pool)
        return self._client
