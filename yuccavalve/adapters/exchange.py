"""One HTTP exchange on a connection of its own.

``aiosonic`` rewrites headers, decodes bodies, resends a request whose pooled
connection was lost and bounds neither heads nor bodies. Requests must be sent
unchanged and at most once, and answers may never end, so daemons use this
minimal client:
``httptools`` parses and an ``asyncio`` transport carries the bytes.
"""

import asyncio
import socket
from typing import Any

import attrs
import httptools

from yuccavalve.exceptions import (
    BackendLostError,
    BackendNotReachedError,
    BackendResetError,
    PermitExpiredError,
)
from yuccavalve.memory import ALWAYS_BYTES, HeldBytes
from yuccavalve.ports.backend import BodyFraming, HeaderFields
from yuccavalve.ports.sending import MaySend, always

__all__ = ('HttpAnswer', 'HttpCall', 'async_exchange')

_MAX_BUFFERED_BYTES = 262144
# Most that is read at once, and that beyond the bound of held bytes.
_READ_BYTES = 65536
_READ_FULL_BYTES = 4096
# All connections read into it; nothing is left there between two reads.
_READ_BUFFER = memoryview(bytearray(_READ_BYTES))
# Bytes other than the body: heads, chunk sizes and extensions, trailers.
_MAX_OVERHEAD_BYTES = 65536
_MAX_OVERHEAD_PER_BODY_BYTE = 16
# Bytes of an element without an end, such as a field; the parser holds them.
# One read more may follow.
_MAX_UNENDED_BYTES = 65536
# Fields of a head, and what each takes in memory besides its bytes.
_MAX_FIELDS = 256
_FIELD_BYTES = 160
_USER_TIMEOUT_MS = 5000
_BODILESS_STATUSES = frozenset((204, 304))
_FIRST_INTERIM_STATUS = 100
_FIRST_FINAL_STATUS = 200
_LAST_FINAL_STATUS = 599


@attrs.frozen
class HttpCall:
    """A request as it is sent.

    Attributes
    ----------
    headers
        All fields but ``content-length``, in order.
    connect_timeout_s
        Time in seconds within which the connection must be made.
    may_send
        Returns, once the connection is made, whether to send the request.
    held
        Counts the bytes of the answer that are held.
    """

    address: str
    method: str
    target: bytes
    headers: HeaderFields
    body: bytes = b''
    connect_timeout_s: float = 1
    may_send: MaySend = always
    held: HeldBytes = attrs.field(factory=HeldBytes)

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        parts = [self.method.encode(), b' ', self.target, b' HTTP/1.1\r\n']
        for name, text in self.headers:
            parts.extend((name, b': ', text, b'\r\n'))
        if self.body or self.method not in {'GET', 'HEAD', 'DELETE'}:
            parts.append(b'content-length: %d\r\n' % len(self.body))
        parts.extend((b'\r\n', self.body))
        return b''.join(parts)


class HttpAnswer(asyncio.BufferedProtocol):
    """An answer, read from its connection as it arrives.

    Attributes
    ----------
    status
        HTTP status, 0 until the head is received.
    headers
        Fields in order, names in lower case.
    framing
        How the end of the body is marked, unknown until the head is received.
    complete
        True once the whole body is received.
    """

    def __init__(self, method: str, held: HeldBytes | None = None) -> None:
        """Prepare to receive an answer."""
        self._held = HeldBytes() if held is None else held
        self._held_bytes = 0
        self._returned_bytes = 0
        self._is_paused = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.framing = BodyFraming.UNKNOWN
        self.complete = False
        self._method = method
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._buffered_bytes = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._unended_bytes = 0
        self._head_bytes = 0
        self._error = ''
        self._is_reset = False
        self._head_received = False
        self._waiter: asyncio.Future[None] | None = None
        self._transport: Any = None

    async def async_head(self) -> None:
        """Wait until the head is received."""
        while not self._head_received:
            self._raise_if_failed()
            await self._async_wait()

    async def async_read(self) -> bytes:
        """Return the next chunk of the body; empty once it has ended.

        The chunks that were returned before are no longer held.
        """
        self._release(self._returned_bytes)
        self._update_reading()
        return b''.join(await self._async_parts())

    async def async_read_held(
        self, limit_bytes: int
    ) -> tuple[list[bytes], bool]:
        """Return the body, or what of it may be held.

        Returns
        -------
        tuple
            Parts of the body, and whether it is whole.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while size_bytes < ALWAYS_BYTES or not self._held.is_full:
            added = await self._async_parts()
            if not added:
                return parts, True
            parts.extend(added)
            size_bytes += sum(map(len, added))
            if size_bytes > limit_bytes:
                raise BackendLostError('body is too large')
        return parts, False

    async def _async_parts(self) -> list[bytes]:
        """Return what was received next, which is held on."""
        while not self._parts and not self.complete:
            self._raise_if_failed()
            await self._async_wait()
        parts = self._parts
        self._parts = []
        self._returned_bytes += self._buffered_bytes
        self._buffered_bytes = 0
        self._update_reading()
        return parts

    async def async_read_all(self, limit_bytes: int) -> bytes:
        """Return the rest of the body."""
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            chunk = await self.async_read()
            if not chunk:
                return b''.join(chunks)
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                raise BackendLostError('body is too large')

    def close(self) -> None:
        """Abort the connection."""
        self._held.forget(self._update_reading)
        self._release(self._held_bytes)
        if self._transport is not None:
            self._transport.abort()

    def send(self, encoded: bytes) -> None:
        """Write the request."""
        self._transport.write(encoded)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where received bytes are written."""
        return _READ_BUFFER[: _READ_FULL_BYTES if self._held.is_full else None]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; those after the answer are dropped."""
        if self.complete or self._error:
            return
        self._received_bytes += len(data)
        self._unended_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(f'not HTTP: {error!r}')
            self.close()
        self._check_overhead()
        self._update_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Complete a body that ends with the connection."""
        if self.framing is BodyFraming.CONNECTION:
            self.complete = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the answer unless it is complete."""
        self._is_reset = isinstance(exc, ConnectionResetError)
        self._fail('connection ended' if exc is None else repr(exc))
        self._wake()

    def on_message_begin(self) -> None:
        """Start a head, discarding that of an interim response.

        What follows a complete answer, even in the same packet, belongs to
        no request.
        """
        self._unended_bytes = 0
        if not self.complete:
            self._count_head(-self._head_bytes)
            self.headers.clear()

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Collect a header field; trailers are dropped."""
        self._unended_bytes = 0
        if self._head_received:
            return
        if len(self.headers) >= _MAX_FIELDS:
            raise ValueError(f'more than {_MAX_FIELDS} header fields')
        self._count_head(len(name) + len(value) + _FIELD_BYTES)
        self.headers.append((name.lower(), value.rstrip(b' \t')))

    def on_headers_complete(self) -> None:
        """Record the status and the framing of the body.

        A message with any other status than an interim or final one is no
        answer, so nothing of it counts.
        """
        self._unended_bytes = 0
        status = self._parser.get_status_code()
        if not _FIRST_INTERIM_STATUS <= status <= _LAST_FINAL_STATUS:
            raise ValueError(f'status {status:03d}')
        if self.complete or status < _FIRST_FINAL_STATUS:
            return
        self.status = status
        self._head_received = True
        self.framing = self._body_framing()
        self.complete = self.framing is BodyFraming.NO_BODY

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body."""
        self._unended_bytes = 0
        if self.complete:
            return
        if not self._head_received:
            raise ValueError('an interim answer has a body')
        self._parts.append(body)
        self._buffered_bytes += len(body)
        self._body_bytes += len(body)
        self._held_bytes += len(body)
        self._held.take(len(body))

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        if self._head_received:
            self.complete = True

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        self._held_bytes += size_bytes
        self._held.take(size_bytes)

    def _release(self, size_bytes: int) -> None:
        self._held_bytes -= size_bytes
        self._returned_bytes = 0
        self._held.release(size_bytes)

    def _update_reading(self) -> None:
        """Read on, or wait until there is room for more."""
        must_wait = self._held.is_full and self._held_bytes >= ALWAYS_BYTES
        if must_wait:
            self._held.wait(self._update_reading)
        must_wait = must_wait or self._buffered_bytes > _MAX_BUFFERED_BYTES
        if must_wait == self._is_paused or self._is_closing():
            return
        self._is_paused = must_wait
        if must_wait:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _check_overhead(self) -> None:
        """Give up an answer that consists mostly of other bytes than body."""
        limit_bytes = (
            _MAX_OVERHEAD_BYTES + self._body_bytes * _MAX_OVERHEAD_PER_BODY_BYTE
        )
        overhead_bytes = self._received_bytes - self._body_bytes
        if self.complete:
            return
        if overhead_bytes > limit_bytes:
            self._fail(f'{overhead_bytes} bytes besides the body')
            self.close()
        elif self._unended_bytes > _MAX_UNENDED_BYTES:
            self._fail(f'{self._unended_bytes} bytes without an end')
            self.close()

    def _body_framing(self) -> BodyFraming:
        if self._method == 'HEAD' or self.status in _BODILESS_STATUSES:
            return BodyFraming.NO_BODY
        fields_by_name = dict(self.headers)
        if b'chunked' in fields_by_name.get(b'transfer-encoding', b'').lower():
            return BodyFraming.CHUNKS
        if b'content-length' in fields_by_name:
            return BodyFraming.LENGTH
        return BodyFraming.CONNECTION

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _fail(self, reason: str) -> None:
        if not self.complete:
            self._error = self._error or reason

    def _raise_if_failed(self) -> None:
        if self._error:
            if self._is_reset:
                raise BackendResetError(self._error)
            raise BackendLostError(self._error)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _async_wait(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        try:
            await waiter
        finally:
            if self._waiter is waiter:
                self._waiter = None


async def async_exchange(
    call: HttpCall, answer: HttpAnswer | None = None
) -> HttpAnswer:
    """Send a request on a new connection and wait for the answer's head.

    Parameters
    ----------
    answer
        What the answer is read into; by default one that reads at once.

    Raises
    ------
    BackendNotReachedError
        When no byte of the request was sent.
    PermitExpiredError
        When it may no longer be sent.
    BackendLostError
        When the server may have read the request.
    """
    if answer is None:
        answer = HttpAnswer(call.method, call.held)
    await _async_connect(call, answer)
    try:
        if not call.may_send():
            raise PermitExpiredError(call.address)
        answer.send(call.encode())
        await answer.async_head()
    except BaseException:
        answer.close()
        raise
    return answer


async def _async_connect(call: HttpCall, answer: HttpAnswer) -> None:
    host, _, port = call.address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(call.connect_timeout_s):
            transport, _ = await loop.create_connection(
                lambda: answer,
                host.strip('[]'),
                int(port),
            )
    except (OSError, ValueError, TimeoutError) as error:
        raise BackendNotReachedError(f'{call.address}: {error!r}') from error
    connection = transport.get_extra_info('socket')
    connection.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
