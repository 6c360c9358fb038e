"""Control traffic, processor time and memory by number of daemons."""

import asyncio
import statistics
import time
from typing import Any

import attrs

from script.tools.benches.member_faults import (
    async_detect,
    async_join,
    async_partition,
    async_pause,
    async_store_outage,
)
from script.tools.benches.processes import memory_mb, process_cpu_s
from script.tools.cluster import Cluster, DaemonOptions
from script.tools.partition import Partition
from yuccavalve.access import key_digest
from yuccavalve.const import MAX_VOTERS_PER_REGION

__all__ = ('async_membership',)

_COUNTS = (8, 16, 32, 64)
_PARTITIONED_COUNTS = (8, 32)
_SETTLE_S = 10.0
_MEASURE_S = 15.0
_ELECTORATE_TIMEOUT_S = 120.0
_MAX_PARALLEL_STARTS = 8


@attrs.frozen
class _Counters:
    """Counters of all daemons at one time."""

    at_s: float
    cpu_s: list[float]
    control_bytes: dict[str, int]
    store: dict[str, int]


async def _async_read(cluster: Cluster, names: list[str]) -> _Counters:
    totals = {'peers': 0, 'platform': 0, 'engines': 0}
    for name in names:
        status = await cluster.async_status(name)
        for kind, count in status['control_bytes'].items():
            totals[kind] += count
    counts = await cluster.async_call_admin('platform', '/admin/counts', {})
    pids = [cluster.processes[name].popen.pid for name in names]
    cpu_s = [process_cpu_s(pid) for pid in pids]
    return _Counters(time.monotonic(), cpu_s, totals, counts)


async def _async_idle_cost(
    cluster: Cluster,
    names: list[str],
) -> dict[str, Any]:
    before = await _async_read(cluster, names)
    await asyncio.sleep(_MEASURE_S)
    after = await _async_read(cluster, names)
    took_s = after.at_s - before.at_s
    used = [
        (later - earlier) / took_s
        for earlier, later in zip(before.cpu_s, after.cpu_s, strict=True)
    ]
    pids = [cluster.processes[name].popen.pid for name in names]
    cost: dict[str, Any] = {
        'core_share_mean': round(statistics.mean(used), 4),
        'core_share_max': round(max(used), 4),
        'memory_mb_mean': round(statistics.mean(map(memory_mb, pids)), 1),
    }
    for kind, count in after.control_bytes.items():
        sent = count - before.control_bytes[kind]
        cost[f'{kind}_bytes_per_s_each'] = round(sent / took_s / len(names))
    for kind in ('reads', 'writes'):
        calls = after.store[kind] - before.store[kind]
        cost[f'store_{kind}_per_s'] = round(calls / took_s, 2)
    return cost


async def _async_time_change(
    cluster: Cluster, names: list[str]
) -> dict[str, float]:
    """Time a change until it is accepted and until every daemon has it."""
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
        await cluster.async_wait_status(
            name,
            lambda status: status['version'] >= version,
        )
    return {
        'status': reply.status,
        'accepted_s': round(accepted_s, 3),
        'everywhere_s': round(time.monotonic() - began_s, 3),
    }


async def _async_wait_electorate(cluster: Cluster, names: list[str]) -> None:
    await cluster.async_wait_status(
        names[0],
        lambda status: (
            len(status['voters']) == min(len(names), MAX_VOTERS_PER_REGION)
            and not status['previous_voters']
            and status['accepted']
        ),
        _ELECTORATE_TIMEOUT_S,
    )


def _names(count: int) -> list[str]:
    return [f'e{number:03d}' for number in range(count)]


async def _async_case(count: int) -> dict[str, Any]:
    cluster = Cluster()
    names = _names(count)
    try:
        await cluster.async_start_platform(60)
        for begin in range(0, count, _MAX_PARALLEL_STARTS):
            await asyncio.gather(
                *(
                    cluster.async_start_daemon(name)
                    for name in names[begin : begin + _MAX_PARALLEL_STARTS]
                ),
            )
        await _async_wait_electorate(cluster, names)
        await asyncio.sleep(_SETTLE_S)
        figures = await _async_idle_cost(cluster, names)
        figures['change'] = await _async_time_change(cluster, names)
        figures['join'] = await async_join(cluster, names)
        figures['pause'] = await async_pause(cluster, names)
        figures['store_outage'] = await async_store_outage(cluster, names)
        figures['kill'] = await async_detect(cluster, names)
        return figures
    finally:
        await cluster.async_close()


async def _async_partitioned_case(count: int) -> dict[str, Any]:
    cluster = Cluster()
    partition = Partition(cluster)
    names = _names(count)
    try:
        await cluster.async_start_platform(60)
        for begin in range(0, count, _MAX_PARALLEL_STARTS):
            await asyncio.gather(
                *(
                    partition.async_start_daemon(name, DaemonOptions())
                    for name in names[begin : begin + _MAX_PARALLEL_STARTS]
                ),
            )
        await _async_wait_electorate(cluster, names)
        await asyncio.sleep(_SETTLE_S)
        return await async_partition(cluster, partition, names)
    finally:
        await cluster.async_close()
        await partition.async_close()


async def async_membership(seed: int) -> dict[str, Any]:
    """Measure each number of daemon processes."""
    cases = {}
    for count in _COUNTS:
        cases[str(count)] = await _async_case(count)
        print(count, cases[str(count)], flush=True)
    parted = {}
    for count in _PARTITIONED_COUNTS:
        parted[str(count)] = await _async_partitioned_case(count)
        print(count, parted[str(count)], flush=True)
    return {'daemons': cases, 'parted': parted}
