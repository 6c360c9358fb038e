"""Hold, yield or contend for the planner lease."""

import asyncio

import attrs
from absl import logging

from yuccavalve.daemon.gateway_node import GatewayNode
from yuccavalve.exceptions import (
    StoreUnavailableError,
    TransactionConflictError,
)
from yuccavalve.membership import contention_wait_s
from yuccavalve.membership.const import DUTY_PLANNER
from yuccavalve.membership.lease import Lease, LeaseStep
from yuccavalve.ports.position import NOWHERE
from yuccavalve.timing import jittered

__all__ = ('LeaseLoop',)

# Short, since no replica is repaired while no daemon holds the lease.
_LEASE_S = 2.0
_LEASE_MARGIN_S = 0.4
_LEASE_POLL_S = 0.45
# Time without a planner after which daemons that are not hubs contend.
_NON_HUB_WAIT_S = 4.0
_NEVER_S = float('-inf')
# Consecutive failed calls after which a holder yields the lease.
_YIELD_FAILURES = 2


@attrs.define
class LeaseLoop:
    """Holds or contends for the planner lease.

    Attributes
    ----------
    tenure_began_at_s
        Monotonic time since which this daemon has held the lease in the
        present term without a break.
    """

    node: GatewayNode
    lease: Lease = attrs.field(init=False)
    tenure_began_at_s: float = _NEVER_S
    _tenure_term: int | None = None
    _failures: int = 0
    _planner_seen_at_s: float = attrs.field(init=False)
    _yielded_seen_at_s: float = attrs.field(init=False)

    @_planner_seen_at_s.default
    def _initial_planner_seen_at_s(self) -> float:
        return self.node.clock.now_s()

    @_yielded_seen_at_s.default
    def _initial_yielded_seen_at_s(self) -> float:
        return self.node.clock.now_s()

    @lease.default
    def _new_lease(self) -> Lease:
        return Lease(
            DUTY_PLANNER,
            self.node.roster.local_member.member,
            _LEASE_S,
            _LEASE_MARGIN_S,
        )

    def __attrs_post_init__(self) -> None:
        """Have the lease end with its era."""
        self.lease.era = self.node.ports.eras.era
        self.node.on_era(self._begin_era)

    def is_held(self) -> bool:
        """Return whether this daemon holds the planner lease."""
        return self.lease.is_held(self.node.clock.now_s())

    def term(self) -> int | None:
        """Return the term of the lease; None while it is not held."""
        return self.lease.term if self.is_held() else None

    async def async_run(self) -> None:
        """Renew or contend for the lease until cancelled."""
        while True:
            try:
                await self._async_round()
            except StoreUnavailableError as error:
                self._record_unavailable(error)
            except TransactionConflictError:
                logging.info('event=lease_lost_to_another')
                self.lease.forfeit()
            except Exception:
                # The rest still tells others once the lease has expired.
                logging.exception('event=lease_failed')
            else:
                self._failures = 0
            self._yield_if_partitioned()
            self._record_tenure()
            self.node.record_planning(self.is_held())
            await asyncio.sleep(jittered(self.node.random, _LEASE_POLL_S))

    def _begin_era(self, era: int) -> None:
        """Contend anew, unless the table service has never returned."""
        self.node.share_state.yielded_lease = NOWHERE
        if self.node.ports.eras.is_first:
            self.lease.era = era
        else:
            self.lease.begin_era(era, self.node.clock.now_s())

    def _record_tenure(self) -> None:
        term = self.term()
        if term != self._tenure_term:
            self._tenure_term = term
            self.tenure_began_at_s = self.node.clock.now_s()

    def _record_unavailable(self, error: StoreUnavailableError) -> None:
        """Yield the lease after repeated failures to reach the store.

        Other daemons may reach it, and take over as soon as they learn
        that the lease was yielded, even one that has expired meanwhile.
        """
        self._failures += 1
        if self._failures == 1:
            logging.warning('event=lease_unreached cause=%r', str(error))
        if self._failures >= _YIELD_FAILURES and self.lease.is_holder():
            self.node.share_state.yielded_lease = self.lease.forfeit()
            logging.warning(
                'event=lease_yielded version=%d',
                self.node.share_state.yielded_lease.version,
            )

    def _yield_if_partitioned(self) -> None:
        """Yield the lease if another daemon can order engines."""
        node = self.node
        if not (node.reach.partitioned and self.lease.is_holder()):
            return
        if node.relay_sender is None or not node.relay_sender.has_neighbor():
            return
        node.share_state.yielded_lease = self.lease.forfeit()
        node.urgent_update.set()
        logging.warning(
            'event=lease_yielded version=%d cause=%r',
            node.share_state.yielded_lease.version,
            'reaches no engine',
        )

    async def async_release(self) -> None:
        """Release the lease, so that another daemon can acquire it at once."""
        transaction = self.lease.release()
        self.node.record_planning(False)
        self.node.share_state.yielded_lease = self.lease.holder()[1]
        if transaction is not None:
            await self.node.ports.table.async_transact(transaction)

    async def _async_round(self) -> None:
        node = self.node
        planner = node.share_state.planner()
        now_s = node.clock.now_s()
        self._record_planner(planner, now_s)
        is_candidate = self.is_held() or self.lease.may_reclaim(now_s)
        if node.gateway.stop.stopping or (planner and not is_candidate):
            return
        if node.routing.table is None or not self._may_contend(now_s):
            return
        if node.reach.partitioned and not self.is_held():
            return
        yielded = False
        if not self.is_held():
            await self._async_observe()
            yielded = node.share_state.has_yielded(*self.lease.holder())
        step = self.lease.step(now_s, 0, yielded=yielded)
        if step is LeaseStep.WAIT:
            return
        version = await node.ports.table.async_transact(
            self.lease.transaction(step),
        )
        self.lease.record_applied(now_s, step, version)
        if version is None:
            await self._async_observe()
        if step is LeaseStep.ACQUIRE:
            logging.warning('event=lease_acquired duty=planner')

    def _may_contend(self, now_s: float) -> bool:
        """Return whether this daemon may contend for the lease.

        Hubs contend at once; others wait for their turn, so that not all
        daemons read the row while there is no planner. After a holder has
        yielded, their turns begin at once: it could not reach the store, so
        its hub may not reach it either.
        """
        if self.is_held() or self.lease.may_reclaim(now_s):
            return True
        if self.node.serves_as_hub():
            return True
        since_s = self._planner_seen_at_s + _NON_HUB_WAIT_S
        if self.node.share_state.yielded_leases():
            since_s = min(since_s, self._yielded_seen_at_s)
        roster = self.node.roster
        wait_s = contention_wait_s(roster, DUTY_PLANNER, now_s)
        return now_s - since_s >= wait_s

    def _record_planner(self, planner: str, now_s: float) -> None:
        """Record when a planner was last known, and since when it yielded."""
        node = self.node
        if planner:
            self._planner_seen_at_s = now_s
            node.share_state.yielded_lease = NOWHERE
        if planner or not node.share_state.yielded_leases():
            self._yielded_seen_at_s = now_s

    async def _async_observe(self) -> None:
        keys = [self.lease.key, self.lease.term_key]
        rows = await self.node.ports.table.async_read(keys)
        self.lease.observe(rows, self.node.clock.now_s())
