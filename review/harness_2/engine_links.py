"""Proxies before engines that can cut some daemons off from all of them."""

import asyncio
import os
import socket
import struct
from collections.abc import Callable, Collection
from pathlib import Path

__all__ = ('EngineLinks',)

_READ_BYTES = 65536
_RESET = struct.pack('ii', 1, 0)
_INODE_FIELD = 9


class EngineLinks:
    """Forwards connections to engines, but resets those of some processes.

    A partition between a machine and all engines is seen by the machine as
    connections that are reset; the machine still reaches everything else.
    """

    def __init__(self, cut_pids: Callable[[], Collection[int]]) -> None:
        self._cut_pids = cut_pids
        self._servers: list[asyncio.Server] = []
        self._writers: dict[asyncio.StreamWriter, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.reset_connections = 0

    async def async_add(self, target: str) -> str:
        """Return the address of a new proxy before an engine."""

        async def async_accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._async_accept(target, reader, writer)

        server = await asyncio.start_server(async_accept, '127.0.0.1', 0)
        self._servers.append(server)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def reset_cut(self) -> None:
        """Reset the open connections of the processes that are cut off."""
        cut = self._cut_pids()
        for writer, pid in tuple(self._writers.items()):
            if pid in cut:
                self._reset(writer)

    async def async_close(self) -> None:
        """Stop listening and end all connections."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_accept(
        self,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        own_port = writer.get_extra_info('sockname')[1]
        port = writer.get_extra_info('peername')[1]
        cut = self._cut_pids()
        pid = _owner(port, own_port, cut) if cut else 0
        if pid:
            self._reset(writer)
            return
        host, _, target_port = target.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(target_port))
        except OSError:
            self._reset(writer)
            return
        self._writers[writer] = pid
        for source, sink in ((reader, upstream[1]), (upstream[0], writer)):
            task = asyncio.create_task(self._async_pump(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        try:
            while chunk := await source.read(_READ_BYTES):
                sink.write(chunk)
                await sink.drain()
        except OSError:
            sink.transport.abort()
        finally:
            sink.close()
            self._writers.pop(sink, None)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        self.reset_connections += 1
        connection = writer.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.transport.abort()


def _owner(port: int, own_port: int, pids: Collection[int]) -> int:
    """Return which process is connected from a port, or 0 for another one."""
    ends = (f':{port:04X}', f':{own_port:04X}')
    for line in Path('/proc/self/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if all(map(str.endswith, fields[1:3], ends)):
            wanted = f'socket:[{fields[_INODE_FIELD]}]'
            for pid in pids:
                if wanted in _open_files(pid):
                    return pid
    return 0


def _open_files(pid: int) -> set[str]:
    files = set()
    try:
        entries = list(Path(f'/proc/{pid}/fd').iterdir())
    except OSError:
        return files
    for entry in entries:
        try:
            files.add(os.readlink(entry))
        except OSError:
            continue
    return files
