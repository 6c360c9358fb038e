"""A small deployment on loopback: store, engines, daemons and callers.

The store and the engines are the project's stand-ins. Daemons are started with
the command of the deploy file, each with the settings template filled in.
"""

import asyncio
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs

from tests.platform import builders
from tests.platform.standin import EngineOptions, FleetStandin
from tests.platform.support import Caller, free_address
from yuccavalve.adapters.exchange import async_exchange
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError

__all__ = (
    'Daemon',
    'Deployment',
    'Outcome',
    'Record',
    'has_trouble',
    'run_case',
)

_ROOT = Path(__file__).resolve().parents[2]
_ANY_PORT = '127.0.0.1:0'
_MAX_BODY_BYTES = 1048576
_START_LIMIT_S = 25
_LIMIT_S = 110


@attrs.define
class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    path: Path
    began_s: float = attrs.field(factory=time.monotonic)
    lines: list[str] = attrs.field(factory=list)

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.lines.append(f'{time.monotonic() - self.began_s:8.3f} {text}')

    def write(self) -> None:
        """Write the file."""
        self.path.write_text('\n'.join(self.lines) + '\n')


@attrs.frozen
class Outcome:
    """One request as its caller saw it.

    Attributes
    ----------
    status
        HTTP status; 0 without an answer.
    """

    request_id: str
    target: str
    sent_at_s: float
    ended_at_s: float
    status: int
    whole: bool
    body: bytes = b''
    headers: Mapping[bytes, bytes] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Daemon:
    """A daemon of the deployment as a separate process."""

    name: str
    caller_address: str
    settings_text: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        settings = self.folder / f'{self.name}.toml'
        settings.write_text(self.settings_text)
        deploy = tomllib.loads((_ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['gateway']['run'])
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=_ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(_ROOT / 'target/deps'),
                    'YUCCAVALVE_NODE_FILE': str(settings),
                },
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, also a stopped one, and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of the log that hold an event."""
        text = (self.folder / f'{self.name}.log').read_text(errors='replace')
        return [line for line in text.splitlines() if event in line]


CaseWork = Callable[['Deployment'], Awaitable[list[str]]]


class Deployment:
    """The stand-ins, the daemons and what their callers saw."""

    def __init__(self, folder: Path, record: Record) -> None:
        """Prepare without opening a socket."""
        self.folder = folder
        self.record = record
        self.fleet = FleetStandin(heartbeat_s=1.2)
        self.daemons: list[Daemon] = []
        self.outcomes: list[Outcome] = []
        self._number = 0

    async def async_start(
        self,
        engines: Iterable[EngineOptions],
        configuration: Mapping[str, Any],
    ) -> None:
        """Start the store and the engines, and write the configuration."""
        await self.fleet.async_start(engines)
        await self.fleet.async_configure(configuration)

    def add_daemon(
        self, name: str, zone: str = 'zone-a', **fields: str
    ) -> Daemon:
        """Start one more daemon.

        Parameters
        ----------
        fields
            Fields of the template that differ, with ``__`` for a dot.
        """
        address = free_address()
        values = {
            'node': name,
            'zone': zone,
            'listen.front': address,
            'listen.ready': free_address(),
            'listen.directory': free_address(),
            'internal_ports.0': free_address().rpartition(':')[2],
            'internal_ports.1': free_address().rpartition(':')[2],
            'platform.address': self.fleet.store_address,
            **{key.replace('__', '.'): text for key, text in fields.items()},
        }
        text = builders.settings_text(values).replace(
            '127.0.0.1:9100', _ANY_PORT
        )
        daemon = Daemon(name, address, text, self.folder)
        daemon.start()
        self.daemons.append(daemon)
        return daemon

    async def async_request(
        self,
        daemon: Daemon,
        method: str,
        target: str,
        deadline_s: float = 4.0,
        key: str = builders.KEY,
        **fields: str,
    ) -> Outcome:
        """Send one request on a connection of its own."""
        self._number += 1
        request_id = f'{daemon.name}-{self._number:05d}'
        caller = Caller(daemon.caller_address, key)
        call = caller.request(
            method,
            target,
            request_id,
            body=request_id.encode() if method == 'POST' else b'',
            deadline_ms=str(int(deadline_s * 1000)),
            **fields,
        )
        sent_at_s = time.monotonic()
        status, body, whole = 0, b'', False
        headers: Mapping[bytes, bytes] = {}
        try:
            async with asyncio.timeout(deadline_s + 1):
                answer = await async_exchange(call)
                try:
                    status, headers = answer.status, dict(answer.headers)
                    body = await answer.async_read_all(_MAX_BODY_BYTES)
                    whole = True
                finally:
                    answer.close()
        except (BackendLostError, BackendNotReachedError, TimeoutError):
            whole = False
        outcome = Outcome(
            request_id,
            target,
            sent_at_s,
            time.monotonic(),
            status,
            whole,
            body,
            headers,
        )
        self.outcomes.append(outcome)
        self.record.add(
            f'caller {request_id} {method} {target} sent '
            f'{sent_at_s - self.record.began_s:.3f} status={status} '
            f'whole={whole}'
        )
        return outcome

    async def async_until_served(
        self, daemon: Daemon, method: str, target: str, **fields: str
    ) -> None:
        """Send requests until one is answered."""
        until_s = time.monotonic() + _START_LIMIT_S
        while time.monotonic() < until_s:
            outcome = await self.async_request(
                daemon, method, target, **fields
            )
            if outcome.status == 200 and outcome.whole:
                return
            await asyncio.sleep(0.2)
        raise TimeoutError(f'{daemon.name} does not serve {target}')

    async def async_end(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for daemon in self.daemons:
            daemon.end()
        await self.fleet.async_stop()


def has_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(work: CaseWork, folder: Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if not, 2 if it can't."""
    # Ends the daemons also when the case is stopped from outside.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder / 'record.txt')
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(Path(temporary), record)
        try:
            broken = asyncio.run(_async_run(work, deployment))
        except Exception as error:
            record.add(f'the case could not run: {error!r}')
            record.write()
            print(f'could not run: {error!r}', file=sys.stderr)
            return 2
    for text in broken:
        record.add(f'BROKEN {text}')
    record.write()
    print(f'{len(broken)} broken')
    for text in broken[:5]:
        print(text)
    return int(bool(broken))


async def _async_run(work: CaseWork, deployment: Deployment) -> list[str]:
    try:
        async with asyncio.timeout(_LIMIT_S):
            return await work(deployment)
    finally:
        await deployment.async_end()
