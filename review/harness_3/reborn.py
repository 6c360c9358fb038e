"""A plain engine that starts again while it is cut off from the store."""

import asyncio
import socket
import struct
import time

import attrs
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from review.harness_3.deployment import Deployment
from tests.platform.standin import EngineStandin
from yuccavalve.serving import HttpServer, bind_socket

__all__ = ('Life', 'RebornEngine')

_MISSED_BEATS = 3
_POLL_S = 0.01
_READ_BYTES = 65536


@attrs.define
class Life:
    """One start of the engine behind a cut."""

    started_at_s: float
    cold_until_s: float
    listed_at_s: float
    requests_s: list[float]


@attrs.define(eq=False)
class RebornEngine:
    """The engine behind a proxy at an address that stays the same.

    Attributes
    ----------
    beat_s
        Time between the engine's writes to the store.
    """

    deployment: Deployment
    name: str
    cold_s: float
    beat_s: float
    lives: list[Life] = attrs.field(factory=list)
    _target: str = ''
    _server: HttpServer | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def async_install(self) -> None:
        """Put the proxy in front of the engine."""
        engine = self.deployment.fleet.engines[self.name]
        self._target = engine.address
        server = await asyncio.start_server(self._async_accept, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        engine.address = f'127.0.0.1:{port}'
        _add_health(engine)

    async def async_cut(
        self, cut_s: float, started_after: float, after_beat_s: float
    ) -> None:
        """Cut the engine off from the store; it starts again meanwhile.

        It writes to the store when it starts, and then at each check-in
        interval; what it writes during the cut is lost. Requests reach it all
        the time. The entry of its last start is removed after three intervals
        of silence.

        Parameters
        ----------
        started_after
            Part of the cut after which the engine starts.
        after_beat_s
            Time between its last write and the cut.
        """
        fleet = self.deployment.fleet
        record = self.deployment.record
        old = fleet.engines[self.name]
        beat_at_s = await self._async_beat()
        await asyncio.sleep(after_beat_s)
        fleet.engines.pop(self.name)
        record.add(
            f'{self.name} is cut off from the store, '
            f'{time.monotonic() - beat_at_s:.3f} s after its last write'
        )
        expiry = asyncio.create_task(
            self._async_expire(beat_at_s + _MISSED_BEATS * self.beat_s)
        )
        await asyncio.sleep(cut_s * started_after)
        engine = await self._async_start_again(old)
        started_at_s = time.monotonic()
        engine.cold_until_s = started_at_s + self.cold_s
        record.add(f'{self.name} has started again behind the cut')
        await asyncio.sleep(cut_s * (1 - started_after))
        record.add(f'{self.name} reaches the store again')
        since_s = time.monotonic() - started_at_s
        await asyncio.sleep(self.beat_s - since_s % self.beat_s)
        expiry.cancel()
        fleet.engines[self.name] = engine
        fleet.started.append(engine)
        listed_at_s = time.monotonic()
        record.add(f'{self.name} writes its entry')
        self.lives.append(
            Life(
                started_at_s,
                engine.cold_until_s,
                listed_at_s,
                engine.requests_s,
            )
        )

    async def _async_beat(self) -> float:
        """Wait for the engine's next write; return its time."""
        store = self.deployment.fleet.store
        sequence = store.document('servers', self.name)['seq']
        while store.document('servers', self.name)['seq'] == sequence:
            await asyncio.sleep(_POLL_S)
        return time.monotonic()

    async def _async_expire(self, at_s: float) -> None:
        """Remove the entry of the last start."""
        await asyncio.sleep(max(0, at_s - time.monotonic()))
        await self.deployment.fleet.store.async_remove('servers', self.name)
        self.deployment.record.add(f'the entry of {self.name} has expired')

    async def _async_start_again(self, old: EngineStandin) -> EngineStandin:
        """Start the engine under its id and at its address."""
        fleet = self.deployment.fleet
        old.alive = False
        engine = EngineStandin(old.options, fleet.engines)
        engine.all_runs = fleet.all_runs
        engine.violations = fleet.violations
        engine.ready_epochs = fleet.ready_epochs
        engine.address = old.address
        _add_health(engine)
        self._server = HttpServer(
            engine.application, bind_socket('127.0.0.1:0')
        )
        await self._server.async_start()
        self._target = self._server.address
        for writer in self._writers:
            _reset(writer)
        self._writers.clear()
        return engine

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        host, _, port = self._target.rpartition(':')
        upstream = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            _async_pump(reader, upstream[1], writer),
            _async_pump(upstream[0], writer, upstream[1]),
        )
        self._writers.discard(writer)


def _add_health(engine: EngineStandin) -> None:
    """Let the engine answer its health path, and say there that it is cold."""

    async def _async_health(request: Request) -> Response:
        headers = {'Instance-Id': engine.options.engine}
        if engine.cold_left_ms():
            headers['Cold-Ms'] = str(engine.cold_left_ms())
        return Response(headers=headers)

    engine.application.routes.insert(0, Route('/health', _async_health))


async def _async_pump(
    source: asyncio.StreamReader,
    sink: asyncio.StreamWriter,
    back: asyncio.StreamWriter,
) -> None:
    try:
        while chunk := await source.read(_READ_BYTES):
            sink.write(chunk)
            await sink.drain()
    except OSError:
        _reset(sink)
        _reset(back)
    finally:
        sink.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()
