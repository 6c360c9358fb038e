"""Network partitions between daemons whose peer traffic uses links."""

import asyncio
import os
from collections.abc import Sequence
from itertools import combinations, product
from pathlib import Path

import attrs

from script.tools.cluster import Cluster, DaemonOptions, Process
from script.tools.link import Link

__all__ = ('Partition',)

_DAEMON_HOST = '127.0.0.2'
_INODE_FIELD = 9
_NO_INODE = '0'


class _PeerLink(Link):
    """A link to one daemon that identifies the connecting daemon."""

    def __init__(self, partition: 'Partition', name: str) -> None:
        super().__init__('')
        self._partition = partition
        self._name = name
        self.port = 0

    async def async_start(self) -> None:
        await super().async_start()
        self.port = int(self.address.rpartition(':')[2])
        self.target = f'{_DAEMON_HOST}:{self.port}'

    def find_source(self, port: int) -> str:
        return self._partition.find_owner(_inode_of(port, self.port))

    async def async_wait_open(self, source: str) -> None:
        await self._partition.async_wait_open(source, self._name)


class Partition:
    """Controls which daemons can reach each other."""

    def __init__(self, cluster: Cluster) -> None:
        """Start with all daemons connected."""
        self._cluster = cluster
        self._links: dict[str, _PeerLink] = {}
        self._blocked_pairs: set[frozenset[str]] = set()
        self._changed = asyncio.Event()

    async def async_start_daemon(
        self,
        name: str,
        options: DaemonOptions,
    ) -> Process:
        """Start a daemon that its peers reach through a link."""
        link = self._links.get(name)
        if link is None:
            link = _PeerLink(self, name)
            await link.async_start()
            self._links[name] = link
        return await self._cluster.async_start_daemon(
            name,
            attrs.evolve(
                options,
                peer_address=link.target,
                advertised_peer_address=link.address,
            ),
        )

    def cut(self, *sides: Sequence[str]) -> None:
        """Block traffic between daemons of different sides."""
        for one, other in combinations(sides, 2):
            self._blocked_pairs.update(map(frozenset, product(one, other)))

    def heal(self) -> None:
        """Restore the traffic between all daemons."""
        self._blocked_pairs.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_wait_open(self, source: str, target: str) -> None:
        """Wait until two daemons can reach each other."""
        pair = frozenset((source, target))
        while pair in self._blocked_pairs:
            await self._changed.wait()

    async def async_close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.async_close()

    def find_owner(self, inode: str) -> str:
        """Return the name of the daemon that has a socket open."""
        wanted = f'socket:[{inode}]'
        for name in self._links.keys() & self._cluster.processes.keys():
            process = self._cluster.processes[name]
            if wanted in _open_files(process.popen.pid):
                return name
        raise LookupError(f'no daemon has the socket with inode {inode}')


def _inode_of(port: int, link_port: int) -> str:
    """Return the inode of the socket connected from a port to a link's port.

    The table may also list a closed connection with the same local port; its
    row has inode 0 or another remote port.
    """
    ends = (f':{port:04X}', f':{link_port:04X}')
    for table in ('tcp6', 'tcp'):
        rows = Path(f'/proc/self/net/{table}').read_text().splitlines()[1:]
        for fields in map(str.split, rows):
            matches = map(str.endswith, fields[1:3], ends)
            if all(matches) and fields[_INODE_FIELD] != _NO_INODE:
                return fields[_INODE_FIELD]
    raise LookupError(f'no socket from port {port} to port {link_port}')


def _open_files(pid: int) -> set[str]:
    files = set()
    for entry in Path(f'/proc/{pid}/fd').iterdir():
        try:
            files.add(os.readlink(entry))
        except OSError:
            continue
    return files
