"""Fairness across daemon processes.

A large workspace saturates three daemons; a small one sends through a fourth
and asks for less than its fair share of the engine's slots.
"""

import asyncio
import time
from collections import Counter
from random import Random
from typing import Any

from script.tools.caller import Answer, Caller
from script.tools.cluster import Cluster
from yuccavalve.access import key_digest

__all__ = ('async_shares',)

_DAEMONS = 4
_SLOTS = 16
_TOKEN_S = 0.01
_TOKENS = 60
_LARGE_CALLERS = 40
_SMALL_CALLERS = 6
_WARM_UP_S = 10.0
_RUN_S = 40.0
_DEADLINE_HEADERS = {'x-deadline-s': '10'}


class _Run:
    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.random = Random(seed)
        self.counts: Counter[tuple[str, str]] = Counter()
        self.waits_s: dict[str, list[float]] = {'large': [], 'small': []}
        self.counting = False
        self.stopped = False

    async def async_call(self, workspace: str, daemon: str) -> None:
        """Send requests one by one; honour ``retry-after`` of refusals."""
        caller = Caller(f'{workspace}-key')
        address = self.cluster.processes[daemon].address
        sent = 0
        while not self.stopped:
            sent += 1
            began_s = time.monotonic()
            answer = await caller.async_complete(
                address,
                'pool',
                f'{workspace} {id(caller)} {sent}',
                _TOKENS,
                headers=_DEADLINE_HEADERS,
            )
            self._record(workspace, answer, time.monotonic() - began_s)
            retry_after_s = answer.headers.get('retry-after', '0')
            await asyncio.sleep(0 if answer.complete else float(retry_after_s))

    def _record(self, workspace: str, answer: Answer, took_s: float) -> None:
        if not self.counting:
            return
        outcome = 'whole' if answer.complete else str(answer.code)
        self.counts[workspace, outcome] += 1
        if answer.complete:
            self.waits_s[workspace].append(took_s)


async def _async_configure(cluster: Cluster) -> None:
    shares = [{'group': 'pool', 'replicas': 1}]
    group = {'model': 'm', 'hosts_per_replica': 1, 'slots': _SLOTS}
    for name in ('large', 'small'):
        entry = {'key_digest': key_digest(f'{name}-key')}
        await cluster.async_edit('e0', 'workspaces', name, entry)
    await cluster.async_edit('e0', 'groups', 'pool', group)
    service = {'kind': 'model', 'group': 'pool'}
    await cluster.async_edit('e0', 'services', 'pool', service)
    await cluster.async_edit('e0', 'presets', 'day', {'shares': shares})
    await cluster.async_edit('e0', 'preset_in_force', 'day')


async def async_shares(seed: int) -> dict[str, Any]:
    """Run once; the small workspace asks for 6 of 16 slots, under half."""
    cluster = Cluster()
    run = _Run(cluster, seed)
    names = [f'e{number}' for number in range(_DAEMONS)]
    try:
        await cluster.async_start_platform()
        await cluster.async_start_engine('h0', 'd1', '--token-s', str(_TOKEN_S))
        await asyncio.gather(*map(cluster.async_start_daemon, names))
        await _async_configure(cluster)
        for name in names:
            await cluster.async_wait_status(
                name,
                lambda status: any(
                    each['granted'] for each in status['replicas']
                ),
            )
        calls = [
            asyncio.create_task(run.async_call('large', name))
            for name in names[1:]
            for _ in range(_LARGE_CALLERS)
        ]
        calls.extend(
            asyncio.create_task(run.async_call('small', names[0]))
            for _ in range(_SMALL_CALLERS)
        )
        await asyncio.sleep(_WARM_UP_S)
        run.counting = True
        await asyncio.sleep(_RUN_S)
        run.counting = False
        run.stopped = True
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
    finally:
        await cluster.async_close()
    return {
        'small_due_share': round(_SMALL_CALLERS / _SLOTS, 3),
        'small_share_of_answers': round(_small_share(run), 3),
        'counts': {
            f'{workspace} {outcome}': count
            for (workspace, outcome), count in sorted(run.counts.items())
        },
        'answer_p50_s': {
            name: round(sorted(waits_s)[len(waits_s) // 2], 2)
            for name, waits_s in run.waits_s.items()
            if waits_s
        },
    }


def _small_share(run: _Run) -> float:
    small = run.counts['small', 'whole']
    return small / max(1, small + run.counts['large', 'whole'])
