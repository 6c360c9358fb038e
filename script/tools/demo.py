"""End-to-end demo on one host that checks each of its steps."""

import asyncio
import subprocess
import sys
import time
from typing import Any

from script.tools.caller import Answer, Caller
from script.tools.cluster import Cluster, Process

_KEYS = {'north': 'north-key', 'south': 'south-key'}
_MODEL = 'pool'
_DAEMONS = ('entry-1', 'entry-2', 'entry-3')
_HOSTS = ('host-1', 'host-2', 'host-3', 'host-4', 'host-5')
_SERVE_TIMEOUT_S = 20


class Demo:
    """Runs the steps and counts every request."""

    def __init__(self) -> None:
        self.cluster = Cluster()
        self.callers = {name: Caller(key) for name, key in _KEYS.items()}
        self.answers: list[Answer] = []
        self.failures: list[str] = []
        self._began_s = time.monotonic()

    def print_step(self, text: str) -> None:
        """Print a line with the time since the start."""
        print(f'{time.monotonic() - self._began_s:6.2f} s  {text}', flush=True)

    def check(self, passed: bool, text: str) -> None:
        """Print a checked step and record it if it failed."""
        self.print_step(f'{"ok  " if passed else "FAIL"} {text}')
        if not passed:
            self.failures.append(text)

    async def async_run(self) -> int:
        """Run all steps; return the exit status."""
        try:
            await self._async_start()
            await self._async_configure()
            await self._async_serve()
            await self._async_change_preset()
            await self._async_kill_host()
            await self._async_stop_daemon()
            return await self._async_print_totals()
        finally:
            await self.cluster.async_close()

    async def _async_start(self) -> None:
        cluster = self.cluster
        await cluster.async_start_platform()
        await asyncio.gather(
            *(cluster.async_start_engine(host, 'domain-1') for host in _HOSTS),
            cluster.async_start_plain('portal'),
        )
        await asyncio.gather(
            *(cluster.async_start_daemon(name) for name in _DAEMONS),
        )
        self.print_step(
            f'started platform, {len(_HOSTS)} engines, 1 plain service, '
            f'{len(_DAEMONS)} daemons',
        )

    def _run_command(self, *arguments: str) -> str:
        """Run an operator command of the command line and check its status."""
        address = self.cluster.processes[_DAEMONS[0]].address
        command = [
            sys.executable,
            '-m',
            'yuccavalve',
            *arguments,
            '--address',
            address,
            '--key-file',
            str(self.cluster.operator_key),
        ]
        finished = subprocess.run(command, capture_output=True, text=True)
        command_line = ' '.join(arguments)
        last = (finished.stdout + finished.stderr).strip().splitlines()[-1:]
        self.check(
            finished.returncode == 0, f'yuccavalve {command_line}: {last}'
        )
        return finished.stdout

    async def _async_configure(self) -> None:
        portal = self.cluster.processes['portal'].address
        for name, key in _KEYS.items():
            path = self.cluster.path / f'{name}.key'
            path.write_text(key)
            await self._async_run_command(
                'workspace',
                'create',
                name,
                '--workspace-key-file',
                str(path),
            )
        for arguments in (
            (
                'group',
                'create',
                'pool',
                '--model',
                'm',
                '--hosts-per-replica',
                '2',
            ),
            ('service', 'create', _MODEL, '--group', 'pool'),
            ('service', 'create', 'portal', '--backend', portal),
            ('preset', 'create', 'ordinary', '--share', 'pool=2'),
            ('preset', 'create', 'night', '--share', 'pool=1'),
            ('preset', 'use', 'ordinary', '--wait'),
        ):
            await self._async_run_command(*arguments)
        await self._async_wait_serving(2)

    async def _async_run_command(self, *arguments: str) -> None:
        await asyncio.to_thread(self._run_command, *arguments)

    async def _async_wait_serving(self, count: int) -> Any:
        """Wait until every daemon routes to a number of replicas."""

        def serves(status: Any) -> bool:
            granted = [
                replica
                for replica in status['replicas']
                if replica['granted'] and replica['state'] == 'serving'
            ]
            return len(granted) == count

        status = None
        for name in self._live_daemons():
            status = await self.cluster.async_wait_status(
                name, serves, _SERVE_TIMEOUT_S
            )
        self.check(True, f'every daemon sees {count} replicas serving')
        return status

    def _live_daemons(self) -> list[str]:
        return [
            name
            for name in _DAEMONS
            if self.cluster.processes[name].popen.poll() is None
        ]

    def _address(self, name: str) -> str:
        return self.cluster.processes[name].address

    async def _async_serve(self) -> None:
        north = self.callers['north']
        entries = await north.async_entries(self._address(_DAEMONS[0]))
        self.check(len(entries) == 3, f'entry directory lists {entries}')
        answers = await asyncio.gather(
            *(
                self._async_ask(
                    'north' if number % 2 else 'south', entry, number
                )
                for number in range(12)
                for entry in entries
            ),
        )
        whole = sum(answer.complete for answer in answers)
        self.check(
            whole == len(answers),
            f'{whole} of {len(answers)} streams whole, 2 workspaces, '
            f'{len(entries)} daemons',
        )
        plain = await north.async_call(
            entries[0],
            'POST',
            '/v1/services/portal/cases/17',
            b'{"case": 17}',
        )
        self.answers.append(plain)
        path = plain.body.get('path') if isinstance(plain.body, dict) else None
        self.check(path == '/cases/17', f'plain service answered for {path}')

    async def _async_ask(
        self,
        workspace: str,
        address: str,
        number: int,
        tokens: int = 16,
    ) -> Answer:
        answer = await self.callers[workspace].async_complete(
            address,
            _MODEL,
            f'{workspace} asks {number} at {address}',
            tokens,
        )
        self.answers.append(answer)
        return answer

    async def _async_change_preset(self) -> None:
        await self._async_run_command('preset', 'use', 'night', '--wait')
        versions = []
        for name in _DAEMONS:
            status = await self.cluster.async_status(name)
            versions.append((status['version'], status['preset_in_force']))
        same = len(set(versions)) == 1 and versions[0][1] == 'night'
        self.check(same, f'same version and preset at every daemon: {versions}')
        await self._async_wait_serving(1)
        await self._async_run_command('preset', 'use', 'ordinary', '--wait')
        await self._async_wait_serving(2)

    async def _async_kill_host(self) -> None:
        status = await self.cluster.async_status(_DAEMONS[0])
        lost = status['replicas'][0]
        host = lost['hosts'][1]
        stop = asyncio.Event()
        load = asyncio.create_task(self._async_load(stop))
        await asyncio.sleep(0.5)
        self.cluster.processes[host].kill()
        self.print_step(f'killed {host} of {lost["replica"]} under load')

        def is_withdrawn(status: Any) -> bool:
            return all(
                replica['replica'] != lost['replica'] or not replica['granted']
                for replica in status['replicas']
            )

        await self.cluster.async_wait_status(
            _DAEMONS[1], is_withdrawn, _SERVE_TIMEOUT_S
        )
        self.check(True, f'{lost["replica"]} gets no new requests')
        status = await self._async_wait_serving(2)
        formed = [
            replica
            for replica in status['replicas']
            if replica['incarnation'] > lost['incarnation']
        ]
        self.check(
            bool(formed) and host not in formed[-1]['hosts'],
            f'formed again on {formed[-1]["hosts"] if formed else None}',
        )
        stop.set()
        answers = await load
        whole = sum(answer.complete for answer in answers)
        answered = sum(answer.answered for answer in answers)
        self.check(
            answered == len(answers),
            f'{len(answers)} requests meanwhile: {whole} whole, '
            f'{answered - whole} with an error code, '
            f'{len(answers) - answered} lost',
        )

    async def _async_load(self, stop: asyncio.Event) -> list[Answer]:
        tasks = []
        number = 0
        while not stop.is_set():
            name = _DAEMONS[number % len(_DAEMONS)]
            tasks.append(
                asyncio.create_task(
                    self._async_ask('north', self._address(name), number, 24),
                ),
            )
            number += 1
            await asyncio.sleep(0.05)
        return await asyncio.gather(*tasks)

    async def _async_stop_daemon(self) -> None:
        stopping: Process = self.cluster.processes[_DAEMONS[2]]
        streams = [
            asyncio.create_task(
                self._async_ask('south', stopping.address, number, 200),
            )
            for number in range(6)
        ]
        await asyncio.sleep(0.5)
        stopping.terminate()
        entries = []
        for _ in range(40):
            entries = await self.callers['south'].async_entries(
                self._address(_DAEMONS[0]),
            )
            if stopping.address not in entries:
                break
            await asyncio.sleep(0.05)
        self.check(
            stopping.address not in entries,
            'the stopping daemon is no longer in the entry directory',
        )
        answers = await asyncio.gather(*streams)
        status = await stopping.async_wait(30)
        whole = sum(answer.complete for answer in answers)
        self.check(
            whole == len(answers) and status == 0,
            f'graceful stop: {whole} of {len(answers)} streams whole, '
            f'exit status {status}',
        )

    async def _async_print_totals(self) -> int:
        answered = sum(answer.answered for answer in self.answers)
        lost = len(self.answers) - answered
        duplicates = await self._async_count_duplicates()
        print(
            f'demo: {len(self.answers)} requests, {answered} answered once, '
            f'{lost} lost, {duplicates} doubled',
        )
        return int(bool(self.failures or lost or duplicates))

    async def _async_count_duplicates(self) -> int:
        """Count requests that the live engines finished more than once."""
        finished: dict[str, int] = {}
        for host in _HOSTS:
            if self.cluster.processes[host].popen.poll() is not None:
                continue
            runs = await self.cluster.async_call_admin(host, '/admin/runs', {})
            for run in runs:
                request = run['request_id'].partition('.')[0]
                finished[request] = finished.get(request, 0) + run['finished']
        return sum(count > 1 for count in finished.values())


if __name__ == '__main__':
    sys.exit(asyncio.run(Demo().async_run()))
