"""Model of grants: hosts die and restart while daemons probe and route."""

import heapq
import itertools
from collections.abc import Callable
from random import Random

import attrs

from yuccavalve.clock import ManualClock
from yuccavalve.configuration import AdoptionState
from yuccavalve.const import GRANT_LIFETIME_S
from yuccavalve.daemon.verify_loop import is_host_of
from yuccavalve.load import Demands
from yuccavalve.membership import Member, Roster
from yuccavalve.peers.peer_state import PeerState
from yuccavalve.ports import EngineStatus
from yuccavalve.replicas import (
    Grant,
    GrantTable,
    Replica,
    ReplicaHost,
    ReplicaState,
    ReplicaTable,
)

__all__ = ('GrantsModel',)

_NAMES = ('a', 'b', 'c', 'd')
_VERIFIERS = 2
_MAX_STEP_S = 0.4
_MAX_DELAY_S = 3.0


@attrs.define(eq=False)
class _Engine:
    host: str
    boot: int = 1
    fence: int = 1
    replica: str = 'pool-1'
    alive: bool = True

    def status(self) -> EngineStatus:
        return EngineStatus(
            self.host,
            str(self.boot),
            True,
            self.fence,
            self.replica,
            0,
            'm',
            True,
        )


class GrantsModel:
    """One replica of three hosts; four daemons, two of them verifiers."""

    def __init__(self, random: Random, *, check_boot: bool = True) -> None:
        """Start with a live replica.

        Without ``check_boot`` verifiers accept a restarted host, which the
        model has to detect.
        """
        self.random = random
        self.clock = ManualClock(1000)
        self.violations: list[str] = []
        self.trace: list[str] = []
        self.routed = 0
        self._check_boot = check_boot
        self._engines = [_Engine(f'h{number}') for number in range(3)]
        self._replica = Replica(
            'pool-1',
            'pool',
            'm',
            1,
            4,
            ReplicaState.SERVING,
            tuple(
                ReplicaHost(engine.host, engine.host, 'd', '1')
                for engine in self._engines
            ),
        )
        self._broken_at_s: float | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._states = [self._state(name) for name in _NAMES]
        self._unreachable: set[int] = set()

    async def async_run(self, steps: int) -> None:
        """Run a number of steps; the replica breaks once and stays broken."""
        break_at = self.random.randrange(steps // 4, steps // 2)
        for step in range(steps):
            self.clock.advance(self.random.uniform(0, _MAX_STEP_S))
            while self._events and self._events[0][0] <= self.clock.now_s():
                heapq.heappop(self._events)[2]()
            if step == break_at:
                self._kill_host()
            elif self._broken_at_s and self.random.random() < 0.05:
                self._restart_hosts()
            self._take_action()
            self._check()

    def _state(self, name: str) -> PeerState:
        member = Member(name, name, 'r', 'z', name, name)
        table = ReplicaTable()
        table.merge([self._replica], 0)
        return PeerState(
            Roster(member),
            AdoptionState(name),
            GrantTable(),
            table,
            Demands(),
            self.clock,
            self.random,
        )

    def _take_action(self) -> None:
        kind = self.random.random()
        if kind < 0.35:
            self._probe(self.random.randrange(_VERIFIERS))
        elif kind < 0.95:
            self._pull()
        else:
            self._unreachable = {
                index
                for index in range(len(_NAMES))
                if self.random.random() < 0.3
            }

    def _schedule(self, call: Callable[[], None]) -> None:
        delay_s = self.random.random() ** 3 * _MAX_DELAY_S
        entry = (self.clock.now_s() + delay_s, next(self._sequence), call)
        heapq.heappush(self._events, entry)

    def _probe(self, verifier: int) -> None:
        sent_at_s = self.clock.now_s()
        answers: dict[str, EngineStatus] = {}

        def arrive(engine: _Engine) -> None:
            if engine.alive:
                status = engine.status()
                self._schedule(lambda: answer(engine.host, status))

        def answer(host: str, status: EngineStatus) -> None:
            answers[host] = status
            if len(answers) == len(self._engines):
                self._evaluate(verifier, sent_at_s, answers)

        for engine in self._engines:
            self._schedule(lambda engine=engine: arrive(engine))

    def _evaluate(
        self,
        verifier: int,
        sent_at_s: float,
        answers: dict[str, EngineStatus],
    ) -> None:
        grants = self._states[verifier].grants
        for host in self._replica.hosts:
            expected = host
            if not self._check_boot:
                expected = attrs.evolve(host, boot='')
            if not is_host_of(answers[host.host], self._replica, expected):
                grants.revoke('pool-1', 1, broken=True)
                return
        grants.offer(Grant('pool-1', 1, sent_at_s))

    def _pull(self) -> None:
        puller, peer = self.random.sample(range(len(_NAMES)), 2)
        if puller in self._unreachable or peer in self._unreachable:
            return
        sent_at_s = self.clock.now_s()
        request = self._states[puller].request()

        def arrive() -> None:
            reply = self._states[peer].reply(request)
            self._schedule(
                lambda: self._states[puller].apply_reply(reply, sent_at_s)
            )

        self._schedule(arrive)

    def _kill_host(self) -> None:
        engine = self.random.choice(self._engines)
        engine.alive = False
        self._broken_at_s = self.clock.now_s()
        self.trace.append(f'{self._broken_at_s:.2f} {engine.host} dies')

    def _restart_hosts(self) -> None:
        """Restart dead hosts.

        Half of them report the old replica again, as after a late order to
        an engine without fencing.
        """
        for engine in self._engines:
            if not engine.alive:
                engine.alive = True
                engine.boot += 1
                if self.random.random() < 0.5:
                    engine.fence = 0
                    engine.replica = ''

    def _check(self) -> None:
        now_s = self.clock.now_s()
        for name, state in zip(_NAMES, self._states, strict=True):
            if state.grants.current('pool-1', 1, now_s) is None:
                continue
            self.routed += 1
            broken_at_s = self._broken_at_s
            if broken_at_s and now_s - broken_at_s > GRANT_LIFETIME_S:
                self.violations.append(
                    f'{now_s:.2f}: {name} routes, broken at {broken_at_s:.2f}',
                )
