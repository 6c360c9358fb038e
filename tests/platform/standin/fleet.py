"""Stand-in store and engines on free local ports, in one process."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from yuccavalve.serving import HttpServer, bind_socket
from tests.platform.standin.engines import (
    CrashingRequest,
    EngineOptions,
    EngineStandin,
)
from tests.platform.standin.store import StoreCopy, StoreStandin

__all__ = ('FleetStandin',)

_ANY_PORT_ADDRESS = '127.0.0.1:0'
_SWEEP_INTERVAL_S = 0.02
_ENGINE_TABLE = 'servers'
_RESTART_S = 0.3


class FleetStandin:
    """Starts and kills engines and keeps their records in the store.

    Attributes
    ----------
    all_runs
        Ids of the requests that began to run on any engine, in order.
    violations
        Broken rules that the engines detected.
    ready_epochs
        Engines and epochs in which they were ready to serve.
    crashes_on_join
        Whether an order to join a group crashes engines that are added.
    started
        All engines that were started, also those that have ended.
    crashed
        Names of the engines that crashed, in order.
    """

    def __init__(self, heartbeat_s: float = 0.4) -> None:
        """Create an empty store; records are renewed each ``heartbeat_s``."""
        self.store = StoreStandin()
        self.engines: dict[str, EngineStandin] = {}
        self.store_address = ''
        self.all_runs: list[str] = []
        self.violations: list[str] = []
        self.ready_epochs: set[tuple[str, int]] = set()
        self.crashed: list[str] = []
        self.started: list[EngineStandin] = []
        self.crashes_on_join = False
        self._crashing_part = ''
        self._crashing_request: CrashingRequest | None = None
        self._restarts: set[asyncio.Task[None]] = set()
        self._heartbeat_s = heartbeat_s
        self._servers: dict[str, HttpServer] = {}
        self._store_server: HttpServer | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._sequence = 0
        # Last written record of a live engine, missed heartbeats of a dead one.
        self._published: dict[str, Any] = {}
        # Missed heartbeats of entries that the store's return brought back.
        self._expired: dict[str, int] = {}

    async def async_start(
        self,
        options: Iterable[EngineOptions],
        address: str = _ANY_PORT_ADDRESS,
    ) -> None:
        """Start the store and the engines."""
        listener = bind_socket(address)
        self._store_server = HttpServer(self.store.application, listener)
        await self._store_server.async_start()
        self.store_address = self._store_server.address
        for each in options:
            await self.async_add(each)
        self._heartbeats = asyncio.create_task(self._async_keep_records())

    async def async_add(self, options: EngineOptions) -> EngineStandin:
        """Start one engine."""
        engine = EngineStandin(options, self.engines)
        engine.all_runs = self.all_runs
        engine.violations = self.violations
        engine.ready_epochs = self.ready_epochs
        engine.crashing_part = self._crashing_part
        engine.crashing_request = self._crashing_request
        engine.crashes_on_join = self.crashes_on_join
        engine.on_crash = self._crash
        server = HttpServer(engine.application, bind_socket(_ANY_PORT_ADDRESS))
        await server.async_start()
        engine.address = server.address
        self._servers[options.engine] = server
        self.engines[options.engine] = engine
        self.started.append(engine)
        return engine

    async def async_kill(self, name: str) -> None:
        """Kill an engine; its record is removed after missed heartbeats."""
        engine = self.engines[name]
        engine.alive = False
        await self._servers.pop(name).async_abort()

    def set_crashing_part(self, part: str) -> None:
        """Let a part of prompts crash all engines, also later ones."""
        self._crashing_part = part
        for engine in self.engines.values():
            engine.crashing_part = part

    def set_crashing_request(self, crashing: CrashingRequest | None) -> None:
        """Let a whole request crash all engines, also later ones."""
        self._crashing_request = crashing
        for engine in self.engines.values():
            engine.crashing_request = crashing

    def _crash(self, name: str) -> None:
        restart = asyncio.create_task(self._async_restart(name))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _async_restart(self, name: str) -> None:
        """Kill an engine and start it again under another name."""
        if name not in self._servers:
            return
        self.crashed.append(name)
        options = self.engines[name].options
        await self.async_kill(name)
        await asyncio.sleep(_RESTART_S)
        renamed = f'{name.partition(".")[0]}.{len(self.crashed)}'
        await self.async_add(attrs.evolve(options, engine=renamed))

    async def async_configure(self, configuration: Mapping[str, Any]) -> None:
        """Write the operator's configuration."""
        await self.store.async_put('op', 'config', configuration)

    async def async_stop(self) -> None:
        """Abort all engines and the store."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for restart in self._restarts:
            restart.cancel()
        for server in self._servers.values():
            await server.async_abort()
        if self._store_server is not None:
            await self._store_server.async_abort()

    def return_store_from(self, copy: StoreCopy) -> None:
        """Let the store return from a copy; heartbeats write entries again.

        Entries of engines that have left since expire after missed heartbeats.
        """
        self.store.return_from(copy)
        for name in self.store.keys(_ENGINE_TABLE):
            if name not in self.engines:
                self._expired[name] = 0

    async def _async_expire_returned(self) -> None:
        for name, missed in list(self._expired.items()):
            self._expired[name] = missed + 1
            if missed >= 3:
                self._expired.pop(name)
                await self.store.async_remove(_ENGINE_TABLE, name)

    async def _async_keep_records(self) -> None:
        """Write changed records at once, others at each heartbeat."""
        sweeps = 0
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            sweeps += 1
            heartbeat_due = (
                sweeps % max(1, int(self._heartbeat_s / _SWEEP_INTERVAL_S)) == 0
            )
            for name, engine in list(self.engines.items()):
                await self._async_write_record(
                    name, engine, heartbeat_due=heartbeat_due
                )
            if heartbeat_due:
                await self._async_expire_returned()

    async def _async_write_record(
        self,
        name: str,
        engine: EngineStandin,
        *,
        heartbeat_due: bool,
    ) -> None:
        if not engine.alive:
            await self._async_expire(name, engine, heartbeat_due=heartbeat_due)
            return
        entry = engine.store_record(0)
        # The time left passes with each heartbeat.
        entry['cold_left_ms'] = bool(entry['cold_left_ms'])
        if entry != self._published.get(name) or heartbeat_due:
            self._published[name] = entry
            self._sequence += 1
            renewed = engine.store_record(self._sequence)
            await self.store.async_put(_ENGINE_TABLE, name, renewed)

    async def _async_expire(
        self,
        name: str,
        engine: EngineStandin,
        *,
        heartbeat_due: bool,
    ) -> None:
        missed = self._published.get(name)
        if not isinstance(missed, int):
            self._published[name] = 0
        elif heartbeat_due and missed >= 3:
            self.engines.pop(name)
            await self.store.async_remove(_ENGINE_TABLE, name)
        elif heartbeat_due:
            self._published[name] = missed + 1
