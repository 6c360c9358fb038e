"""Processes of the relay benchmark: engine, splice, bare proxy, callers.

Each is run as ``python -m script.tools.benches.relay_parts ROLE ...`` and
prints one JSON line: servers their address, callers their measurements.
"""

import argparse
import asyncio
import heapq
import json
import sys
import time
import uuid
from typing import Any

import aiosonic
import httptools
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import StreamingResponse
from starlette.routing import Route

from yuccavalve.serving import HttpServer, bind_socket

_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%06d "}}]}\n\n'
_DONE = b'data: [DONE]\n\n'
_TICK_S = 0.002
_WARM_UP_S = 2.0


def _chunk(body: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(body), body)


class EngineConnection(asyncio.Protocol):
    """Serves the minimal HTTP for control calls and token streams."""

    def __init__(self, engine: 'BenchEngine') -> None:
        self.engine = engine
        self.transport: Any = None
        self.closed = False
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._body = b''
        self.tokens = 0
        self.sent = 0
        self.interval_s = 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._body = b''

    def on_url(self, url: bytes) -> None:
        self._url = url

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if self._url == b'/v1/chat/completions':
            self._begin_stream(json.loads(self._body))
            return
        document = json.dumps(self.engine.control(self._url, self._body))
        self.transport.write(
            b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
            b'content-length: %d\r\n\r\n%b'
            % (len(document), document.encode()),
        )

    def _begin_stream(self, body: dict[str, Any]) -> None:
        self.tokens = body['max_tokens']
        self.interval_s = float(body.get('interval_s', 0.02))
        self.transport.write(
            b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
            b'transfer-encoding: chunked\r\nx-incarnation: %d\r\n'
            b'connection: close\r\n\r\n' % self.engine.fence,
        )
        self.engine.schedule(self, time.monotonic())

    def send_token(self) -> bool:
        """Write one token; return whether more follow."""
        if self.closed:
            return False
        self.sent += 1
        if self.sent <= self.tokens:
            self.transport.write(_chunk(_EVENT % self.sent))
            return True
        self.transport.write(_chunk(_DONE) + b'0\r\n\r\n')
        self.transport.close()
        return False


class BenchEngine:
    """Writes each token separately, at its scheduled time."""

    def __init__(self) -> None:
        self.boot = uuid.uuid4().hex
        self.fence = 0
        self.replica = ''
        self._scheduled: list[tuple[float, int, EngineConnection]] = []
        self._count = 0

    def control(self, url: bytes, body: bytes) -> dict[str, Any]:
        """Answer a status call or accept an order."""
        if url == b'/v1/orders':
            order = json.loads(body)
            self.fence = order['fence']
            self.replica = order['replica']
            return {}
        if url != b'/v1/status':
            return {}
        return {
            'host': 'bench',
            'boot': self.boot,
            'fabric_domain': 'd',
            'fenced': True,
            'fence': self.fence,
            'replica': self.replica,
            'rank': 0,
            'model': 'm',
            'ready': True,
            'load': {'running': 0, 'queued': 0, 'slots': 4096, 'age_s': 1},
        }

    def schedule(self, connection: EngineConnection, at_s: float) -> None:
        """Schedule a stream's next token."""
        self._count += 1
        heapq.heappush(self._scheduled, (at_s, self._count, connection))

    async def async_run(self) -> None:
        """Write each token at its scheduled time."""
        while True:
            now_s = time.monotonic()
            while self._scheduled and self._scheduled[0][0] <= now_s:
                at_s, _, connection = heapq.heappop(self._scheduled)
                if connection.send_token():
                    self.schedule(connection, at_s + connection.interval_s)
            await asyncio.sleep(_TICK_S)


async def async_engine(arguments: argparse.Namespace) -> None:
    """Run the engine; send heartbeats to the platform if one is given."""
    engine = BenchEngine()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: EngineConnection(engine),
        '127.0.0.1',
        0,
        backlog=1024,
    )
    address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
    print(json.dumps({'address': address}), flush=True)
    if arguments.platform:
        asyncio.create_task(_async_send_heartbeats(arguments, address))
    await engine.async_run()


async def _async_send_heartbeats(
    arguments: argparse.Namespace, address: str
) -> None:
    from yuccavalve.adapters.http import HttpJsonClient

    caller = HttpJsonClient(2, arguments.key)
    while True:
        await caller.async_post(
            arguments.platform,
            '/hosts/beat',
            {
                'host': 'bench',
                'address': address,
                'fabric_domain': 'd',
                'availability_zone': 'z',
                'accelerators': 8,
            },
        )
        await asyncio.sleep(1)


class Splice(asyncio.Protocol):
    """One end of a splice, which copies bytes between two connections."""

    def __init__(self, target: Any = None) -> None:
        self.other: Any = target
        self.transport: Any = None
        self.buffered = b''

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.buffered += data
        else:
            self.other.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.other is not None:
            self.other.close()


async def async_splice(arguments: argparse.Namespace) -> None:
    """Splice each connection to a connection to the engine."""
    host, port = arguments.target.split(':')
    loop = asyncio.get_running_loop()

    class CallerSide(Splice):
        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            loop.create_task(self.async_connect())

        async def async_connect(self) -> None:
            backend, _ = await loop.create_connection(
                lambda: Splice(self.transport),
                host,
                int(port),
            )
            self.other = backend
            backend.write(self.buffered)

    server = await loop.create_server(CallerSide, '127.0.0.1', 0, backlog=1024)
    bound_port = server.sockets[0].getsockname()[1]
    print(json.dumps({'address': f'127.0.0.1:{bound_port}'}), flush=True)
    await server.serve_forever()


async def async_bare(arguments: argparse.Namespace) -> None:
    """Proxy requests with Starlette and aiosonic alone."""
    pool = PoolConfig(size=4096, max_conn_requests=0)
    client = aiosonic.HTTPClient(
        connector=aiosonic.TCPConnector(pool_configs={':default': pool}),
    )

    async def async_pass(request: Request) -> StreamingResponse:
        response = await client.post(
            f'http://{arguments.target}/v1/chat/completions',
            data=await request.body(),
            headers={'content-type': 'application/json'},
            timeouts=Timeouts(5, 600, None, 600),
        )
        return StreamingResponse(
            response.read_chunks(),
            media_type='text/event-stream',
        )

    application = Starlette(
        routes=[Route('/v1/chat/completions', async_pass, methods=['POST'])],
    )
    server = HttpServer(application, bind_socket('127.0.0.1:0'))
    await server.async_start()
    print(json.dumps({'address': server.address}), flush=True)
    await asyncio.Event().wait()


class CallerConnection(asyncio.Protocol):
    """Sends one request and measures the times of its tokens."""

    def __init__(self, request: bytes, measurements: 'Measurements') -> None:
        self._request = request
        self._measurements = measurements
        self._previous_at_s = 0.0
        self._sent_at_s = 0.0
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self._sent_at_s = time.monotonic()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        tokens = data.count(b'}\n\n')
        if not tokens:
            return
        now_s = time.monotonic()
        if self._previous_at_s:
            self._measurements.record_tokens(
                now_s, now_s - self._previous_at_s, tokens
            )
        else:
            self._measurements.first_s.append(now_s - self._sent_at_s)
        self._previous_at_s = now_s

    def connection_lost(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


class Measurements:
    """Measurements of all callers; tokens count after the warm-up."""

    def __init__(self) -> None:
        self.warm_until_s = time.monotonic() + _WARM_UP_S
        self.first_s: list[float] = []
        self.gaps_s: list[float] = []
        self.tokens = 0

    def record_tokens(self, now_s: float, gap_s: float, tokens: int) -> None:
        """Record tokens received in one read; all but the first have gap 0."""
        if now_s < self.warm_until_s:
            return
        self.tokens += tokens
        self.gaps_s.append(gap_s)
        self.gaps_s.extend([0.0] * (tokens - 1))


def request_bytes(arguments: argparse.Namespace) -> bytes:
    """Return the request that every caller sends."""
    body = json.dumps(
        {
            'model': 'pool',
            'messages': [{'role': 'user', 'content': 'bench'}],
            'max_tokens': arguments.tokens,
            'interval_s': arguments.interval_s,
            'stream': True,
        },
    ).encode()
    return (
        b'POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n'
        b'authorization: Bearer bench-key\r\nx-deadline-s: 600\r\n'
        b'content-type: application/json\r\nconnection: close\r\n'
        b'content-length: %d\r\n\r\n%b' % (len(body), body)
    )


async def async_callers(arguments: argparse.Namespace) -> None:
    """Open streams, evenly spread over one interval, and measure them."""
    measurements = Measurements()
    host, port = arguments.target.split(':')
    loop = asyncio.get_running_loop()
    request = request_bytes(arguments)
    pending = []
    for _ in range(arguments.streams):
        _, connection = await loop.create_connection(
            lambda: CallerConnection(request, measurements),
            host,
            int(port),
        )
        pending.append(connection.done)
        if arguments.in_turn:
            await connection.done
        else:
            await asyncio.sleep(arguments.interval_s / arguments.streams)
    if not arguments.in_turn:
        await asyncio.sleep(max(0, arguments.run_s - arguments.interval_s))
    print(
        json.dumps(
            {
                'tokens': measurements.tokens,
                'gap_p95_ms': _quantile_ms(measurements.gaps_s),
                'gap_deciles_ms': [
                    _quantile_ms(measurements.gaps_s, tenth / 10)
                    for tenth in range(1, 10)
                ],
                'first_p95_ms': _quantile_ms(measurements.first_s),
                'first_p50_ms': _quantile_ms(measurements.first_s, 0.5),
            },
        ),
        flush=True,
    )


def _quantile_ms(samples_s: list[float], quantile: float = 0.95) -> float:
    if not samples_s:
        return -1
    ordered = sorted(samples_s)
    return round(ordered[int(quantile * (len(ordered) - 1))] * 1000, 3)


def main() -> None:
    """Run one role."""
    parser = argparse.ArgumentParser()
    parser.add_argument('role')
    parser.add_argument('--target', default='')
    parser.add_argument('--platform', default='')
    parser.add_argument('--key', default='')
    parser.add_argument('--streams', type=int, default=1)
    parser.add_argument('--tokens', type=int, default=100000)
    parser.add_argument('--interval-s', type=float, default=0.02)
    parser.add_argument('--run-s', type=float, default=5)
    parser.add_argument('--in-turn', action='store_true')
    arguments = parser.parse_args()
    roles = {
        'engine': async_engine,
        'splice': async_splice,
        'bare': async_bare,
        'callers': async_callers,
    }
    asyncio.run(roles[arguments.role](arguments))


if __name__ == '__main__':
    sys.exit(main())
