"""Starts the deployed daemons as processes in front of the stand-ins."""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from tests.platform import builders
from tests.platform.standin import EngineOptions, EngineStandin, FleetStandin
from tests.platform.support import Caller, free_address
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError
from yuccavalve.serving import HttpServer, bind_socket

ROOT = Path(__file__).resolve().parents[2]
ANY_PORT = '127.0.0.1:0'
PASSED_ON = ('PATH', 'HOME', 'LANG', 'JAVA_HOME')


def has_trouble() -> bool:
    """Return whether the script is to bring the disruption about."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """The record of a run, a line for each thing sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._began_s = time.monotonic()
        self._file = path.open('w')

    def now_s(self) -> float:
        return time.monotonic() - self._began_s

    def add(self, text: str) -> None:
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()


class ReviewFleet(FleetStandin):
    """A fleet whose engines are of a given class."""

    engine_class = EngineStandin
    on_engine: Any = None

    async def async_add(self, options: EngineOptions) -> EngineStandin:
        engine = self.engine_class(options, self.engines)
        engine.all_runs = self.all_runs
        engine.violations = self.violations
        engine.ready_epochs = self.ready_epochs
        engine.on_crash = self._crash
        if self.on_engine is not None:
            self.on_engine(engine)
        server = HttpServer(engine.application, bind_socket(ANY_PORT))
        await server.async_start()
        engine.address = server.address
        self._servers[options.engine] = server
        self.engines[options.engine] = engine
        return engine


class Stage:
    """Store, engines and daemons of one small deployment on loopback."""

    def __init__(self, folder: Path, fleet: FleetStandin) -> None:
        self.record = Record(folder / 'record.txt')
        self.fleet = fleet
        self.processes: list[subprocess.Popen[bytes]] = []
        self.callers: list[Caller] = []
        self.ready_addresses: list[str] = []
        self.peer_addresses: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self._folder = Path(tempfile.mkdtemp(prefix='yuccavalve-review-'))
        self._texts: list[str] = []
        self._sent = 0
        self._addresses: set[str] = set()
        self._ids: dict[str, str] = {}

    def _free_address(self) -> str:
        """Return a free address that this stage has not given out yet."""
        while True:
            address = free_address()
            if address not in self._addresses:
                self._addresses.add(address)
                return address

    def start_daemon(self, fields: dict[str, str] | None = None) -> int:
        """Start one more daemon and return its number."""
        number = len(self.processes)
        address = self._free_address()
        ready, peer = self._free_address(), self._free_address()
        self.callers.append(Caller(address, builders.KEY))
        self.ready_addresses.append(ready)
        self.peer_addresses.append(peer)
        text = builders.settings_text(
            {
                'node': f'front-{number}',
                'listen.front': address,
                'listen.ready': ready,
                'listen.directory': ANY_PORT,
                'internal_ports.0': peer.rpartition(':')[2],
                'internal_ports.1': self._free_address().rpartition(':')[2],
                'platform.address': self.fleet.store_address,
                **(fields or {}),
            },
        ).replace('127.0.0.1:9100', ANY_PORT)
        self._texts.append(text)
        self.processes.append(self._spawn(number))
        return number

    def restart_daemon(self, number: int) -> None:
        """Start a daemon again that has ended."""
        self.processes[number] = self._spawn(number)

    def signal_daemon(self, number: int, name: signal.Signals) -> None:
        self.record.add(f'daemon front-{number} gets {name.name}')
        self.processes[number].send_signal(name)

    def log(self, number: int) -> str:
        """Return what a daemon has logged."""
        return (self._folder / f'front-{number}.log').read_text()

    def ends(self) -> list[str]:
        """Return the daemons that have ended, with their exit status."""
        return [
            f'front-{number}: {process.returncode}'
            for number, process in enumerate(self.processes)
            if process.poll() is not None
        ]

    def planner(self) -> int | None:
        """Return the number of the daemon that the lease row names."""
        for (table, _, key), row in list(self.fleet.store._rows.items()):
            document = self.fleet.store.document(table, key)
            if isinstance(document, dict) and set(document) == {'holder'}:
                if 'term' not in key:
                    name = document['holder'].rpartition('-')[0]
                    return int(name.rpartition('-')[2])
        return None

    def _spawn(self, number: int) -> 'subprocess.Popen[bytes]':
        path = self._folder / f'front-{number}.toml'
        path.write_text(self._texts[number])
        environment = {
            name: os.environ[name] for name in PASSED_ON if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['YUCCAVALVE_NODE_FILE'] = str(path)
        self.record.add(f'daemon front-{number} is started')
        with (self._folder / f'front-{number}.log').open('ab') as log:
            return subprocess.Popen(
                ['python3', 'platform/serve.py'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def last_id(self, body: str) -> str:
        """Return the id of the last request with a body."""
        return self._ids.get(body, '')

    async def async_request(
        self,
        daemon: int,
        kind: str,
        deadline_s: float = 4.0,
        body: bytes | None = None,
        **fields: str,
    ) -> tuple[int, bytes]:
        """Send a request; record and return status and body, 0 for none."""
        self._sent += 1
        request_id = f'{kind}-{self._sent:05d}'
        if body is not None:
            self._ids[body.decode('latin-1')] = request_id
        path = {'stream': '/llm/x', 'repeatable': '/get/x', 'once': '/once/x'}
        sent = {'deadline_ms': str(int(deadline_s * 1000)), **fields}
        if kind == 'stream':
            sent.setdefault('model', builders.MODEL)
            sent.setdefault('token_counts', '100,80')
        self.record.add(f'sent {request_id} to front-{daemon}')
        status, received, how = 0, b'', 'no answer'
        try:
            async with asyncio.timeout(deadline_s + 1):
                answer = await self.callers[daemon].async_open(
                    'GET' if kind == 'repeatable' else 'POST',
                    path[kind],
                    request_id,
                    body=request_id.encode() if body is None else body,
                    **sent,
                )
                status = answer.status
                received = await answer.async_read_all(1 << 23)
                how = 'whole'
        except (BackendLostError, BackendNotReachedError) as error:
            how = f'broken off: {type(error).__name__}'
        except TimeoutError:
            how = 'timed out'
        self.record.add(f'answered {request_id}: {status} {how}')
        self.outcomes[f'{status} {how}'] += 1
        return status, received

    async def async_until(
        self, condition: Any, what: str, limit_s: float = 30
    ) -> None:
        """Wait for a condition; exit with 2 if it does not come true."""
        until_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until_s:
                raise CannotRunError(what)
            await asyncio.sleep(0.02)

    async def async_until_serving(self, kind: str = 'stream') -> None:
        """Wait until every daemon has answered a request."""
        for daemon in range(len(self.processes)):
            for _ in range(200):
                status, _ = await self.async_request(daemon, kind)
                if status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                raise CannotRunError(f'front-{daemon} serves nothing')

    def remove_logs(self) -> None:
        """Remove settings and logs of the daemons, unless they are wanted."""
        if os.environ.get('KEEP_LOGS'):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    async def async_close(self) -> None:
        """End all processes."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        await self.fleet.async_stop()


class CannotRunError(Exception):
    """The case could not be brought about."""


def run(case: Any, folder: Path, fleet: FleetStandin) -> None:
    """Run a case, which returns the broken rules, and exit."""

    async def async_main() -> int:
        stage = Stage(folder, fleet)
        try:
            async with asyncio.timeout(110):
                broken = await case(stage)
        except (CannotRunError, TimeoutError) as error:
            stage.record.add(f'could not run: {error!r}')
            print(f'could not run: {error!r}')
            return 2
        finally:
            await stage.async_close()
            stage.remove_logs()
        for text in broken:
            stage.record.add(f'BROKEN {text}')
            print(f'BROKEN {text}')
        if not broken:
            stage.record.add('the rule held')
            print('the rule held')
        return 1 if broken else 0

    sys.exit(asyncio.run(async_main()))
