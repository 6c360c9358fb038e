"""Probe the hosts of replicas and grant replicas that are complete.

Two members, chosen by rendezvous hashing, verify each replica. They need no
lease, since evidence from two members does no harm. Two members, chosen in
the same way, watch the host list for hosts that leave.
"""

import asyncio

import attrs
from absl import logging

from yuccavalve.const import PROBE_PERIOD_S
from yuccavalve.daemon.broadcast import async_revoke
from yuccavalve.daemon.node import Node
from yuccavalve.exceptions import (
    EngineUnreachableError,
    StoreUnavailableError,
)
from yuccavalve.hashing import rendezvous_order
from yuccavalve.ports import EngineStatus, HostState
from yuccavalve.ratelimit import backend_id
from yuccavalve.replicas import Grant, Replica, ReplicaHost, ReplicaState
from yuccavalve.timing import jittered

__all__ = ('VerifyLoop', 'async_probe', 'is_host_of')

_VERIFIERS = 2
_WATCHERS = 2
_HOST_LIST_KEY = 'host-list'
_SERVED = frozenset((ReplicaState.SERVING, ReplicaState.DRAINING))


def is_host_of(
    status: EngineStatus,
    replica: Replica,
    host: ReplicaHost,
) -> bool:
    """Return whether a status is that of the given host of a replica.

    A host that restarted after it was verified reports another boot id.
    """
    return (
        status.host == host.host
        and status.fence == replica.incarnation
        and status.replica == replica.replica
        and (not host.boot or status.boot == host.boot)
    )


async def async_probe(
    node: Node,
    replica: Replica,
) -> list[EngineStatus | None]:
    """Return the status of each host, None for one without an answer."""

    async def async_status(  # noqa: WPS430
        host: ReplicaHost,
    ) -> EngineStatus | None:
        if host is replica.hosts[0]:
            node.limiter.record_spent(
                backend_id(replica.replica, replica.incarnation)
            )
        try:
            return await node.platform.engines.async_status(host.address)
        except EngineUnreachableError:
            return None

    return await asyncio.gather(*map(async_status, replica.hosts))


@attrs.define
class VerifyLoop:
    """Grants and revokes the replicas that this member verifies."""

    node: Node
    _live_members: list[str] = attrs.field(factory=list)
    _responsible: dict[str, bool] = attrs.field(factory=dict)

    async def async_run(self) -> None:
        """Verify until cancelled."""
        while True:
            try:
                await self._async_round()
            except Exception:
                logging.exception('verification round failed')
            await asyncio.sleep(jittered(self.node.random, PROBE_PERIOD_S))

    def _update_live_members(self) -> None:
        """Reset the responsibilities when the live members change."""
        now_s = self.node.clock.now_s()
        live = [member.member for member in self.node.roster.live(now_s)]
        if live != self._live_members:
            self._live_members = live
            self._responsible = {}

    async def _async_round(self) -> None:
        self._update_live_members()
        records = [
            record
            for record in self.node.replicas.all_records()
            if record.state in _SERVED
        ]
        assigned = [
            record
            for record in records
            if self._is_responsible(record.replica, _VERIFIERS)
        ]
        await asyncio.gather(*map(self._async_verify, assigned))
        if self._is_responsible(_HOST_LIST_KEY, _WATCHERS):
            await self._async_watch_hosts(records)

    def _is_responsible(self, key: str, count: int) -> bool:
        responsible = self._responsible.get(key)
        if responsible is None:
            chosen = rendezvous_order(key, self._live_members)[:count]
            responsible = self.node.local_member.member in chosen
            self._responsible[key] = responsible
        return responsible

    async def _async_verify(self, replica: Replica) -> None:
        node = self.node
        sent_at_s = node.clock.now_s()
        statuses = await async_probe(node, replica)
        present = 0
        for host, status in zip(replica.hosts, statuses, strict=True):
            if status is None:
                continue
            if not is_host_of(status, replica, host):
                logging.warning(
                    'replica=%s host=%s is another',
                    replica.replica,
                    host.host,
                )
                await async_revoke(node, replica, broken=True)
                return
            present += status.ready
        head = statuses[0]
        if present == len(replica.hosts) and head is not None:
            load = head.load.running + head.load.queued
            node.grants.offer(
                Grant(replica.replica, replica.incarnation, sent_at_s, load),
            )

    async def _async_watch_hosts(self, records: list[Replica]) -> None:
        try:
            listings = await self.node.platform.hosts.async_list()
        except StoreUnavailableError as error:
            logging.info('host list not read: %s', error)
            return
        leaving = {
            listing.host
            for listing in listings
            if listing.state is HostState.LEAVING
        }
        for record in records:
            if leaving.intersection(host.host for host in record.hosts):
                await async_revoke(self.node, record, broken=False)
