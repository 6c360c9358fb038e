"""One caller's connection: heads, bodies and requests that are sent ahead.

``uvicorn`` bounds neither heads nor the requests that it reads ahead, and
resumes reading at each answer. This protocol feeds its parser piece by piece:
no more than one piece of what follows a request is parsed while that request is
answered, the rest waits as it came, and reading pauses at a bound. All that is
held is counted in the process's account, which may shed the connection.
"""

import asyncio
import functools
import json
import time
from collections import deque
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

import attrs
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from yuccavalve.const import HEADER_RESULT
from yuccavalve.memory import ReceivedBytes
from yuccavalve.results import ResultCode, http_status

__all__ = ('HAS_NEXT_KEY', 'CallerConnection')

# Key of a scope whose function returns whether the caller has sent another
# request on the connection.
HAS_NEXT_KEY: Final = 'yuccavalve.has_next'

_MAX_HEADER_BYTES = 32768
# All connections read into it; nothing is left there between two reads.
_READ_BYTES = 65536
_READ_BUFFER = memoryview(bytearray(_READ_BYTES))
# What is parsed at once of heads and of chunked bodies.
_HEAD_PIECE_BYTES = 512
_CHUNKED_PIECE_BYTES = 1024
# Unparsed bytes beyond which reading pauses.
_MAX_UNPARSED_BYTES = 16384
# Bytes of an element without an end, such as a header field; the parser holds
# them.
_MAX_UNENDED_BYTES = _MAX_HEADER_BYTES + _CHUNKED_PIECE_BYTES
# What a request, each of its header fields, and each byte of its body take in
# memory; a body is held once more while it is sent to an engine.
_REQUEST_BYTES = 8192
_FIELD_BYTES = 160
_COPIES_OF_BODY = 2
# Colon, space and line end of a header field.
_FIELD_FRAMING_BYTES = 4
# How long and how much is read from a caller after its request was refused.
_LINGER_S = 1.0
_MAX_DISCARDED_BYTES = 8388608
# How long the rest of a body is read after an answer that ends the connection.
_BODY_LINGER_S = 5.0
_WRITE_BUFFER_BYTES = 16384
_RETRY_AFTER_S = 1
_REASONS: Final = MappingProxyType(
    {400: 'Bad Request', 503: 'Service Unavailable'}
)


@attrs.define(eq=False)
class _Message:
    """A request as far as it was received.

    Attributes
    ----------
    size_bytes
        What it counts for in the account while it is not released.
    header_bytes
        Size of its header block, with trailers.
    body_left_bytes
        What is left of a body whose length is known.
    is_in_body
        Whether its head was received, but not the end of its body.
    is_whole
        Whether the end of its body was received.
    is_released
        Whether it is no longer counted, although its body may go on.
    """

    size_bytes: int = 0
    header_bytes: int = 0
    body_left_bytes: int = 0
    is_in_body: bool = False
    is_whole: bool = False
    is_released: bool = False
    cycle: RequestResponseCycle | None = None


@attrs.frozen
class _AnswerTransport:
    """What an answer is written to; its end may leave the connection open.

    Attributes
    ----------
    write
        Writes to the connection.
    is_closing
        Returns whether the connection is closed or being closed.
    close
        Called after an answer that ends the connection.
    """

    write: Callable[[bytes], None]
    is_closing: Callable[[], bool]
    close: Callable[[], None]


class _ReadingControl(FlowControl):
    """Flow control that reads on only while there is room for more."""

    def __init__(
        self, transport: asyncio.Transport, has_room: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._has_room = has_room

    def resume_reading(self) -> None:
        """Read on, unless too much is unparsed."""
        if self._has_room():
            super().resume_reading()


class _SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol that reads no more at once than one buffer holds."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where received bytes are written."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))


class CallerConnection(HttpToolsProtocol, _SharedBufferProtocol):
    """The library's protocol with bounds, and with readable refusals.

    Attributes
    ----------
    active_at_s
        Monotonic time at which something was last received or answered.
    unfinished_since_s
        Monotonic time since when something unfinished is held.
    has_sent
        Whether a whole request was received.
    """

    def __init__(
        self, *args: Any, received: ReceivedBytes | None = None, **kwargs: Any
    ) -> None:
        """Start without bytes received."""
        super().__init__(*args, **kwargs)
        self.active_at_s = time.monotonic()
        self.unfinished_since_s = self.active_at_s
        self.has_sent = False
        self._received = ReceivedBytes() if received is None else received
        self._messages: deque[_Message] = deque()
        self._receiving = _Message()
        self._unparsed = b''
        self._unended_bytes = 0
        self._discarded_bytes = 0
        self._ignores_input = False
        self._may_send_on = False
        self._shuts_down = False

    @property
    def unfinished_bytes(self) -> int:
        """Return what is held of requests that are not whole or not begun."""
        held_bytes = len(self._unparsed) + self._unended_bytes
        messages = iter(self._messages)
        if self.is_busy:
            next(messages)
        return held_bytes + sum(each.size_bytes for each in messages)

    @property
    def is_busy(self) -> bool:
        """Return whether a whole request is being answered."""
        return bool(self._messages) and self._messages[0].is_whole

    def connection_made(self, transport: Any) -> None:
        """Bound what the connection itself buffers for a slow caller."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self.flow = _ReadingControl(transport, self._has_room)
        self._received.enter(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End all requests of the connection."""
        for message in self._messages:
            cycle = message.cycle
            if cycle is not None and not cycle.response_complete:
                cycle.disconnected = True
                cycle.message_event.set()
        self._forget_all()
        self._received.leave(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse what was received; discard it after a refusal."""
        self.active_at_s = time.monotonic()
        if self._ignores_input:
            self._discard(len(data))
            return
        if not self.unfinished_bytes:
            self.unfinished_since_s = self.active_at_s
        self._unparsed += data
        self._received.add(len(data))
        self._parse()
        self._received.make_room()

    def shutdown(self) -> None:
        """Close the connection once what was received is answered."""
        if self._unparsed:
            self._shuts_down = True
        else:
            super().shutdown()

    def shed(self) -> None:
        """Refuse what is unfinished, and close the connection.

        A request that is being answered is answered first.
        """
        if self.is_busy:
            self._drop_ahead()
        elif self._messages or self._unparsed or self._unended_bytes:
            self._refuse(
                ResultCode.RECEIVED_FULL, 'too much is received', is_shed=True
            )
        else:
            self.transport.close()

    def on_message_begin(self) -> None:
        """Begin to receive a request."""
        self._receiving = _Message()
        self._messages.append(self._receiving)
        self._add(_REQUEST_BYTES)
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Add the request target to the size of the header block."""
        self._count_header(len(url), 0)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Add a header field to the size of the header block."""
        self._count_header(
            len(name) + len(value) + _FIELD_FRAMING_BYTES, _FIELD_BYTES
        )
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin the request."""
        self._clear_unended()
        super().on_headers_complete()
        self.scope[HAS_NEXT_KEY] = lambda: bool(self.pipeline)
        self.cycle.transport = _AnswerTransport(
            self.transport.write,
            self.transport.is_closing,
            functools.partial(self._close_after, self.cycle),
        )
        message = self._receiving
        message.cycle = self.cycle
        message.is_in_body = True
        message.body_left_bytes = _body_length(self.headers)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        self._clear_unended()
        self._receiving.body_left_bytes -= len(body)
        self._add(len(body) * _COPIES_OF_BODY)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the body."""
        self._clear_unended()
        self.has_sent = True
        self._receiving.is_in_body = False
        self._receiving.is_whole = True
        super().on_message_complete()
        if not self.cycle.keep_alive:
            self._ignore_input()

    def on_response_complete(self) -> None:
        """Release the request, and go on with those that were sent ahead."""
        self.active_at_s = time.monotonic()
        if self._messages:
            self._release(self._messages.popleft())
        self.unfinished_since_s = self.active_at_s
        super().on_response_complete()
        if self._unparsed:
            self._parse()
            self.flow.resume_reading()

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Answer a malformed head with a result code.

        A connection with an answer in progress is aborted.
        """
        if self.cycle is not None and not self.cycle.response_complete:
            self._ignores_input = True
            self.transport.abort()
            return
        self._refuse(ResultCode.HEADER_INVALID, msg)

    def _unsupported_upgrade_warning(self) -> None:
        """Answer in HTTP/1.1, and parse nothing after the request."""
        self.cycle.keep_alive = False
        self._may_send_on = True
        self._ignore_input()

    def _refuse(
        self, code: ResultCode, text: str, *, is_shed: bool = False
    ) -> None:
        """Answer an unfinished request, and end the connection.

        The rest of what the caller sends is read for a while: closing a
        connection with unread bytes resets it, and the caller would lose the
        answer.
        """
        self._ignores_input = True
        cycle = self._messages[0].cycle if self._messages else None
        self._forget_all()
        if self.transport.is_closing():
            return
        if cycle is not None:
            cycle.disconnected = True
            cycle.message_event.set()
            if cycle.response_started:
                self.transport.abort()
                return
        self.transport.write(_refusal(code, text, may_return=is_shed))
        self.transport.write_eof()
        self.flow.resume_reading()
        self.loop.call_later(_LINGER_S, self.transport.close)

    def _drop_ahead(self) -> None:
        """Drop what was sent ahead, and end the connection after the answer."""
        running = self._messages.popleft()
        self._forget_all()
        self._messages.append(running)
        self.pipeline.clear()
        self._ignore_input()
        if running.cycle is not None:
            running.cycle.keep_alive = False

    def _forget_all(self) -> None:
        """Drop what is held and not being answered."""
        self._drop_unparsed()
        self._clear_unended()
        while self._messages:
            self._release(self._messages.popleft())
        # The library keeps the head of the last request.
        self.headers = []
        self.scope = None

    def _ignore_input(self) -> None:
        self._ignores_input = True
        self._drop_unparsed()

    def _drop_unparsed(self) -> None:
        self._may_send_on = self._may_send_on or bool(self._unparsed)
        self._received.add(-len(self._unparsed))
        self._unparsed = b''

    def _release(self, message: _Message) -> None:
        message.is_released = True
        self._received.add(-message.size_bytes)

    def _parse(self) -> None:
        """Parse on, up to one piece of what follows the present request."""
        while self._unparsed and not self.pipeline and not self._ignores_input:
            if self.transport.is_closing():
                self._drop_unparsed()
                break
            size_bytes = _piece_bytes(self._receiving)
            piece = self._unparsed[:size_bytes]
            self._unparsed = self._unparsed[size_bytes:]
            # The parser holds it until the element that it is part of ends.
            self._unended_bytes += len(piece)
            HttpToolsProtocol.data_received(self, piece)
            if self._unended_bytes > _MAX_UNENDED_BYTES:
                self.send_400_response('element of a head is too large')
        if not self._has_room():
            self.flow.pause_reading()
        elif self._shuts_down and not self._unparsed:
            HttpToolsProtocol.shutdown(self)

    def _has_room(self) -> bool:
        return len(self._unparsed) <= _MAX_UNPARSED_BYTES

    def _close_after(self, cycle: RequestResponseCycle) -> None:
        """Close the connection after an answer that ends it.

        If the body of its request or more is still on the way, the rest is
        read for a while: unread bytes would reset the connection, and the
        caller would lose the answer.
        """
        if not cycle.response_complete:
            self.transport.close()
            return
        if not (cycle.more_body or self._may_send_on):
            self.transport.close()
            return
        self._ignore_input()
        self._forget_all()
        self.transport.write_eof()
        self.flow.resume_reading()
        linger_s = _BODY_LINGER_S if cycle.more_body else _LINGER_S
        self.loop.call_later(linger_s, self.transport.close)

    def _discard(self, size_bytes: int) -> None:
        self._may_send_on = True
        self._discarded_bytes += size_bytes
        if self._discarded_bytes <= _MAX_DISCARDED_BYTES:
            return
        if self.is_busy:
            self.flow.pause_reading()
        else:
            self.transport.abort()

    def _count_header(self, size_bytes: int, overhead_bytes: int) -> None:
        self._clear_unended()
        self._receiving.header_bytes += size_bytes
        self._add(size_bytes + overhead_bytes)
        if self._receiving.header_bytes > _MAX_HEADER_BYTES:
            raise ValueError('header block is too large')

    def _add(self, size_bytes: int) -> None:
        """Count what the request that is received holds."""
        if not self._receiving.is_released:
            self._receiving.size_bytes += size_bytes
            self._received.add(size_bytes)

    def _clear_unended(self) -> None:
        self._received.add(-self._unended_bytes)
        self._unended_bytes = 0


def _piece_bytes(receiving: _Message) -> int:
    """Return how much may be parsed at once."""
    if receiving.body_left_bytes > 0:
        return receiving.body_left_bytes
    return _CHUNKED_PIECE_BYTES if receiving.is_in_body else _HEAD_PIECE_BYTES


def _body_length(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the length of a body; 0 if its head does not tell it."""
    fields = dict(headers)
    if b'transfer-encoding' in fields:
        return 0
    length = fields.get(b'content-length', b'')
    return int(length) if length.isdigit() else 0


def _refusal(code: ResultCode, text: str, *, may_return: bool) -> bytes:
    """Return an answer that ends its connection."""
    status = http_status(code)
    error = {'code': int(code), 'name': code.name, 'message': text}
    body = json.dumps({'error': error}).encode()
    retry_after = f'retry-after: {_RETRY_AFTER_S}\r\n' if may_return else ''
    head = (
        f'HTTP/1.1 {status} {_REASONS[status]}\r\n'
        'content-type: application/json\r\n'
        f'{HEADER_RESULT}: {int(code)}\r\n'
        f'{retry_after}'
        f'content-length: {len(body)}\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + body
