"""HTTP servers for ASGI applications, on sockets bound beforehand."""

import asyncio
import contextlib
import functools
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

from yuccavalve.caller_connection import HAS_NEXT_KEY, CallerConnection
from yuccavalve.memory import ReceivedBytes
from yuccavalve.sockets import BACKLOG, bind_socket

__all__ = ('HAS_NEXT_KEY', 'HttpServer', 'bind_socket')

_KEEP_ALIVE_S = 30
# Connections accepted before those of them that are too many are closed.
_ACCEPTED_AT_ONCE = 64
# Rounds of the event loop in which an accepted connection gets its transport.
_ACCEPT_ROUNDS = 4
# Time for requests on the connections that were accepted last.
_STOP_LINGER_S = 0.15
_START_POLL_S = 0.01


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
        received: ReceivedBytes | None = None,
    ) -> None:
        """Prepare the server; it does not accept connections yet.

        Parameters
        ----------
        application
            ASGI application.
        listener
            Bound socket.
        keep_alive_s
            How long a connection without requests is kept.
        received
            Account of what callers send; by default one without bounds.
        """
        self._new_connection = functools.partial(
            CallerConnection, received=received or ReceivedBytes()
        )
        self._listener = listener
        self._server = _Server(
            uvicorn.Config(
                application,
                http=self._new_connection,
                loop='asyncio',
                lifespan='off',
                ws='none',
                log_config=None,
                log_level='critical',
                access_log=False,
                server_header=False,
                date_header=False,
                timeout_keep_alive=keep_alive_s,
                backlog=_ACCEPTED_AT_ONCE,
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
        self._listener.listen(BACKLOG)

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
            self._new_connection,
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
