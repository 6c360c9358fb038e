"""Stand-in for a plain service that counts how often each call ran."""

import asyncio
import os
from collections import Counter
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ('PlainStandin',)

_EXIT_CRASHED = 70


class PlainStandin:
    """Echoes calls; an admin path returns the runs per idempotency key."""

    def __init__(self, name: str) -> None:
        """Start without runs."""
        self._name = name
        self._runs: Counter[str] = Counter()
        self._delay_s: float = 0
        self._crashing_body = ''
        self.application = Starlette(
            routes=[
                Route('/admin/runs', self._async_runs, methods=['POST']),
                Route('/admin/faults', self._async_faults, methods=['POST']),
                Route(
                    '/{path:path}',
                    self._async_echo,
                    methods=['GET', 'HEAD', 'POST', 'PUT', 'DELETE'],
                ),
            ],
        )

    async def async_run(self, address: str) -> None:
        """Wait; the service has no background work."""
        await asyncio.Event().wait()

    async def _async_echo(self, request: Request) -> Response:
        body = await request.body()
        self._runs[request.headers.get('idempotency-key', '')] += 1
        await asyncio.sleep(self._delay_s)
        if self._crashing_body and body.decode() == self._crashing_body:
            os._exit(_EXIT_CRASHED)
        return JSONResponse(
            {
                'service': self._name,
                'method': request.method,
                'path': request.scope['path'],
                'query': request.url.query,
                'echo': body.decode(errors='replace'),
            },
        )

    async def _async_runs(self, request: Request) -> Response:
        return JSONResponse(dict(self._runs))

    async def _async_faults(self, request: Request) -> Response:
        faults: dict[str, Any] = await request.json()
        self._delay_s = faults.get('delay_s', 0)
        self._crashing_body = faults.get('crashing_body', '')
        return JSONResponse(faults)
