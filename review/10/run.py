"""A zone is evacuated after the store came back from a copy."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

from starlette.requests import Request
from starlette.responses import Response

from review.harness_2.deployment import (
    Deployment,
    Record,
    async_until,
    has_trouble,
    run_case,
)
from tests.platform import builders
from tests.platform.standin import EngineOptions, StoreStandin

_FOLDER = Path(__file__).resolve().parent
_DAEMONS = 3
_MODEL_ENGINES = 12
_ZONES = ('zone-a', 'zone-b')
_EVACUATED = 'zone-b'
# How old the copy is, and how long the store is away.
_COPY_AGE_S = 12.0
_AWAY_S = 1.0
# Bounds of the deployment: ``stable_window_ms`` and ``evacuate_ms``.
_STABLE_WINDOW_S = 4.0
_EVACUATE_S = 5.0
_BOUNDS = {'bounds.drain_ms': '3000'}
_WATCHED_S = 12.0
_SETTLED_S = 5.0
_REQUEST_GAP_S = 0.04
_GONE = 410


class _Store(StoreStandin):
    """A store that can come back from a copy."""

    def __init__(self) -> None:
        super().__init__()
        self._era = 1
        self._copy: tuple[int, dict[Any, Any], list[Any]] | None = None

    def copy(self) -> None:
        """Make a copy."""
        self._copy = (self.version, dict(self._rows), list(self._changes))

    def restore(self) -> None:
        """Lose what was written since the copy; versions go back."""
        if self._copy is not None:
            self.version, self._rows, self._changes = self._copy
            self._era += 1

    def _respond(self, body: dict[str, Any], status: int = 200) -> Response:
        answer = super()._respond(body, status)
        answer.headers['Store-Era'] = str(self._era)
        return answer

    async def _async_feed(self, request: Request) -> Response:
        refusal = await self._async_apply_faults()
        if refusal is not None:
            return refusal
        if int(request.query_params['after']) > self.version:
            return self._respond({'rows': []}, _GONE)
        return await super()._async_feed(request)


def _options() -> list[EngineOptions]:
    models = [
        EngineOptions(
            f'i-{number}',
            'llm',
            availability_zone=_ZONES[number % 2],
            fabric_domain=f'd-{number % 2}',
            load_s=1.0,
            form_s=0.3,
        )
        for number in range(_MODEL_ENGINES)
    ]
    plain = [
        EngineOptions(
            f'p-{number}', 'portal', availability_zone=_ZONES[number % 2]
        )
        for number in range(4)
    ]
    return [*models, *plain]


def _configuration() -> dict[str, Any]:
    configuration = builders.configuration()
    profile = configuration['services'][0]['engine']
    profile['models'][0].update(size=3, load_s=1.0, warm_s=0.2)
    return configuration


async def _async_load(deployment: Deployment) -> None:
    """Send requests until cancelled."""
    tasks = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(_async_request(deployment, number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(_REQUEST_GAP_S)


async def _async_request(deployment: Deployment, number: int) -> None:
    request_id = f'lookup-{number}'
    daemon = number % _DAEMONS
    deployment.record.add(f'sent {request_id} to front-{daemon}')
    try:
        answer = await deployment.caller(daemon).async_call(
            'GET', f'/get/{number}', request_id, deadline_ms='1500'
        )
        text = str(answer.status)
    except Exception as error:  # noqa: BLE001
        text = repr(error)
    deployment.record.add(f'answered {request_id}: {text}')


async def _async_run(record: Record, folder: Path) -> list[str]:
    deployment = Deployment(record, folder)
    fleet = deployment.fleet
    store = _Store()
    fleet.store = store
    load = None
    try:
        await fleet.async_start(_options())
        await fleet.async_configure(_configuration())
        await deployment.async_start_daemons(
            ('zone-a', 'zone-b', 'zone-b'), **_BOUNDS
        )
        load = asyncio.create_task(_async_load(deployment))
        await async_until(
            lambda: len(deployment.open_heads()) >= 2, 'groups are open'
        )
        await asyncio.sleep(_SETTLED_S)
        record.add(f'a copy of the store is made at version {store.version}')
        store.copy()
        await asyncio.sleep(_COPY_AGE_S)
        if has_trouble():
            record.add(f'the store is away at version {store.version}')
            store.faults.down = True
            await asyncio.sleep(_AWAY_S)
            store.restore()
            store.faults.down = False
            record.add(f'the store is back at version {store.version}')
        await asyncio.sleep(_STABLE_WINDOW_S)
        await store.async_put('op', f'evacuate/{_EVACUATED}', {})
        acked_at_s = time.monotonic()
        record.add(
            f'the evacuation of {_EVACUATED} is acked at version '
            f'{store.version}'
        )
        await asyncio.sleep(_WATCHED_S)
        load.cancel()
        return _late_requests(deployment, acked_at_s)
    finally:
        if load is not None:
            load.cancel()
        await deployment.async_stop()


def _late_requests(deployment: Deployment, acked_at_s: float) -> list[str]:
    """Return the requests that reached an engine of the zone too late."""
    found = []
    for name, engine in sorted(deployment.fleet.engines.items()):
        if engine.options.availability_zone != _EVACUATED:
            continue
        for at_s, request_id in zip(engine.requests_s, engine.runs):
            late_s = at_s - acked_at_s
            if late_s > 0:
                deployment.record.add(
                    f'{request_id} reached {name} {late_s:.3f} s after the ack'
                )
            if late_s > _EVACUATE_S:
                found.append(
                    f'{request_id} reached {name} in {_EVACUATED} '
                    f'{late_s:.2f} s after the evacuation was acked'
                )
    return found


if __name__ == '__main__':
    sys.exit(run_case(_async_run, _FOLDER))
