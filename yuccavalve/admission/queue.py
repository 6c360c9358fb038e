"""Bounded queue of requests that wait for an engine, without I/O.

Requests of one pool (a service and a model) are served by rank, within a rank
by start-time fair queueing among workspaces, and within a workspace by first
arrival. Tags are given to a workspace when its first request is served, so
that requests which leave or are rejected cost it nothing.
"""

import itertools
import math
from bisect import insort
from collections import Counter
from collections.abc import Container, Iterator
from operator import attrgetter

import attrs

from yuccavalve.admission.const import (
    LESS_URGENT_INTERVAL,
    MAX_COST_RATIO,
    MAX_IDLE_FLOWS,
    MAX_WAITING,
    MAX_WAITING_BYTES,
    RESUMED_RANK,
)
from yuccavalve.admission.models import PoolKey, WaitingRequest
from yuccavalve.load.const import EWMA_WEIGHT

__all__ = ('AdmissionQueue',)

_BY_ORDER = attrgetter('order')


@attrs.define
class _Flow:
    """Waiting requests of one workspace and rank, oldest first."""

    start_tag: float = 0
    requests: list[WaitingRequest] = attrs.field(factory=list)


@attrs.define
class _Rank:
    """Workspaces whose requests have the same rank."""

    virtual_time: float = 0
    flows: dict[str, _Flow] = attrs.field(factory=dict)

    def add(self, request: WaitingRequest) -> None:
        flow = self.flows.setdefault(request.workspace, _Flow())
        if not flow.requests:
            flow.start_tag = max(flow.start_tag, self.virtual_time)
        insort(flow.requests, request, key=_BY_ORDER)

    def discard(self, request: WaitingRequest) -> None:
        self.flows[request.workspace].requests.remove(request)
        if len(self.flows) > MAX_IDLE_FLOWS:
            self.flows = {
                name: flow
                for name, flow in self.flows.items()
                if flow.requests or flow.start_tag > self.virtual_time
            }

    def serve(self, request: WaitingRequest, cost: float) -> None:
        """Remove a request and charge its workspace."""
        flow = self.flows[request.workspace]
        self.virtual_time = max(self.virtual_time, flow.start_tag)
        flow.start_tag += cost / request.weight
        self.discard(request)

    def heads(
        self, blocked: Container[object]
    ) -> Iterator[tuple[float, tuple[float, int], WaitingRequest]]:
        """Yield the first request of each workspace that is not blocked."""
        for flow in self.flows.values():
            for request in flow.requests:
                if (request.group or request) not in blocked:
                    yield flow.start_tag, request.order, request
                    break


@attrs.define
class _Pool:
    ranks: dict[int, _Rank] = attrs.field(factory=dict)
    served: int = 0
    count: int = 0
    mean_cost: float = 0


@attrs.define
class AdmissionQueue:
    """Waiting requests of all pools, with common bounds.

    Attributes
    ----------
    size_bytes
        Size of the bodies of all waiting requests.
    """

    max_count: int = MAX_WAITING
    max_bytes: int = MAX_WAITING_BYTES
    size_bytes: int = 0
    _pools: dict[PoolKey, _Pool] = attrs.field(factory=dict)
    _waiting: dict[int, WaitingRequest] = attrs.field(factory=dict)
    _sequence: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over the waiting requests by the time they entered."""
        return iter(tuple(self._waiting.values()))

    def waits(self, request: WaitingRequest) -> bool:
        """Return whether a request is in the queue."""
        return request.sequence in self._waiting

    def pools(self) -> list[PoolKey]:
        """Return the pools with waiting requests."""
        return [key for key, pool in self._pools.items() if pool.count]

    def count(self, pool: PoolKey) -> int:
        """Return the number of requests that wait for a pool."""
        found = self._pools.get(pool)
        return 0 if found is None else found.count

    def push(self, request: WaitingRequest) -> list[WaitingRequest]:
        """Add a request; return what was displaced, perhaps itself.

        Beyond the bounds, the newest requests of the least urgent rank are
        displaced, of the workspace that has the most of them. What counts
        as newest is the time in this queue, so that a caller that comes back
        displaces none that waits.
        """
        request.sequence = next(self._sequence)
        self._waiting[request.sequence] = request
        pool = self._pools.setdefault(request.pool, _Pool())
        pool.ranks.setdefault(request.rank, _Rank()).add(request)
        pool.count += 1
        mean_cost = pool.mean_cost or request.cost
        pool.mean_cost = mean_cost + EWMA_WEIGHT * (request.cost - mean_cost)
        self.size_bytes += request.size_bytes
        displaced = []
        while self._is_over():
            victim = self._victim()
            self.remove(victim)
            displaced.append(victim)
        return displaced

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was waiting."""
        if self._waiting.pop(request.sequence, None) is None:
            return False
        self._uncount(request)
        ranks = self._pools[request.pool].ranks
        ranks[request.rank].discard(request)
        return True

    def peek(
        self,
        pool: PoolKey,
        blocked: Container[object] = (),
        below_rank: float = math.inf,
    ) -> WaitingRequest | None:
        """Return the next request to serve.

        Parameters
        ----------
        pool
            Service and model.
        blocked
            Groups, and requests without a group, that are passed over.
        below_rank
            Only ranks up to this one are considered.
        """
        waiting = self._pools.get(pool)
        if waiting is None or not waiting.count:
            return None
        heads = self._heads(waiting, blocked, below_rank)
        if not heads:
            return None
        is_turn = (waiting.served + 1) % LESS_URGENT_INTERVAL == 0
        if is_turn and len(heads) > 1 and heads[0][0] > RESUMED_RANK:
            return min((found for _, found in heads[1:]), key=_BY_ORDER)
        return heads[0][1]

    def serve(self, request: WaitingRequest) -> None:
        """Remove a request that an engine takes."""
        if self._waiting.pop(request.sequence, None) is None:
            return
        pool = self._pools[request.pool]
        pool.served += 1
        cost = min(request.cost, MAX_COST_RATIO * pool.mean_cost)
        pool.ranks[request.rank].serve(request, cost)
        self._uncount(request)

    def counts(self) -> Counter[tuple[str, str]]:
        """Return the number of waiting requests by workspace and class."""
        return Counter(
            (each.workspace, each.request_class)
            for each in self._waiting.values()
        )

    def by_rank(self, pool: PoolKey) -> list[list[list[WaitingRequest]]]:
        """Return a pool's requests by rank and workspace, first come first."""
        waiting = self._pools.get(pool)
        ranks = {} if waiting is None else waiting.ranks
        return [
            [
                list(flow.requests)
                for flow in ranks[rank].flows.values()
                if flow.requests
            ]
            for rank in sorted(ranks)
        ]

    def _is_over(self) -> bool:
        too_many = len(self._waiting) > self.max_count
        return too_many or self.size_bytes > self.max_bytes

    def _heads(
        self, pool: _Pool, blocked: Container[object], below_rank: float
    ) -> list[tuple[int, WaitingRequest]]:
        """Return the first request of each rank, the most urgent first."""
        found = []
        for rank in sorted(pool.ranks):
            first = min(pool.ranks[rank].heads(blocked), default=None)
            if rank <= below_rank and first is not None:
                found.append((rank, first[-1]))
        return found

    def _victim(self) -> WaitingRequest:
        lowest = max(each.rank for each in self._waiting.values())
        candidates = [
            each for each in self._waiting.values() if each.rank == lowest
        ]
        counts = Counter(each.workspace for each in candidates)
        return max(
            candidates,
            key=lambda each: (
                counts[each.workspace] / each.weight,
                each.sequence,
            ),
        )

    def _uncount(self, request: WaitingRequest) -> None:
        self._pools[request.pool].count -= 1
        self.size_bytes -= request.size_bytes
