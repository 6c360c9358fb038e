"""What the planner does with the engines of evacuated zones."""

import unittest
from random import Random

from tests.support.fleet_model import FleetModel, service_profile
from tests.support.formation_builders import formation_planner

_B = frozenset('b')


class EvacuatedZoneTest(unittest.TestCase):
    """Replicas in two zones, of which b is evacuated."""

    def setUp(self) -> None:
        """Create the planner."""
        self.model = FleetModel(Random(1), service_profile(), started=False)
        self.planner = formation_planner()
        self.planner.start_term(1)

    def tearDown(self) -> None:
        """Check that no invariant was violated."""
        self.assertEqual(self.model.violations, [])

    def _form(self, **counts: int) -> None:
        for domain, count in counts.items():
            self.model.add(domain.replace('_', '-'), count)
        self.model.run(6, self.planner)
        self.model.started = True

    def _open(self, name: str, zone: str) -> list[str]:
        heads = [each.engine for each in self.model.open_heads(name)]
        return [head for head in heads if head.startswith(zone)]

    def _epochs(self) -> dict[str, int]:
        engines = self.model.engines.values()
        return {
            each.engine: each.joined.epoch
            for each in engines
            if each.joined and each.engine.startswith('b')
        }

    def test_lost_capacity_is_formed_elsewhere_and_kept_there(self) -> None:
        self._form(b_d0=12, a_d0=3)
        before = self._epochs()
        self.assertEqual(len(self._open('m6', 'b')), 2)
        self.model.evacuated = _B
        for engine in self.model.engines.values():
            engine.staged = ''
        # A new planner does not remember what it has staged.
        self.planner.start_term(2)
        self.model.add('b-d1', 3)
        self.model.add('a-d1', 6)
        self.model.run(10, self.planner)
        # Counting the two replicas in b would give a second m3 instead.
        self.assertEqual(len(self._open('m6', 'a')), 1)
        self.assertEqual(self._epochs(), before)
        engines = self.model.engines.values()
        staged = [each.domain for each in engines if each.staged]
        self.assertEqual(set(staged) & {'b-d0', 'b-d1'}, set())
        self.model.evacuated = frozenset()
        self.model.run(10, self.planner)
        self.assertEqual(len(self._open('m6', 'b')), 2)
        self.assertEqual(len(self._open('m3', 'b')), 1)

    def test_replica_that_is_forming_is_given_up_until_later(self) -> None:
        self.model.add('b-d0', 6)
        self.model.run(1, self.planner)
        self.assertEqual(len(self.planner.forming), 1)
        self.model.evacuated = _B
        self.model.run(6, self.planner)
        self.assertEqual(self._open('m6', 'b'), [])
        self.model.evacuated = frozenset()
        self.model.run(6, self.planner)
        self.assertEqual(len(self._open('m6', 'b')), 1)

    def test_busy_model_gets_no_engines_of_an_evacuated_zone(self) -> None:
        self.model.service = service_profile(shares=(0.1, 0.9))
        self._form(a_d0=6, a_d1=3, a_d2=3, a_d3=3, b_d0=6)
        self.assertEqual(len(self._open('m3', 'b')), 2)
        self.model.running = {'m6': 26, 'm3': 1}
        before = self._epochs()
        self.model.evacuated = _B
        self.model.run(12, self.planner)
        self.assertEqual(self._epochs(), before)
