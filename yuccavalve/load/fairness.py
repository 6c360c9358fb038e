"""Queue requests by class, and fairly among workspaces within a class.

Each class uses start-time fair queueing by tokens (Goyal, Vin and Cheng,
1996). The estimated tokens of a request are corrected when it ends, so a
workspace gains nothing by estimates that are too low. Other workspaces use
the share of an idle workspace at once. It gets its share back with its next
request, but no credit for the idle time, since a start tag is never below
the virtual time of the queue.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator, Mapping

import attrs

from yuccavalve.load.const import CLASS_ORDER, LOWEST_CLASS_INTERVAL

__all__ = ('FairQueue', 'Ticket')


@attrs.frozen(eq=False)
class Ticket:
    """A queued request.

    Attributes
    ----------
    cost_tokens
        Estimated number of prompt and answer tokens.
    deadline_at_s
        Monotonic time after which the caller no longer waits.
    """

    workspace: str
    request_class: str
    cost_tokens: int
    deadline_at_s: float


@attrs.define
class _ClassQueue:
    virtual_time: float = 0
    finish_tags: dict[str, float] = attrs.field(factory=dict)
    heap: list[tuple[float, int, Ticket]] = attrs.field(factory=list)


@attrs.define
class FairQueue:
    """Queues of all classes with a common bound on their length."""

    weights: Mapping[str, float]
    max_queued: int
    _queues: dict[str, _ClassQueue] = attrs.field(
        factory=lambda: {name: _ClassQueue() for name in CLASS_ORDER},
    )
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)
    _waiting_by_workspace: dict[str, int] = attrs.field(factory=dict)
    _pop_count: int = 0

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return sum(len(queue.heap) for queue in self._queues.values())

    def waiting(self) -> Mapping[str, int]:
        """Return the number of queued tickets by workspace."""
        return self._waiting_by_workspace

    @property
    def waiting_tokens(self) -> int:
        """Return the estimated tokens of all queued tickets."""
        return sum(
            ticket.cost_tokens
            for queue in self._queues.values()
            for _, _, ticket in queue.heap
        )

    def tokens_ahead(self, ticket: Ticket) -> int:
        """Return the queued tokens that precede a new ticket.

        These are all tokens of higher classes, and those in the ticket's
        class with a start tag that is not later. The backlog of the ticket's
        own workspace is included.
        """
        position = CLASS_ORDER.index(ticket.request_class)
        earlier = sum(
            entry.cost_tokens
            for name in CLASS_ORDER[:position]
            for _, _, entry in self._queues[name].heap
        )
        queue = self._queues[ticket.request_class]
        new_start_tag = self._start_tag(queue, ticket)
        return earlier + sum(
            entry.cost_tokens
            for start_tag, _, entry in queue.heap
            if start_tag <= new_start_tag
        )

    def push(self, ticket: Ticket) -> bool:
        """Enqueue a ticket; return False if its workspace has no room.

        A workspace may use half of the queue while no other one has queued
        tickets, and its share by weight otherwise.
        """
        if len(self) >= self.max_queued or not self._has_room(ticket):
            return False
        queue = self._queues[ticket.request_class]
        weight = self.weights.get(ticket.workspace, 1)
        start_tag = self._start_tag(queue, ticket)
        queue.finish_tags[ticket.workspace] = (
            start_tag + ticket.cost_tokens / weight
        )
        heapq.heappush(queue.heap, (start_tag, next(self._sequence), ticket))
        self._adjust_count(ticket, 1)
        return True

    def pop(self) -> Ticket | None:
        """Remove and return the next ticket to serve."""
        queue = self._next_queue()
        if queue is None:
            return None
        start_tag, _, ticket = heapq.heappop(queue.heap)
        queue.virtual_time = max(queue.virtual_time, start_tag)
        self._adjust_count(ticket, -1)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it was still queued."""
        queue = self._queues[ticket.request_class]
        remaining = [entry for entry in queue.heap if entry[2] is not ticket]
        if len(remaining) == len(queue.heap):
            return False
        heapq.heapify(remaining)
        queue.heap = remaining
        self._adjust_count(ticket, -1)
        return True

    def drop_expired(
        self,
        now_s: float,
        expected_s: Callable[[Ticket], float],
    ) -> list[Ticket]:
        """Remove and return the tickets whose deadlines can't be met.

        Parameters
        ----------
        now_s
            The current monotonic time.
        expected_s
            Returns the expected time to serve a ticket's request.
        """
        expired = [
            ticket
            for queue in self._queues.values()
            for _, _, ticket in queue.heap
            if ticket.deadline_at_s <= now_s + expected_s(ticket)
        ]
        for ticket in expired:
            self.remove(ticket)
        return expired

    def correct(self, ticket: Ticket, used_tokens: int) -> None:
        """Charge a workspace for the tokens used beyond the estimate.

        Tokens that were estimated but not used are credited.
        """
        queue = self._queues[ticket.request_class]
        finish_tag = queue.finish_tags.get(ticket.workspace)
        if finish_tag is None:
            return
        weight = self.weights.get(ticket.workspace, 1)
        difference = (used_tokens - ticket.cost_tokens) / weight
        queue.finish_tags[ticket.workspace] = finish_tag + difference

    def _start_tag(self, queue: _ClassQueue, ticket: Ticket) -> float:
        finish_tag = queue.finish_tags.get(ticket.workspace, 0)
        return max(queue.virtual_time, finish_tag)

    def _next_queue(self) -> _ClassQueue | None:
        waiting = [
            self._queues[name]
            for name in CLASS_ORDER
            if self._queues[name].heap
        ]
        if not waiting:
            return None
        self._pop_count += 1
        if self._pop_count % LOWEST_CLASS_INTERVAL == 0:
            return waiting[-1]
        return waiting[0]

    def _has_room(self, ticket: Ticket) -> bool:
        own = self._waiting_by_workspace.get(ticket.workspace, 0)
        others = len(self) - own
        if others == 0:
            return own < self.max_queued // 2
        names = {ticket.workspace, *self._waiting_by_workspace}
        total = sum(self.weights.get(name, 1) for name in names)
        weight = self.weights.get(ticket.workspace, 1)
        return own < max(1, self.max_queued * weight / total)

    def _adjust_count(self, ticket: Ticket, change: int) -> None:
        name = ticket.workspace
        count = self._waiting_by_workspace.get(name, 0) + change
        if count:
            self._waiting_by_workspace[name] = count
        else:
            self._waiting_by_workspace.pop(name)
