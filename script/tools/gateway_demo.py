"""Demo of the gateway on the platform stand-in that checks each of its steps.

The store and the engines run in this process; the daemons are separate
processes, started as in a deployment.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import (
    Answer,
    Caller,
    async_listening,
    async_until,
)
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError
from yuccavalve.observability.explain import read_lines

_ROOT = Path(__file__).resolve().parents[2]
_NAMES = ('front-1', 'front-2')
_STREAM_FIELDS = {'model': builders.MODEL, 'token_counts': '100,80'}
_REQUESTS = 60
_SERVE_TIMEOUT_S = 20.0
_REQUEST_INTERVAL_S = 0.06
_LOG_DELAY_S = 0.5
_ANY_PORT = '127.0.0.1:0'


class GatewayDemo:
    """Runs the steps and counts every request."""

    def __init__(self, folder: Path) -> None:
        self.fleet = FleetStandin()
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.callers: dict[str, Caller] = {}
        self.failures: list[str] = []
        self.answers: list[Answer] = []
        self._began_s = time.monotonic()
        self._calls = 0
        self._unanswered: dict[str, str] = {}

    def check(self, good: bool, text: str) -> None:
        """Print a checked step and record it if it failed."""
        elapsed_s = time.monotonic() - self._began_s
        print(f'{elapsed_s:6.2f} s  {"ok  " if good else "FAIL"} {text}')
        if not good:
            self.failures.append(text)

    async def async_run(self) -> int:
        """Run all steps; return the exit status."""
        await self.fleet.async_start(builders.engine_options(count=5))
        await self.fleet.async_configure(builders.configuration())
        try:
            for name in _NAMES:
                self._start(name)
            for name in _NAMES:
                await self._async_listening(name)
            await self._async_serve()
            await self._async_kill_member()
            await self._async_stop_daemon()
        finally:
            for process in self.processes.values():
                process.kill()
                process.wait()
            await self.fleet.async_stop()
        runs = [
            run for each in self.fleet.engines.values() for run in each.runs
        ]
        good = [each for each in self.answers if each.status == 200]
        print(
            f'{len(self.answers)} requests, {len(good)} answered whole, '
            f'{len(runs)} runs at the remaining engines',
        )
        return int(bool(self.failures))

    def _start(self, name: str) -> None:
        text = builders.settings_text(
            {
                'node': name,
                'listen.front': _ANY_PORT,
                'listen.ready': _ANY_PORT,
                'listen.directory': _ANY_PORT,
                'internal_ports.0': '0',
                'platform.address': self.fleet.store_address,
                'bounds.grace_s': '4',
            },
        ).replace('127.0.0.1:9100', _ANY_PORT)
        path = self.folder / f'{name}.toml'
        path.write_text(text)
        with (self.folder / f'{name}.log').open('wb') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, 'platform/serve.py'],
                cwd=_ROOT,
                env={**os.environ, 'YUCCAVALVE_NODE_FILE': str(path)},
                stdout=log,
                stderr=log,
            )

    async def _async_listening(self, name: str) -> None:
        addresses = await async_listening(self.folder / f'{name}.log')
        self.callers[name] = Caller(addresses['caller'], builders.KEY)

    async def _async_call(self, name: str, number: int) -> Answer | None:
        caller = self.callers[name]
        self._calls += 1
        request = f'{name}-{number}-{self._calls}'
        try:
            if number % 3:
                answer = await caller.async_call(
                    'POST',
                    '/llm/x',
                    request,
                    body=b'question',
                    **_STREAM_FIELDS,
                )
            else:
                answer = await caller.async_call('GET', '/get/x', request)
        except (BackendLostError, BackendNotReachedError) as error:
            self._unanswered[request] = f'no whole answer: {error}'
            return None
        if answer.status != 200:
            self._unanswered[request] = f'status {answer.status}'
        return answer

    def _print_unanswered(self) -> None:
        """Print what callers and daemons say of unanswered requests."""
        ended = {}
        for name in _NAMES:
            log = (self.folder / f'{name}.log').read_text().splitlines()
            for line in read_lines(log):
                if line.event == 'request_ended':
                    ended[line.fields['request']] = line.text()
        for request, text in self._unanswered.items():
            logged = ended.get(request, 'not logged')
            print(f'         {request}: {text}; {logged}')
        self._unanswered.clear()

    async def _async_wait_serving(self, name: str) -> None:
        """Send requests until a stream is answered."""
        until_s = time.monotonic() + _SERVE_TIMEOUT_S
        while time.monotonic() < until_s:
            answer = await self._async_call(name, 1)
            if answer is not None and answer.status == 200:
                self._unanswered.clear()
                return
            await asyncio.sleep(0.1)
        self._print_unanswered()
        self.check(False, f'{name} serves a stream')

    async def _async_load(self, text: str) -> None:
        calls = [
            self._async_call(_NAMES[number % 2], number)
            for number in range(_REQUESTS)
        ]
        answers = []
        for call in calls:
            answers.append(asyncio.create_task(call))
            await asyncio.sleep(_REQUEST_INTERVAL_S)
        done = [each for each in await asyncio.gather(*answers) if each]
        self.answers.extend(done)
        good = sum(each.status == 200 for each in done)
        if good < _REQUESTS:
            await asyncio.sleep(_LOG_DELAY_S)
            self._print_unanswered()
        self.check(good == _REQUESTS, f'{text}: {good} of {_REQUESTS} answered')

    async def _async_serve(self) -> None:
        for name in _NAMES:
            await self._async_wait_serving(name)
        self.check(True, 'two daemons serve streams and plain requests')
        await self._async_load('without faults')

    async def _async_kill_member(self) -> None:
        member = next(
            each
            for each in self.fleet.engines.values()
            if each.group is not None and each.group.rank
        )
        group = member.group.name
        await self.fleet.async_kill(member.options.engine)
        await self._async_load('with an engine of a replica killed')
        await async_until(
            lambda: all(
                each.group is None or each.group.name != group
                for each in self.fleet.engines.values()
            ),
            'the broken replica is given up',
        )
        self.check(True, 'the broken replica is given up')

    async def _async_stop_daemon(self) -> None:
        process = self.processes[_NAMES[0]]
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        self.check(process.returncode == 0, 'graceful stop exits with status 0')
        answer = await self._async_call(_NAMES[1], 1)
        good = answer is not None and answer.status == 200
        self.check(good, 'the other daemon still serves')
        log = (self.folder / f'{_NAMES[1]}.log').read_text().splitlines()
        events = {
            json.loads(line)['event'] for line in log if '"event"' in line
        }
        self.check(
            'request_ended' in events, 'its log has request_ended events'
        )


async def _async_main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        return await GatewayDemo(Path(folder)).async_run()


if __name__ == '__main__':
    sys.exit(asyncio.run(_async_main()))
