"""Fairness across daemons, in a queueing model of one group.

Each daemon has its real fair queue and a share of the engines' slots by the
rule under test, and knows the other daemons' demands from their last update.
One large workspace asks for a multiple of the capacity; nine small ones
together ask for half of it, which is less than their fair share.
"""

import heapq
import itertools
import math
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, Protocol

import attrs

from yuccavalve.load import DemandShares, FairQueue, Ticket
from yuccavalve.load.const import EWMA_WEIGHT

__all__ = ('async_daemons',)

_DAEMONS = 8
_SLOTS = 64
_MAX_QUEUED_AT_ENGINES = 32
_SERVICE_S = 3.0
_SERVICE_FACTOR_RANGE = (0.5, 1.5)
_DEADLINE_S = 10.0
_TOKENS = 100
_SMALL = tuple(f'w{number}' for number in range(9))
_LARGE = 'large'
_UPDATE_INTERVAL_RANGE_S = (0.8, 3.5)
_BEGIN_S = 60.0
_END_S = 240.0
_REFUSAL_BACKOFF_S = 0.25
_CAPACITY = _SLOTS / _SERVICE_S
_MAX_QUEUED = 512
_MAX_PROMPT_WAIT_S = 0.5

Demand = Mapping[str, int]


class _Rule(Protocol):
    def share(
        self,
        total_slots: int,
        own: Demand,
        others: Sequence[Demand],
    ) -> int:
        """Return how many requests a daemon may have in flight."""


class _EqualShares:
    def share(
        self,
        total_slots: int,
        own: Demand,
        others: Sequence[Demand],
    ) -> int:
        return math.ceil(total_slots / (len(others) + 1))


class _ByDemand:
    """An earlier rule: half in equal parts, half by number of requests."""

    def share(
        self,
        total_slots: int,
        own: Demand,
        others: Sequence[Demand],
    ) -> int:
        equal = total_slots / (len(others) + 1)
        mine = sum(own.values())
        everyone = mine + sum(sum(other.values()) for other in others)
        part = total_slots * mine / everyone if everyone else equal
        return max(1, math.ceil((equal + part) / 2 * 1.5))


class _ByFairShare:
    """The rule that daemons use: fair shares by workspace."""

    def share(
        self,
        total_slots: int,
        own: Demand,
        others: Sequence[Demand],
    ) -> int:
        return DemandShares({}).share(total_slots, own, others)


@attrs.frozen
class _Case:
    """Where the workspaces connect, and what happens to the daemons.

    Attributes
    ----------
    large_at, small_at
        Indexes of the daemons that the callers use.
    down
        Index of a daemon that is dead in the middle third of the overload.
    partitioned
        Whether the daemons are partitioned into halves for that time.
    """

    large_at: tuple[int, ...]
    small_at: tuple[int, ...]
    overload: float
    down: int | None = None
    partitioned: bool = False


@attrs.define(eq=False)
class _Daemon:
    index: int
    queue: FairQueue
    in_flight: Counter[str] = attrs.field(factory=Counter)
    demands_by_peer: dict[int, Demand] = attrs.field(factory=dict)
    backoff_until_s: float = 0
    tokens_per_s: float = 0
    service_s: float = 0

    def record(self, held_s: float) -> None:
        """Update the estimates from an ended request, as a daemon does."""
        rate = _TOKENS / held_s * (self.in_flight.total() + 1)
        self.tokens_per_s += EWMA_WEIGHT * (rate - self.tokens_per_s)
        self.service_s += EWMA_WEIGHT * (held_s - self.service_s)

    def may_wait(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether a ticket may still meet its deadline."""
        wait_s: float = 0
        if self.tokens_per_s > 0:
            wait_s = self.queue.tokens_ahead(ticket) / self.tokens_per_s
        ready_at_s = now_s + wait_s + self.expected_s(ticket)
        return ready_at_s <= ticket.deadline_at_s

    def expected_s(self, ticket: Ticket) -> float:
        return self.service_s

    def demand(self) -> Counter[str]:
        return self.in_flight + Counter(self.queue.waiting())


class _Model:
    def __init__(self, rule: _Rule, case: _Case, seed: int) -> None:
        self.random = Random(seed)
        self.rule = rule
        self.case = case
        self.now_s: float = 0
        self.daemons = [
            _Daemon(index, FairQueue({}, _MAX_QUEUED))
            for index in range(_DAEMONS)
        ]
        self.sent: Counter[str] = Counter()
        self.answered_in_time: Counter[str] = Counter()
        self.attempts = 0
        self.running = 0
        self.waiting: deque[tuple[_Daemon, Ticket, float]] = deque()
        self.last_late_at_s: float = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def run(self) -> None:
        rate = _CAPACITY / 2 / len(_SMALL)
        for name in _SMALL:
            self._arrive(name, rate)
        self._arrive(_LARGE, _CAPACITY * self.case.overload)
        for daemon in self.daemons:
            self._receive_updates(daemon)
        until_s = _END_S + 60
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._events)
            call()

    def _at(self, delay_s: float, call: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._sequence), call)
        heapq.heappush(self._events, entry)

    def _is_fault_period(self) -> bool:
        third_s = (_END_S - _BEGIN_S) / 3
        return _BEGIN_S + third_s <= self.now_s < _END_S - third_s

    def _is_up(self, daemon: _Daemon) -> bool:
        return not (self._is_fault_period() and daemon.index == self.case.down)

    def _reaches(self, one: _Daemon, other: _Daemon) -> bool:
        if not self._is_up(other):
            return False
        half = _DAEMONS // 2
        cut = self.case.partitioned and self._is_fault_period()
        return not cut or (one.index < half) == (other.index < half)

    def _receive_updates(self, daemon: _Daemon) -> None:
        """Receive the demands of every reachable daemon."""
        daemon.demands_by_peer = {
            other.index: other.demand()
            for other in self.daemons
            if other is not daemon and self._reaches(daemon, other)
        }
        self._admit(daemon)
        delay_s = self.random.uniform(*_UPDATE_INTERVAL_RANGE_S)
        self._at(delay_s, lambda: self._receive_updates(daemon))

    def _arrive(self, name: str, rate: float) -> None:
        large = name == _LARGE
        if not large or _BEGIN_S <= self.now_s < _END_S:
            at = self.case.large_at if large else self.case.small_at
            up = [
                self.daemons[index]
                for index in at
                if self._is_up(self.daemons[index])
            ]
            self._submit(name, self.random.choice(up or self.daemons[:1]))
        gap_s = self.random.expovariate(rate)
        self._at(gap_s, lambda: self._arrive(name, rate))

    def _submit(self, name: str, daemon: _Daemon) -> None:
        if _BEGIN_S <= self.now_s < _END_S:
            self.sent[name] += 1
        ticket = Ticket(name, 'draft', _TOKENS, self.now_s + _DEADLINE_S)
        if daemon.may_wait(ticket, self.now_s):
            daemon.queue.push(ticket)
        self._admit(daemon)

    def _admit(self, daemon: _Daemon) -> None:
        daemon.queue.drop_expired(self.now_s, daemon.expected_s)
        if not self._is_up(daemon) or self.now_s < daemon.backoff_until_s:
            return
        share = self.rule.share(
            _SLOTS,
            daemon.demand(),
            list(daemon.demands_by_peer.values()),
        )
        while daemon.in_flight.total() < share:
            ticket = daemon.queue.pop()
            if ticket is None or not self._send(daemon, ticket):
                return

    def _send(self, daemon: _Daemon, ticket: Ticket) -> bool:
        self.attempts += 1
        if len(self.waiting) >= _MAX_QUEUED_AT_ENGINES:
            daemon.backoff_until_s = self.now_s + _REFUSAL_BACKOFF_S
            daemon.queue.push(ticket)
            self._at(_REFUSAL_BACKOFF_S, lambda: self._admit(daemon))
            return False
        daemon.in_flight[ticket.workspace] += 1
        self.waiting.append((daemon, ticket, self.now_s))
        self._start()
        return True

    def _start(self) -> None:
        while self.waiting and self.running < _SLOTS:
            entry = self.waiting.popleft()
            arrived_at_s = entry[1].deadline_at_s - _DEADLINE_S
            if (
                arrived_at_s >= _END_S
                and self.now_s - arrived_at_s > _MAX_PROMPT_WAIT_S
            ):
                self.last_late_at_s = arrived_at_s
            self.running += 1
            service_s = _SERVICE_S * self.random.uniform(*_SERVICE_FACTOR_RANGE)
            self._at(service_s, lambda ended=entry: self._end(*ended))

    def _end(self, daemon: _Daemon, ticket: Ticket, sent_at_s: float) -> None:
        self.running -= 1
        daemon.in_flight[ticket.workspace] -= 1
        daemon.record(self.now_s - sent_at_s)
        arrived_at_s = ticket.deadline_at_s - _DEADLINE_S
        in_time = self.now_s <= ticket.deadline_at_s
        if _BEGIN_S <= arrived_at_s < _END_S and in_time:
            self.answered_in_time[ticket.workspace] += 1
        self._start()
        self._admit(daemon)


def _figures(rule: _Rule, case: _Case, seed: int) -> dict[str, float]:
    model = _Model(rule, case, seed)
    model.run()
    fair_share = _CAPACITY / 2 * (_END_S - _BEGIN_S)
    return {
        'worst_small_share_of_asked': round(
            min(
                model.answered_in_time[name] / model.sent[name]
                for name in _SMALL
            ),
            3,
        ),
        'large_goodput_of_due': round(
            model.answered_in_time[_LARGE] / fair_share, 3
        ),
        'used_of_capacity': round(
            model.answered_in_time.total() / fair_share / 2, 3
        ),
        'recovery_s': round(max(0.0, model.last_late_at_s - _END_S), 1),
    }


def _cases(overload: float) -> dict[str, _Case]:
    everywhere = tuple(range(_DAEMONS))
    return {
        'all through all': _Case(everywhere, everywhere, overload),
        'large through one': _Case((0,), everywhere, overload),
        'small through one': _Case(everywhere, (0,), overload),
        'each through another one': _Case((0,), (1,), overload),
        'one dies and joins': _Case(everywhere, everywhere, overload, down=1),
        'parted in halves': _Case(
            everywhere,
            everywhere,
            overload,
            partitioned=True,
        ),
        'small through one, parted': _Case(
            everywhere,
            (0,),
            overload,
            partitioned=True,
        ),
    }


async def async_daemons(seed: int) -> dict[str, Any]:
    """Run every case with every rule."""
    rules: dict[str, _Rule] = {
        'equal parts': _EqualShares(),
        'by demand': _ByDemand(),
        'by due': _ByFairShare(),
    }
    return {
        'fairness': {
            f'{overload}x': {
                name: {
                    title: _figures(rule, case, seed)
                    for title, rule in rules.items()
                }
                for name, case in _cases(overload).items()
            }
            for overload in (2, 5)
        },
    }
