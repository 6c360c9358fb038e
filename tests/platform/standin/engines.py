"""Stand-in engines: members of replica groups, or plain services."""

import asyncio
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable, Mapping
from enum import Enum
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

__all__ = (
    'CrashingRequest',
    'EngineOptions',
    'EngineStandin',
    'Framing',
    'ScriptedAnswer',
)

_MS = 1000
_OK = 200
_ACCEPTED = 202
_CONFLICT = 409
_FENCED = 412
_MISDIRECTED = 421
_UNAVAILABLE = 503
_WARM_JOIN_S = 0.02
_LOST_ANSWER_S = 6.0
_REPEAT_S = 0.1
_POLL_S = 0.01
_TRICKLE_INTERVAL_S = 0.05
_PART_PAUSE_S = 0.02
_NOT_RUN = {'Not-Executed': '1'}


class Framing(Enum):
    """How a stand-in engine marks the end of an answer, also a broken one.

    CHUNKS ends with the last chunk, and without it when broken off; RESET
    and CLOSE have neither a length nor chunks. When broken off, CLOSE ends
    the connection in order and RESET resets it. CHUNKS_ENDED sends the last
    chunk of a broken answer too.
    """

    CHUNKS = 'chunks'
    CHUNKS_ENDED = 'chunks_ended'
    CLOSE = 'close'
    RESET = 'reset'


class _UnframedResponse(Response):
    """An answer with neither a length nor chunks."""

    def __init__(
        self,
        parts: AsyncIterator[bytes],
        headers: Mapping[str, str],
        *,
        resets: bool,
    ) -> None:
        """Store the parts of the body; ``resets`` is how it breaks off."""
        super().__init__()
        self._parts = parts
        self._fields = headers
        self._resets = resets

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Write to the connection itself; the server adds chunks."""
        transport = scope['standin.transport']
        fields = {**self._fields, **scope['standin.notices']}
        lines = [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', ''))
        transport.write(head.encode())
        try:
            async for part in self._parts:
                transport.write(part)
        except ConnectionResetError:
            if self._resets:
                await asyncio.sleep(_POLL_S)
                _reset(transport)
        transport.close()


class _RepeatedResponse(Response):
    """An answer of which a second copy is sent late."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Write to the connection itself, and leave it open."""
        transport = scope['standin.transport']
        lines = [b'%b: %b' % field for field in self.raw_headers]
        head = b'\r\n'.join((b'HTTP/1.1 200 OK', *lines, b'', b''))
        transport.write(head + self.body)
        await asyncio.sleep(_REPEAT_S)
        transport.write(head + self.body)
        await asyncio.sleep(_LOST_ANSWER_S)


@attrs.frozen
class ScriptedAnswer:
    """Bytes of an answer, after which the connection ends.

    Attributes
    ----------
    parts
        Written one after another with a pause in between; may be empty.
    resets
        Whether the connection is reset instead of closed in order.
    """

    parts: tuple[bytes, ...]
    resets: bool = False


class _ScriptedResponse(Response):
    """Given bytes, after which the connection ends."""

    def __init__(self, scripted: bytes | ScriptedAnswer) -> None:
        """Store the answer."""
        super().__init__()
        if isinstance(scripted, bytes):
            scripted = ScriptedAnswer((scripted,))
        self._scripted = scripted

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Write to the connection itself."""
        transport = scope['standin.transport']
        for number, part in enumerate(self._scripted.parts):
            if number:
                await asyncio.sleep(_PART_PAUSE_S)
            transport.write(part)
        if self._scripted.resets:
            await asyncio.sleep(_POLL_S)
            _reset(transport)
        transport.close()


class _EngineApplication(Starlette):
    """Adds the engine's notices to the heads of all its answers.

    Answers may also write to the connection of their request.
    """

    def __init__(self, engine: 'EngineStandin', routes: list[Route]) -> None:
        """Serve the routes of an engine."""
        super().__init__(routes=routes)
        self._engine = engine

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve a request."""

        async def async_send(message: Any) -> None:  # noqa: WPS430
            if message['type'] == 'http.response.start':
                message['headers'].extend(
                    (name.lower().encode(), text.encode())
                    for name, text in self._engine.notices().items()
                )
            await send(message)

        self._engine.arrivals_s.append(time.monotonic())
        protocol = send.__self__.on_response.__self__
        scope['standin.transport'] = protocol.transport
        scope['standin.notices'] = self._engine.notices()
        await super().__call__(scope, receive, async_send)


def _ignore_crash(engine: str) -> None:
    """Do nothing; the engine is not part of a fleet."""


def _usual_answer(fields: Mapping[str, str]) -> bytes:
    """Return no bytes; the engine answers as usual."""
    return b''


def _refusal(request: Request, status: int, **fields: str) -> Response:
    """Return an answer to a request that is not run."""
    request_id = request.headers.get('request-id', '')
    headers = {**_NOT_RUN, 'Request-Id': request_id, **fields}
    return JSONResponse({}, status, headers)


def _reset(transport: asyncio.Transport) -> None:
    connection = transport.get_extra_info('socket')
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )


@attrs.frozen
class EngineOptions:
    """Properties of a stand-in engine.

    Attributes
    ----------
    fabric_domain
        Fabric domain; empty for a plain service.
    load_s
        Time to load a model that is not in memory.
    form_s
        Time from the order to open a group until it is open.
    token_s
        Time between the events of a stream, or until a plain service
        answers.
    events
        Number of events in a whole stream.
    event_bytes
        Least size of an event.
    """

    engine: str
    service: str
    availability_zone: str = 'zone-a'
    fabric_domain: str = ''
    slots: int = 4
    load_s: float = 0.1
    form_s: float = 0.02
    token_s: float = 0.02
    events: int = 8
    event_bytes: int = 0


@attrs.frozen
class CrashingRequest:
    """A whole request that crashes each engine that begins to run it."""

    workspace: str
    target: str
    body: bytes


@attrs.define
class _Group:
    name: str
    epoch: int
    rank: int
    members: tuple[str, ...]
    model: str
    state: str = 'joining'


class EngineStandin:
    """One engine, which looks up its peers in the fleet's mapping.

    Attributes
    ----------
    alive
        False after a kill; every connection is then reset.
    silent
        No call is answered and streams stall until this is False again.
    order_delay_s
        Orders are applied and answered after this time, and applied also
        if the sender has given up by then; 0 for at once.
    lose_answers
        A plain service runs requests but holds back their answers.
    break_after_events
        Number of events after which a stream breaks inside the next one;
        -1 for never.
    trickle_after_events
        Number of events after which a stream sends bytes but completes no
        further event; -1 for never.
    framing
        How the end of answers to requests is marked.
    repeats_answers
        A plain service sends a late second copy of each answer.
    says_leaving
        Whether all answers say that the engine leaves.
    retry_after
        Time for which the engine asks to be left alone when it refuses
        requests; empty to refuse none.
    omits_request_id
        Answers carry no request id, as if made for another request.
    answer_bytes
        Returns the bytes of the answer to a request with given header fields
        that has run, or how they are sent; empty for the usual answer.
    cold_until_s
        Monotonic time until which its record says that it is cold.
    requests_s
        Monotonic times of the requests that began to run.
    runs
        Ids of the requests that began to run, in order.
    all_runs
        The same for all engines of the fleet.
    violations
        Broken rules that engines of the fleet detected.
    ready_epochs
        Engines and epochs in which they were ready to serve.
    received_headers
        Header fields of the requests received, in order.
    crashing_part
        Part of a prompt that crashes the engine once it has begun to
        answer; empty for none.
    crashes_on_join
        Whether an order to join a group crashes the engine.
    crashing_request
        Whole request that crashes the engine; None for none.
    on_crash
        Called with the engine's name when it crashes.
    """

    def __init__(
        self,
        options: EngineOptions,
        peers: Mapping[str, 'EngineStandin'],
    ) -> None:
        """Create an idle engine without a model."""
        self.options = options
        self.peers = peers
        self.born_ms = int(time.time() * _MS)
        self.alive = True
        self.silent = False
        self.draining = False
        self.order_delay_s = 0.0
        self.lose_answers = False
        self.break_after_events = -1
        self.trickle_after_events = -1
        self.framing = Framing.CHUNKS
        self.repeats_answers = False
        self.says_leaving = False
        self.limit = ''
        self.cold_until_s = 0.0
        self.requests_s: list[float] = []
        self.arrivals_s: list[float] = []
        self.retry_after = ''
        self.omits_request_id = False
        self.answer_bytes: Callable[
            [Mapping[str, str]], bytes | ScriptedAnswer
        ] = _usual_answer
        self.running = 0
        self.runs: list[str] = []
        self.all_runs: list[str] = []
        self.violations: list[str] = []
        self.ready_epochs: set[tuple[str, int]] = set()
        self.received_headers: list[Mapping[str, str]] = []
        self.crashing_part = ''
        self.crashing_request: CrashingRequest | None = None
        self.crashes_on_join = False
        self.on_crash: Callable[[str], None] = _ignore_crash
        self.group: _Group | None = None
        self.staged: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.address = ''
        self._highest_epoch = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.application = _EngineApplication(
            self,
            routes=[
                Route('/-/report', self._async_report),
                Route('/-/order', self._async_order, methods=['POST']),
                Route(
                    '/{path:path}',
                    self._async_request,
                    methods=['GET', 'POST'],
                ),
            ],
        )

    def notices(self) -> dict[str, str]:
        """Return what the engine says of itself in all its answers."""
        notices = {}
        if self.says_leaving:
            notices['Server-Leaving'] = '1'
        if self.limit:
            notices['Server-Limit'] = self.limit
        return notices

    def cold_left_ms(self) -> int:
        """Return how long the engine stays cold."""
        return max(0, int((self.cold_until_s - time.monotonic()) * _MS))

    def store_record(self, sequence: int) -> dict[str, Any]:
        """Return the engine's record as the store holds it."""
        options = self.options
        entry: dict[str, Any] = {
            'service': options.service,
            'address': self.address,
            'zone': options.availability_zone,
            'version': 'v1',
            'slots': options.slots,
            'state': 'draining' if self.draining else 'ready',
            'cold_left_ms': self.cold_left_ms(),
            'born': self.born_ms,
            'seq': sequence,
        }
        if options.fabric_domain:
            entry.update(self._group_fields())
        return entry

    def _group_fields(self) -> dict[str, Any]:
        group = self.group
        models = [] if group is None else [{'name': group.model, 'version': 1}]
        fields: dict[str, Any] = {
            'domain': self.options.fabric_domain,
            'is_staged': list(self.staged),
            'models': models,
        }
        if group is not None:
            fields['group'] = {
                'name': group.name,
                'epoch': group.epoch,
                'rank': group.rank,
                'state': group.state,
            }
        return fields

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_wait_while_silent(self) -> None:
        while self.silent:
            await asyncio.sleep(_POLL_S)

    async def _async_report(self, request: Request) -> Response:
        await self._async_wait_while_silent()
        body = {
            'stage': 'both',
            'busy': False,
            'seq': len(self.orders),
            'waiting': 0,
            'in_flight': self.running,
            'pace': 1.0,
            'born': self.born_ms,
            **self._group_fields(),
        }
        return JSONResponse(body)

    async def _async_order(self, request: Request) -> Response:
        await self._async_wait_while_silent()
        if self._is_misdirected(request):
            return JSONResponse({}, _MISDIRECTED, _NOT_RUN)
        order = await request.json()
        if self.order_delay_s:
            self._spawn(self._async_apply_late(order))
            await asyncio.sleep(self.order_delay_s)
        status = self._apply_order(order)
        return JSONResponse({}, status)

    async def _async_apply_late(self, order: dict[str, Any]) -> None:
        await asyncio.sleep(self.order_delay_s)
        self._apply_order(order)

    def _apply_order(self, order: dict[str, Any]) -> int:
        self.orders.append(order)
        kind = order['op']
        if kind == 'stage':
            self._spawn(self._async_stage(order['model']))
            return _ACCEPTED
        if kind == 'join':
            return self._join(order)
        group = self.group
        ordered_group = (order['group'], order['epoch'])
        if group is None or (group.name, group.epoch) != ordered_group:
            return _OK if kind == 'leave' else _CONFLICT
        if kind == 'leave':
            self.group = None
        elif kind == 'open':
            if group.state not in {'ready', 'open'} or group.rank:
                return _CONFLICT
            self._spawn(self._async_open(group))
        else:
            group.state = 'closing'
            self._spawn(self._async_close(group))
        return _OK

    def _join(self, order: dict[str, Any]) -> int:
        if self.crashes_on_join:
            self.on_crash(self.options.engine)
        epoch = order['epoch']
        members = tuple(order['members'])
        group = self.group
        same_epoch = group is not None and group.epoch == epoch
        if epoch < self._highest_epoch:
            return _FENCED
        if same_epoch and group is not None:
            return _OK if group.members == members else _FENCED
        self._check_overlap(order)
        self._highest_epoch = epoch
        holds_model = group is not None and group.model == order['model']
        rank = members.index(self.options.engine)
        model = order['model']
        self.group = _Group(order['group'], epoch, rank, members, model)
        self._spawn(self._async_join(self.group, holds_model=holds_model))
        return _ACCEPTED

    def _check_overlap(self, order: dict[str, Any]) -> None:
        """Record a violation if the group to be left may still serve."""
        group = self.group
        if group is None:
            return
        head = self.peers.get(group.members[0])
        head_in_group = (
            head is not None and head.alive and head.group is not None
        )
        if head_in_group and head.group.epoch == group.epoch:
            if head.group.state in {'open', 'closing'}:
                self.violations.append(
                    f'{self.options.engine} joins {order["group"]} while '
                    f'{group.name} is open',
                )

    def _check_never_ready(self, request_id: str) -> None:
        """Record a violation if a member of the group was never ready."""
        group = self.group
        if group is None:
            return
        never_ready = [
            name
            for name in group.members
            if (name, group.epoch) not in self.ready_epochs
        ]
        if never_ready:
            self.violations.append(
                f'{request_id} runs in {group.name}, '
                f'never ready: {never_ready}',
            )

    async def _async_stage(self, model: str) -> None:
        await asyncio.sleep(self.options.load_s)
        self.staged = [model]

    async def _async_join(self, group: _Group, *, holds_model: bool) -> None:
        warm = holds_model or group.model in self.staged
        await asyncio.sleep(_WARM_JOIN_S if warm else self.options.load_s)
        self.staged = [group.model]
        if self.group is group:
            group.state = 'ready'
            self.ready_epochs.add((self.options.engine, group.epoch))

    async def _async_open(self, group: _Group) -> None:
        await asyncio.sleep(self.options.form_s)
        if self.group is group:
            group.state = 'open'

    async def _async_close(self, group: _Group) -> None:
        """Return to ready once the running streams have ended."""
        while self.running:
            await asyncio.sleep(_POLL_S)
        if self.group is group:
            group.state = 'ready'

    def _is_misdirected(self, request: Request) -> bool:
        expected = request.headers.get('expect-instance', self.options.engine)
        return expected != self.options.engine

    async def _async_request(self, request: Request) -> Response:
        await self._async_wait_while_silent()
        body = await request.body()
        self.received_headers.append(request.headers)
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        request_id = request.headers['request-id']
        headers = {
            'Request-Id': request_id,
            'Response-Signature': f'{request_id}.{self.options.engine}',
        }
        self.runs.append(request_id)
        self.requests_s.append(time.monotonic())
        self.all_runs.append(request_id)
        self._check_never_ready(request_id)
        if self.omits_request_id:
            # The gateway must not pass on an answer without its request id.
            headers.pop('Request-Id')
        scripted = self.answer_bytes(request.headers)
        if scripted:
            return _ScriptedResponse(scripted)
        if self.options.fabric_domain:
            last_event_id = int(request.headers.get('last-event-id', '0'))
            events = self._async_events(last_event_id)
            if self._crashes(request, body):
                events = self._async_crash(events)
            return self._respond(events, headers)
        await asyncio.sleep(self.options.token_s)
        if self._crashes(request, body):
            self.on_crash(self.options.engine)
            await asyncio.Event().wait()
        if self.lose_answers:
            await asyncio.sleep(_LOST_ANSWER_S)
        if self.repeats_answers:
            return _RepeatedResponse(b'answer to ' + body, headers=headers)
        if self.framing is Framing.CHUNKS:
            return Response(b'answer to ' + body, headers=headers)
        return self._respond(self._async_plain_parts(body), headers)

    def _crashes(self, request: Request, body: bytes) -> bool:
        whole = CrashingRequest(
            request.headers.get('tenant', ''),
            str(request.url).removeprefix(str(request.base_url).rstrip('/')),
            body,
        )
        if whole == self.crashing_request:
            return True
        prefix = request.headers.get('prompt-prefix', '')
        names = [entry.partition(':')[0] for entry in prefix.split(',')]
        return bool(self.crashing_part) and self.crashing_part in names

    async def _async_crash(
        self, events: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Crash after the first event."""
        yield await anext(events)
        self.on_crash(self.options.engine)
        await asyncio.Event().wait()

    async def _async_plain_parts(self, body: bytes) -> AsyncIterator[bytes]:
        yield b'answer to '
        if self.break_after_events >= 0:
            raise ConnectionResetError('answer broken on purpose')
        yield body

    def _respond(
        self, parts: AsyncIterator[bytes], headers: Mapping[str, str]
    ) -> Response:
        if self.framing in {Framing.CLOSE, Framing.RESET}:
            resets = self.framing is Framing.RESET
            return _UnframedResponse(parts, headers, resets=resets)
        return StreamingResponse(
            parts, headers=headers, media_type='text/event-stream'
        )

    def _refuse(self, request: Request) -> Response | None:
        if self._is_misdirected(request):
            return _refusal(request, _MISDIRECTED)
        if self.options.fabric_domain:
            group = self.group
            if group is None or group.rank or group.state != 'open':
                return _refusal(request, _MISDIRECTED)
        if self.retry_after:
            fields = {'Retry-After': self.retry_after}
            return _refusal(request, _UNAVAILABLE, **fields)
        if self.running >= self.options.slots * 2:
            return _refusal(request, _UNAVAILABLE)
        return None

    def _is_group_complete(self) -> bool:
        """Return whether every member is live and still in the group."""
        group = self.group
        if group is None:
            return False
        members = [self.peers.get(name) for name in group.members]
        return all(
            member is not None
            and member.alive
            and not member.silent
            and member.group is not None
            and member.group.epoch == group.epoch
            for member in members
        )

    async def _async_events(self, last_event_id: int) -> AsyncIterator[bytes]:
        self.running += 1
        group = self.group
        try:
            for number in range(last_event_id + 1, self.options.events + 1):
                await asyncio.sleep(self.options.token_s)
                while not self._is_group_complete() or self.silent:
                    if self.group is not group and not self.silent:
                        raise ConnectionResetError('the engine left its group')
                    await asyncio.sleep(_POLL_S)
                while number - 1 == self.trickle_after_events:
                    yield b'd'
                    await asyncio.sleep(_TRICKLE_INTERVAL_S)
                if number - 1 == self.break_after_events:
                    yield b'id: %d\nda' % number
                    if self.framing is Framing.CHUNKS_ENDED:
                        return
                    raise ConnectionResetError('stream broken on purpose')
                text = b'id: %d\ndata: word%d' % (number, number)
                yield text.ljust(self.options.event_bytes, b'.') + b'\n\n'
        finally:
            self.running -= 1
