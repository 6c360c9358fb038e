"""Admit requests within the limits; queue or refuse the others."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from yuccavalve.clock import Clock
from yuccavalve.configuration import AdoptionState
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.load import DemandKey, FairQueue, Ticket, retry_after_s
from yuccavalve.load.const import EWMA_WEIGHT
from yuccavalve.requests.const import SWEEP_PERIOD_S
from yuccavalve.requests.models import Exchange
from yuccavalve.requests.picker import SlotSource
from yuccavalve.requests.preconditions import leaving_error
from yuccavalve.results import ResultCode

__all__ = ('Admission', 'Admit')


_WAIT_MAX_S = 60.0


@attrs.define(eq=False)
class _GroupState:
    """Requests of one group, in flight and queued, and their speed."""

    queue: FairQueue
    in_flight_by_workspace: Counter[str] = attrs.field(factory=Counter)
    tokens_per_s: float = 0
    mean_service_s: Counter[str] = attrs.field(factory=Counter)
    waiters: dict[Ticket, asyncio.Future[None]] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self.in_flight_by_workspace.total()

    def demands(self) -> Counter[str]:
        """Return requests in flight and queued by workspace."""
        return self.in_flight_by_workspace + Counter(self.queue.waiting())

    def expected_service_s(self, ticket: Ticket) -> float:
        """Return the mean service time of the ticket's request class."""
        return self.mean_service_s[ticket.request_class]


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
        self._states: dict[str, _GroupState] = {}
        self._tokens_by_workspace: Counter[str] = Counter()

    def now_s(self) -> float:
        """Return the monotonic time."""
        return self._clock.now_s()

    def demands(self) -> dict[DemandKey, int]:
        """Return requests in flight and queued by group and workspace."""
        return {
            DemandKey(group, workspace): count
            for group, state in self._states.items()
            for workspace, count in state.demands().items()
        }

    async def async_admit(self, group: str, exchange: Exchange) -> Ticket:
        """Wait until a request is admitted.

        Raises
        ------
        RequestRefusedError
            At once when the workspace is at its limit, the queue is full or
            the deadline can't be met; later when the deadline can't be met
            any more.
        """
        self._check_workspace(exchange)
        state = self._state(group)
        ticket = Ticket(
            exchange.workspace_name,
            exchange.request_class,
            exchange.cost_tokens,
            exchange.deadline_at_s,
        )
        if len(state.queue) == 0 and state.in_flight < self._limit(group):
            self._count_admitted(state, ticket)
            return ticket
        self._check_deadline(state, ticket)
        if not state.queue.push(ticket):
            raise self._refusal(ResultCode.QUEUE_FULL, state)
        waiter = asyncio.get_running_loop().create_future()
        state.waiters[ticket] = waiter
        self._admit_queued(group)
        try:
            await waiter
        except asyncio.CancelledError:
            self._withdraw_cancelled(group, state, ticket, waiter)
            raise
        return ticket

    def release(
        self,
        group: str,
        ticket: Ticket,
        used_tokens: int,
        service_s: float,
    ) -> None:
        """Record the end of an admitted request and admit queued ones."""
        state = self._state(group)
        state.in_flight_by_workspace[ticket.workspace] -= 1
        self._tokens_by_workspace[ticket.workspace] -= ticket.cost_tokens
        state.queue.correct(ticket, used_tokens)
        if service_s > 0:
            rate = used_tokens / service_s * max(1, state.in_flight + 1)
            state.tokens_per_s += EWMA_WEIGHT * (rate - state.tokens_per_s)
            earlier_s = state.mean_service_s[ticket.request_class]
            step_s = EWMA_WEIGHT * (service_s - earlier_s)
            state.mean_service_s[ticket.request_class] = earlier_s + step_s
        self._admit_queued(group)

    async def async_run(self) -> None:
        """Refuse queued requests that can't meet their deadlines."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            for group, state in self._states.items():
                self._expire(state)
                self._admit_queued(group)

    def _expire(self, state: _GroupState) -> None:
        now_s = self._clock.now_s()
        for ticket in state.queue.drop_expired(now_s, state.expected_service_s):
            waiter = state.waiters.pop(ticket)
            refusal = self._refusal(ResultCode.DEADLINE_UNREACHABLE, state)
            if not waiter.done():
                waiter.set_exception(refusal)

    def refuse_leaving(self, may_cut: Callable[[float], bool]) -> None:
        """Refuse queued requests that a stop may cut.

        Parameters
        ----------
        may_cut
            Returns whether a request with a deadline may be cut.
        """
        for state in self._states.values():
            for ticket in tuple(state.waiters):
                if may_cut(ticket.deadline_at_s):
                    _refuse_leaving(state, ticket)

    def _count_admitted(self, state: _GroupState, ticket: Ticket) -> None:
        state.in_flight_by_workspace[ticket.workspace] += 1
        self._tokens_by_workspace[ticket.workspace] += ticket.cost_tokens

    def _admit_queued(self, group: str) -> None:
        state = self._state(group)
        while state.in_flight < self._limit(group):
            ticket = state.queue.pop()
            if ticket is None:
                return
            waiter = state.waiters.pop(ticket)
            if not waiter.done():
                self._count_admitted(state, ticket)
                waiter.set_result(None)

    def _withdraw_cancelled(
        self,
        group: str,
        state: _GroupState,
        ticket: Ticket,
        waiter: asyncio.Future[None],
    ) -> None:
        state.queue.remove(ticket)
        state.waiters.pop(ticket, None)
        was_admitted = waiter.done() and not waiter.cancelled()
        if was_admitted and waiter.exception() is None:
            self.release(group, ticket, 0, 0)

    def _check_workspace(self, exchange: Exchange) -> None:
        workspace = exchange.workspace
        if workspace is None or workspace.max_in_flight_tokens == 0:
            return
        in_flight_tokens = self._tokens_by_workspace[workspace.name]
        if (
            in_flight_tokens + exchange.cost_tokens
            > workspace.max_in_flight_tokens
        ):
            raise RequestRefusedError(
                ResultCode.WORKSPACE_LIMIT,
                f'{in_flight_tokens} tokens in flight, limit '
                f'{workspace.max_in_flight_tokens}',
                retry_after_s(self._random),
            )

    def _check_deadline(self, state: _GroupState, ticket: Ticket) -> None:
        wait_s = self._queue_wait_s(state, ticket)
        ready_at_s = (
            self._clock.now_s() + wait_s + state.expected_service_s(ticket)
        )
        if ready_at_s > ticket.deadline_at_s:
            raise self._refusal(ResultCode.DEADLINE_UNREACHABLE, state)

    def _queue_wait_s(self, state: _GroupState, ticket: Ticket) -> float:
        if state.tokens_per_s <= 0:
            return 0
        return state.queue.tokens_ahead(ticket) / state.tokens_per_s

    def _refusal(
        self, code: ResultCode, state: _GroupState
    ) -> RequestRefusedError:
        rate = max(state.tokens_per_s, 1)
        wait_s = state.queue.waiting_tokens / rate
        return RequestRefusedError(
            code,
            retry_after_s=retry_after_s(self._random, min(wait_s, _WAIT_MAX_S)),
        )

    def _limit(self, group: str) -> int:
        state = self._state(group)
        return self._slots.limit(group, state.demands(), state.queue.weights)

    def _state(self, group: str) -> _GroupState:
        state = self._states.get(group)
        if state is None:
            state = _GroupState(FairQueue({}, self._max_queued))
            self._states[group] = state
        state.queue.weights = {
            workspace.name: workspace.weight
            for workspace in self._adoption.configuration.document.workspaces
        }
        return state


def _refuse_leaving(state: _GroupState, ticket: Ticket) -> None:
    state.queue.remove(ticket)
    waiter = state.waiters.pop(ticket)
    if not waiter.done():
        waiter.set_exception(leaving_error())


@attrs.frozen
class Admit:
    """Admit a request, or queue it until there is room."""

    admission: Admission

    async def async_apply(self, exchange: Exchange) -> None:
        """Wait until the request is admitted to its service's group."""
        group = admission_group(exchange)
        exchange.ticket = await self.admission.async_admit(group, exchange)
        exchange.admitted_at_s = self.admission.now_s()


def admission_group(exchange: Exchange) -> str:
    """Return the service's group, or its name if it has no group."""
    service = exchange.service
    if service is None:
        return ''
    return service.group or service.name
