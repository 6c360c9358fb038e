"""HTTP servers for ASGI applications, on sockets bound beforehand."""

import asyncio
import contextlib
import functools
import json
import socket
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import uvicorn
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from yuccavalve.const import HEADER_RESULT
from yuccavalve.results import ResultCode
from yuccavalve.sockets import BACKLOG, bind_socket

__all__ = ('HAS_NEXT_KEY', 'HttpServer', 'bind_socket')

# Key of a scope whose function returns whether the caller has sent another
# request on the connection.
HAS_NEXT_KEY = 'yuccavalve.has_next'

_MAX_HEADER_BYTES = 32768
# Bytes received since an element of a request last ended. One read may bring
# 262144 bytes.
_MAX_UNENDED_BYTES = 294912
# How long and how much is read from a caller after its head was refused.
_LINGER_S = 1.0
_MAX_DISCARDED_BYTES = 8388608
# How long the rest of a body is read after an answer that ends the connection.
_BODY_LINGER_S = 5.0
_KEEP_ALIVE_S = 30
_WRITE_BUFFER_BYTES = 16384
# Rounds of the event loop in which an accepted connection gets its transport.
_ACCEPT_ROUNDS = 4
# Time for requests on the connections that were accepted last.
_STOP_LINGER_S = 0.15
_START_POLL_S = 0.01


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


class BoundedHeaderProtocol(HttpToolsProtocol):
    """The library's protocol with bounds on heads, and readable refusals.

    The parser holds the bytes of an element, such as a header field, until it
    ends. The size of a whole block and that of an element without an end are
    bounded.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Start without bytes received."""
        super().__init__(*args, **kwargs)
        self._header_bytes = 0
        self._unended_bytes = 0
        self._discarded_bytes = 0
        self._is_refused = False

    def connection_made(self, transport: Any) -> None:
        """Bound what the connection itself buffers for a slow caller."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse what was received; discard it after a refusal."""
        if self._is_refused:
            self._discard(len(data))
            return
        self._unended_bytes += len(data)
        super().data_received(data)
        if self._unended_bytes > _MAX_UNENDED_BYTES and not self._is_refused:
            self.send_400_response('element of a head is too large')

    def on_message_begin(self) -> None:
        """Reset the size of the header block."""
        self._header_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Add the request target to the size of the header block."""
        self._count_header(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Add a header field to the size of the header block."""
        self._count_header(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin the request."""
        self._unended_bytes = 0
        super().on_headers_complete()
        self.scope[HAS_NEXT_KEY] = self._has_next
        self.cycle.transport = _AnswerTransport(
            self.transport.write,
            self.transport.is_closing,
            functools.partial(self._close_after, self.cycle),
        )

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        self._unended_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the body."""
        self._unended_bytes = 0
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Answer a malformed head with a result code.

        The rest of what the caller sends is read for a while: closing a
        connection with unread bytes resets it, and the caller would lose the
        answer. A connection with an answer in progress is aborted.
        """
        self._is_refused = True
        if self.cycle is not None and not self.cycle.response_complete:
            self.transport.abort()
            return
        code = ResultCode.HEADER_INVALID
        error = {'code': int(code), 'name': code.name, 'message': msg}
        body = json.dumps({'error': error}).encode()
        head = (
            'HTTP/1.1 400 Bad Request\r\n'
            'content-type: application/json\r\n'
            f'{HEADER_RESULT}: {int(code)}\r\n'
            f'content-length: {len(body)}\r\n'
            'connection: close\r\n\r\n'
        )
        self.transport.write(head.encode() + body)
        self.transport.write_eof()
        self.loop.call_later(_LINGER_S, self.transport.close)

    def _close_after(self, cycle: RequestResponseCycle) -> None:
        """Close the connection after an answer that ends it.

        If the body of its request is still on the way, the rest is read for a
        while: unread bytes would reset the connection, and the caller would
        lose the answer.
        """
        if not cycle.more_body or not cycle.response_complete:
            self.transport.close()
            return
        self._is_refused = True
        self.transport.write_eof()
        self.loop.call_later(_BODY_LINGER_S, self.transport.close)

    def _has_next(self) -> bool:
        return bool(self.pipeline)

    def _discard(self, size_bytes: int) -> None:
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > _MAX_DISCARDED_BYTES:
            self.transport.abort()

    def _count_header(self, size_bytes: int) -> None:
        self._unended_bytes = 0
        self._header_bytes += size_bytes
        if self._header_bytes > _MAX_HEADER_BYTES:
            raise ValueError('header block is too large')


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopped = asyncio.Event()

    def request_exit(self) -> None:
        """End the main loop."""
        self.should_exit = True
        self._stopped.set()

    async def main_loop(self) -> None:
        """Wait for the exit; the library polls for it ten times a second."""
        await self.on_tick(0)
        await self._stopped.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the process that runs the server."""
        yield


class HttpServer:
    """An ASGI application on one listening socket."""

    def __init__(
        self,
        application: Any,
        listener: socket.socket,
        keep_alive_s: int = _KEEP_ALIVE_S,
    ) -> None:
        """Prepare the server; it does not accept connections yet."""
        self._listener = listener
        self._server = _Server(
            uvicorn.Config(
                application,
                http=BoundedHeaderProtocol,
                loop='asyncio',
                lifespan='off',
                ws='none',
                log_config=None,
                log_level='critical',
                access_log=False,
                server_header=False,
                date_header=False,
                timeout_keep_alive=keep_alive_s,
                backlog=BACKLOG,
            ),
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        host, port = self._listener.getsockname()[:2]
        return f'{host}:{port}'

    async def async_start(self) -> None:
        """Start to accept connections."""
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._listener]),
        )
        while not self._server.started:
            if self._task.done():
                await self._task
            await asyncio.sleep(_START_POLL_S)

    async def async_abort(self) -> None:
        """Stop accepting and abort every connection."""
        self._server.force_exit = True
        self._server.request_exit()
        for connection in list(self._server.server_state.connections):
            if connection.transport is not None:
                connection.transport.abort()
        if self._task is not None:
            await self._task
        self._listener.close()

    async def async_drain(self, timeout_s: float) -> None:
        """Stop like ``async_stop``, but abort what is left after a time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.async_stop()
        except TimeoutError:
            await self.async_abort()

    async def _async_stop_accepting(self) -> None:
        """Close the listening socket without losing a connection.

        The event loop drops a connection whose listening socket is closed
        before its transport exists, and the system resets those that wait.
        """
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        for _ in range(_ACCEPT_ROUNDS):
            await asyncio.sleep(0)
        waiting = _accept_waiting(self._listener)
        for server in self._server.servers:
            server.close()
        new_protocol = functools.partial(
            BoundedHeaderProtocol,
            config=self._server.config,
            server_state=self._server.server_state,
            app_state={},
        )
        for connection in waiting:
            await loop.connect_accepted_socket(new_protocol, connection)

    async def async_stop(self) -> None:
        """Stop accepting, answer what was accepted, and close."""
        await self._async_stop_accepting()
        await asyncio.sleep(_STOP_LINGER_S)
        self._server.request_exit()
        if self._task is not None:
            await asyncio.shield(self._task)


def _accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Accept the connections that wait at a listening socket."""
    accepted: list[socket.socket] = []
    with contextlib.suppress(BlockingIOError):
        while len(accepted) < BACKLOG:
            connection, _ = listener.accept()
            connection.setblocking(False)
            accepted.append(connection)
    return accepted
