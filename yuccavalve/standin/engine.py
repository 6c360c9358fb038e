"""Stand-in for the engine of one host.

The engine of rank 0, the head engine, answers the requests of its replica.
"""

import asyncio
import os
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from yuccavalve.adapters.http import CallFailedError, HttpJsonClient
from yuccavalve.const import HEADER_LIMIT
from yuccavalve.standin.const import (
    CROSS_DOMAIN_SLOWDOWN,
    DEFAULT_TOKENS,
    HEARTBEAT_INTERVAL_S,
    LOAD_REPORT_INTERVAL_S,
    MAX_QUEUED_PER_SLOT,
    PEER_CHECK_INTERVAL_S,
    PEER_TIMEOUT_S,
    UNREAD_TIMEOUT_S,
)
from yuccavalve.standin.generation import Generation, answer_words

__all__ = ('EngineFaults', 'EngineStandin', 'EngineStandinOptions')

_CONFLICT = 409
_OVERLOADED = 429
_GONE = 410
_UNAVAILABLE = 503
_EXIT_CRASHED = 70
_TRICKLE_INTERVAL_S = 0.2


@attrs.frozen
class EngineStandinOptions:
    """Description of a host and timing of its engine.

    Attributes
    ----------
    fenced
        Whether orders with an older fencing token are refused.
    load_s
        Time to load a model.
    token_s
        Base time between tokens; it doubles when all slots are in use.
    """

    host: str
    fabric_domain: str
    availability_zone: str
    accelerators: int = 8
    fenced: bool = True
    load_s: float = 0.5
    token_s: float = 0.01
    platform_address: str = ''
    platform_key: str = ''


@attrs.define
class EngineFaults:
    """Faults that are injected by an admin call.

    Attributes
    ----------
    silent_after
        Stall streams after this many events; -1 never does.
    trickle_after
        Send single bytes that end no event after this many events; -1 never
        does.
    cut_after
        Break the connection of streams after this many events; -1 never does.
    refuse
        Refuse new requests as unavailable.
    ignore_resume
        Refuse to resume streams.
    slowdown
        Factor on the time between tokens.
    mute_status
        Delay answers to status calls far beyond the timeout of peers.
    crash_content
        End the process after the first event of an answer to a prompt that
        has a message with this content; empty never does.
    limit
        Requests a second to name in all answers; empty names none.
    dead
        Report as not ready until the next load, as after the loss of a peer.
    """

    silent_after: int = -1
    trickle_after: int = -1
    cut_after: int = -1
    refuse: bool = False
    ignore_resume: bool = False
    slowdown: float = 1
    mute_status: bool = False
    crash_content: str = ''
    limit: str = ''
    dead: bool = False


@attrs.define
class _Assignment:
    fence: int = 0
    replica: str = ''
    model: str = ''
    rank: int = 0
    slots: int = 1
    peer_addresses: tuple[str, ...] = ()


@attrs.define
class _Calls:
    """Records when calls arrived, and names the limit in their answers."""

    faults: EngineFaults
    arrivals_s: list[float] = attrs.field(factory=list)

    async def async_answer(
        self,
        request: Request,
        respond: Callable[[Request], Awaitable[Response]],
    ) -> Response:
        """Answer a call that counts towards the limit."""
        self.arrivals_s.append(time.monotonic())
        response = await respond(request)
        if self.faults.limit:
            response.headers[HEADER_LIMIT] = self.faults.limit
        return response

    async def async_arrivals(self, request: Request) -> Response:
        """Return the monotonic times of all calls."""
        return JSONResponse(self.arrivals_s)


class EngineStandin:
    """Loads a model on order and streams generated words."""

    def __init__(self, options: EngineStandinOptions) -> None:
        """Start without a model."""
        self.options = options
        self.faults = EngineFaults()
        self.boot = uuid.uuid4().hex
        self._assignment = _Assignment()
        self._ready = False
        self._replica_intact = True
        self._cross_domain = False
        self._loading: asyncio.Task[None] | None = None
        self._generations: dict[str, Generation] = {}
        self._runs: list[Generation] = []
        self._running = 0
        self._queued = 0
        self._slot_free = asyncio.Condition()
        self._reported_load = (0, 0)
        self._calls = _Calls(self.faults)
        self._caller = HttpJsonClient(PEER_TIMEOUT_S, options.platform_key)
        self.application = Starlette(
            routes=[
                Route(path, endpoint, methods=['POST'])
                for path, endpoint in self._endpoints().items()
            ],
        )

    async def async_run(self, address: str) -> None:
        """Send heartbeats, check the peers and refresh the reported load."""
        await asyncio.gather(
            self._async_send_heartbeats(address),
            self._async_check_peers(),
            self._async_report_load(),
        )

    def _endpoints(self) -> dict[str, Any]:
        return {
            '/v1/status': partial(
                self._calls.async_answer, respond=self._async_status
            ),
            '/v1/orders': partial(
                self._calls.async_answer, respond=self._async_order
            ),
            '/v1/chat/completions': partial(
                self._calls.async_answer, respond=self._async_complete
            ),
            '/v1/resume': partial(
                self._calls.async_answer, respond=self._async_resume
            ),
            '/v1/cancel': self._async_cancel,
            '/admin/faults': self._async_faults,
            '/admin/runs': self._async_runs,
            '/admin/arrivals': self._calls.async_arrivals,
        }

    async def _async_status(self, request: Request) -> Response:
        if self.faults.mute_status:
            await asyncio.sleep(PEER_TIMEOUT_S * 10)
        assignment = self._assignment
        running, queued = self._reported_load
        return JSONResponse(
            {
                'host': self.options.host,
                'boot': self.boot,
                'fabric_domain': self.options.fabric_domain,
                'fenced': self.options.fenced,
                'fence': assignment.fence,
                'replica': assignment.replica,
                'rank': assignment.rank,
                'model': assignment.model,
                'ready': self._ready and self._replica_intact,
                'load': {
                    'running': running,
                    'queued': queued,
                    'slots': assignment.slots,
                    'age_s': LOAD_REPORT_INTERVAL_S,
                },
            },
        )

    async def _async_order(self, request: Request) -> Response:
        order = await request.json()
        old = order['fence'] < self._assignment.fence
        if old and self.options.fenced:
            return JSONResponse({}, _CONFLICT)
        self._cancel_all()
        if order['kind'] == 'release':
            self._assignment = _Assignment(fence=order['fence'])
            return JSONResponse({})
        self._assignment = _Assignment(
            order['fence'],
            order['replica'],
            order['model'],
            order['rank'],
            order['slots'],
            tuple(order['peer_addresses']),
        )
        self._loading = asyncio.create_task(self._async_load())
        return JSONResponse({})

    async def _async_complete(self, request: Request) -> Response:
        body = await request.json()
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        generation = Generation(
            request.headers.get('x-request-id', uuid.uuid4().hex),
            request.headers.get('idempotency-key', ''),
            body['messages'][-1]['content'],
        )
        self._generations[generation.request_id] = generation
        self._runs.append(generation)
        generation.crashes = any(
            message['content'] == self.faults.crash_content
            for message in body['messages']
        )
        tokens = body.get('max_tokens', DEFAULT_TOKENS)
        asyncio.create_task(self._async_generate(generation, tokens))
        headers = self._answer_headers()
        if body.get('stream'):
            return self._stream(generation, 0, headers)
        await generation.async_wait_end()
        if generation.cancelled:
            return JSONResponse({'started': True}, _GONE)
        answer = generation.complete_answer(self._assignment.model)
        return JSONResponse(answer, headers=headers)

    async def _async_resume(self, request: Request) -> Response:
        body = await request.json()
        generation = self._generations.get(body['request_id'])
        if generation is None or self.faults.ignore_resume:
            return JSONResponse({}, _GONE)
        headers = self._answer_headers()
        return self._stream(generation, body['offset'], headers)

    async def _async_cancel(self, request: Request) -> Response:
        body = await request.json()
        generation = self._generations.get(body['request_id'])
        if generation is not None and not generation.finished:
            generation.cancel()
        return JSONResponse({})

    async def _async_faults(self, request: Request) -> Response:
        for name, setting in (await request.json()).items():
            setattr(self.faults, name, setting)
        self._replica_intact = self._replica_intact and not self.faults.dead
        return JSONResponse(attrs.asdict(self.faults))

    async def _async_runs(self, request: Request) -> Response:
        return JSONResponse(
            [
                {
                    'request_id': run.request_id,
                    'key': run.idempotency_key,
                    'events': len(run.events),
                    'finished': run.finished,
                    'cancelled': run.cancelled,
                }
                for run in self._runs
            ],
        )

    def _answer_headers(self) -> dict[str, str]:
        return {'x-incarnation': str(self._assignment.fence)}

    def _refusal(self, request: Request) -> Response | None:
        assignment = self._assignment
        expected = request.headers.get('x-incarnation')
        if expected is not None and int(expected) != assignment.fence:
            return JSONResponse({'started': False}, _CONFLICT)
        is_head = self._ready and self._replica_intact and assignment.rank == 0
        if self.faults.refuse or not is_head:
            return JSONResponse({'started': False}, _UNAVAILABLE)
        if self._queued >= assignment.slots * MAX_QUEUED_PER_SLOT:
            return JSONResponse({'started': False}, _OVERLOADED)
        return None

    def _stream(
        self,
        generation: Generation,
        offset: int,
        headers: dict[str, str],
    ) -> Response:
        return StreamingResponse(
            self._async_events(generation, offset),
            media_type='text/event-stream',
            headers=headers,
        )

    async def _async_events(
        self,
        generation: Generation,
        offset: int,
    ) -> AsyncIterator[bytes]:
        generation.readers += 1
        position = offset
        try:
            async for event in generation.async_follow(offset):
                if offset == 0:
                    await self._async_inject_fault(position)
                while position == self.faults.trickle_after:
                    yield b'd'
                    await asyncio.sleep(_TRICKLE_INTERVAL_S)
                yield event
                position += 1
        finally:
            generation.readers -= 1
            asyncio.get_running_loop().call_later(
                UNREAD_TIMEOUT_S,
                self._cancel_unread,
                generation,
            )
        if generation.cancelled:
            raise ConnectionResetError('generation cancelled')

    async def _async_inject_fault(self, position: int) -> None:
        """Stall or break a stream as the faults say, unless it is resumed."""
        if position == self.faults.silent_after:
            await asyncio.Event().wait()
        if position == self.faults.cut_after:
            raise ConnectionResetError('fault: cut')

    def _cancel_unread(self, generation: Generation) -> None:
        if generation.readers == 0 and not generation.finished:
            generation.cancel()

    async def _async_generate(
        self,
        generation: Generation,
        tokens: int,
    ) -> None:
        await self._async_acquire_slot()
        try:
            for word in answer_words(generation.prompt, tokens):
                await asyncio.sleep(self._token_interval_s())
                if generation.cancelled:
                    return
                generation.append_word(word)
                if generation.crashes:
                    await asyncio.sleep(self._token_interval_s())
                    os._exit(_EXIT_CRASHED)
            generation.finish()
        finally:
            await self._async_release_slot()

    async def _async_acquire_slot(self) -> None:
        self._queued += 1
        async with self._slot_free:
            await self._slot_free.wait_for(
                lambda: self._running < self._assignment.slots,
            )
        self._queued -= 1
        self._running += 1

    async def _async_release_slot(self) -> None:
        self._running -= 1
        async with self._slot_free:
            self._slot_free.notify()

    def _token_interval_s(self) -> float:
        slot_usage = self._running / max(1, self._assignment.slots)
        fabric_factor = CROSS_DOMAIN_SLOWDOWN if self._cross_domain else 1
        return (
            self.options.token_s
            * (1 + slot_usage)
            * fabric_factor
            * self.faults.slowdown
        )

    async def _async_load(self) -> None:
        self._ready = False
        self._replica_intact = True
        self.faults.dead = False
        await asyncio.sleep(self.options.load_s)
        self._ready = True

    def _cancel_all(self) -> None:
        self._ready = False
        if self._loading is not None:
            self._loading.cancel()
        for generation in self._generations.values():
            if not generation.finished:
                generation.cancel()
        self._generations = {}

    async def _async_check_peers(self) -> None:
        while True:
            await asyncio.sleep(PEER_CHECK_INTERVAL_S)
            assignment = self._assignment
            if self._ready and assignment.rank == 0:
                intact = await self._async_peers_intact(assignment)
                if assignment is self._assignment and not intact:
                    self._replica_intact = False
                    self._cancel_all()

    async def _async_peers_intact(self, assignment: _Assignment) -> bool:
        try:
            replies = await asyncio.gather(
                *(
                    self._caller.async_post(address, '/v1/status', {})
                    for address in assignment.peer_addresses[1:]
                ),
            )
        except CallFailedError:
            return False
        domains = {reply.body['fabric_domain'] for reply in replies}
        self._cross_domain = bool(domains - {self.options.fabric_domain})
        return all(reply.body['fence'] == assignment.fence for reply in replies)

    async def _async_send_heartbeats(self, address: str) -> None:
        options = self.options
        host_entry = {
            'host': options.host,
            'address': address,
            'fabric_domain': options.fabric_domain,
            'availability_zone': options.availability_zone,
            'accelerators': options.accelerators,
        }
        while options.platform_address:
            try:
                await self._caller.async_post(
                    options.platform_address,
                    '/hosts/beat',
                    host_entry,
                )
            except CallFailedError:
                pass  # noqa: WPS420 the next heartbeat is sent anyway
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _async_report_load(self) -> None:
        while True:
            self._reported_load = (self._running, self._queued)
            await asyncio.sleep(LOAD_REPORT_INTERVAL_S)
