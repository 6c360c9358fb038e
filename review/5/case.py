"""Orders that are carried out late open a group that the planner has ended."""

import asyncio
from pathlib import Path
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from common import stage as stages
from tests.platform import builders
from tests.platform.standin import EngineOptions, EngineStandin

SIZE = 3
ENGINES = 7
DAEMONS = 3
# Orders without an answer are carried out 2 to 12 s later.
EARLIEST_S = 2.0
LATEST_S = 12.0
CRASH_AFTER_S = 5.0
ENDS_S = 16.0
# When they are carried out, counted from the order to join the next group.
LATER_GROUPS = 2
JOIN_AFTER_S = 0.05
OPEN_AFTER_S = 0.35


class _Script:
    """Which orders the head engine of the first group carries out late."""

    def __init__(self) -> None:
        self.record: Any = None
        self.head = ''
        self.epoch = 0
        self.formed_at_s = 0.0
        self.members: list[str] = []
        self.ended = False
        self.held: dict[str, tuple[float, dict[str, Any]]] = {}
        self.later: set[str] = set()
        self.total = 0

    def holds(self, name: str, order: dict[str, Any]) -> bool:
        """Return whether an order is left unanswered, and carried out late."""
        self.total += 1
        members = order.get('members') or []
        op = order['op']
        if not self.head and op == 'join' and members[:1] == [name]:
            if len(members) == SIZE:
                self.head, self.epoch = name, order['epoch']
                self.members = members
                self.formed_at_s = self.record.now_s()
        if not stages.has_trouble() or name != self.head:
            return False
        if order.get('epoch') == self.epoch:
            if op in {'join', 'open'} and op not in self.held:
                self.held[op] = (self.record.now_s(), order)
                return True
            return False
        if op == 'join' and self.ended and order['group'] not in self.later:
            # The first order to join a later group; its repeat is answered.
            self.later.add(order['group'])
            return len(self.later) <= LATER_GROUPS
        return False


class _Engine(EngineStandin):
    """An engine that leaves some orders unanswered, as the script says."""

    script: _Script

    async def _async_order(self, request: Request) -> Response:
        body = await request.json()
        if self._is_misdirected(request):
            return JSONResponse({}, 421, {'Not-Executed': '1'})
        script = self.script
        said = f'{body["op"]} {body.get("group", "")} {body.get("members", "")}'
        name = self.options.engine
        if script.holds(name, body):
            script.record.add(f'{name} got {said}; left unanswered')
            if script.later:
                is_first = len(script.later) == 1
                self._spawn(self._async_carry_out(body, is_first=is_first))
            await asyncio.sleep(30)
        status = self._apply(body, said)
        if name == script.head and body['op'] == 'leave':
            script.ended = True
        return JSONResponse({}, status)

    async def _async_carry_out(
        self, later: dict[str, Any], *, is_first: bool
    ) -> None:
        """Carry out what was left unanswered."""
        if is_first:
            await asyncio.sleep(JOIN_AFTER_S)
            self._apply_late('join')
            await asyncio.sleep(OPEN_AFTER_S - JOIN_AFTER_S)
            self._apply_late('open')
        await asyncio.sleep(EARLIEST_S)
        self._apply(later, f'late: {later["op"]} {later["group"]}')

    def _apply_late(self, op: str) -> None:
        sent_at_s, order = self.script.held[op]
        late_s = self.script.record.now_s() - sent_at_s
        if not EARLIEST_S <= late_s <= LATEST_S:
            raise stages.CannotRunError(f'{op} would be {late_s:.1f} s late')
        self._apply(order, f'{late_s:.1f} s late: {op} {order["group"]}')

    def _apply(self, order: dict[str, Any], said: str) -> int:
        name = self.options.engine
        group = self.group
        before = 'no group' if group is None else f'{group.name}/{group.state}'
        status = self._apply_order(order)
        self.script.record.add(f'{name} ({before}) got {said}: {status}')
        return status


def _configuration() -> dict[str, Any]:
    configuration = builders.configuration()
    model = configuration['services'][0]['engine']['models'][0]
    model.update(size=SIZE, load_s=2.0, warm_s=0.2)
    return configuration


async def async_case(stage: stages.Stage) -> list[str]:
    script = _Script()
    script.record = stage.record
    _Engine.script = script
    fleet = stage.fleet
    options = [
        EngineOptions(
            f'i-{number}', 'llm', fabric_domain='zone-a-d0', load_s=0.4
        )
        for number in range(ENGINES)
    ]
    options.append(EngineOptions('p-0', 'portal'))
    await fleet.async_start(options)
    await fleet.async_configure(_configuration())
    for _ in range(DAEMONS):
        stage.start_daemon()
    await stage.async_until(lambda: script.head, 'no group is formed')
    tasks = []

    async def async_load(until_s: float) -> None:
        while stage.record.now_s() < until_s:
            work = stage.async_request(len(tasks) % DAEMONS, 'stream')
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(0.1)

    await async_load(script.formed_at_s + CRASH_AFTER_S)
    lost = script.members[-1]
    stage.record.add(f'{lost}, a member of the group of {script.head}, crashes')
    await fleet.async_kill(lost)
    await async_load(script.formed_at_s + ENDS_S)
    await asyncio.gather(*tasks)
    late = len(script.held) + min(len(script.later), LATER_GROUPS)
    stage.record.add(f'orders: {script.total}, of them late: {late}')
    stage.record.add(f'answers: {dict(stage.outcomes)}')
    return [f'TWO: {text}' for text in fleet.violations]


if __name__ == '__main__':
    _fleet = stages.ReviewFleet()
    _fleet.engine_class = _Engine
    stages.run(async_case, Path(__file__).parent, _fleet)
