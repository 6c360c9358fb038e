"""Model of a store that returns from a copy at any step.

Daemons read and write through the platform's adapter. Each of their calls
reaches the store at one step and is answered at a later one, so that requests
and answers may cross a return; daemons are paused over returns and tell each
other what they know.
"""

import asyncio
import base64
import itertools
import json
from collections.abc import Mapping
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs

import tests.platform  # noqa: F401 puts the adapter on the path
from script.tools.prove.stepper import Fate, Stepper
from yuccavalve.clock import ManualClock
from yuccavalve.eras import FIRST_STATED_ERA, EraWatch
from yuccavalve.evacuation import (
    EvacuationNews,
    EvacuationReading,
    EvacuationState,
)
from yuccavalve.exceptions import (
    FeedHistoryLostError,
    StoreUnavailableError,
    TransactionConflictError,
)
from yuccavalve.fleet.view import FleetView
from yuccavalve.membership.lease import Lease, LeaseStep
from yuccavalve.ports.fleet import EngineChanges
from yuccavalve.ports.position import NOWHERE, Position
from yuccavalve_platform.client import JsonReply, UnansweredError
from yuccavalve_platform.store import EngineRows, RoutingRows, StoreTable

__all__ = ('ReturnsModel',)

_DAEMONS = 3
_ZONES = ('a', 'b')
_ENGINES = ('i-0', 'i-1', 'i-2')
_MAX_STEP_S = 0.08
_LEASE_S = 2.0
_MARGIN_S = 0.4
_LOST_VERSIONS = 12
_SETTLE_ROUNDS = 40
_SETTLE_STEP_S = 0.3
_Key = tuple[str, str]


class _DeafWatch(EraWatch):
    """Takes all answers as being of one era."""

    def place(
        self, sent_from: Position, stated: int | None, version: int | None
    ) -> int:
        return 0

    def record_peer(self, era: int) -> None:
        """Heed no era."""


class _Store:
    """Rows and history of the store; ``states_era`` adds the header."""

    def __init__(self, *, states_era: bool) -> None:
        self.version = 1
        self.era = 1
        self.rows: dict[_Key, tuple[Any, int]] = {}
        self.history: list[tuple[int, _Key]] = []
        self._states_era = states_era

    def write(self, table: str, key: str, document: Any) -> None:
        """Write a row, or remove it without a document."""
        self._apply([((table, key), document)])

    def position(self) -> Position:
        """Return the position as daemons that heed stated eras know it."""
        return Position(self.era * FIRST_STATED_ERA, self.version)

    def copy(self) -> tuple[int, dict[_Key, Any], list[Any]]:
        return self.version, dict(self.rows), list(self.history)

    def restore(self, copy: tuple[int, dict[_Key, Any], list[Any]]) -> None:
        self.version, rows, history = copy
        self.rows, self.history = dict(rows), list(history)
        self.era += 1

    def answer(self, target: str, body: Any) -> JsonReply:
        path, query = urlsplit(target).path, parse_qs(urlsplit(target).query)
        if path == '/-/rows-tx':
            return self._transact(body)
        table = query['table'][0]
        if path == '/-/rows-get':
            keys = [key for key in sorted(self.rows) if key[0] == table]
            return self._reply([self._row(key) for key in keys])
        after = int(query['after'][0])
        if after > self.version:
            return self._reply([], 410)
        changed = [key for at, key in self.history if at > after]
        mine = [key for key in dict.fromkeys(changed) if key[0] == table]
        return self._reply([self._row(key) for key in mine])

    def _transact(self, body: Any) -> JsonReply:
        for each in body['expected']:
            _, version = self.rows.get((each['table'], each['key']), (None, 0))
            if version != each['ver']:
                return self._reply([], 412)
        self._apply(
            ((each['table'], each['key']), _decoded(each['value']))
            for each in body['set_keys']
        )
        return self._reply([])

    def _apply(self, writes: Any) -> None:
        self.version += 1
        for key, document in writes:
            self.history.append((self.version, key))
            if document is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (document, self.version)

    def _row(self, key: _Key) -> dict[str, Any]:
        if key not in self.rows:
            return {'key': key[1], 'is_gone': True, 'ver': self.version}
        document, version = self.rows[key]
        text = base64.b64encode(json.dumps(document).encode()).decode()
        return {'key': key[1], 'value': text, 'ver': version}

    def _reply(self, rows: list[Any], status: int = 200) -> JsonReply:
        fields = ((b'store-era', str(self.era).encode()),)
        return JsonReply(
            status,
            {'ver': self.version, 'rows': rows},
            fields if self._states_era else (),
        )


def _decoded(text: str) -> Any:
    return json.loads(base64.b64decode(text))


@attrs.frozen
class _Client:
    """Calls to the store whose request and answer each wait for a step."""

    store: _Store
    stepper: Stepper
    owner: str

    async def async_call(
        self,
        address: str,
        method: str,
        target: str,
        timeout_s: float,
        body: Any = None,
    ) -> JsonReply:
        fate = await self.stepper.async_wait(self.owner)
        if fate is Fate.REFUSE:
            raise UnansweredError('refused', sent=False)
        if fate is Fate.APPLY_LATE and method == 'POST':
            asyncio.ensure_future(self._async_apply_late(target, body))
            raise UnansweredError('timed out', sent=True)
        reply = self.store.answer(target, body)
        if await self.stepper.async_wait(self.owner) is Fate.LOSE_ANSWER:
            raise UnansweredError('answer lost', sent=True)
        return reply

    async def _async_apply_late(self, target: str, body: Any) -> None:
        await self.stepper.async_wait()
        self.store.answer(target, body)


@attrs.define(eq=False)
class _Daemon:
    """What one daemon knows, and its loops."""

    name: str
    clock: ManualClock
    table: StoreTable
    lease: Lease = attrs.field(init=False)
    view: FleetView = attrs.field(factory=FleetView)
    evacuations: EvacuationState = attrs.field(factory=EvacuationState)
    _position: Position = NOWHERE
    _is_view_read: bool = False

    @lease.default
    def _new_lease(self) -> Lease:
        return Lease('planner', self.name, _LEASE_S, _MARGIN_S)

    def __attrs_post_init__(self) -> None:
        self.eras.listeners.append(self._begin_era)

    @property
    def eras(self) -> EraWatch:
        return self.table.eras

    def is_held(self) -> bool:
        return self.lease.is_held(self.clock.now_s())

    def tell(self, other: '_Daemon') -> None:
        """Tell another daemon what this one knows, as updates do."""
        now_s = self.clock.now_s()
        other.eras.record_peer(self.eras.era)
        if self.evacuations.is_known:
            state = self.evacuations
            other.evacuations.apply_news(
                EvacuationNews(
                    state.position.version,
                    state.listed,
                    state.confirmed_at_s,
                    state.position.era,
                    dict(state.marks.told()),
                )
            )
        if self.view.version:
            records = {each.engine: each for each in self.view.records()}
            place = self.view.position
            other.view.apply_relayed(
                EngineChanges(place.version, dict(records), True, place.era),
                min(now_s, self.view.read_at_s),
            )

    async def async_read_routes(self) -> None:
        feed = RoutingRows(self.table.calls)
        try:
            if self._position == NOWHERE:
                reading = await feed.async_read()
            else:
                reading = await feed.async_wait(self._position, 0)
        except FeedHistoryLostError:
            self._position = NOWHERE
            return
        self._position = reading.position
        self.evacuations.apply_reading(
            EvacuationReading(
                reading.feed_version,
                reading.evacuated,
                reading.is_complete,
                reading.era,
            ),
            self.clock.now_s(),
        )

    async def async_read_engines(self) -> None:
        feed = EngineRows(self.table.calls)
        try:
            if self._is_view_read:
                changes = await feed.async_changes(self.view.position)
            else:
                changes = await feed.async_read()
        except FeedHistoryLostError:
            self._is_view_read = False
            return
        except StoreUnavailableError:
            self._is_view_read = False
            raise
        self._is_view_read = True
        self.view.apply(changes, self.clock.now_s())

    async def async_plan(self) -> None:
        if not self.is_held():
            keys = [self.lease.key, self.lease.term_key]
            rows = await self.table.async_read(keys)
            self.lease.observe(rows, self.clock.now_s())
        now_s = self.clock.now_s()
        step = self.lease.step(now_s, 0)
        if step is LeaseStep.WAIT:
            return
        try:
            version = await self.table.async_transact(
                self.lease.transaction(step)
            )
        except TransactionConflictError:
            self.lease.forfeit()
        else:
            self.lease.record_applied(now_s, step, version)

    def _begin_era(self, era: int) -> None:
        if self.eras.is_first:
            self.lease.era = era
        else:
            self.lease.begin_era(era, self.clock.now_s())


class ReturnsModel:
    """Daemons, engines and an operator before a store that returns.

    Attributes
    ----------
    returns
        How often the store has returned.
    """

    def __init__(
        self,
        random: Random,
        *,
        states_era: bool = True,
        heeds_era: bool = True,
    ) -> None:
        """Start with an empty store.

        Without ``heeds_era`` answers count as being of the first era, which
        the model has to detect.
        """
        self.random = random
        self.clock = ManualClock(1000)
        self.violations: list[str] = []
        self.trace: list[str] = []
        self.returns = 0
        self._stepper = Stepper(random)
        self._store = _Store(states_era=states_era)
        self._states_era = states_era
        self._daemons = [
            self._new_daemon(f'd{number}', heeds_era=heeds_era)
            for number in range(_DAEMONS)
        ]
        self._evacuated: set[str] = set()
        self._draining: set[str] = set()
        self._sequences = itertools.count(1)
        self._known: set[tuple[str, str]] = set()
        self._written_at: dict[str, Position] = {}
        self._copies = [self._store.copy()]
        for engine in _ENGINES:
            self._write_engine(engine)

    def _new_daemon(self, name: str, *, heeds_era: bool) -> _Daemon:
        client: Any = _Client(self._store, self._stepper, name)
        table = StoreTable.from_address(client, '', 1)
        if not heeds_era:
            calls = attrs.evolve(table.calls, eras=_DeafWatch())
            table = attrs.evolve(table, calls=calls)
        return _Daemon(name, self.clock, table)

    async def async_run(self, steps: int) -> None:
        """Run the loops for some steps, then let everything settle."""
        tasks = [
            asyncio.create_task(self._async_loop(loop))
            for daemon in self._daemons
            for loop in (
                daemon.async_read_routes,
                daemon.async_read_engines,
                daemon.async_plan,
            )
        ]
        try:
            for _ in range(steps):
                self.clock.advance(self.random.uniform(0, _MAX_STEP_S))
                self._disturb()
                await self._stepper.async_step()
                self._check()
            await self._async_settle()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_loop(self, loop: Any) -> None:
        while True:
            try:
                await loop()
            except StoreUnavailableError:
                await self._stepper.async_wait()
            await asyncio.sleep(0)

    def _disturb(self) -> None:
        """Let the operator, engines, daemons or the store do something."""
        kind = self.random.random()
        names = [each.name for each in self._daemons]
        if kind < 0.02:
            self._toggle(self.random.choice(_ZONES))
        elif kind < 0.06:
            self._write_engine(self.random.choice(_ENGINES))
        elif kind < 0.07:
            self._drain(self.random.choice(_ENGINES))
        elif kind < 0.09:
            self._stepper.paused_owner = self.random.choice([*names, ''])
        elif kind < 0.3:
            teller, hearer = self.random.sample(self._daemons, 2)
            if self._stepper.paused_owner not in {teller.name, hearer.name}:
                teller.tell(hearer)
        elif kind < 0.34:
            self._copies = [*self._copies[-3:], self._store.copy()]
        elif kind < 0.355:
            self._return()

    def _toggle(self, zone: str) -> None:
        self._note(f'operator toggles {zone}')
        key = f'evacuate/{zone}'
        if zone in self._evacuated:
            self._evacuated.discard(zone)
            self._known -= {(each.name, zone) for each in self._daemons}
            self._store.write('op', key, None)
        else:
            self._evacuated.add(zone)
            self._store.write('op', key, {})
            self._written_at[zone] = self._store.position()

    def _drain(self, engine: str) -> None:
        self._draining.add(engine)
        self._write_engine(engine)

    def _write_engine(self, engine: str) -> None:
        state = 'draining' if engine in self._draining else 'ready'
        entry = {
            'service': 'llm',
            'address': '10.0.0.1:1',
            'zone': 'a',
            'state': state,
            'slots': 1,
            'born': 1000,
            'seq': next(self._sequences),
        }
        self._store.write('servers', engine, entry)

    def _return(self) -> None:
        copy = self.random.choice(self._copies)
        if self._store.version - copy[0] > _LOST_VERSIONS:
            return
        self.returns += 1
        self._note(f'store returns from {self._store.version} to {copy[0]}')
        self._store.restore(copy)

    def _note(self, text: str) -> None:
        self.trace.append(f'{self.clock.now_s():.2f} {text}')

    def _check(self) -> None:
        """Check what always holds.

        A return that is not stated may go unnoticed until another daemon
        tells of it, so little is promised then.
        """
        if not self._states_era:
            return
        holders = [each.name for each in self._daemons if each.is_held()]
        if len(holders) > 1:
            self.violations.append(f'several planners: {holders}')
        for daemon in self._daemons:
            for zone in self._evacuated:
                is_known = zone in daemon.evacuations.zones
                self._check_kept(
                    daemon, zone, is_known, self._has_read(daemon, zone)
                )
            for engine in self._draining:
                record = daemon.view.engine(engine)
                if record is not None:
                    self._check_kept(
                        daemon, engine, record.draining, record.draining
                    )

    def _has_read(self, daemon: _Daemon, zone: str) -> bool:
        """Return whether a daemon knows what was written last for a zone."""
        written_at = self._written_at[zone]
        position = daemon.evacuations.position
        return position.era == written_at.era and position >= written_at

    def _check_kept(
        self, daemon: _Daemon, subject: str, is_known: bool, is_read: bool
    ) -> None:
        """Check that what a daemon has once read stays known to it."""
        key = (daemon.name, subject)
        if is_known and is_read:
            self._known.add(key)
        elif key in self._known and not is_known:
            self.violations.append(f'{daemon.name} forgot of {subject}')

    async def _async_settle(self) -> None:
        """Let the operator and engines write again; check that all agree."""
        self._stepper.paused_owner = ''
        self._stepper.fault_rate = 0
        await self._async_rounds()
        for zone in _ZONES:
            # A removal alone may come before the daemons have read.
            self._store.write('op', f'evacuate/{zone}', {})
        await self._async_rounds()
        for zone in set(_ZONES) - self._evacuated:
            self._store.write('op', f'evacuate/{zone}', None)
        for engine in _ENGINES:
            self._write_engine(engine)
        await self._async_rounds()
        expected: Mapping[str, set[str]] = {
            each.name: self._evacuated for each in self._daemons
        }
        found = {
            each.name: set(each.evacuations.zones) for each in self._daemons
        }
        if found != expected:
            self.violations.append(f'zones {found}, expected {expected}')
        if not any(each.is_held() for each in self._daemons):
            self.violations.append('no daemon plans')

    async def _async_rounds(self) -> None:
        for _ in range(_SETTLE_ROUNDS):
            self.clock.advance(_SETTLE_STEP_S)
            for _ in range(len(self._daemons) * 6):
                await self._stepper.async_step()
            for teller, hearer in itertools.permutations(self._daemons, 2):
                teller.tell(hearer)
            self._check()
