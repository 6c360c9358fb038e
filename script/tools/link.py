"""A TCP proxy that can stop forwarding without closing connections."""

import asyncio

__all__ = ('Link',)

_READ_BYTES = 65536


class Link:
    """Forwards TCP connections to a target address."""

    def __init__(self, target: str) -> None:
        """Create a link to a target address that does not listen yet."""
        self.target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._open = asyncio.Event()
        self._open.set()
        self.address = ''

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._async_accept,
            '127.0.0.1',
            0,
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def block(self) -> None:
        """Stop forwarding, without closing connections."""
        self._open.clear()

    def unblock(self) -> None:
        """Resume forwarding."""
        self._open.set()

    async def async_close(self) -> None:
        """Stop listening and cancel all forwarding."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def find_source(self, port: int) -> str:
        """Return the name of the process connected from a port, or ''."""
        return ''

    async def async_wait_open(self, source: str) -> None:
        """Wait until bytes from a process may be forwarded."""
        await self._open.wait()

    async def _async_accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            name = await asyncio.to_thread(
                self.find_source,
                writer.get_extra_info('peername')[1],
            )
        except (LookupError, OSError):
            writer.close()
            return
        host, port = self.target.split(':')
        upstream = await asyncio.open_connection(host, int(port))
        for source, sink in ((reader, upstream[1]), (upstream[0], writer)):
            task = asyncio.create_task(
                self._async_pump(source, sink, name),
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        name: str,
    ) -> None:
        try:
            while chunk := await source.read(_READ_BYTES):
                await self.async_wait_open(name)
                sink.write(chunk)
                await sink.drain()
        except OSError:
            return
        finally:
            sink.close()
