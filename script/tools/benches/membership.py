"""Control traffic, processor time and memory of daemons, by their count."""

import asyncio
import statistics
import time
from pathlib import Path
from typing import Any

from script.tools.benches.processes import memory_mb, process_cpu_s
from script.tools.cluster import Cluster
from yuccavalve.access import key_digest
from yuccavalve.const import MAX_VOTERS_PER_REGION

__all__ = ('async_membership',)

_COUNTS = (8, 16, 32, 64)
_SETTLE_S = 12.0
_MEASURE_S = 12.0
_FORM_S = 120.0
_AT_ONCE = 8


def _loopback_bytes() -> int:
    """Return the bytes that the loopback has carried, headers included."""
    for line in Path('/proc/net/dev').read_text().splitlines():
        name, _, counters = line.partition(':')
        if name.strip() == 'lo':
            return int(counters.split()[0])
    return 0


async def _async_peer_bytes(cluster: Cluster, names: list[str]) -> int:
    total = 0
    for name in names:
        status = await cluster.async_status(name)
        total += status['control_bytes']
    return total


async def _async_spread(cluster: Cluster, names: list[str]) -> dict[str, float]:
    """Time a change until accepted, and until every daemon has it."""
    began_s = time.monotonic()
    reply = await cluster.async_edit(
        names[0],
        'workspaces',
        f'w{int(began_s * 1000)}',
        {'key_digest': key_digest('x')},
    )
    accepted_s = time.monotonic() - began_s
    version = reply.body.get('version', 0)
    for name in names:
        await cluster.async_until(
            name,
            lambda status: status['version'] >= version,
        )
    return {
        'status': reply.status,
        'accepted_s': round(accepted_s, 3),
        'everywhere_s': round(time.monotonic() - began_s, 3),
    }


async def _async_detect(cluster: Cluster, names: list[str]) -> dict[str, float]:
    """Kill a daemon; time until every other one holds it dead."""
    victim = names[-1]
    cluster.processes[victim].kill()
    began_s = time.monotonic()
    others = names[:-1]
    times = []
    for name in others:
        await cluster.async_until(
            name,
            lambda status: (
                not any(
                    member['name'] == victim and member['alive']
                    for member in status['members']
                )
            ),
        )
        times.append(time.monotonic() - began_s)
    status = await cluster.async_status(others[0])
    suspected = sum(
        not member['alive'] and member['name'] != victim
        for member in status['members']
    )
    return {
        'last_detected_s': round(max(times), 2),
        'false_suspicions': suspected,
    }


async def _async_case(count: int) -> dict[str, Any]:
    cluster = Cluster()
    try:
        await cluster.async_start_platform(60)
        names = [f'e{number:03d}' for number in range(count)]
        for begin in range(0, count, _AT_ONCE):
            await asyncio.gather(
                *(
                    cluster.async_start_daemon(name)
                    for name in names[begin : begin + _AT_ONCE]
                ),
            )
        began_s = time.monotonic()
        await cluster.async_until(
            names[0],
            lambda status: (
                len(status['voters']) == min(count, MAX_VOTERS_PER_REGION)
                and status['accepted']
            ),
            _FORM_S,
        )
        formed_s = time.monotonic() - began_s
        await asyncio.sleep(_SETTLE_S)
        pids = [cluster.processes[name].popen.pid for name in names]
        cpu_s = [process_cpu_s(pid) for pid in pids]
        sent = await _async_peer_bytes(cluster, names)
        counts = await cluster.async_admin('platform', '/admin/counts', {})
        from_s = time.monotonic()
        carried = _loopback_bytes()
        await asyncio.sleep(_MEASURE_S)
        carried = _loopback_bytes() - carried
        took_s = time.monotonic() - from_s
        used = [
            (process_cpu_s(pid) - before) / took_s
            for pid, before in zip(pids, cpu_s, strict=True)
        ]
        after = await cluster.async_admin('platform', '/admin/counts', {})
        sent = await _async_peer_bytes(cluster, names) - sent
        return {
            'electorate_formed_s': round(formed_s, 2),
            'core_share_mean': round(statistics.mean(used), 4),
            'core_share_max': round(max(used), 4),
            'memory_mb_mean': round(statistics.mean(map(memory_mb, pids)), 1),
            'peer_bytes_per_s_each': round(sent / took_s / count),
            'loopback_bytes_per_s_each': round(carried / took_s / count),
            'store_reads_per_s': round(
                (after['reads'] - counts['reads']) / took_s,
                2,
            ),
            'store_writes_per_s': round(
                (after['writes'] - counts['writes']) / took_s,
                2,
            ),
            'change': await _async_spread(cluster, names),
            'kill': await _async_detect(cluster, names),
        }
    finally:
        await cluster.async_close()


async def async_membership(seed: int) -> dict[str, Any]:
    """Run each count of daemons as processes."""
    cases = {}
    for count in _COUNTS:
        cases[str(count)] = await _async_case(count)
        print(count, cases[str(count)], flush=True)
    return {'daemons': cases}
