"""Processor time per relayed token, of daemon, splice and bare proxy."""

import asyncio
import json
import subprocess
import sys
import time
from typing import Any

import attrs

from script.tools.benches.processes import process_cpu_s
from script.tools.cluster import Cluster, DaemonOptions
from yuccavalve.access import key_digest

__all__ = ('async_relay',)

_PARTS_MODULE = 'script.tools.benches.relay_parts'
_WARM_UP_S = 2.0
_US_PER_S = 1000000
_CASES = ((20, 0.02), (100, 0.02), (720, 0.036))
_HALF_LOAD_STREAMS = 360
_FULL_LOAD_INTERVAL_S = 0.036
_PROBE_REQUESTS = 150


@attrs.define
class _BenchProcess:
    popen: subprocess.Popen[str]
    address: str = ''

    def cpu_s(self) -> float:
        return process_cpu_s(self.popen.pid)


class _RelayBench:
    def __init__(self, seed: int, run_s: float) -> None:
        self.seed = seed
        self.run_s = run_s
        self.processes: list[_BenchProcess] = []
        self.cluster = Cluster()

    def start(self, role: str, *arguments: str) -> _BenchProcess:
        command = [sys.executable, '-m', _PARTS_MODULE, role, *arguments]
        popen = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        process = _BenchProcess(popen)
        self.processes.append(process)
        return process

    async def async_start_server(
        self, role: str, *arguments: str
    ) -> _BenchProcess:
        process = self.start(role, *arguments)
        line = await asyncio.to_thread(process.popen.stdout.readline)
        process.address = json.loads(line)['address']
        return process

    async def async_callers(
        self,
        target: str,
        streams: int,
        interval_s: float,
        *options: str,
    ) -> dict[str, Any]:
        """Run callers until they finish and return their measurements."""
        process = self.start(
            'callers',
            '--target',
            target,
            '--streams',
            str(streams),
            '--interval-s',
            str(interval_s),
            '--run-s',
            str(self.run_s + _WARM_UP_S),
            *options,
        )
        line = await asyncio.to_thread(process.popen.stdout.readline)
        process.popen.wait()
        return json.loads(line)

    async def async_measure(
        self,
        relay: Any,
        target: str,
        streams: int,
        interval_s: float,
    ) -> dict[str, Any]:
        """Measure the processor time per token of one relay process."""
        callers = asyncio.create_task(
            self.async_callers(target, streams, interval_s),
        )
        await asyncio.sleep(_WARM_UP_S + 1)
        cpu_s = relay.cpu_s()
        began_s = time.monotonic()
        await asyncio.sleep(self.run_s - 1.5)
        used_s = relay.cpu_s() - cpu_s
        took_s = time.monotonic() - began_s
        figures = await callers
        rate = figures['tokens'] / self.run_s
        figures['tokens_per_s'] = round(rate)
        figures['core_share'] = round(used_s / took_s, 3)
        figures['us_per_token'] = round(used_s / took_s / rate * _US_PER_S, 2)
        return figures

    async def async_start_daemon(self, merge_delay_ms: int) -> Any:
        cluster = self.cluster
        await cluster.async_start_platform(60)
        engine = await self.async_start_server(
            'engine',
            '--platform',
            cluster.processes['platform'].address,
            '--key',
            'platform-key',
        )
        options = DaemonOptions(merge_delay_ms=merge_delay_ms)
        daemon = await cluster.async_start_daemon('entry', options)
        edits = (
            ('workspaces', 'bench', {'key_digest': key_digest('bench-key')}),
            (
                'groups',
                'pool',
                {'model': 'm', 'hosts_per_replica': 1, 'slots': 4096},
            ),
            ('services', 'pool', {'kind': 'model', 'group': 'pool'}),
            ('presets', 'all', {'shares': [{'group': 'pool', 'replicas': 1}]}),
            ('preset_in_force', 'all', None),
        )
        for section, name, entry in edits:
            await cluster.async_edit('entry', section, name, entry)
        await cluster.async_wait_status(
            'entry',
            lambda status: any(
                replica['granted'] for replica in status['replicas']
            ),
        )
        return engine, _BenchProcess(daemon.popen, daemon.address)

    async def async_first_token(
        self, daemon: str, engine: str
    ) -> dict[str, Any]:
        """Measure the time that the daemon adds to the first token.

        Half of the full load runs meanwhile.
        """
        load = asyncio.create_task(
            self.async_callers(
                daemon, _HALF_LOAD_STREAMS, _FULL_LOAD_INTERVAL_S
            ),
        )
        await asyncio.sleep(_WARM_UP_S)
        probe = ('--in-turn', '--tokens', '1')
        through = await self.async_callers(
            daemon, _PROBE_REQUESTS, 0.001, *probe
        )
        direct = await self.async_callers(
            engine, _PROBE_REQUESTS, 0.001, *probe
        )
        await load
        return {
            'through_p95_ms': through['first_p95_ms'],
            'direct_p95_ms': direct['first_p95_ms'],
            'added_p95_ms': round(
                through['first_p95_ms'] - direct['first_p95_ms'],
                3,
            ),
        }

    async def async_close(self) -> None:
        for process in self.processes:
            if process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
        await self.cluster.async_close()


async def async_relay(seed: int, run_s: float = 8) -> dict[str, Any]:
    """Run all cases and return the measurements."""
    bench = _RelayBench(seed, run_s)
    merge_delay_ms = 60
    try:
        engine, daemon = await bench.async_start_daemon(merge_delay_ms)
        splice = await bench.async_start_server(
            'splice',
            '--target',
            engine.address,
        )
        bare = await bench.async_start_server(
            'bare',
            '--target',
            engine.address,
        )
        cases = {}
        for streams, interval_s in _CASES:
            cases[str(streams)] = {
                name: await bench.async_measure(
                    process,
                    process.address,
                    streams,
                    interval_s,
                )
                for name, process in (
                    ('splice', splice),
                    ('bare', bare),
                    ('daemon', daemon),
                )
            }
            print(streams, json.dumps(cases[str(streams)]), file=sys.stderr)
        first = await bench.async_first_token(daemon.address, engine.address)
    finally:
        await bench.async_close()
    return _summary(cases, first, merge_delay_ms, run_s)


def _summary(
    cases: dict[str, Any],
    first: dict[str, Any],
    merge_delay_ms: int,
    run_s: float,
) -> dict[str, Any]:
    ratios = {
        streams: round(
            case['daemon']['us_per_token'] / case['splice']['us_per_token'],
            3,
        )
        for streams, case in cases.items()
    }
    bare = {
        streams: round(
            case['daemon']['us_per_token'] / case['bare']['us_per_token'],
            3,
        )
        for streams, case in cases.items()
    }
    full = cases['720']['daemon']
    return {
        'tokens_per_core': round(full['tokens_per_s'] / full['core_share']),
        'cpu_ratio_to_splice': ratios,
        'cpu_ratio_to_bare': bare,
        'added_first_token_p95_ms': first['added_p95_ms'],
        'between_token_p95_ms': full['gap_p95_ms'],
        'first_token': first,
        'cases': cases,
        'settings': {'merge_delay_ms': merge_delay_ms, 'run_s': run_s},
    }
