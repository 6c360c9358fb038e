"""Duty that forms, verifies, drains and releases replicas."""

import asyncio
from collections import Counter
from typing import assert_never

import attrs
from absl import logging

from yuccavalve.daemon.broadcast import async_revoke
from yuccavalve.daemon.host_watch import HostWatch
from yuccavalve.daemon.node import Node
from yuccavalve.daemon.verify_loop import async_probe
from yuccavalve.exceptions import (
    EngineRefusedError,
    EngineUnreachableError,
    StoreUnavailableError,
)
from yuccavalve.membership import Lease
from yuccavalve.ports import (
    Condition,
    EngineOrder,
    EngineStatus,
    HostListing,
    OrderKind,
)
from yuccavalve.replicas import (
    Drain,
    Form,
    Move,
    PlanHost,
    PlanInput,
    Release,
    Replica,
    ReplicaEvent,
    ReplicaPlanner,
    ReplicaState,
)
from yuccavalve.replicas.const import DRAIN_IDLE_S, MAX_CONCURRENT_LOADS
from yuccavalve.replicas.models import Planner

__all__ = ('PlannerDuty',)

_LOAD_TIMEOUT_S = 900.0
_COUNTED_STATES = frozenset(
    (ReplicaState.FORMING, ReplicaState.LOADING, ReplicaState.SERVING),
)


@attrs.define
class PlannerDuty:
    """Carries out the planner's moves while the lease is held."""

    node: Node
    planner: Planner = ReplicaPlanner()
    _listings: dict[str, HostListing] = attrs.field(factory=dict)
    _state_since_s: dict[tuple[str, ReplicaState], float] = attrs.field(
        factory=dict,
    )
    _short_since_s: dict[str, float] = attrs.field(factory=dict)
    _watch: HostWatch = attrs.field(init=False)

    @_watch.default
    def _new_watch(self) -> HostWatch:
        return HostWatch(self.node)

    async def async_run_once(self, lease: Lease) -> None:
        """Advance the state of known replicas, then carry out new moves."""
        term = lease.term_condition
        if term is None:
            return
        node = self.node
        await self._async_list_hosts()
        records = await node.replica_store.async_list()
        now_s = node.clock.now_s()
        node.replicas.merge(records, now_s)
        wanted = node.adoption.configuration.document.wanted_replicas()
        node.usage.record(records, wanted, now_s)
        self._forget_except({record.replica for record in records})
        await asyncio.gather(
            *(
                self._async_update_replica(lease, term, record)
                for record in records
            ),
        )
        await self._async_plan(lease, term)

    def reset(self) -> None:
        """Discard state that another lease holder may have invalidated."""
        self.node.usage.pause()
        self._watch.reset()
        self._short_since_s = {}

    def _forget_except(self, replicas: set[str]) -> None:
        self._state_since_s = {
            key: since_s
            for key, since_s in self._state_since_s.items()
            if key[0] in replicas
        }
        self._watch.forget_except(replicas)

    async def _async_list_hosts(self) -> None:
        try:
            listings = await self.node.platform.hosts.async_list()
        except StoreUnavailableError as error:
            logging.info('host list not read: %s', error)
            return
        self._listings = {listing.host: listing for listing in listings}

    async def _async_update_replica(
        self,
        lease: Lease,
        term: Condition,
        record: Replica,
    ) -> None:
        """Advance a replica's state by the status of its hosts."""
        if record.state is ReplicaState.FORMING:
            await self._async_order_load(lease, term, record)
            return
        if record.state is ReplicaState.DRAINING:
            await self._async_check_drain(term, record)
            return
        if self._watch.has_recent_grant(record):
            return
        statuses = await async_probe(self.node, record)
        if self._watch.is_lost(record, statuses):
            await self._async_mark_broken(term, record)
        elif record.state is ReplicaState.LOADING:
            await self._async_verify(term, record, statuses)

    async def _async_order_load(
        self,
        lease: Lease,
        term: Condition,
        record: Replica,
    ) -> None:
        orders = [
            EngineOrder(
                kind=OrderKind.LOAD,
                fence=record.incarnation,
                replica=record.replica,
                model=record.model,
                rank=rank,
                slots=record.slots,
                peer_addresses=tuple(host.address for host in record.hosts),
            )
            for rank in range(len(record.hosts))
        ]
        if not lease.is_held(self.node.clock.now_s()):
            return
        try:
            await asyncio.gather(
                *(
                    self.node.platform.engines.async_order(host.address, order)
                    for host, order in zip(record.hosts, orders, strict=True)
                ),
            )
        except (EngineUnreachableError, EngineRefusedError) as error:
            logging.warning(
                'replica=%s load order failed: %s', record.replica, error
            )
            await self._async_advance(term, record, ReplicaEvent.HOST_LOST)
            return
        await self._async_advance(term, record, ReplicaEvent.ORDERED)

    async def _async_verify(
        self,
        term: Condition,
        record: Replica,
        statuses: list[EngineStatus | None],
    ) -> None:
        """Put a replica into service once all of its hosts are ready."""
        if not all(status is not None and status.ready for status in statuses):
            await self._async_check_load_timeout(term, record)
            return
        verified = attrs.evolve(
            record,
            hosts=tuple(
                attrs.evolve(host, boot=status.boot if status else '')
                for host, status in zip(record.hosts, statuses, strict=True)
            ),
        )
        await self._async_advance(term, verified, ReplicaEvent.VERIFIED)

    async def _async_check_load_timeout(
        self, term: Condition, record: Replica
    ) -> None:
        """Abandon a replica whose load exceeds the timeout."""
        now_s = self.node.clock.now_s()
        since_s = self._state_since_s.setdefault(
            (record.replica, record.state),
            now_s,
        )
        if now_s - since_s > _LOAD_TIMEOUT_S:
            await self._async_advance(term, record, ReplicaEvent.HOST_LOST)

    async def _async_check_drain(
        self,
        term: Condition,
        record: Replica,
    ) -> None:
        """Release a draining replica once its head engine stays idle."""
        await async_revoke(self.node, record, broken=False)
        statuses = await async_probe(self.node, record)
        head = statuses[0]
        busy = head is not None and head.load.running + head.load.queued > 0
        key = (record.replica, record.state)
        now_s = self.node.clock.now_s()
        if busy:
            self._state_since_s[key] = now_s
        idle_s = now_s - self._state_since_s.setdefault(key, now_s)
        if idle_s >= DRAIN_IDLE_S:
            await self._async_release(term, record)

    async def _async_mark_broken(
        self, term: Condition, record: Replica
    ) -> None:
        logging.warning('replica=%s is broken', record.replica)
        await async_revoke(self.node, record, broken=True)
        await self._async_advance(term, record, ReplicaEvent.HOST_LOST)

    async def _async_plan(self, lease: Lease, term: Condition) -> None:
        document = self.node.adoption.configuration.document
        moves = self.planner.plan(
            PlanInput(
                hosts=self._plan_hosts(),
                replicas=tuple(self.node.replicas.all_records()),
                groups=document.groups,
                wanted=document.wanted_replicas(),
                max_loading=MAX_CONCURRENT_LOADS,
                missing_s=self._missing_s(document.wanted_replicas()),
                settled=self._is_settled(),
            ),
        )
        for move in moves:
            if not lease.is_held(self.node.clock.now_s()):
                return
            await self._async_move(lease, term, move)

    def _is_settled(self) -> bool:
        adoption = self.node.adoption
        return adoption.is_accepted(adoption.version, self.node.clock.now_s())

    def _missing_s(self, wanted: dict[str, int]) -> dict[str, float]:
        """Return for how many seconds each group has lacked replicas."""
        now_s = self.node.clock.now_s()
        counted = Counter(
            record.group
            for record in self.node.replicas.all_records()
            if record.state in _COUNTED_STATES
        )
        short = {name for name in wanted if counted[name] < wanted[name]}
        self._short_since_s = {
            name: self._short_since_s.get(name, now_s) for name in short
        }
        return {
            name: now_s - since_s
            for name, since_s in self._short_since_s.items()
        }

    def _plan_hosts(self) -> dict[str, PlanHost]:
        now_s = self.node.clock.now_s()
        document = self.node.adoption.configuration.document
        plain_addresses = document.plain_addresses()
        return {
            name: PlanHost(
                name,
                listing.address,
                listing.fabric_domain,
                listing.state,
            )
            for name, listing in self._listings.items()
            if self._watch.is_usable(name, now_s)
            and listing.address not in plain_addresses
        }

    async def _async_move(
        self,
        lease: Lease,
        term: Condition,
        move: Move,
    ) -> None:
        node = self.node
        match move:
            case Form():
                await self._async_form(lease, term, move)
            case Drain():
                record = node.replicas.get(move.replica)
                if record is not None:
                    await async_revoke(node, record, broken=False)
                    await self._async_advance(
                        term,
                        record,
                        ReplicaEvent.DRAIN,
                    )
            case Release():
                record = node.replicas.get(move.replica)
                if record is not None:
                    await self._async_release(term, record)
            case _:
                assert_never(move)

    async def _async_form(
        self,
        lease: Lease,
        term: Condition,
        move: Form,
    ) -> None:
        document = self.node.adoption.configuration.document
        group = document.group(move.group)
        if group is None:
            return
        hosts = self._plan_hosts()
        chosen = [hosts[name] for name in move.hosts if name in hosts]
        reachable = await asyncio.gather(
            *(self._async_is_reachable(host) for host in chosen),
        )
        if len(chosen) < len(move.hosts) or not all(reachable):
            return
        claimed = await self.node.replica_store.async_claim(
            term,
            group,
            tuple(chosen),
        )
        if claimed is None:
            return
        logging.info('replica=%s formed', claimed.replica)
        self.node.replicas.merge([claimed], self.node.clock.now_s())
        await self._async_order_load(lease, term, claimed)

    async def _async_is_reachable(self, host: PlanHost) -> bool:
        """Probe a host before it is claimed, since the host list lags."""
        try:
            await self.node.platform.engines.async_status(host.address)
        except EngineUnreachableError:
            self._watch.record_unreachable(host.host)
            return False
        return True

    async def _async_release(self, term: Condition, record: Replica) -> None:
        released = await self._async_advance(
            term,
            record,
            ReplicaEvent.RELEASE,
        )
        if released is None:
            return
        order = EngineOrder(kind=OrderKind.RELEASE, fence=record.incarnation)
        for host in record.hosts:
            try:
                await self.node.platform.engines.async_order(
                    host.address,
                    order,
                )
            except (EngineUnreachableError, EngineRefusedError) as error:
                logging.info(
                    'host=%s release order failed: %s', host.host, error
                )

    async def _async_advance(
        self,
        term: Condition,
        record: Replica,
        event: ReplicaEvent,
    ) -> Replica | None:
        node = self.node
        updated = await node.replica_store.async_advance(
            term,
            record,
            event,
        )
        if updated is not None:
            logging.info(
                'replica=%s state=%s',
                updated.replica,
                updated.state,
            )
            node.replicas.merge([updated], node.clock.now_s())
        return updated
