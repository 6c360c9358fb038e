"""Starts the daemons of the deploy file before the project's stand-in.

The daemons run as separate processes on loopback addresses. They get the
command and the settings template of the deploy file, and no other variables
than a deployment gives them.
"""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.standin import engines as standin_engines
from tests.platform.support import Caller, free_address

__all__ = (
    'Daemon',
    'Deployment',
    'Record',
    'async_until',
    'has_trouble',
    'run_case',
)

ROOT = Path(__file__).resolve().parents[2]
# Held by the platform's pages: a join of an engine whose last group had the
# same model, and the interval at which engines write their entries.
_WARM_JOIN_S = 0.2
_HEARTBEAT_S = 1.2
_ANY_PORT = '127.0.0.1:0'
_PASSED_ON = ('PATH', 'HOME', 'LANG')
_HELD = 0
_BROKEN = 1
_NOT_RUN = 2
_drawn: set[str] = set()


def has_trouble() -> bool:
    """Return whether the disruption of a case is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


async def async_until(
    condition: Any, what: str, timeout_s: float = 20.0
) -> None:
    """Wait until a condition holds; the case can't run without it."""
    until_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until_s:
            raise CannotRunError(f'not within {timeout_s} s: {what}')
        await asyncio.sleep(0.02)


class CannotRunError(Exception):
    """A case did not reach the state that it begins with."""


def _new_address() -> str:
    """Return a free local address that was not drawn before."""
    address = free_address()
    while address in _drawn:
        address = free_address()
    _drawn.add(address)
    return address


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._began_s = time.monotonic()
        self._file = (folder / 'record.txt').open('w', buffering=1)

    def add(self, text: str) -> None:
        """Add a line."""
        self._file.write(f'{time.monotonic() - self._began_s:8.3f} {text}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Daemon:
    """One daemon: its settings file, its process and its addresses."""

    def __init__(
        self, name: str, store_address: str, folder: Path, fields: dict[str, str]
    ) -> None:
        self.name = name
        self.address = _new_address()
        self.ready_address = _new_address()
        self.settings_file = folder / f'{name}.toml'
        self.log_file = folder / f'{name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.settings_file.write_text(
            builders.settings_text(
                {
                    'node': name,
                    'listen.front': self.address,
                    'listen.ready': self.ready_address,
                    'listen.directory': _ANY_PORT,
                    'internal_ports.0': _new_address().rpartition(':')[2],
                    'internal_ports.1': _new_address().rpartition(':')[2],
                    'platform.address': store_address,
                    'bounds.retry_budget_extra': '132',
                    **fields,
                }
            ).replace('127.0.0.1:9100', _ANY_PORT)
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        passed_on = {
            name: os.environ[name] for name in _PASSED_ON if name in os.environ
        }
        with self.log_file.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env={
                    **passed_on,
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'YUCCAVALVE_NODE_FILE': str(self.settings_file),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log_has(self, text: str) -> bool:
        """Return whether the daemon has logged a text."""
        return self.log_file.exists() and text in self.log_file.read_text()

    def stop(self) -> None:
        """End the process."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """A store, engines and some daemons."""

    def __init__(self, record: Record, folder: Path) -> None:
        standin_engines._WARM_JOIN_S = _WARM_JOIN_S  # noqa: SLF001
        self.record = record
        self.folder = folder
        self.fleet = FleetStandin(_HEARTBEAT_S)
        self.daemons: list[Daemon] = []

    async def async_start(
        self,
        options: Any,
        configuration: dict[str, Any],
        daemons: int = 2,
        **fields: str,
    ) -> None:
        """Start all parts, and wait until the daemons are ready."""
        await self.fleet.async_start(options)
        await self.fleet.async_configure(configuration)
        await self.async_start_daemons(('zone-a',) * daemons, **fields)

    async def async_start_daemons(
        self, zones: Sequence[str], **fields: str
    ) -> None:
        """Start a daemon in each of some zones; wait until they listen."""
        for number, zone in enumerate(zones):
            daemon = Daemon(
                f'front-{number}',
                self.fleet.store_address,
                self.folder,
                {'zone': zone, **fields},
            )
            daemon.start()
            self.daemons.append(daemon)
        for daemon in self.daemons:
            await async_until(
                lambda: daemon.log_has('"event": "listening"'),  # noqa: B023
                f'{daemon.name} listens',
            )

    async def async_stop(self) -> None:
        """End all processes and the stand-ins."""
        for daemon in self.daemons:
            daemon.stop()
        await self.fleet.async_stop()

    def caller(self, number: int) -> Caller:
        """Return a caller of one daemon."""
        return Caller(self.daemons[number].address, builders.KEY)

    def open_heads(self) -> list[Any]:
        """Return the engines that are heads of open groups."""
        return [
            engine
            for engine in self.fleet.engines.values()
            if engine.alive
            and engine.group is not None
            and engine.group.rank == 0
            and engine.group.state == 'open'
        ]

    def log_groups(self, text: str) -> None:
        """Record the group of each engine."""
        groups = ' '.join(
            f'{name}={_group_text(engine)}'
            for name, engine in sorted(self.fleet.engines.items())
            if engine.options.fabric_domain
        )
        self.record.add(f'{text}: {groups}')


def _group_text(engine: Any) -> str:
    group = engine.group
    if group is None:
        return '-'
    return f'{group.name}/{group.rank}/{group.state}'


def run_case(case: Any, folder: Path) -> int:
    """Run a case; return the exit status of its script.

    Parameters
    ----------
    case
        Coroutine function that takes the record and a temporary folder, and
        returns the violations of the rule.
    folder
        Folder of the case, for its record.
    """
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(case(record, Path(temporary)))
        except CannotRunError as error:
            record.add(f'could not run: {error}')
            print(f'could not run: {error}')
            keep_logs(Path(temporary), record)
            return _NOT_RUN
        for text in broken:
            record.add(f'BROKEN: {text}')
            print(f'broken: {text}')
        record.add(f'{len(broken)} violations')
        if os.environ.get('KEEP_LOGS'):
            keep_logs(Path(temporary), record)
    record.close()
    print('rule broken' if broken else 'rule held')
    return _BROKEN if broken else _HELD


def keep_logs(folder: Path, record: Record) -> None:
    """Copy the daemons' logs to the folder that KEEP_LOGS names."""
    target = os.environ.get('KEEP_LOGS')
    if not target:
        return
    for log in folder.glob('*.log'):
        (Path(target) / log.name).write_text(log.read_text())
    record.add(f'logs kept')
