"""Fair queueing, retry limits, replica selection and outlier detection."""

import unittest
from random import Random

from yuccavalve.load import (
    AffinityRouter,
    Candidate,
    FairQueue,
    ReplicaScores,
    RetryBudget,
    Ticket,
    retry_after_s,
)


def _ticket(workspace: str, request_class: str = 'draft') -> Ticket:
    return Ticket(workspace, request_class, 100, 1000)


class FairQueueTest(unittest.TestCase):
    """Workspaces share the queue by weight, and classes keep their order."""

    def test_small_workspace_is_not_starved(self) -> None:
        queue = FairQueue({}, 1000)
        for _ in range(100):
            queue.push(_ticket('large'))
        queue.push(_ticket('small'))
        first = [queue.pop() for _ in range(3)]
        self.assertIn('small', [each.workspace for each in first if each])

    def test_tickets_are_served_in_proportion_to_weights(self) -> None:
        queue = FairQueue({'a': 3, 'b': 1}, 1000)
        for _ in range(100):
            queue.push(_ticket('a'))
            queue.push(_ticket('b'))
        served = [queue.pop() for _ in range(40)]
        count = sum(each.workspace == 'a' for each in served if each)
        self.assertEqual(count, 30)

    def test_higher_class_is_served_first(self) -> None:
        queue = FairQueue({}, 10)
        queue.push(_ticket('a', 'summary'))
        queue.push(_ticket('a', 'screening'))
        first = queue.pop()
        self.assertEqual(first and first.request_class, 'screening')

    def test_lower_class_is_not_starved(self) -> None:
        queue = FairQueue({}, 1000)
        queue.push(_ticket('a', 'summary'))
        for _ in range(50):
            queue.push(_ticket('a', 'screening'))
        served = [queue.pop() for _ in range(10)]
        classes = [each.request_class for each in served if each]
        self.assertIn('summary', classes)

    def test_one_workspace_does_not_fill_the_queue(self) -> None:
        queue = FairQueue({}, 10)
        accepted = sum(queue.push(_ticket('large')) for _ in range(20))
        self.assertEqual(accepted, 5)
        self.assertTrue(queue.push(_ticket('small')))

    def test_underestimated_tokens_are_charged_later(self) -> None:
        queue = FairQueue({}, 100)
        cheap = Ticket('a', 'draft', 1, 1000)
        queue.push(cheap)
        queue.pop()
        queue.correct(cheap, 1000)
        queue.push(_ticket('a'))
        queue.push(_ticket('b'))
        first = queue.pop()
        self.assertEqual(first and first.workspace, 'b')

    def test_expired_tickets_are_removed(self) -> None:
        queue = FairQueue({}, 10)
        queue.push(_ticket('a'))
        self.assertEqual(len(queue.drop_expired(1000, lambda _: 0)), 1)
        self.assertIsNone(queue.pop())


class RetryTest(unittest.TestCase):
    """Retries stay a small part of first attempts and spread out in time."""

    def test_budget_bounds_retries(self) -> None:
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.deposit()
            while budget.withdraw():
                retries += 1
        self.assertLessEqual(retries, 100)

    def test_retry_after_has_jitter(self) -> None:
        random = Random(1)
        times = [retry_after_s(random, 10) for _ in range(100)]
        self.assertGreaterEqual(min(times), 10)
        self.assertGreater(max(times) - min(times), 8)


class RoutingTest(unittest.TestCase):
    """Prefix affinity within a bound on load."""

    def test_same_prefix_selects_the_same_replica(self) -> None:
        candidates = [Candidate(f'p{n}', 8) for n in range(8)]
        router = AffinityRouter()
        chosen = {
            router.choose(candidates, 'prefix', Random(seed)).replica
            for seed in range(20)
        }
        self.assertEqual(len(chosen), 1)

    def test_preferred_replica_is_avoided_when_loaded(self) -> None:
        router = AffinityRouter()
        idle = [Candidate(f'p{n}', 8) for n in range(8)]
        preferred = router.choose(idle, 'prefix', Random(1)).replica
        loaded = [
            Candidate(
                each.replica,
                8,
                own_in_flight=8 if each.replica == preferred else 0,
            )
            for each in idle
        ]
        chosen = router.choose(loaded, 'prefix', Random(1))
        self.assertNotEqual(chosen.replica, preferred)

    def test_old_reports_count_less(self) -> None:
        router = AffinityRouter()
        fresh = router.load(Candidate('p', 8, reported=8))
        stale = router.load(Candidate('p', 8, reported=8, report_age_s=9))
        self.assertGreater(fresh, stale)

    def test_straggler_is_detected_relative_to_other_replicas(self) -> None:
        scores = ReplicaScores()
        for _ in range(6):
            scores.record_speed('slow', 0.09)
            scores.record_speed('p1', 0.03)
            scores.record_speed('p2', 0.03)
        self.assertTrue(scores.is_straggler('slow'))
        self.assertFalse(scores.is_straggler('p1'))
