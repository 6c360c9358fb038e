"""Linear fits of memory by streams and processor time by requests.

Both are measured on one daemon; planning time is fitted by replicas. Fits are
least squares; their error is the largest distance of a point from the line,
divided by the largest value.
"""

import asyncio
import time
from collections.abc import Sequence
from typing import Any

from script.tools.benches.processes import memory_mb
from script.tools.benches.relay import _RelayBench
from yuccavalve.configuration import Group
from yuccavalve.replicas import PlanHost, PlanInput, ReplicaPlanner

__all__ = ('async_slopes', 'fit')

_STREAM_COUNTS = (0, 200, 400, 800)
_REQUEST_COUNTS = (100, 200, 400, 800)
_REPLICA_COUNTS = (52, 210, 420, 840)
_HOSTS_PER_REPLICA = 16
_TOKEN_INTERVAL_S = 0.2


def fit(points: Sequence[tuple[float, float]]) -> dict[str, float]:
    """Return slope, intercept and error of a least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum_xy / sum_xx
    intercept = mean_y - slope * mean_x
    max_distance = max(abs(y - intercept - slope * x) for x, y in points)
    return {
        'slope': round(slope, 6),
        'intercept': round(intercept, 4),
        'error': round(max_distance / max(abs(y) for _, y in points), 3),
    }


async def _async_measure_memory(
    bench: _RelayBench, daemon: Any
) -> list[list[float]]:
    points = []
    for streams in _STREAM_COUNTS:
        if streams:
            callers = asyncio.create_task(
                bench.async_callers(daemon.address, streams, _TOKEN_INTERVAL_S),
            )
            await asyncio.sleep(5)
        points.append([streams, memory_mb(daemon.popen.pid)])
        if streams:
            await callers
    return points


async def _async_measure_requests(
    bench: _RelayBench, daemon: Any
) -> list[list[float]]:
    """Measure the processor time of short sequential requests."""
    points = []
    for count in _REQUEST_COUNTS:
        cpu_s = daemon.cpu_s()
        began_s = time.monotonic()
        await bench.async_callers(
            daemon.address,
            count,
            0.001,
            '--in-turn',
            '--tokens',
            '1',
        )
        took_s = time.monotonic() - began_s
        points.append([count, daemon.cpu_s() - cpu_s, took_s])
    return points


def _plan_s(count: int) -> float:
    hosts = {
        f'h{number}': PlanHost(f'h{number}', 'a', f'd{number // 48}')
        for number in range(count * _HOSTS_PER_REPLICA)
    }
    plan_input = PlanInput(
        hosts=hosts,
        replicas=(),
        groups=(Group('pool', 'm', _HOSTS_PER_REPLICA),),
        wanted={'pool': count},
        max_loading=count,
    )
    began_s = time.perf_counter()
    moves = ReplicaPlanner().plan(plan_input)
    took_s = time.perf_counter() - began_s
    if len(moves) != count:
        raise RuntimeError(f'{len(moves)} of {count} replicas planned')
    return took_s


async def async_slopes(seed: int) -> dict[str, Any]:
    """Measure one daemon and the planner, and fit the lines."""
    bench = _RelayBench(seed, 6)
    try:
        _, daemon = await bench.async_start_daemon(60)
        idle_cpu_s = daemon.cpu_s()
        await asyncio.sleep(10)
        idle_share = (daemon.cpu_s() - idle_cpu_s) / 10
        requests = await _async_measure_requests(bench, daemon)
        memory = await _async_measure_memory(bench, daemon)
    finally:
        await bench.async_close()
    net = [
        (count, cpu_s - idle_share * took_s)
        for count, cpu_s, took_s in requests
    ]
    plans = [(count, _plan_s(count)) for count in _REPLICA_COUNTS]
    return {
        'idle_core_share': round(idle_share, 4),
        'memory_mb_by_streams': {
            'points': memory,
            'fit': fit([(x, y) for x, y in memory]),
        },
        'cpu_s_by_requests': {'points': net, 'fit': fit(net)},
        'plan_s_by_replicas': {'points': plans, 'fit': fit(plans)},
    }
