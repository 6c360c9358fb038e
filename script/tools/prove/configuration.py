"""Model of the configuration: commits, partitions, pauses and restarts."""

import heapq
import itertools
import uuid
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from tests.support.fakes import FakeTable
from yuccavalve.clock import ManualClock
from yuccavalve.configuration import (
    AdoptionState,
    Configuration,
    ConfigurationStore,
)
from yuccavalve.configuration.commit import Change
from yuccavalve.const import CONFIG_MAX_LAG_S
from yuccavalve.exceptions import YuccavalveError
from yuccavalve.load import Demands
from yuccavalve.membership import Member, Roster
from yuccavalve.membership.electorate import next_electorate
from yuccavalve.peers.peer_state import PeerState
from yuccavalve.replicas import GrantTable, ReplicaTable

__all__ = ('ConfigurationModel',)

_DAEMON_REGIONS = (
    ('a', 'r1'),
    ('b', 'r1'),
    ('c', 'r1'),
    ('x', 'r2'),
    ('y', 'r2'),
    ('z', 'r2'),
)
_MAX_STEP_S = 0.5
_MAX_DELAY_S = 2.0


@attrs.define(eq=False)
class _Daemon:
    """A daemon of the model."""

    name: str
    state: PeerState
    paused: bool = False
    store_unreachable: bool = False
    side: int = 0
    alive: bool = True

    @property
    def adoption(self) -> AdoptionState:
        return self.state.adoption


class ConfigurationModel:
    """Six daemons in two regions that share one table service."""

    def __init__(
        self,
        random: Random,
        *,
        accept_at_commit: bool = False,
    ) -> None:
        """Start with an empty table.

        With ``accept_at_commit`` a version counts as accepted at its commit,
        before the voters have it, which the model has to detect.
        """
        self.random = random
        self.clock = ManualClock(1000)
        self.violations: list[str] = []
        self.trace: list[str] = []
        self.admitted = 0
        self._accept_at_commit = accept_at_commit
        self._table = FakeTable()
        self._store = ConfigurationStore(self._table, backoff_s=0)
        self._accepted_at_s: dict[int, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._daemons = [
            self._new_daemon(name, region) for name, region in _DAEMON_REGIONS
        ]

    async def async_run(self, steps: int) -> None:
        """Run a number of steps."""
        actions = (
            (self._async_pull, 12),
            (self._async_poll, 5),
            (self._async_commit, 1),
            (self._async_electorate, 2),
            (self._async_partition, 0.4),
            (self._async_store_fault, 0.4),
            (self._async_pause, 0.4),
            (self._async_restart, 0.2),
        )
        for _ in range(steps):
            self.clock.advance(self.random.uniform(0, _MAX_STEP_S))
            self._deliver()
            action = self.random.choices(
                [entry[0] for entry in actions],
                [entry[1] for entry in actions],
            )[0]
            await action()
            self._record_accepted()
            self._check()

    def _new_daemon(self, name: str, region: str) -> _Daemon:
        member = Member(
            f'{name}-{self.random.getrandbits(32)}',
            name,
            region,
            region,
            name,
            name,
        )
        state = PeerState(
            Roster(member),
            AdoptionState(name),
            GrantTable(),
            ReplicaTable(),
            Demands(),
            self.clock,
            self.random,
        )
        return _Daemon(name, state)

    def _deliver(self) -> None:
        while self._events and self._events[0][0] <= self.clock.now_s():
            heapq.heappop(self._events)[2]()

    def _schedule(self, call: Callable[[], None]) -> None:
        delay_s = self.random.random() ** 3 * _MAX_DELAY_S
        entry = (self.clock.now_s() + delay_s, next(self._sequence), call)
        heapq.heappush(self._events, entry)

    def _running(self) -> list[_Daemon]:
        return [daemon for daemon in self._daemons if not daemon.paused]

    async def _async_pull(self) -> None:
        if len(self._running()) < 2:
            return
        puller, peer = self.random.sample(self._running(), 2)
        if puller.side != peer.side:
            return
        sent_at_s = self.clock.now_s()
        request = puller.state.request()

        def arrive() -> None:
            if peer.paused or not peer.alive or puller.side != peer.side:
                return
            reply = peer.state.reply(request)
            configuration = peer.adoption.configuration
            self._schedule(lambda: answer(reply, configuration))

        def answer(reply: Any, configuration: Configuration) -> None:
            if puller.paused or not puller.alive:
                return
            wanted = puller.state.apply_reply(reply, sent_at_s)
            if wanted.configuration:
                puller.adoption.adopt(configuration)
                puller.state.apply_reply(reply, sent_at_s)

        self._schedule(arrive)

    async def _async_poll(self) -> None:
        if not self._running():
            return
        daemon = self.random.choice(self._running())
        if daemon.store_unreachable or self._table.down:
            return
        sent_at_s = self.clock.now_s()
        head = await self._store.async_head()
        configuration = await self._store.async_load(head.version)

        def answer() -> None:
            if daemon.paused or not daemon.alive:
                return
            if daemon.adoption.observe_local_read(head.version, sent_at_s):
                daemon.adoption.adopt(configuration)
                daemon.adoption.observe_local_read(head.version, sent_at_s)

        self._schedule(answer)

    async def _async_commit(self) -> None:
        if not self._running():
            return
        daemon = self.random.choice(self._running())
        if daemon.store_unreachable or self._table.down:
            return
        self._table.answers_to_lose = self.random.choice((0, 0, 0, 1, 2))
        change = Change(self._change_id(), 'o', '', _unchanged)
        try:
            committed = await self._store.async_commit(change)
        except YuccavalveError:
            return
        finally:
            self._table.answers_to_lose = 0
        daemon.adoption.adopt(committed)
        if self._accept_at_commit:
            self._accepted_at_s[committed.version] = self.clock.now_s()

    def _change_id(self) -> str:
        return uuid.UUID(int=self.random.getrandbits(128)).hex

    async def _async_electorate(self) -> None:
        if not self._running():
            return
        daemon = self.random.choice(self._running())
        if daemon.store_unreachable or self._table.down:
            return
        now_s = self.clock.now_s()
        adoption = daemon.adoption
        current = adoption.configuration.electorate
        live = daemon.state.roster.live(now_s)
        names = {member.name for member in live}
        proposed = next_electorate(
            current,
            accepted=adoption.is_accepted(adoption.version, now_s),
            candidates=live,
            dead={
                voter.name
                for voter in current.voters
                if voter.name not in names
            },
        )
        if proposed is None:
            return
        committed = await self._store.async_commit_electorate(
            adoption.configuration,
            proposed,
            self._change_id(),
        )
        if committed is not None:
            adoption.adopt(committed)

    async def _async_partition(self) -> None:
        """Partition the daemons at random or by region, or heal."""
        kind = self.random.choice(('heal', 'heal', 'random', 'region'))
        for daemon in self._daemons:
            daemon.side = 0
            if kind == 'random':
                daemon.side = self.random.randrange(2)
            elif kind == 'region':
                daemon.side = int(
                    daemon.state.roster.local_member.region == 'r2'
                )
            daemon.store_unreachable = daemon.side == 1
        self._record(f'partition: {kind}')

    async def _async_store_fault(self) -> None:
        self._table.down = self.random.random() < 0.4
        self._record(f'store down: {self._table.down}')

    async def _async_pause(self) -> None:
        daemon = self.random.choice(self._daemons)
        daemon.paused = not daemon.paused and self.random.random() < 0.5
        self._record(f'{daemon.name} paused: {daemon.paused}')

    async def _async_restart(self) -> None:
        index = self.random.randrange(len(self._daemons))
        self._daemons[index].alive = False
        name, region = _DAEMON_REGIONS[index]
        fresh = self._new_daemon(name, region)
        fresh.side = self._daemons[index].side
        fresh.store_unreachable = self._daemons[index].store_unreachable
        self._daemons[index] = fresh
        self._record(f'{name} restarted')

    def _record_accepted(self) -> None:
        if self._accept_at_commit:
            return
        now_s = self.clock.now_s()
        for daemon in self._running():
            version = daemon.adoption.version
            if version in self._accepted_at_s:
                continue
            if daemon.adoption.is_accepted(version, now_s):
                self._accepted_at_s[version] = now_s
                self._record(f'{daemon.name} sees version {version} accepted')

    def _check(self) -> None:
        now_s = self.clock.now_s()
        overdue = max(
            (
                version
                for version, at_s in self._accepted_at_s.items()
                if now_s - at_s > CONFIG_MAX_LAG_S
            ),
            default=0,
        )
        for daemon in self._running():
            if not daemon.adoption.is_fresh(now_s):
                continue
            self.admitted += 1
            if daemon.adoption.version < overdue:
                self.violations.append(
                    f'{now_s:.2f}: {daemon.name} admits under version '
                    f'{daemon.adoption.version}, {overdue} was accepted',
                )

    def _record(self, text: str) -> None:
        self.trace.append(f'{self.clock.now_s():.2f} {text}')


def _unchanged(document):  # type: ignore[no-untyped-def]
    return document
