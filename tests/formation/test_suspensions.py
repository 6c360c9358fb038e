"""Tests of the suspension of joins that crash engines."""

import unittest
from random import Random

from tests.support.fleet_model import FleetModel, service_profile
from tests.support.formation_builders import formation_planner
from yuccavalve.formation import FormationPlanner


def _planner(term: int = 1) -> FormationPlanner:
    return formation_planner(term)


class SuspensionTest(unittest.TestCase):
    """Engines in three domains, which restart 2 s after they end."""

    def _start(self, engines: int = 11, crashing: str = '') -> None:
        self.model = FleetModel(Random(1), service_profile(), started=False)
        self.model.crashing = {crashing} if crashing else set()
        for domain in ('d0', 'd1', 'd2'):
            self.model.add(domain, engines)
        self.planner = _planner()
        self._run(8)
        self.model.started = True

    def tearDown(self) -> None:
        """Check that no invariant was violated."""
        self.assertEqual(self.model.violations, [])

    def _run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.2)):
            self.model.run(0.2, self.planner)
            for name, engine in list(self.model.engines.items()):
                dead_s = self.model.now_s - engine.died_at_s
                if not engine.alive and dead_s >= 2:
                    self.model.restart(name)

    def _suspended(self) -> set[str]:
        return set(self.planner.suspensions.suspended)

    def test_crashing_model_is_suspended_and_the_other_served(self) -> None:
        self._start(crashing='m6')
        self.assertEqual(self._suspended(), {'m6'})
        self._run(3)
        before = len(self.model.crashes)
        self._run(30)
        self.assertLessEqual(len(self.model.crashes) - before, 2)
        self.assertGreaterEqual(len(self.model.open_heads('m3')), 4)

    def test_trials_come_ever_later(self) -> None:
        self._start(crashing='m6')
        self._run(4)
        before = len(self.model.crashes)
        self._run(120)
        times_s = self.model.crashes[before:]
        gaps_s = [
            later - first
            for first, later in zip(times_s, times_s[1:], strict=False)
        ]
        self.assertGreaterEqual(len(gaps_s), 2)
        self.assertTrue(
            all(b > 1.7 * a for a, b in zip(gaps_s, gaps_s[1:], strict=False))
        )

    def test_successful_trial_resumes_joins(self) -> None:
        self._start(crashing='m6')
        self._run(4)
        self.model.crashing.clear()
        self._run(30)
        self.assertEqual(self._suspended(), set())
        self.assertTrue(self.model.open_heads('m6'))

    def test_model_that_begins_to_crash_is_suspended(self) -> None:
        self._start()
        self._run(6)
        self.model.crashing = {'m6'}
        for head in self.model.open_heads('m6'):
            self.model.kill(head.joined.members[2])
        self._run(8)
        self.assertEqual(self._suspended(), {'m6'})

    def test_dark_domain_suspends_nothing(self) -> None:
        self._start()
        for engine in list(self.model.engines.values()):
            if engine.domain == 'd0':
                self.model.kill(engine.engine)
        for _ in range(60):
            self._run(0.2)
            self.assertEqual(self._suspended(), set())

    def test_domain_that_goes_dark_while_it_joins_suspends_nothing(
        self,
    ) -> None:
        self._start()
        self._run(6)
        head = self.model.open_heads('m6')[0]
        self.model.kill(head.joined.members[2])
        while not self.planner.forming:
            self.model.run(0.1, self.planner)
        for engine in list(self.model.engines.values()):
            if engine.domain == head.domain:
                self.model.kill(engine.engine)
        self._run(8)
        self.assertEqual(self._suspended(), set())

    def test_killed_and_leaving_engines_suspend_nothing(self) -> None:
        for seed in range(10):
            random = Random(seed)
            self._start()
            for _ in range(20):
                for name in random.sample(sorted(self.model.engines), 3):
                    if random.random() < 0.3:
                        self.model.engines[name].draining = True
                        self.model.depart(name, 2)
                    else:
                        self.model.kill(name)
                self._run(3)
                self.assertEqual(self._suspended(), set(), seed)

    def test_next_planner_starts_without_evidence(self) -> None:
        self._start(crashing='m6')
        self.planner.start_term(2)
        self.assertEqual(self._suspended(), set())
