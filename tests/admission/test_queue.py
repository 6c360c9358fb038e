"""Order, bounds and estimates of the admission queue, without a clock."""

import time
import unittest
from random import Random

from yuccavalve.admission import (
    AdmissionQueue,
    Forecast,
    PoolEngines,
    RepairTimes,
    RoomPromises,
    WaitingRequest,
    ranked_waits_s,
)

_POOL = ('llm', 'm6')


def _request(
    workspace: str = 'a', rank: int = 4, at_s: float = 0, **fields: object
) -> WaitingRequest:
    defaults = {
        'cost': 100,
        'size_bytes': 10,
        'first_arrived_at_s': at_s,
        'give_up_at_s': at_s + 2,
        'group': (1.0, False),
    }
    return WaitingRequest(
        pool=_POOL,
        workspace=workspace,
        request_class='c',
        rank=rank,
        entered_at_s=at_s,
        **{**defaults, **fields},
    )


def _served(queue: AdmissionQueue) -> list[WaitingRequest]:
    served = []
    while (request := queue.peek(_POOL)) is not None:
        queue.serve(request)
        served.append(request)
    return served


class AdmissionQueueTest(unittest.TestCase):
    """One pool; each test names the order that it guards."""

    def setUp(self) -> None:
        self.queue = AdmissionQueue(max_count=40, max_bytes=1000)

    def _push(self, *requests: WaitingRequest) -> list[WaitingRequest]:
        return [
            each for request in requests for each in self.queue.push(request)
        ]

    def test_resumed_streams_come_first_then_ranks_then_arrivals(self) -> None:
        late, early = _request(at_s=2), _request(at_s=1)
        urgent, resumed = _request(rank=0, at_s=3), _request(rank=-1, at_s=4)
        self._push(late, early, urgent, resumed)
        self.assertEqual(_served(self.queue), [resumed, urgent, early, late])

    def test_returning_caller_is_placed_by_its_first_arrival(self) -> None:
        waiting = _request(at_s=5)
        back = _request(at_s=6, first_arrived_at_s=1)
        self._push(waiting, back)
        self.assertIs(self.queue.peek(_POOL), back)

    def test_flooding_workspace_waits_behind_its_own_requests(self) -> None:
        self._push(*(_request('flood', at_s=each) for each in range(30)))
        self._push(_request('b', at_s=50), _request('c', at_s=51))
        names = [each.workspace for each in _served(self.queue)[:4]]
        self.assertEqual(set(names[1:3]), {'b', 'c'})

    def test_large_prompts_are_not_starved(self) -> None:
        for index in range(18):
            self._push(_request('small', at_s=index))
            self._push(_request('small', at_s=index))
            if index % 5 == 0:
                self._push(_request('large', at_s=index, cost=1000))
        first = _served(self.queue)[:12]
        large = sum(each.workspace == 'large' for each in first)
        self.assertGreaterEqual(large, 3)

    def test_less_urgent_ranks_all_get_some_turns(self) -> None:
        for index in range(12):
            for rank in (0, 4, 9):
                self._push(_request(rank=rank, at_s=index))
        ranks = []
        for _ in range(24):
            request = self.queue.peek(_POOL)
            self.queue.serve(request)
            ranks.append(request.rank)
            self._push(_request(rank=0, at_s=100))
        self.assertEqual(ranks.count(0), 21)
        self.assertEqual({0, 4, 9} - set(ranks[:24]), set())

    def test_newest_of_the_flooding_workspace_is_displaced(self) -> None:
        flood = [_request('flood', at_s=each) for each in range(39)]
        self._push(*flood, _request('b'))
        self.assertEqual(self._push(_request('b', at_s=60)), [flood[-1]])
        self.assertEqual(len(self.queue), 40)

    def test_returning_caller_displaces_nobody_of_its_rank(self) -> None:
        self._push(*(_request(at_s=each) for each in range(40)))
        back = _request(at_s=60, first_arrived_at_s=-5)
        self.assertEqual(self._push(back), [back])

    def test_urgent_request_displaces_a_less_urgent_one(self) -> None:
        self._push(*(_request(at_s=each) for each in range(40)))
        displaced = self._push(_request(rank=1, at_s=60))
        self.assertEqual([each.rank for each in displaced], [4])

    def test_bodies_are_bounded_and_released(self) -> None:
        held = _request(size_bytes=990)
        self._push(held)
        self.assertEqual(len(self._push(_request(size_bytes=500))), 1)
        self.queue.remove(held)
        self.assertFalse(self.queue.remove(held))
        self.assertEqual((len(self.queue), self.queue.size_bytes), (0, 0))

    def test_next_of_two_hundred_costs_little(self) -> None:
        queue = AdmissionQueue()
        for index in range(200):
            queue.push(_request(f'w{index % 20}', index % 10, index))
        began_s = time.process_time()
        for _ in range(100):
            queue.peek(_POOL)
        self.assertLess((time.process_time() - began_s) / 100, 0.002)

    def test_estimate_follows_the_order(self) -> None:
        self._push(_request(rank=0), _request('b', at_s=1), _request('c'))
        waits = ranked_waits_s(
            self.queue.by_rank(_POOL), Forecast(0.5, 1, 2, '')
        )
        by_rank = sorted((each.rank, wait_s) for each, wait_s in waits)
        self.assertEqual(by_rank[0], (0, 0.5))
        self.assertEqual(by_rank[-1], (4, 1.5))


class ExpectationTest(unittest.TestCase):
    """What is expected of lost engines, and promised to callers."""

    def test_repair_is_expected_until_it_is_overdue(self) -> None:
        times = RepairTimes()
        times.observe(PoolEngines(frozenset('a')), 0)
        self.assertIsNone(times.expected_s(0))
        times.observe(PoolEngines(frozenset()), 10)
        left_s, reason = times.expected_s(10.5)
        self.assertAlmostEqual(left_s, 0.7)
        self.assertEqual(reason, 'repair')
        self.assertIsNone(times.expected_s(14))

    def test_repair_times_are_learned(self) -> None:
        times = RepairTimes()
        for at_s in range(0, 100, 10):
            lost, new = f'e{at_s}', f'e{at_s + 10}'
            times.observe(PoolEngines(frozenset((lost,))), at_s)
            suspect = PoolEngines(frozenset(), frozenset((lost,)))
            times.observe(suspect, at_s + 1)
            both = PoolEngines(frozenset((new,)), frozenset((lost,)))
            times.observe(both, at_s + 3)
            # A repaired engine that stays listed is no new loss.
            self.assertIsNone(times.expected_s(at_s + 3))
        self.assertAlmostEqual(times.repair_s, 2, delta=0.2)

    def test_forming_replica_is_expected(self) -> None:
        times = RepairTimes()
        nothing = frozenset()
        times.observe(PoolEngines(nothing, nothing, frozenset('r')), 5)
        self.assertEqual(times.expected_s(5.3)[1], 'forming')

    def test_callers_return_one_by_one_and_memory_is_bounded(self) -> None:
        promises = RoomPromises(Random(1), max_count=10)
        times_s = [promises.promise_s(_POOL, 1, 4, 0) for _ in range(12)]
        self.assertGreaterEqual(min(times_s), 1)
        self.assertGreater(max(times_s) - min(times_s), 2)
        for number, time_s in enumerate(times_s):
            promises.remember(number, number, time_s, 20)
        self.assertEqual(len(promises), 10)
        self.assertEqual(promises.first_arrival_s(11, 22), 11)
        self.assertEqual(promises.first_arrival_s(11, 22), 22)
        self.assertEqual(promises.first_arrival_s(0, 22), 22)
