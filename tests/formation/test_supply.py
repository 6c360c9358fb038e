"""Tests that a model without a replica gets the engines and loads it needs."""

import unittest
from random import Random
from unittest import mock

import attrs

from tests.support.fleet_model import FleetModel, service_profile
from tests.support.formation_builders import formation_planner
from yuccavalve.formation.load_rate import LoadRateLimiter
from yuccavalve.formation.staging import HostStaging


class MissingModelTest(unittest.TestCase):
    """One domain with a replica of each model, and loads of 12 s."""

    def setUp(self) -> None:
        """Form the replicas."""
        profile = service_profile(load_s=12, warm_s=1.2)
        self.model = FleetModel(Random(1), profile, started=False)
        self.model.add('d0', 9)
        self.planner = formation_planner()
        self.planner.start_term(1)
        self.model.run(20, self.planner)
        self.model.started = True

    # The simulation stages models at once, which would hide the delay.
    @mock.patch.object(HostStaging, 'tasks', lambda *_: ())
    def test_load_of_another_model_does_not_delay_the_missing_one(
        self,
    ) -> None:
        self.model.add('d0', 2)
        self.model.run(1, self.planner)
        loads = {
            engine.joined.model: engine.engine
            for engine in self.model.engines.values()
            if engine.engine in {'d0-9', 'd0-10'}
        }
        self.assertEqual(loads.keys(), {'m6', 'm3'})
        self.model.kill(loads['m6'])
        head = self.model.open_heads('m6')[0]
        self.model.kill(head.joined.members[2])
        # Detection, one load, and the forming of the replica.
        self.model.run(1.4 + 12 + 2, self.planner)
        self.assertEqual(len(self.model.open_heads('m6')), 1)
        self.assertEqual(self.model.violations, [])

    def test_no_second_model_is_staged_meanwhile(self) -> None:
        facts = self.model.facts()
        facts = attrs.evolve(
            facts,
            engines={
                name: attrs.evolve(record, staged=frozenset())
                for name, record in facts.engines.items()
            },
        )
        staging = HostStaging(LoadRateLimiter())
        missing = attrs.evolve(facts, missing=frozenset(('m3',)))
        self.assertEqual(list(staging.tasks(missing, 1, 0)), [])
        self.assertTrue(list(staging.tasks(facts, 1, 0)))

    def test_other_models_leave_half_of_the_rate(self) -> None:
        facts = self.model.facts()
        loads = LoadRateLimiter()
        loads.start(11, 0)
        self.assertFalse(loads.may_start(facts, 1, 1, 0.5))
        self.assertTrue(loads.may_start(facts, 11, 1))
        self.assertFalse(loads.may_start(facts, 12, 1))
