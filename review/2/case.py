"""The head engine of a group leaves the list, and is silent for a second."""

import asyncio
from pathlib import Path
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from common import stage as stages
from tests.platform import builders
from tests.platform.standin import EngineOptions, EngineStandin

SIZE = 3
ENGINES = 8
DAEMONS = 3
SILENT_S = 1.2
# It serves for drain_ms, which is 2000, and a little longer.
SERVES_ON_S = 2.6


class _Engine(EngineStandin):
    """An engine that records its orders."""

    record: stages.Record

    async def _async_order(self, request: Request) -> Response:
        body = await request.json()
        await self._async_wait_while_silent()
        if await request.is_disconnected():
            return JSONResponse({}, 503)
        if self._is_misdirected(request):
            return JSONResponse({}, 421, {'Not-Executed': '1'})
        states = {
            name: f'{each.group.name}/{each.group.state}'
            for name, each in self.peers.items()
            if each.group is not None and each.alive
        }
        status = self._apply_order(body)
        self.record.add(
            f'{self.options.engine} got {body["op"]} {body.get("group", "")} '
            f'{body.get("members", "")}: {status}; groups before: {states}'
        )
        return JSONResponse({}, status)


class _Fleet(stages.ReviewFleet):
    """A fleet with engines that withdraw their entry and serve on."""

    engine_class = _Engine

    def __init__(self) -> None:
        super().__init__()
        self.withdrawn: set[str] = set()

    async def async_withdraw(self, name: str) -> None:
        self.withdrawn.add(name)
        await self.store.async_remove('servers', name)

    async def _async_write_record(
        self, name: str, engine: EngineStandin, *, heartbeat_due: bool
    ) -> None:
        if name not in self.withdrawn:
            await super()._async_write_record(
                name, engine, heartbeat_due=heartbeat_due
            )


def _configuration() -> dict[str, Any]:
    configuration = builders.configuration()
    model = configuration['services'][0]['engine']['models'][0]
    model.update(size=SIZE, load_s=2.0, warm_s=0.2)
    return configuration


async def async_case(stage: stages.Stage) -> list[str]:
    _Engine.record = stage.record
    fleet = stage.fleet
    options = [
        EngineOptions(
            f'i-{number}',
            'llm',
            fabric_domain='zone-a-d0',
            load_s=0.4,
            token_s=0.05,
            events=20,
        )
        for number in range(ENGINES)
    ]
    options.append(EngineOptions('p-0', 'portal'))
    await fleet.async_start(options)
    await fleet.async_configure(_configuration())
    for _ in range(DAEMONS):
        stage.start_daemon()
    await stage.async_until_serving()
    spare_is_warm = 3.0
    await asyncio.sleep(spare_is_warm)
    tasks = []

    async def async_load(until_s: float) -> None:
        while stage.record.now_s() < until_s:
            daemon = len(tasks) % DAEMONS
            request = stage.async_request(daemon, 'stream')
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(0.4)

    await async_load(stage.record.now_s() + 2)
    heads = [
        name
        for name, engine in fleet.engines.items()
        if engine.group is not None and engine.group.state == 'open'
    ]
    if not heads:
        raise stages.CannotRunError('no group is open')
    head = heads[0]
    engine = fleet.engines[head]
    stage.record.add(f'{head} removes its entry and serves on')
    await fleet.async_withdraw(head)
    if stages.has_trouble():
        stage.record.add(f'{head} is silent for {SILENT_S} s')
        engine.silent = True
        asyncio.get_running_loop().call_later(
            SILENT_S, setattr, engine, 'silent', False
        )
    await async_load(stage.record.now_s() + SERVES_ON_S)
    stage.record.add(f'{head} ends')
    await fleet.async_kill(head)
    await async_load(stage.record.now_s() + 4)
    await asyncio.gather(*tasks)
    stage.record.add(f'answers: {dict(stage.outcomes)}')
    return [f'TWO: {text}' for text in fleet.violations]


if __name__ == '__main__':
    stages.run(async_case, Path(__file__).parent, _Fleet())
