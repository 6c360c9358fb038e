"""Routing, fairness and retries, compared with baselines in queueing models.

Requests go through the daemon's decision code under a manual clock. An
engine is a queue in front of a number of slots; a prompt whose prefix it has
cached needs a shorter prefill. Compare results only within one run.
"""

import heapq
import itertools
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import attrs

from yuccavalve.load import (
    AffinityRouter,
    Candidate,
    FairQueue,
    RetryBudget,
    Ticket,
)

__all__ = ('async_load',)

_REPLICAS = 16
_SLOTS = 16
_DAEMONS = 8
_TOKENS = 100
_TOKEN_S = 0.03
_PREFILL_MISS_S = 0.8
_PREFILL_HIT_S = 0.1
_MAX_CACHED_PREFIXES = 24
_PREFIXES = 200
_RUN_S = 300.0
_WARM_UP_S = 60.0


class _Router(Protocol):
    def choose(self, candidates: Any, prefix_key: str, random: Random) -> Any:
        """Return a candidate."""


class _RandomRouter:
    def choose(self, candidates: Any, prefix_key: str, random: Random) -> Any:
        return random.choice(candidates)


class _LeastReportedRouter:
    def choose(self, candidates: Any, prefix_key: str, random: Random) -> Any:
        return min(candidates, key=lambda each: each.reported)


class _TwoChoicesRouter:
    def choose(self, candidates: Any, prefix_key: str, random: Random) -> Any:
        return min(
            random.sample(list(candidates), 2),
            key=lambda each: each.reported + each.own_since_report,
        )


@attrs.define(eq=False)
class _Engine:
    name: str
    slowdown: float = 1
    running: int = 0
    alive: bool = True
    queue: deque = attrs.field(factory=deque)
    cache: OrderedDict = attrs.field(factory=OrderedDict)
    reported: int = 0

    def prefill_s(self, prefix: str) -> float:
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > _MAX_CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return _PREFILL_HIT_S if hit else _PREFILL_MISS_S


class _Simulation:
    """Runs scheduled calls in the order of their time."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.now_s: float = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def at(self, delay_s: float, call: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._count), call)
        heapq.heappush(self._events, entry)

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._events)
            call()


@attrs.define
class _RoutingCase:
    router: _Router
    lag_s: float
    straggler: bool = False
    lost: bool = False
    utilisation: float = 0.7


def _routing(case: _RoutingCase, seed: int) -> dict[str, Any]:
    sim = _Simulation(Random(seed))
    engines = [_Engine(f'p{number}') for number in range(_REPLICAS)]
    if case.straggler:
        engines[0].slowdown = 4
    in_flight = [Counter() for _ in range(_DAEMONS)]
    since_report: list[Counter[str]] = [Counter() for _ in range(_DAEMONS)]
    slow_requests: Counter[str] = Counter()
    first_s: list[float] = []
    hits = Counter()
    service_s = _PREFILL_MISS_S / 2 + _TOKENS * _TOKEN_S
    rate = _REPLICAS * _SLOTS * case.utilisation / service_s

    def report() -> None:
        for engine in engines:
            engine.reported = engine.running + len(engine.queue)
        for counter in since_report:
            counter.clear()
        sim.at(case.lag_s, report)

    def arrive() -> None:
        sim.at(sim.random.expovariate(rate), arrive)
        daemon = sim.random.randrange(_DAEMONS)
        prefix = f'x{int(_PREFIXES * sim.random.random() ** 2)}'
        candidates = [
            Candidate(
                engine.name,
                _SLOTS,
                in_flight[daemon][engine.name],
                engine.reported,
                case.lag_s / 2,
                since_report[daemon][engine.name],
                4 if slow_requests[engine.name] > 20 else 1,
            )
            for engine in engines
            if engine.alive
        ]
        chosen = case.router.choose(candidates, prefix, sim.random)
        engine = next(each for each in engines if each.name == chosen.replica)
        in_flight[daemon][engine.name] += 1
        since_report[daemon][engine.name] += 1
        engine.queue.append((sim.now_s, prefix, daemon))
        start(engine)

    def start(engine: _Engine) -> None:
        while engine.queue and engine.running < _SLOTS:
            arrived_at_s, prefix, daemon = engine.queue.popleft()
            engine.running += 1
            prefill_s = engine.prefill_s(prefix)
            hits[prefill_s == _PREFILL_HIT_S] += 1
            if arrived_at_s > _WARM_UP_S:
                first_s.append(sim.now_s - arrived_at_s + prefill_s)
            busy_s = prefill_s + _TOKENS * _TOKEN_S * engine.slowdown
            sim.at(busy_s, lambda daemon=daemon: end(engine, daemon))

    def end(engine: _Engine, daemon: int) -> None:
        engine.running -= 1
        in_flight[daemon][engine.name] -= 1
        if engine.slowdown > 1:
            slow_requests[engine.name] += 1
        start(engine)

    def kill_engine() -> None:
        lost = engines[-1]
        lost.alive = False
        waiting = list(lost.queue)
        lost.queue.clear()
        for _ in waiting:
            sim.at(0, lambda: None)

    report()
    arrive()
    if case.lost:
        sim.at(_RUN_S / 2, kill_engine)
    sim.run(_RUN_S)
    ordered = sorted(first_s)
    return {
        'first_token_p50_s': round(ordered[len(ordered) // 2], 3),
        'first_token_p95_s': round(ordered[int(0.95 * len(ordered))], 3),
        'prefix_hit_rate': round(hits[True] / max(1, sum(hits.values())), 3),
    }


def _routing_cases(seed: int) -> dict[str, Any]:
    routers: dict[str, _Router] = {
        'random': _RandomRouter(),
        'least reported': _LeastReportedRouter(),
        'two choices': _TwoChoicesRouter(),
        'affinity': AffinityRouter(),
    }
    shapes = {
        'lag 0.5 s': {'lag_s': 0.5},
        'lag 1 s': {'lag_s': 1},
        'lag 5 s': {'lag_s': 5},
        'lag 1 s, straggler': {'lag_s': 1, 'straggler': True},
        'lag 1 s, one lost': {'lag_s': 1, 'lost': True},
    }
    return {
        shape: {
            name: _routing(_RoutingCase(router, **fields), seed)
            for name, router in routers.items()
        }
        for shape, fields in shapes.items()
    }


class _Fifo:
    """First-in first-out queue, the baseline for the fair queue."""

    def __init__(self, max_queued: int) -> None:
        self._queue: deque[Ticket] = deque()
        self._max_queued = max_queued

    def push(self, ticket: Ticket) -> bool:
        if len(self._queue) >= self._max_queued:
            return False
        self._queue.append(ticket)
        return True

    def pop(self) -> Ticket | None:
        return self._queue.popleft() if self._queue else None

    def drop_expired(self, now_s: float, min_service_s: Any) -> list[Ticket]:
        kept = [each for each in self._queue if each.deadline_at_s > now_s]
        expired = len(self._queue) - len(kept)
        self._queue = deque(kept)
        return [Ticket('', '', 0, 0)] * expired


def _fairness(
    queue: Any,
    overload: float,
    seed: int,
    *,
    early: bool = False,
) -> dict[str, Any]:
    """Overload a group with one large workspace for two minutes.

    With ``early``, requests that can't meet their deadline are refused on
    arrival.
    """
    sim = _Simulation(Random(seed))
    slots, service_s, deadline_s = 64, 3.0, 10.0
    capacity = slots / service_s
    small = [f'w{number}' for number in range(9)]
    small_rate = capacity * 0.5 / len(small)
    begin_s, end_s, until_s = 60.0, 180.0, 300.0
    running = 0
    sent: Counter[str] = Counter()
    good: Counter[str] = Counter()
    waits: list[tuple[float, float]] = []
    arrived_at_s: dict[Ticket, float] = {}

    def arrive(name: str, rate: float) -> None:
        large = name == 'large'
        if not large or begin_s <= sim.now_s < end_s:
            ticket = Ticket(name, 'draft', _TOKENS, sim.now_s + deadline_s)
            sent[name] += 1
            if may_wait(ticket) and queue.push(ticket):
                arrived_at_s[ticket] = sim.now_s
            start()
        gap_s = sim.random.expovariate(rate)
        sim.at(gap_s, lambda: arrive(name, rate))

    def may_wait(ticket: Ticket) -> bool:
        if not early:
            return True
        wait_s = queue.tokens_ahead(ticket) / (capacity * _TOKENS)
        return sim.now_s + wait_s + service_s <= ticket.deadline_at_s

    def start() -> None:
        nonlocal running
        queue.drop_expired(sim.now_s, lambda _: service_s if early else 0)
        while running < slots:
            ticket = queue.pop()
            if ticket is None:
                return
            running += 1
            wait_s = sim.now_s - arrived_at_s.pop(ticket)
            waits.append((sim.now_s, wait_s))
            if sim.now_s + service_s <= ticket.deadline_at_s:
                good[ticket.workspace] += 1
            sim.at(service_s, end)

    def end() -> None:
        nonlocal running
        running -= 1
        start()

    for name in small:
        arrive(name, small_rate)
    arrive('large', capacity * overload)
    sim.run(until_s)
    late = [at_s for at_s, wait_s in waits if at_s > end_s and wait_s > 0.5]
    return {
        'worst_small_share_of_asked': round(
            min(good[name] / sent[name] for name in small),
            3,
        ),
        'large_goodput_of_due': round(
            good['large'] / (0.5 * capacity * (end_s - begin_s)),
            3,
        ),
        'recovery_s': round(max(late) - end_s, 1) if late else 0,
    }


def _retries(budgeted: bool, seed: int) -> dict[str, Any]:
    """Fail half of the attempts for a minute while callers retry.

    Callers retry after 1 to 5 s with a budget, after 0.2 s without.
    """
    sim = _Simulation(Random(seed))
    budget = RetryBudget()
    rate, begin_s, end_s, until_s = 100.0, 60.0, 120.0, 240.0
    capacity_per_s = 130.0
    tokens = capacity_per_s
    attempts: Counter[int] = Counter()
    requests: Counter[int] = Counter()
    failed: Counter[int] = Counter()

    def refill() -> None:
        nonlocal tokens
        tokens = min(capacity_per_s, tokens + capacity_per_s * 0.05)
        sim.at(0.05, refill)

    def run_attempt() -> bool:
        """Run one attempt; a failed one costs 0.3 of a request."""
        nonlocal tokens
        attempts[int(sim.now_s)] += 1
        broken = begin_s <= sim.now_s < end_s and sim.random.random() < 0.5
        cost = 0.3 if broken else 1
        if tokens < cost:
            return False
        tokens -= cost
        return not broken

    def serve() -> bool:
        budget.deposit()
        if run_attempt():
            return True
        for _ in range(3):
            if budgeted and not budget.withdraw():
                return False
            if run_attempt():
                return True
        return False

    def arrive() -> None:
        sim.at(sim.random.expovariate(rate), arrive)
        ask(0)

    def ask(retries: int) -> None:
        second = int(sim.now_s)
        requests[second] += 1
        if serve():
            return
        failed[second] += 1
        if retries < 5:
            retry_after_s = 1 + 4 * sim.random.random() if budgeted else 0.2
            sim.at(retry_after_s, lambda: ask(retries + 1))

    refill()
    arrive()
    sim.run(until_s)
    window = range(int(begin_s), int(end_s))
    bad = [second for second in failed if second >= end_s]
    return {
        'attempts_over_requests': round(
            sum(attempts[s] for s in window) / sum(requests[s] for s in window),
            3,
        ),
        'peak_attempts_per_s': max(attempts.values()),
        'normal_again_after_s': round(max(bad, default=end_s) + 1 - end_s)
        if bad
        else 0,
    }


async def async_load(seed: int) -> dict[str, Any]:
    """Run all simulations."""
    weights: dict[str, float] = {}
    return {
        'routing': _routing_cases(seed),
        'fairness': {
            f'{overload}x': {
                'fifo': _fairness(_Fifo(512), overload, seed),
                'fair': _fairness(FairQueue(weights, 512), overload, seed),
                'fair, early': _fairness(
                    FairQueue(weights, 512),
                    overload,
                    seed,
                    early=True,
                ),
            }
            for overload in (2, 5)
        },
        'retries': {
            'three at once': _retries(False, seed),
            'budget': _retries(True, seed),
        },
    }
