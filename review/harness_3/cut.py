"""Cut single daemons off from all engines, in front of the engines.

Each engine is reached through a proxy. A proxy finds the process that connects
to it, and resets the connections of daemons that are cut off.
"""

import asyncio
import contextlib
import os
import socket
import struct
from pathlib import Path

import attrs

from review.harness_3.deployment import Daemon, Deployment

__all__ = ('EngineCut', 'async_pump', 'reset')

_READ_BYTES = 65536
# Constants of the kernel's socket monitoring interface.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_ALL_STATES = 0xFFFFFFFF
_ANY_COOKIE = 0xFFFFFFFF
_HEAD_BYTES = 16
_INODE_OFFSET = 84


@attrs.define(eq=False)
class _Gate:
    """A proxy in front of one engine."""

    cut: 'EngineCut'
    target: str
    address: str = ''
    server: asyncio.Server | None = None

    async def async_start(self) -> None:
        self.server = await asyncio.start_server(
            self._async_accept, '127.0.0.1', 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ports = (
            writer.get_extra_info('peername')[1],
            writer.get_extra_info('sockname')[1],
        )
        owner = self.cut.owner(*ports)
        if owner in self.cut.daemons:
            self.cut.refused += 1
            reset(writer)
            return
        self.cut.writers.setdefault(owner, set()).add(writer)
        host, _, port = self.target.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        await asyncio.gather(
            async_pump(reader, upstream[1], writer),
            async_pump(upstream[0], writer, upstream[1]),
        )
        self.cut.writers[owner].discard(writer)


@attrs.define(eq=False)
class EngineCut:
    """Proxies in front of all engines, and the daemons that they refuse."""

    deployment: Deployment
    daemons: set[Daemon] = attrs.field(factory=set)
    writers: dict[Daemon | None, set[asyncio.StreamWriter]] = attrs.field(
        factory=dict
    )
    refused: int = 0
    subject_to_cut: list[Daemon] = attrs.field(factory=list)
    _gates: list[_Gate] = attrs.field(factory=list)

    async def async_install(self) -> None:
        """Put a proxy in front of each engine of the deployment."""
        for engine in self.deployment.fleet.engines.values():
            gate = _Gate(self, engine.address)
            await gate.async_start()
            engine.address = gate.address
            self._gates.append(gate)

    def begin(self, daemon: Daemon) -> None:
        """Reset a daemon's connections to engines, and refuse new ones."""
        self.daemons.add(daemon)
        for writer in self.writers.pop(daemon, set()):
            reset(writer)

    def end(self) -> None:
        """Let all daemons connect again."""
        self.daemons.clear()

    def owner(self, port: int, gate_port: int) -> Daemon | None:
        """Return the daemon to be cut off that connects from a port."""
        inode = _inode_of(port, gate_port)
        wanted = f'socket:[{inode}]'
        for daemon in self.subject_to_cut:
            process = daemon.process
            if process is not None and wanted in _open_files(process.pid):
                return daemon
        return None


async def async_pump(
    source: asyncio.StreamReader,
    sink: asyncio.StreamWriter,
    back: asyncio.StreamWriter,
) -> None:
    try:
        while chunk := await source.read(_READ_BYTES):
            sink.write(chunk)
            await sink.drain()
    except OSError:
        reset(sink)
        reset(back)
    finally:
        sink.close()


def reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


def _inode_of(port: int, gate_port: int) -> int:
    """Return the inode of the socket that is connected to a proxy, or 0.

    The table of all connections is too long to be read for each of them.
    """
    loopback = socket.inet_aton('127.0.0.1').ljust(16, b'\0')
    socket_id = (
        struct.pack('>HH', port, gate_port)
        + loopback
        + loopback
        + struct.pack('=III', 0, _ANY_COOKIE, _ANY_COOKIE)
    )
    body = (
        struct.pack(
            '=BBBBI', socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ALL_STATES
        )
        + socket_id
    )
    head = struct.pack(
        '=IHHII',
        _HEAD_BYTES + len(body),
        _SOCK_DIAG_BY_FAMILY,
        _NLM_F_REQUEST,
        1,
        0,
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as link:
        link.send(head + body)
        answer = link.recv(_READ_BYTES)
    (kind,) = struct.unpack_from('=H', answer, 4)
    if kind != _SOCK_DIAG_BY_FAMILY:
        return 0
    inode: int = struct.unpack_from('=I', answer, _INODE_OFFSET)[0]
    return inode


def _open_files(pid: int) -> set[str]:
    """Return what a process has open; nothing once it has ended."""
    files = set()
    with contextlib.suppress(OSError):
        for entry in Path(f'/proc/{pid}/fd').iterdir():
            with contextlib.suppress(OSError):
                files.add(os.readlink(entry))
    return files
