"""Poll the table service as a fallback for updates from peers."""

import asyncio

import attrs
from absl import logging

from yuccavalve.configuration.commit import head_from_rows
from yuccavalve.configuration.const import HEAD_KEY
from yuccavalve.const import (
    MEMBER_LEASE_S,
    PEER_CONFIRMATION_MAX_AGE_S,
    REPLICA_LISTING_PERIOD_S,
    STORE_POLL_CONFIRMED_S,
    STORE_POLL_PERIOD_S,
)
from yuccavalve.daemon.node import Node
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.membership.const import MEMBERS_REMOVED_KEY
from yuccavalve.ports import row_version
from yuccavalve.timing import jittered

__all__ = ('StoreLoop',)

_RENEWALS_PER_LEASE = 3
_MAX_BACKOFF_S = 6.0
_BACKOFF_FACTOR = 1.5
_NEVER_S = float('-inf')


@attrs.define
class StoreLoop:
    """Renews the member row and polls the configuration head.

    Members and replicas are usually learned from peers. Members are listed
    after one was removed. Both are listed at long intervals, and in each
    poll while no other member is live.
    """

    node: Node
    _polled_at_s: float = _NEVER_S
    _renewed_at_s: float = _NEVER_S
    _listed_at_s: float = _NEVER_S
    _removal_version: int | None = None

    async def async_run(self) -> None:
        """Poll until cancelled, with backoff while the store is unavailable."""
        interval_s = STORE_POLL_PERIOD_S
        while True:
            self._forget_released_replicas()
            try:
                await self.async_poll()
                interval_s = STORE_POLL_PERIOD_S
            except StoreUnavailableError as error:
                logging.warning('table service unavailable: %s', error)
                interval_s = min(_MAX_BACKOFF_S, interval_s * _BACKOFF_FACTOR)
            except Exception:
                logging.exception('poll of the table service failed')
            await asyncio.sleep(jittered(self.node.random, interval_s))

    async def async_poll(self) -> None:
        """Renew the member row, and poll unless peers confirm the version."""
        node = self.node
        await self._async_renew()
        if not self._is_due(node.clock.now_s()):
            return
        sent_at_s = node.clock.now_s()
        keys = (HEAD_KEY, MEMBERS_REMOVED_KEY)
        rows = await node.platform.table.async_read(keys)
        await self._async_confirm(head_from_rows(rows).version, sent_at_s)
        self._polled_at_s = sent_at_s
        must_list = self._must_list(sent_at_s)
        removal_version = row_version(rows.get(MEMBERS_REMOVED_KEY))
        if must_list or removal_version != self._removal_version:
            await self._async_list_members()
            self._removal_version = removal_version
        if must_list:
            await self._async_list_replicas()
            self._listed_at_s = sent_at_s

    def _forget_released_replicas(self) -> None:
        """Drop the state of replicas and addresses that no longer exist."""
        node = self.node
        node.replicas.sweep(node.clock.now_s())
        kept = {record.replica for record in node.replicas.all_records()}
        node.grants.forget_except(kept)
        plain_addresses = node.adoption.configuration.document.plain_addresses()
        node.scores.forget_except(kept | plain_addresses)

    def _is_due(self, now_s: float) -> bool:
        if not self.node.adoption.votes:
            return True
        if now_s - self._polled_at_s >= STORE_POLL_CONFIRMED_S:
            return True
        confirmed_at_s = self.node.adoption.confirmed_at(now_s)
        return now_s - confirmed_at_s > PEER_CONFIRMATION_MAX_AGE_S

    def _must_list(self, now_s: float) -> bool:
        if now_s - self._listed_at_s >= REPLICA_LISTING_PERIOD_S:
            return True
        return len(self.node.roster.live(now_s)) == 1

    async def _async_confirm(self, version: int, sent_at_s: float) -> None:
        """Record the head and adopt a newer version."""
        node = self.node
        if node.adoption.observe_local_read(version, sent_at_s):
            node.adoption.adopt(await node.configurations.async_load(version))
            node.adoption.observe_local_read(version, sent_at_s)

    async def _async_renew(self) -> None:
        node = self.node
        now_s = node.clock.now_s()
        if now_s - self._renewed_at_s < MEMBER_LEASE_S / _RENEWALS_PER_LEASE:
            return
        await node.registry.async_write(node.local_member)
        self._renewed_at_s = now_s

    async def _async_list_members(self) -> None:
        node = self.node
        members = await node.registry.async_list()
        node.roster.learn_all(members)
        node.members_listed = True
        now_s = node.clock.now_s()
        node.roster.forget_except({member.member for member in members}, now_s)

    async def _async_list_replicas(self) -> None:
        node = self.node
        stored = await node.replica_store.async_list()
        node.replicas.reconcile(stored, node.clock.now_s())
