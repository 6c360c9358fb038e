"""Model of claims: planners race for hosts, pause and lose answers."""

import asyncio
from random import Random

import attrs

from script.tools.prove.stepper import Stepper, SteppedTable
from tests.support.fakes import FakeTable
from yuccavalve.clock import ManualClock
from yuccavalve.configuration import Group
from yuccavalve.exceptions import YuccavalveError
from yuccavalve.membership import Lease, LeaseStep
from yuccavalve.ports import TableStore, Transaction
from yuccavalve.replicas import (
    PlanHost,
    Replica,
    ReplicaEvent,
    ReplicaState,
    ReplicaStore,
)
from yuccavalve.replicas.store import decode_replica

__all__ = ('ClaimsModel',)

_PLANNERS = ('p', 'q', 'r')
_HOSTS = tuple(f'h{number}' for number in range(5))
_HOSTS_PER_REPLICA = 2
_GROUP = Group('pool', 'm', _HOSTS_PER_REPLICA)
_MAX_STEP_S = 0.25
_PAUSE_RATE = 0.004
_MOVES_PER_ROUND = 5


@attrs.define(eq=False)
class _Engine:
    """An engine; a fenced one refuses orders with an older fence."""

    fenced: bool
    fence: int = 0
    refused: int = 0

    def order(self, fence: int) -> None:
        if self.fenced and fence < self.fence:
            self.refused += 1
            return
        self.fence = fence


class _UnconditionalTable(FakeTable):
    """A table that ignores conditions on host, fence and term rows."""

    async def async_transact(self, transaction: Transaction) -> None:
        """Apply the transaction without these conditions."""
        kept = tuple(
            condition
            for condition in transaction.conditions
            if not condition.key.startswith(('host/', 'fence', 'term/'))
        )
        await super().async_transact(Transaction(kept, transaction.writes))


class ClaimsModel:
    """Three planners that claim five hosts through one table."""

    def __init__(self, random: Random, *, check_hosts: bool = True) -> None:
        """Start with all hosts free.

        Without ``check_hosts`` the table ignores the conditions that prevent
        double claims, which the model has to detect.
        """
        self.random = random
        self.clock = ManualClock(1000)
        self.violations: list[str] = []
        self.trace: list[str] = []
        self.claims = 0
        self.takeovers: list[str] = []
        self._table = FakeTable()
        if not check_hosts:
            self._table = _UnconditionalTable()
        self._stepper = Stepper(random)
        self._engines = {
            host: _Engine(fenced=number % 2 == 0)
            for number, host in enumerate(_HOSTS)
        }
        self._last_fence: dict[str, int] = {}

    async def async_run(self, steps: int) -> None:
        """Run a number of steps."""
        tasks = [
            asyncio.create_task(self._async_planner(name)) for name in _PLANNERS
        ]
        for _ in range(steps):
            self.clock.advance(self.random.uniform(0, _MAX_STEP_S))
            if self.random.random() < _PAUSE_RATE:
                self._pause_or_resume()
            await self._stepper.async_step()
            self._check()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _pause_or_resume(self) -> None:
        """Pause the latest lease holder within a call, or resume it."""
        if self._stepper.paused_owner:
            self._stepper.paused_owner = ''
        elif self.takeovers:
            self._stepper.paused_owner = self.takeovers[-1]

    async def _async_planner(self, name: str) -> None:
        lease = Lease('planner', name)
        port = SteppedTable(self._table, self._stepper, name)
        store = ReplicaStore(port)
        rank = _PLANNERS.index(name)
        while True:
            try:
                await self._async_round(lease, store, rank)
            except YuccavalveError as error:
                self._record(f'{name}: {error}')
            await asyncio.sleep(0)

    async def _async_round(
        self,
        lease: Lease,
        store: ReplicaStore,
        rank: int,
    ) -> None:
        await self._async_contend(store.table, lease, rank)
        term = lease.term_condition
        if term is None or not lease.is_held(self.clock.now_s()):
            return
        for _ in range(_MOVES_PER_ROUND):
            replicas = await store.async_list()
            if replicas and self.random.random() < 0.6:
                await self._async_advance(lease, store, replicas)
            else:
                await self._async_claim(lease, store)

    async def _async_contend(
        self,
        port: TableStore,
        lease: Lease,
        rank: int,
    ) -> None:
        await self._async_observe(port, lease)
        step = lease.step(self.clock.now_s(), rank)
        if step is LeaseStep.WAIT:
            return
        sent_at_s = self.clock.now_s()
        await port.async_transact(lease.transaction(step))
        await self._async_observe(port, lease)
        lease.record_applied(sent_at_s)
        if step is LeaseStep.ACQUIRE:
            self.takeovers.append(lease.member)

    async def _async_observe(self, port: TableStore, lease: Lease) -> None:
        rows = await port.async_read([lease.key, lease.term_key])
        lease.observe(rows, self.clock.now_s())

    async def _async_claim(self, lease: Lease, store: ReplicaStore) -> None:
        names = self.random.sample(_HOSTS, _HOSTS_PER_REPLICA)
        hosts = tuple(PlanHost(name, name, 'd') for name in names)
        claimed = await store.async_claim(lease.term_condition, _GROUP, hosts)
        if claimed is None:
            return
        self.claims += 1
        self._record(f'{lease.member} claims {claimed.replica} {names}')
        self._order(claimed)

    async def _async_advance(
        self,
        lease: Lease,
        store: ReplicaStore,
        replicas: list[Replica],
    ) -> None:
        record = self.random.choice(replicas)
        event = {
            ReplicaState.FORMING: ReplicaEvent.ORDERED,
            ReplicaState.LOADING: ReplicaEvent.VERIFIED,
            ReplicaState.SERVING: ReplicaEvent.HOST_LOST,
        }.get(record.state, ReplicaEvent.RELEASE)
        if event is ReplicaEvent.ORDERED:
            self._order(record)
        await store.async_advance(lease.term_condition, record, event)

    def _order(self, record: Replica) -> None:
        for host in record.hosts:
            self._engines[host.host].order(record.incarnation)

    def _check(self) -> None:
        """Check the invariants.

        No host is in two replicas, host rows name the replica of the host,
        and the fence of a fenced engine never decreases.
        """
        holders: dict[str, str] = {}
        for key, row in self._table.rows.items():
            if not key.startswith('replica/'):
                continue
            record = decode_replica(row.fields)
            for host in record.hosts:
                other = holders.setdefault(host.host, record.replica)
                if other != record.replica:
                    self._violate(
                        f'{host.host} in both {other} and {record.replica}',
                    )
                host_row = self._table.rows[f'host/{host.host}']
                if host_row.fields['replica'] != record.replica:
                    self._violate(f'row of {host.host} names another')
        for host, engine in self._engines.items():
            earlier = self._last_fence.get(host, 0)
            if engine.fenced and engine.fence < earlier:
                self._violate(f'{host}: fence decreased')
            self._last_fence[host] = engine.fence

    def _violate(self, text: str) -> None:
        self.violations.append(f'{self.clock.now_s():.2f}: {text}')

    def _record(self, text: str) -> None:
        self.trace.append(f'{self.clock.now_s():.2f} {text}')
