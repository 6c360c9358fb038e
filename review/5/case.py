"""An engine runs a request and fails; the caller is told that it has not run."""

import asyncio
import itertools
from pathlib import Path

from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from common import stage as stages
from tests.platform import builders
from tests.platform.standin import EngineStandin

DAEMONS = 2
REQUESTS = 200
# srv_grey: one server in seven fails four in ten of its requests.
GREY = 'p-0'
FAILS = 0.4
PROMISES = frozenset((408, 421, 429, 503))


class _Engine(EngineStandin):
    """An engine that may fail part of the requests that it has run."""

    record: stages.Record
    is_grey = False
    _failed = 0.0

    async def _async_request(self, request: Request) -> Response:
        answer = await super()._async_request(request)
        request_id = request.headers.get('request-id', '')
        if self.options.fabric_domain or answer.status_code != 200:
            return answer
        name = self.options.engine
        if self.is_grey and name == GREY:
            self._failed += FAILS
            if self._failed >= 1:
                self._failed -= 1
                self.record.add(f'{name} ran {request_id}, and answers 503')
                headers = {
                    'Request-Id': request_id,
                    'Response-Signature': f'{request_id}.{name}',
                }
                return JSONResponse({'error': 'internal'}, 503, headers)
        self.record.add(f'{name} ran {request_id}, and answers 200')
        return answer


async def async_case(stage: stages.Stage) -> list[str]:
    _Engine.record = stage.record
    fleet = stage.fleet
    await fleet.async_start(builders.engine_options(count=2, plain=7))
    await fleet.async_configure(builders.configuration())
    for _ in range(DAEMONS):
        stage.start_daemon()
    await stage.async_until_serving('once')
    _Engine.is_grey = stages.has_trouble()
    broken: list[str] = []
    applied: dict[str, int] = {}

    async def async_ask(number: int) -> None:
        """Ask as a client does: again only after a promise."""
        operation = f'operation-{number}'
        for attempt in itertools.count(1):
            before = set(fleet.all_runs)
            status, _ = await stage.async_request(
                number % DAEMONS, 'once', body=operation.encode()
            )
            ids = [each for each in fleet.all_runs if each not in before]
            request_id = stage.last_id(operation)
            if request_id in ids:
                applied[operation] = applied.get(operation, 0) + 1
                if status in PROMISES:
                    broken.append(
                        f'REFUSED: {request_id} has run and is answered '
                        f'{status}'
                    )
            if status not in PROMISES or attempt == 2:
                return

    for number in range(REQUESTS):
        await async_ask(number)
        await asyncio.sleep(0.02)
    twice = sum(count > 1 for count in applied.values())
    stage.record.add(f'operations that ran twice: {twice} of {REQUESTS}')
    return broken


if __name__ == '__main__':
    _fleet = stages.ReviewFleet()
    _fleet.engine_class = _Engine
    stages.run(async_case, Path(__file__).parent, _fleet)
