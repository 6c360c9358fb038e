"""Contend for a lease and run its duty while it is held."""

import asyncio
from typing import Protocol

from absl import logging

from yuccavalve.daemon.node import Node
from yuccavalve.exceptions import (
    StoreUnavailableError,
    TransactionConflictError,
    YuccavalveError,
)
from yuccavalve.hashing import rendezvous_order
from yuccavalve.membership import Lease, LeaseStep
from yuccavalve.membership.const import PLANNER_CANDIDATES
from yuccavalve.timing import jittered

__all__ = ('Duty', 'DutyLoop')

_PERIOD_S = 1.0


class Duty(Protocol):
    """Work that only the holder of a lease does."""

    async def async_run_once(self, lease: Lease) -> None:
        """Run one round under the lease."""

    def reset(self) -> None:
        """Discard state that is valid only while the lease is held.

        Called in each round without the lease.
        """


class DutyLoop:
    """Contends for one lease and runs its duty."""

    def __init__(self, node: Node, name: str, duty: Duty) -> None:
        """Create the loop without holding the lease."""
        self._node = node
        self._duty = duty
        self.lease = Lease(name, node.local_member.member)

    async def async_run(self) -> None:
        """Contend for the lease and run the duty until cancelled."""
        while True:
            try:
                await self._async_round()
            except YuccavalveError as error:
                logging.warning(
                    'duty=%s round failed: %s', self.lease.duty, error
                )
            except Exception:
                logging.exception('duty=%s round failed', self.lease.duty)
            await asyncio.sleep(jittered(self._node.random, _PERIOD_S))

    async def async_release(self) -> None:
        """Release the lease, so that the next holder need not wait."""
        transaction = self.lease.release()
        if transaction is None:
            return
        try:
            await self._node.platform.table.async_transact(transaction)
        except (StoreUnavailableError, TransactionConflictError) as error:
            logging.info('lease=%s not released: %s', self.lease.duty, error)

    async def _async_round(self) -> None:
        await self._async_contend()
        if self.lease.is_held(self._node.clock.now_s()):
            await self._duty.async_run_once(self.lease)
        else:
            self._duty.reset()

    async def _async_contend(self) -> None:
        now_s = self._node.clock.now_s()
        rank = self._rank(now_s)
        if self._node.stopping or (
            rank >= PLANNER_CANDIDATES and not self._is_held()
        ):
            return
        await self._async_observe()
        step = self.lease.step(self._node.clock.now_s(), rank)
        if step is LeaseStep.WAIT:
            return
        sent_at_s = self._node.clock.now_s()
        try:
            await self._node.platform.table.async_transact(
                self.lease.transaction(step),
            )
        except TransactionConflictError:
            await self._async_observe()
            return
        await self._async_observe()
        self.lease.record_applied(sent_at_s)

    async def _async_observe(self) -> None:
        keys = [self.lease.key, self.lease.term_key]
        rows = await self._node.platform.table.async_read(keys)
        self.lease.observe(rows, self._node.clock.now_s())

    def _rank(self, now_s: float) -> int:
        names = [member.member for member in self._node.roster.entries(now_s)]
        order = rendezvous_order(self.lease.duty, names)
        local_id = self._node.local_member.member
        return order.index(local_id) if local_id in order else len(order)

    def _is_held(self) -> bool:
        return self.lease.is_held(self._node.clock.now_s())
