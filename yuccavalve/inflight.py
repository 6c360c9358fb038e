"""Tasks of a daemon's requests in flight, and reading of their bodies."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, MutableMapping
from typing import Any

import attrs

from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.results import ResultCode

__all__ = ('InFlightRequests', 'async_read_body')

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]


@attrs.define
class InFlightRequests:
    """The tasks of the requests in flight, one per request."""

    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._tasks)

    async def async_serve(
        self,
        work: Coroutine[Any, Any, None],
        watch: Callable[[asyncio.Task[None]], Coroutine[Any, Any, None]],
    ) -> None:
        """Serve a request, which a watcher may cancel meanwhile.

        Parameters
        ----------
        work
            Coroutine that serves the request.
        watch
            Takes the task of ``work`` and waits for a reason to cancel it.
        """
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        watcher = asyncio.create_task(watch(task))
        try:
            await asyncio.wait((task,))
        finally:
            watcher.cancel()

    def cancel_all(self) -> None:
        """Cancel the requests that outlast the bound of a planned stop.

        Tasks are cancelled after their first step: one that is cancelled
        before it ends without an answer.
        """
        loop = asyncio.get_running_loop()
        for task in self._tasks:
            loop.call_soon(task.cancel, ResultCode.STOP_BOUND_REACHED.name)

    async def async_wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._tasks:
            await asyncio.wait(self._tasks)


async def async_read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    RequestRefusedError
        When the caller disconnects, or the body exceeds the limit.
    """
    parts: list[bytes] = []
    size_bytes = 0
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise RequestRefusedError(ResultCode.CALLER_LEFT)
        part = message.get('body', b'')
        size_bytes += len(part)
        if size_bytes > limit_bytes:
            raise RequestRefusedError(
                ResultCode.BODY_TOO_LARGE,
                f'body: expected at most {limit_bytes} bytes',
            )
        parts.append(part)
        more = message.get('more_body', False)
    return b''.join(parts)
