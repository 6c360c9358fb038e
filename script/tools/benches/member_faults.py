"""Faults of the membership benchmark, and the measurements of each."""

import asyncio
import time
from typing import Any

from script.tools.cluster import Cluster
from script.tools.partition import Partition

__all__ = (
    'async_detect',
    'async_join',
    'async_partition',
    'async_pause',
    'async_store_outage',
)

_SHORT_PAUSE_S = 3.0
_OUTAGE_S = 20.0
_RECOVERY_S = 20.0
_DETECT_TIMEOUT_S = 120.0


def _live_members(status: Any) -> set[str]:
    return {each['name'] for each in status['members'] if each['alive']}


async def _async_time_until_seen(
    cluster: Cluster,
    viewers: list[str],
    name: str,
    *,
    alive: bool,
) -> float:
    """Return the seconds until every viewer sees a member live or dead."""
    began_s = time.monotonic()
    for viewer in viewers:
        await cluster.async_wait_status(
            viewer,
            lambda status: (name in _live_members(status)) == alive,
            _DETECT_TIMEOUT_S,
        )
    return round(time.monotonic() - began_s, 2)


async def _async_count_suspected(
    cluster: Cluster,
    viewers: list[str],
    live: set[str],
) -> int:
    """Count pairs of a viewer and a live member that it sees as dead."""
    suspected = 0
    for viewer in viewers:
        status = await cluster.async_status(viewer)
        suspected += len(live - _live_members(status))
    return suspected


async def async_join(cluster: Cluster, names: list[str]) -> dict[str, Any]:
    """Start one more daemon, which keeps running."""
    name = 'joiner'
    await cluster.async_start_daemon(name)
    seen_s = await _async_time_until_seen(cluster, names, name, alive=True)
    names.append(name)
    return {'seen_by_all_s': seen_s}


async def async_pause(cluster: Cluster, names: list[str]) -> dict[str, Any]:
    """Pause one daemon briefly, then until it is detected as dead.

    The short pause stays below the time after which a member counts as dead.
    """
    name, others = names[-1], names[:-1]
    process = cluster.processes[name]
    process.pause()
    await asyncio.sleep(_SHORT_PAUSE_S)
    suspected = await _async_count_suspected(cluster, others, set(names))
    process.resume()
    await asyncio.sleep(_SHORT_PAUSE_S)
    process.pause()
    detected_s = await _async_time_until_seen(
        cluster, others, name, alive=False
    )
    process.resume()
    back_s = await _async_time_until_seen(cluster, others, name, alive=True)
    return {
        'short_pause_suspicions': suspected,
        'detected_s': detected_s,
        'back_for_all_s': back_s,
        'false_suspicions': await _async_count_suspected(
            cluster,
            others,
            set(others),
        ),
    }


async def async_store_outage(
    cluster: Cluster,
    names: list[str],
) -> dict[str, Any]:
    """Make the table service unavailable; count calls after its return."""
    faults, counts = '/admin/faults', '/admin/counts'
    await cluster.async_call_admin('platform', faults, {'table_down': True})
    await asyncio.sleep(_OUTAGE_S)
    fresh = 0
    for name in names:
        fresh += (await cluster.async_status(name))['fresh']
    await cluster.async_call_admin('platform', counts, {'reset': True})
    await cluster.async_call_admin('platform', faults, {'table_down': False})
    await asyncio.sleep(_RECOVERY_S)
    peaks = await cluster.async_call_admin('platform', counts, {})
    return {
        'fresh_at_the_end': fresh,
        'peak_reads_per_s': peaks['peak_reads_per_s'],
        'peak_writes_per_s': peaks['peak_writes_per_s'],
        'mean_reads_per_s': round(peaks['reads'] / _RECOVERY_S, 2),
        'mean_writes_per_s': round(peaks['writes'] / _RECOVERY_S, 2),
    }


async def async_detect(cluster: Cluster, names: list[str]) -> dict[str, Any]:
    """Kill a daemon; measure the time until all others see it as dead."""
    victim, others = names[-1], names[:-1]
    cluster.processes[victim].kill()
    detected_s = await _async_time_until_seen(
        cluster, others, victim, alive=False
    )
    return {
        'last_detected_s': detected_s,
        'false_suspicions': await _async_count_suspected(
            cluster,
            others,
            set(others),
        ),
    }


async def async_partition(
    cluster: Cluster,
    partition: Partition,
    names: list[str],
) -> dict[str, Any]:
    """Partition the daemons into halves, then heal the partition."""
    half = len(names) // 2
    sides = names[:half], names[half:]
    partition.cut(*sides)
    began_s = time.monotonic()
    for side in sides:
        for name in side:
            await cluster.async_wait_status(
                name,
                lambda status: not _live_members(status).difference(side),
                _DETECT_TIMEOUT_S,
            )
    detected_s = time.monotonic() - began_s
    suspected = 0
    for side in sides:
        suspected += await _async_count_suspected(cluster, side, set(side))
    partition.heal()
    began_s = time.monotonic()
    for name in names:
        await cluster.async_wait_status(
            name,
            lambda status: _live_members(status) == set(names),
            _DETECT_TIMEOUT_S,
        )
    return {
        'detected_s': round(detected_s, 2),
        'false_suspicions_inside_a_side': suspected,
        'healed_s': round(time.monotonic() - began_s, 2),
    }
