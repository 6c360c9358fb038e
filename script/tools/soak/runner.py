"""Run a fault schedule against daemon processes under load."""

import asyncio
import math
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from itertools import chain
from pathlib import Path
from random import Random
from typing import Any

import attrs

from script.tools.link import Link
from script.tools.soak.guarantees import (
    RequestOutcome,
    find_evacuation_violations,
    find_limit_violations,
    find_violations,
)
from script.tools.soak.schedule import (
    Fault,
    FaultKind,
    ScheduleName,
    draw,
)
from tests.platform import builders
from tests.platform.standin import (
    EngineOptions,
    EngineStandin,
    FleetStandin,
    Framing,
)
from tests.platform.support import (
    Caller,
    KeptConnection,
    free_address,
)
from yuccavalve.adapters.exchange import async_exchange
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError

__all__ = ('Soak',)

_ANY_PORT = '127.0.0.1:0'
_ROOT = Path(__file__).resolve().parents[3]
_DAEMONS = 3
_ENGINES = 7
_EVENTS_PER_STREAM = 8
_DEADLINE_S = 4.0
_MAX_BODY_BYTES = 1048576
_GRACE_PERIOD_S = 4.0
_REQUEST_KINDS = ('stream', 'repeatable', 'once')
# A calm run has two models, and streams that last more than a second.
_SMALL_MODEL = 'm-small'
_CALM_EVENTS = 40
_CALM_TOKEN_S = 0.03
_CALM_ENGINES = 9
# Work and deadline of its other requests; some of them fit into a stop.
_CALM_WORK_S = 0.8
_CALM_DEADLINE_S = 3.0
# How long most streams of a calm run ask for the same model.
_LOAD_MOVES_S = 4.0
_STREAMS_OF_BUSY_MODEL = 0.8
# Limits that one plain server names, and how long daemons may take to learn
# them.
_LIMITS_PER_S = (1, 2, 4)
_LIMIT_KNOWN_S = 3.0
# Zones of a run in which the store returns, the bound within which requests
# keep off an evacuated one, and the age of a copy as a factor.
_ZONES = ('zone-a', 'zone-b')
_EVACUATE_S = 5.0
_MAX_COPY_AGE = 6
_PATHS = {'stream': '/llm/x', 'repeatable': '/get/x', 'once': '/once/x'}


class FaultyLink(Link):
    """A link that can also be delayed, reset and blocked one way."""

    def __init__(self, target: str) -> None:
        super().__init__(target)
        self.delay_s = 0.0
        self.one_way = False
        self._writers: set[asyncio.StreamWriter] = set()

    def reset(self) -> None:
        """Abort all open connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _async_pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        name: str,
    ) -> None:
        self._writers.add(sink)
        # The pump to the target starts first; ``one_way`` blocks the other.
        to_target = len(self._writers) % 2
        try:
            while chunk := await source.read(65536):
                await asyncio.sleep(self.delay_s)
                while self.one_way and not to_target:
                    await asyncio.sleep(0.05)
                await self.async_wait_open(name)
                sink.write(chunk)
                await sink.drain()
        except OSError:
            return
        finally:
            self._writers.discard(sink)
            sink.close()


class Soak:
    """One run of a seed's fault schedule.

    Attributes
    ----------
    calm
        Whether nothing happens that excuses a lost request; load moves
        between two models, so that engines change theirs.
    returns
        Whether the store returns from copies while a zone is evacuated.
    """

    def __init__(
        self,
        seed: int,
        length_s: float,
        folder: Path,
        name: ScheduleName = ScheduleName.ANY,
    ) -> None:
        self.seed = seed
        self.name = name
        self.calm = name is ScheduleName.CALM
        self.returns = name is ScheduleName.RETURNS
        self.length_s = length_s
        self.folder = folder
        self.fleet = FleetStandin()
        self.seen: list[RequestOutcome] = []
        self.reported: list[str] = []
        self._sent: set[str] = set()
        self._processes: list[subprocess.Popen[bytes] | None] = []
        self._links: list[FaultyLink] = []
        self._callers: list[Caller] = []
        self._kept: dict[int, list[KeptConnection]] = {}
        self._settings_texts: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._random = Random(seed)
        self._version = 1
        self._ever_paused: set[int] = set()
        self._log_offsets: dict[int, int] = {}
        self._limited: EngineStandin | None = None
        self._limited_at_s = 0.0
        self._written: dict[str, Any] = {}
        self._evacuated = ''
        self._evacuated_at_s = math.inf

    async def async_run(self) -> list[str]:
        """Run the schedule and return the violated guarantees."""
        await self.fleet.async_start(self._engine_options())
        self._written = self._configuration()
        await self.fleet.async_configure(self._written)
        try:
            await self._async_start_daemons()
            await self._async_run_schedule()
        finally:
            for process in self._processes:
                if process is not None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    process.wait()
            for link in self._links:
                await link.async_close()
            for connection in chain(*self._kept.values()):
                connection.close()
            await self.fleet.async_stop()
        runs = Counter(self.fleet.all_runs)
        return find_violations(
            self.seen,
            runs,
            runs.keys() - self._sent,
            [*self.reported, *self._found()],
            _CALM_EVENTS if self.calm else _EVENTS_PER_STREAM,
            calm=self.calm,
        )

    def _found(self) -> list[str]:
        """Return what engines showed."""
        return [
            *self.fleet.violations,
            *self._over_limit(),
            *find_evacuation_violations(
                self._evacuated,
                self._evacuated_at_s + _EVACUATE_S,
                self.fleet.started,
            ),
        ]

    def _engine_options(self) -> list[EngineOptions]:
        if self.returns:
            return [
                attrs.evolve(
                    each,
                    engine=f'{each.engine}-{zone}',
                    availability_zone=zone,
                    fabric_domain=each.fabric_domain and f'{zone}-d0',
                )
                for zone in _ZONES
                for each in builders.engine_options(count=_ENGINES // 2)
            ]
        if not self.calm:
            return builders.engine_options(count=_ENGINES)
        return [
            attrs.evolve(each, events=_CALM_EVENTS, token_s=_CALM_TOKEN_S)
            if each.fabric_domain
            else attrs.evolve(each, token_s=_CALM_WORK_S)
            for each in builders.engine_options(count=_CALM_ENGINES)
        ]

    def _configuration(self) -> dict[str, Any]:
        if self.calm:
            return builders.two_model_configuration(_SMALL_MODEL)
        return builders.configuration()

    def summary(self) -> str:
        """Return the number of requests by HTTP status."""
        ends = Counter(each.status for each in self.seen)
        return ' '.join(f'{name}:{ends[name]}' for name in sorted(ends))

    async def _async_start_daemons(self) -> None:
        for number in range(_DAEMONS):
            link = FaultyLink(self.fleet.store_address)
            await link.async_start()
            self._links.append(link)
            self._processes.append(None)
            address = free_address()
            self._callers.append(Caller(address, builders.KEY))
            self._settings_texts.append(
                builders.settings_text(
                    {
                        'node': f'front-{number}',
                        'listen.front': address,
                        'listen.ready': _ANY_PORT,
                        'listen.directory': _ANY_PORT,
                        'internal_ports.0': free_address().rpartition(':')[2],
                        'internal_ports.1': free_address().rpartition(':')[2],
                        'platform.address': link.address,
                        'bounds.grace_s': str(_GRACE_PERIOD_S),
                    },
                ).replace('127.0.0.1:9100', _ANY_PORT),
            )
            self._start(number)
        until_s = time.monotonic() + 20
        while time.monotonic() < until_s:
            await self._async_request(0, 'stream', 'warm')
            answered = any(each.status == 200 for each in self.seen)
            if answered and self._has_replicas():
                break
            await asyncio.sleep(0.2)
        else:
            raise AssertionError(
                'no stream was answered before the first fault'
            )
        self.seen.clear()

    def _start(self, number: int) -> None:
        path = self.folder / f'front-{number}.toml'
        path.write_text(self._settings_texts[number])
        log_path = self._log(number)
        self._log_offsets[number] = (
            log_path.stat().st_size if log_path.exists() else 0
        )
        with log_path.open('ab') as log:
            self._processes[number] = subprocess.Popen(
                [sys.executable, 'platform/serve.py'],
                cwd=_ROOT,
                env={**os.environ, 'YUCCAVALVE_NODE_FILE': str(path)},
                stdout=log,
                stderr=log,
            )

    def _log(self, number: int) -> Path:
        return self.folder / f'front-{number}.log'

    def _has_started(self, number: int) -> bool:
        """Return whether the latest process of a daemon has logged its start.

        A SIGTERM that arrives while the interpreter still starts can't be
        handled; such a process has no requests in flight.
        """
        with self._log(number).open('rb') as log:
            log.seek(self._log_offsets[number])
            return b'"event": "started"' in log.read()

    async def _async_run_schedule(self) -> None:
        began_s = time.monotonic()
        if self.name is ScheduleName.ANY:
            self._name_limit(began_s)
        load = asyncio.create_task(self._async_load(began_s))
        for fault in draw(self.name, self.seed, self.length_s):
            await asyncio.sleep(began_s + fault.at_s - time.monotonic())
            self._spawn(self._async_inject(fault))
        await load
        await asyncio.gather(*self._tasks)

    def _name_limit(self, now_s: float) -> None:
        """Let a plain server name a limit for as long as it runs."""
        self._limited = self.fleet.engines[f'p-{self.seed % 2}']
        limit_per_s = _LIMITS_PER_S[self.seed % len(_LIMITS_PER_S)]
        self._limited.limit = str(limit_per_s)
        self._limited_at_s = now_s

    def _over_limit(self) -> list[str]:
        if self._limited is None:
            return []
        known_at_s = self._limited_at_s + _LIMIT_KNOWN_S
        arrivals_s = [
            at_s for at_s in self._limited.arrivals_s if at_s >= known_at_s
        ]
        return find_limit_violations(
            self._limited.options.engine,
            arrivals_s,
            float(self._limited.limit),
        )

    def _spawn(self, work) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_load(self, began_s: float) -> None:
        """Send requests until two seconds after the end of the schedule."""
        pending = []
        number = 0
        while time.monotonic() - began_s < self.length_s + 2:
            number += 1
            kind = self._random.choice(_REQUEST_KINDS)
            daemon = self._random.randrange(_DAEMONS)
            work = self._async_request(daemon, kind, str(number))
            pending.append(asyncio.create_task(work))
            await asyncio.sleep(self._random.uniform(0.01, 0.06))
        await asyncio.gather(*pending)

    async def _async_request(self, daemon: int, kind: str, name: str) -> None:
        request_id = f'{self.seed}-{kind}-{name}-{len(self._sent)}'
        self._sent.add(request_id)
        is_short = self.calm and kind != 'stream'
        deadline_s = _CALM_DEADLINE_S if is_short else _DEADLINE_S
        fields = {'deadline_ms': str(int(deadline_s * 1000))}
        if kind == 'stream':
            fields.update(model=self._model(), token_counts='100,80')
        began_s = time.monotonic()
        status, body, signature, whole = 0, b'', '', False
        call = self._callers[daemon].request(
            'GET' if kind == 'repeatable' else 'POST',
            _PATHS[kind],
            request_id,
            body=request_id.encode(),
            **fields,
        )
        connection = self._take_connection(daemon, kind)
        is_kept = connection is not None and connection.is_open
        try:
            async with asyncio.timeout(_DEADLINE_S + 3):
                if connection is None:
                    answer = await async_exchange(call)
                    status = answer.status
                    headers = dict(answer.headers)
                    body = await answer.async_read_all(_MAX_BODY_BYTES)
                else:
                    received = await connection.async_send(call)
                    status, headers = received.status, received.headers
                    body = received.body
                    self._kept[daemon].append(connection)
                signature = headers.get(b'response-signature', b'').decode()
                whole = True
        except BackendNotReachedError:
            if self.calm:
                # A stopped daemon accepted nothing.
                return
        except (BackendLostError, TimeoutError):
            pass
        late_s = 0.0
        if status and daemon not in self._ever_paused:
            late_s = time.monotonic() - began_s - deadline_s
        self.seen.append(
            RequestOutcome(
                request_id,
                kind,
                status,
                whole,
                body,
                signature,
                late_s,
                is_kept,
            ),
        )

    def _take_connection(self, daemon: int, kind: str) -> KeptConnection | None:
        """Return a connection for one half of the requests without events.

        Callers keep their connections until the daemon closes them.
        """
        if kind == 'stream' or self._random.randrange(2):
            return None
        idle = self._kept.setdefault(daemon, [])
        return idle.pop() if idle else KeptConnection(self._callers[daemon])

    def _has_replicas(self) -> bool:
        """Return whether each model of a calm run has a replica."""
        open_models = {
            engine.group.model
            for engine in self.fleet.engines.values()
            if engine.group is not None and engine.group.state == 'open'
        }
        return not self.calm or len(open_models) == 2

    def _model(self) -> str:
        """Return the model that a stream asks for now."""
        if not self.calm:
            return builders.MODEL
        models = [builders.MODEL, _SMALL_MODEL]
        if time.monotonic() % (2 * _LOAD_MOVES_S) < _LOAD_MOVES_S:
            models.reverse()
        is_busy = self._random.random() < _STREAMS_OF_BUSY_MODEL
        return models[0] if is_busy else models[1]

    async def _async_inject(self, fault: Fault) -> None:
        family = fault.kind.partition('_')[0]
        handlers = {
            'daemon': self._async_daemon,
            'engine': self._async_engine,
            'answers': self._async_answers,
            'store': self._async_store,
            'link': self._async_link,
            'config': self._async_config,
            'zone': self._async_evacuate,
        }
        await handlers[family](fault)

    async def _async_daemon(self, fault: Fault) -> None:
        number = fault.target % _DAEMONS
        process = self._processes[number]
        if process is None:
            return
        if fault.kind is FaultKind.DAEMON_RELOAD:
            process.send_signal(signal.SIGHUP)
        elif fault.kind is FaultKind.DAEMON_PAUSE:
            self._ever_paused.add(number)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            process.send_signal(signal.SIGCONT)
        else:
            self._processes[number] = None
            await self._async_stop_daemon(number, process, fault)
            await asyncio.sleep(fault.duration_s / 3)
            self._start(number)

    async def _async_stop_daemon(
        self,
        number: int,
        process: subprocess.Popen[bytes],
        fault: Fault,
    ) -> None:
        if fault.kind is FaultKind.DAEMON_KILL:
            process.kill()
            process.wait()
            return
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + _GRACE_PERIOD_S + 2
        while process.poll() is None and time.monotonic() < until_s:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            process.kill()
            process.wait()
            if number not in self._ever_paused:
                self.reported.append(
                    f'front-{number} still ran after its grace period'
                )
        elif process.returncode == -signal.SIGTERM:
            if self._has_started(number):
                self.reported.append(f'front-{number} was killed by SIGTERM')
        elif process.returncode not in (0, -signal.SIGKILL):
            code = process.returncode
            self.reported.append(f'front-{number} stopped with status {code}')

    async def _async_engine(self, fault: Fault) -> None:
        names = sorted(self.fleet.engines)
        name = names[fault.target % len(names)]
        engine = self.fleet.engines[name]
        if fault.kind is FaultKind.ENGINE_SILENT:
            engine.silent = True
            await asyncio.sleep(fault.duration_s)
            engine.silent = False
        elif fault.kind is FaultKind.ENGINE_BREAK:
            engine.break_after_events = fault.target % _EVENTS_PER_STREAM
            engine.framing = _broken_framing(engine, fault)
            await asyncio.sleep(fault.duration_s)
            engine.break_after_events = -1
            engine.framing = Framing.CHUNKS
        elif fault.kind is FaultKind.ENGINE_LATE_ORDERS:
            engine.order_delay_s = fault.duration_s
            await asyncio.sleep(fault.duration_s)
            engine.order_delay_s = 0
        else:
            if fault.kind is FaultKind.ENGINE_DRAIN:
                engine.draining = True
                await asyncio.sleep(2.5)
            if engine.alive:
                await self.fleet.async_kill(name)
            await asyncio.sleep(fault.duration_s)
            if self.fleet.engines.get(name, engine) is engine:
                await self.fleet.async_add(engine.options)

    async def _async_answers(self, fault: Fault) -> None:
        engines = [
            each
            for each in self.fleet.engines.values()
            if not each.options.fabric_domain
        ]
        for engine in engines[:1]:
            engine.lose_answers = True
        await asyncio.sleep(fault.duration_s)
        for engine in engines[:1]:
            engine.lose_answers = False

    async def _async_store(self, fault: Fault) -> None:
        faults = self.fleet.store.faults
        if fault.kind is FaultKind.STORE_FORGETS:
            self.fleet.store.forget_history()
            return
        if fault.kind is FaultKind.STORE_RETURN:
            await self._async_return(fault)
            return
        if fault.kind is FaultKind.STORE_SLOW:
            faults.delay_s = 0.2
            await asyncio.sleep(fault.duration_s)
            faults.delay_s = 0
            return
        name = {
            FaultKind.STORE_DOWN: 'down',
            FaultKind.STORE_SILENT: 'silent',
            FaultKind.STORE_LOSES_ANSWERS: 'lose_answers',
        }[fault.kind]
        setattr(faults, name, True)
        await asyncio.sleep(fault.duration_s)
        setattr(faults, name, False)

    async def _async_return(self, fault: Fault) -> None:
        """Let the store return from a copy; the operator writes again."""
        copy = self.fleet.store.take_copy()
        age_s = fault.duration_s * (1 + fault.target % _MAX_COPY_AGE)
        await asyncio.sleep(age_s)
        self.fleet.store.faults.down = fault.target % 2 > 0
        await asyncio.sleep(fault.duration_s / 2)
        self.fleet.return_store_from(copy)
        self.fleet.store.faults.down = False
        await asyncio.sleep(fault.duration_s)
        await self.fleet.async_configure(self._written)
        await asyncio.sleep(fault.duration_s)
        if self._evacuated:
            await self._async_write_evacuation()

    async def _async_evacuate(self, fault: Fault) -> None:
        self._evacuated = _ZONES[fault.target % len(_ZONES)]
        await self._async_write_evacuation()
        self._evacuated_at_s = time.monotonic()

    async def _async_write_evacuation(self) -> None:
        key = f'evacuate/{self._evacuated}'
        await self.fleet.store.async_put('op', key, {})

    async def _async_link(self, fault: Fault) -> None:
        link = self._links[fault.target % _DAEMONS]
        if fault.kind is FaultKind.LINK_RESET:
            link.reset()
        elif fault.kind is FaultKind.LINK_SILENT:
            link.block()
            await asyncio.sleep(fault.duration_s)
            link.unblock()
        elif fault.kind is FaultKind.LINK_ONE_WAY:
            link.one_way = True
            await asyncio.sleep(fault.duration_s)
            link.one_way = False
        else:
            link.delay_s = 0.1
            await asyncio.sleep(fault.duration_s)
            link.delay_s = 0

    async def _async_config(self, fault: Fault) -> None:
        self._version += 1 + fault.target % 5
        changed = {**self._configuration(), 'version': self._version}
        changed['routes'].append(
            builders.route(f'more-{self._version}', f'/more{self._version}/'),
        )
        self._written = changed
        await self.fleet.async_configure(changed)


def _broken_framing(engine: EngineStandin, fault: Fault) -> Framing:
    """Return how an engine marks the end of the answers that it breaks off.

    A plain answer that ends in order without a length can't be told from a
    whole one.
    """
    framings = list(Framing)
    if not engine.options.fabric_domain:
        framings = [Framing.CHUNKS, Framing.RESET]
    return framings[fault.target // _EVENTS_PER_STREAM % len(framings)]
