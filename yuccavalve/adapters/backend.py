"""Streams from backend servers, each on a connection of its own.

A pooled connection may have died unnoticed, and the client library resends
a request whose pooled connection was lost; a new connection for each request
avoids both. Answers are read by the exchange that the gateway uses too, many
chunks at a time.
"""

import asyncio
import os
from collections.abc import Awaitable, Mapping
from typing import Any, Protocol

import attrs

from yuccavalve.adapters.exchange import HttpAnswer, HttpCall, async_exchange
from yuccavalve.exceptions import BackendLostError
from yuccavalve.ports.sending import MaySend, always

__all__ = (
    'BackendCall',
    'BackendClient',
    'BackendStream',
    'PollSchedule',
)

_READ_BYTES = 65536
_CONNECT_TIMEOUT_S = 1.5
_MAX_EMPTY_POLLS = 6


@attrs.frozen
class BackendCall:
    """A request to a backend server.

    Attributes
    ----------
    path
        Path and query, encoded as they are sent.
    first_byte_s
        Time in seconds within which the head of the answer must arrive.
    may_send
        Returns, once the connection is made, whether to send the request.
    """

    method: str
    address: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    first_byte_s: float
    may_send: MaySend = always


class PollSchedule(Protocol):
    """Schedule by which polled streams are read."""

    def is_polling(self) -> bool:
        """Return whether streams are to be polled now."""

    def async_wait(self, *, after_empty_read: bool) -> Awaitable[None]:
        """Wait for the next step, or a sooner one after an empty poll."""


class _PolledAnswer(HttpAnswer):
    """An answer that is read at steps of a schedule while polling."""

    def __init__(self, method: str) -> None:
        """Start without a schedule."""
        super().__init__(method)
        self.schedule: PollSchedule | None = None
        self._polled = False
        self._descriptor = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and its socket's descriptor."""
        super().connection_made(transport)
        connection: Any = transport.get_extra_info('socket')
        self._descriptor = connection.fileno()

    async def _async_wait(self) -> None:
        """Wait for data, at the next step or as soon as possible."""
        schedule = self.schedule
        if schedule is None or self._is_closing():
            await super()._async_wait()
            return
        if schedule.is_polling():
            self._polled = True
            self._transport.pause_reading()
            if await self._async_poll(schedule):
                return
        if self._error or self.complete:
            return
        if self._polled and not self._is_closing():
            self._polled = False
            self._transport.resume_reading()
        await super()._async_wait()

    async def _async_poll(self, schedule: PollSchedule) -> bool:
        """Read at a step; return whether there was anything to read."""
        for attempt in range(_MAX_EMPTY_POLLS):
            await schedule.async_wait(after_empty_read=attempt > 0)
            if self._is_closing():
                return False
            try:
                raw = os.read(self._descriptor, _READ_BYTES)
            except BlockingIOError:
                if not schedule.is_polling():
                    return False
            except OSError as error:
                self._fail(repr(error))
                self.close()
                return True
            else:
                self._receive(raw)
                return True
        return False

    def _receive(self, raw: bytes) -> None:
        if raw:
            self.data_received(raw)
            return
        self.eof_received()
        self._fail('connection ended')
        self.close()


class BackendStream:
    """An answer whose head was received and whose body is being read.

    Attributes
    ----------
    status
        HTTP status.
    headers
        Fields by name in lower case.
    """

    def __init__(self, answer: _PolledAnswer) -> None:
        """Take over an answer."""
        self.status = answer.status
        self.headers: Mapping[str, str] = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in answer.headers
        }
        self._answer = answer

    async def async_read(self) -> bytes:
        """Return the next chunk of the body; empty once it has ended.

        Raises
        ------
        BackendLostError
            When the connection ends before the body does.
        """
        return await self._answer.async_read()

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
        self._answer.schedule = schedule

    def close(self) -> None:
        """Abort the connection; unread data is discarded."""
        self._answer.close()


class BackendClient:
    """Opens a stream for each request."""

    async def async_open(self, call: BackendCall) -> BackendStream:
        """Send a request and wait for the head of its answer.

        Raises
        ------
        BackendNotReachedError
            When no byte of the request was sent.
        BackendLostError
            When the backend server may have run the request.
        """
        answer = _PolledAnswer(call.method)
        try:
            async with asyncio.timeout(call.first_byte_s):
                await async_exchange(_http_call(call), answer)
        except TimeoutError as error:
            raise BackendLostError('no answer in time') from error
        return BackendStream(answer)


def _http_call(call: BackendCall) -> HttpCall:
    fields = {'host': call.address, **call.headers}
    return HttpCall(
        call.address,
        call.method,
        call.path.encode('latin-1'),
        [(name.encode(), text.encode()) for name, text in fields.items()],
        call.body,
        min(_CONNECT_TIMEOUT_S, call.first_byte_s),
        call.may_send,
    )
