"""Admit requests within the limits; queue or refuse the others."""

import asyncio
from collections import Counter
from random import Random

import attrs

from yuccavalve.clock import Clock
from yuccavalve.configuration import AdoptionState
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.load import DemandKey, FairQueue, Ticket, retry_after_s
from yuccavalve.load.const import SMOOTHING
from yuccavalve.requests.const import SWEEP_S
from yuccavalve.requests.models import Exchange
from yuccavalve.requests.slots import SlotSource
from yuccavalve.results import ResultCode

__all__ = ('Admission', 'Admit')


_WAIT_MAX_S = 60.0


@attrs.define(eq=False)
class _Pool:
    """Requests of one group, in flight and queued, and their speed."""

    queue: FairQueue
    running: Counter[str] = attrs.field(factory=Counter)
    tokens_per_s: float = 0
    service_s: Counter[str] = attrs.field(factory=Counter)
    waiters: dict[Ticket, asyncio.Future[None]] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self.running.total()

    def demands(self) -> Counter[str]:
        """Return requests in flight and queued by workspace."""
        return self.running + Counter(self.queue.waiting())

    def expected_s(self, ticket: Ticket) -> float:
        """Return the mean service time of the ticket's request class."""
        return self.service_s[ticket.request_class]


class Admission:
    """Admission of requests to one daemon, group by group."""

    def __init__(
        self,
        adoption: AdoptionState,
        slots: SlotSource,
        clock: Clock,
        random: Random,
        max_queued: int,
    ) -> None:
        """Start with nothing in flight."""
        self._adoption = adoption
        self._slots = slots
        self._clock = clock
        self._random = random
        self._max_queued = max_queued
        self._pools: dict[str, _Pool] = {}
        self._tokens_by_workspace: Counter[str] = Counter()

    def now_s(self) -> float:
        """Return the monotonic time."""
        return self._clock.now_s()

    def demands(self) -> dict[DemandKey, int]:
        """Return requests in flight and queued by group and workspace."""
        return {
            DemandKey(group, workspace): count
            for group, pool in self._pools.items()
            for workspace, count in pool.demands().items()
        }

    async def async_enter(self, group: str, exchange: Exchange) -> Ticket:
        """Wait until a request is admitted.

        Raises
        ------
        RequestRefusedError
            At once when the workspace is at its limit, the queue is full or
            the deadline can't be met; later when the deadline can't be met
            any more.
        """
        self._check_workspace(exchange)
        pool = self._pool(group)
        ticket = Ticket(
            exchange.workspace_name,
            exchange.request_class,
            exchange.cost_tokens,
            exchange.deadline_at_s,
        )
        if len(pool.queue) == 0 and pool.in_flight < self._limit(group):
            self._begin(pool, ticket)
            return ticket
        self._check_wait(pool, ticket)
        if not pool.queue.push(ticket):
            raise self._refusal(ResultCode.QUEUE_FULL, pool)
        waiter = asyncio.get_running_loop().create_future()
        pool.waiters[ticket] = waiter
        self._let_in(group)
        try:
            await waiter
        except asyncio.CancelledError:
            self._abandon(group, pool, ticket, waiter)
            raise
        return ticket

    def leave(
        self,
        group: str,
        ticket: Ticket,
        used_tokens: int,
        held_s: float,
    ) -> None:
        """Record the end of an admitted request and admit queued ones."""
        pool = self._pool(group)
        pool.running[ticket.workspace] -= 1
        self._tokens_by_workspace[ticket.workspace] -= ticket.cost_tokens
        pool.queue.correct(ticket, used_tokens)
        if held_s > 0:
            rate = used_tokens / held_s * max(1, pool.in_flight + 1)
            pool.tokens_per_s += SMOOTHING * (rate - pool.tokens_per_s)
            earlier_s = pool.service_s[ticket.request_class]
            step_s = SMOOTHING * (held_s - earlier_s)
            pool.service_s[ticket.request_class] = earlier_s + step_s
        self._let_in(group)

    async def async_run(self) -> None:
        """Refuse queued requests that can't meet their deadlines."""
        while True:
            await asyncio.sleep(SWEEP_S)
            for group, pool in self._pools.items():
                self._expire(pool)
                self._let_in(group)

    def _expire(self, pool: _Pool) -> None:
        now_s = self._clock.now_s()
        for ticket in pool.queue.drop_expired(now_s, pool.expected_s):
            waiter = pool.waiters.pop(ticket)
            refusal = self._refusal(ResultCode.DEADLINE_UNREACHABLE, pool)
            if not waiter.done():
                waiter.set_exception(refusal)

    def _begin(self, pool: _Pool, ticket: Ticket) -> None:
        pool.running[ticket.workspace] += 1
        self._tokens_by_workspace[ticket.workspace] += ticket.cost_tokens

    def _let_in(self, group: str) -> None:
        pool = self._pool(group)
        while pool.in_flight < self._limit(group):
            ticket = pool.queue.pop()
            if ticket is None:
                return
            waiter = pool.waiters.pop(ticket)
            if not waiter.done():
                self._begin(pool, ticket)
                waiter.set_result(None)

    def _abandon(
        self,
        group: str,
        pool: _Pool,
        ticket: Ticket,
        waiter: asyncio.Future[None],
    ) -> None:
        pool.queue.remove(ticket)
        pool.waiters.pop(ticket, None)
        had_turn = waiter.done() and not waiter.cancelled()
        if had_turn and waiter.exception() is None:
            self.leave(group, ticket, 0, 0)

    def _check_workspace(self, exchange: Exchange) -> None:
        workspace = exchange.workspace
        if workspace is None or workspace.max_in_flight_tokens == 0:
            return
        held = self._tokens_by_workspace[workspace.name]
        if held + exchange.cost_tokens > workspace.max_in_flight_tokens:
            raise RequestRefusedError(
                ResultCode.WORKSPACE_LIMIT,
                f'{held} tokens in flight, limit '
                f'{workspace.max_in_flight_tokens}',
                retry_after_s(self._random),
            )

    def _check_wait(self, pool: _Pool, ticket: Ticket) -> None:
        wait_s = self._wait_s(pool, ticket)
        ready_at_s = self._clock.now_s() + wait_s + pool.expected_s(ticket)
        if ready_at_s > ticket.deadline_at_s:
            raise self._refusal(ResultCode.DEADLINE_UNREACHABLE, pool)

    def _wait_s(self, pool: _Pool, ticket: Ticket) -> float:
        if pool.tokens_per_s <= 0:
            return 0
        return pool.queue.tokens_ahead(ticket) / pool.tokens_per_s

    def _refusal(self, code: ResultCode, pool: _Pool) -> RequestRefusedError:
        rate = max(pool.tokens_per_s, 1)
        wait_s = pool.queue.waiting_tokens / rate
        return RequestRefusedError(
            code,
            retry_after_s=retry_after_s(self._random, min(wait_s, _WAIT_MAX_S)),
        )

    def _limit(self, group: str) -> int:
        pool = self._pool(group)
        return self._slots.limit(group, pool.demands(), pool.queue.weights)

    def _pool(self, group: str) -> _Pool:
        pool = self._pools.get(group)
        if pool is None:
            pool = _Pool(FairQueue({}, self._max_queued))
            self._pools[group] = pool
        pool.queue.weights = {
            workspace.name: workspace.weight
            for workspace in self._adoption.configuration.document.workspaces
        }
        return pool


@attrs.frozen
class Admit:
    """Admit a request, or queue it until there is room."""

    admission: Admission

    async def async_apply(self, exchange: Exchange) -> None:
        """Wait until the request is admitted to its service's group."""
        group = admission_group(exchange)
        exchange.ticket = await self.admission.async_enter(group, exchange)
        exchange.admitted_at_s = self.admission.now_s()


def admission_group(exchange: Exchange) -> str:
    """Return the service's group, or its name if it has no group."""
    service = exchange.service
    if service is None:
        return ''
    return service.group or service.name
