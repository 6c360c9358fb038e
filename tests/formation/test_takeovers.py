"""Tests of planners that take over with what their daemon's view shows."""

import unittest
from collections.abc import Iterator
from random import Random

import attrs

from tests.support.daemon_model import DaemonFleetModel, ModelDaemon
from tests.support.fleet_model import (
    FleetModel,
    ModelEngine,
    service_profile,
)
from tests.support.formation_builders import STALL_S, formation_planner
from yuccavalve.fleet.memberships import Departure

_SIZES = (((6, 3), (0.67, 0.33)), ((3,), (1,)), ((3, 2), (0.5, 0.5)))
_LATE_SHARES = (0, 0.1, 0.3, 0.5)
_ENGINE_FAULTS = (
    'kill',
    'depart',
    'silence',
    'cut',
    'cut_off',
    'drain',
    'both',
)
_DAEMON_FAULTS = ('cut', 'heal', 'change', 'pause', 'restart')
_SEARCH_SEEDS = 60
_FAULTS = 14


class UnseenReplicaTest(unittest.TestCase):
    """A replica is formed and an engine leaves while a daemon sees nothing.

    The daemon then takes over. Its view shows the members without their head,
    and engines that are missing as they were long before.
    """

    def _unseen_heads(
        self, model: DaemonFleetModel, blind: ModelDaemon
    ) -> list[ModelEngine]:
        """Return heads that opened replicas while a daemon saw nothing."""
        random = model.random
        model.cut_daemon(blind, store=True, peers=True)
        model.run_daemons(random.uniform(0.2, 1))
        known = {head.joined.epoch for head in model.open_heads('m3')}
        broken = random.choice(model.open_heads('m3'))
        model.kill(broken.joined.members[-1])
        model.run_daemons(random.uniform(3, 7))
        return [
            head
            for head in model.open_heads('m3')
            if head.joined.epoch not in known
        ]

    def _take_over_blindly(
        self, seed: int, ranks: tuple[int, ...]
    ) -> list[str] | None:
        """Return the broken rules; None if no replica was formed unseen.

        Parameters
        ----------
        seed
            Seed of the schedule.
        ranks
            Ranks of the engines that leave the list.
        """
        model = DaemonFleetModel(Random(seed), service_profile((3,), (1,)))
        model.add('d0', 7 + seed % 5)
        model.daemons = [ModelDaemon() for _ in range(3)]
        model.run_daemons(12)
        blind = next(
            daemon for daemon in model.daemons if daemon is not model.holder
        )
        heads = self._unseen_heads(model, blind)
        if not heads:
            return None
        model.heal_daemons()
        members = heads[0].joined.members
        for rank in ranks:
            model.depart(members[rank], model.random.uniform(3, 10))
        model.hand_over(blind)
        model.run_daemons(6)
        return model.violations

    def _check(self, *ranks: int) -> None:
        played = 0
        for seed in range(60):
            violations = self._take_over_blindly(seed, ranks)
            if violations is not None:
                played += 1
                with self.subTest(seed=seed):
                    self.assertEqual(violations, [])
        self.assertGreater(played, 20)

    def test_unseen_replica_of_a_leaving_head_keeps_its_engines(self) -> None:
        """The head and members were taken for others while it was open."""
        self._check(0)

    def test_members_that_leave_with_an_unseen_head_are_not_taken(self) -> None:
        """They were taken for the spares that they had been."""
        self._check(0, 1)
        self._check(0, 2)


class MissingEngineTest(unittest.TestCase):
    """One of three engines went missing from the list a short time ago."""

    def test_no_replica_is_formed_with_it(self) -> None:
        """It may be in another replica by now."""
        model = FleetModel(Random(1), service_profile((3,), (1,)))
        model.add('d0', 3)
        model.run(1)
        planner = formation_planner(1)
        missing = frozenset(('d0-1',))
        facts = attrs.evolve(model.facts(), unsure=missing)
        tasks = planner.step(facts, model.now_s)
        self.assertNotIn('d0-1', {task.engine.engine for task in tasks})
        self.assertEqual(planner.forming, {})


class HiddenReplicaTest(unittest.TestCase):
    """One of three engines was a spare and is in no replica any more."""

    def test_spare_that_left_something_unseen_waits(self) -> None:
        """It had joined a replica and left it between two readings."""
        model = FleetModel(Random(1), service_profile((3,), (1,)))
        model.add('d0', 3)
        model.run(1)
        planner = formation_planner(1)
        left = Departure('standby-m3-1000005', 1000005, 0, model.now_s)
        for waited_s, is_used in ((0, False), (5.9, False), (STALL_S, True)):
            facts = attrs.evolve(model.facts(), departures={'d0-1': left})
            tasks = planner.step(facts, left.at_s + waited_s)
            joined = {task.engine.engine for task in tasks}
            with self.subTest(waited_s=waited_s):
                self.assertEqual('d0-1' in joined, is_used)


class OrderSearchTest(unittest.TestCase):
    """Random faults of engines, orders and daemons, and changes of planners.

    Orders are late or lost, also those that other daemons pass on; heads fall
    silent, leave the list, or are cut off from the store and from daemons, also
    from all of them, alone or with members; daemons are cut off, restarted,
    paused, or replaced as planners.
    """

    def _play(self, seed: int) -> DaemonFleetModel:
        random = Random(seed)
        sizes, shares = random.choice(_SIZES)
        profile = service_profile(sizes, shares, random.choice((3, 1)))
        model = DaemonFleetModel(random, profile, random.choice(_LATE_SHARES))
        model.first_read_s = random.choice((0, 0.1, 1))
        model.add('d0', random.randrange(sizes[0] + 1, 12))
        model.add('d1', random.randrange(3, 12))
        model.daemons = [ModelDaemon() for _ in range(random.choice((2, 3, 7)))]
        model.run_daemons(6)
        for _ in range(_FAULTS):
            if random.random() < 0.6:
                self._harm_engine(model, random.choice(_ENGINE_FAULTS))
            else:
                self._harm_daemon(model, random.choice(_DAEMON_FAULTS))
            model.run_daemons(random.uniform(0.1, 4))
        return model

    def _harm_engine(self, model: DaemonFleetModel, fault: str) -> None:
        random = model.random
        heads = list(self._heads(model))
        if not heads or random.random() < 0.4:
            heads = list(model.engines.values())
        engine = random.choice(heads)
        name = engine.engine
        if not engine.alive:
            model.restart(name)
        elif fault == 'kill':
            model.kill(name)
        elif fault == 'drain':
            engine.draining = True
        elif fault == 'cut':
            most = max(1, len(model.daemons) // 2)
            cut = random.sample(model.daemons, random.randrange(most))
            model.cut_engine(name, random.uniform(3, 12), cut)
        elif fault == 'cut_off':
            members = engine.joined.members if engine.joined else (name,)
            for each in {name, *members[: random.randrange(1, 4)]}:
                cut_s = random.uniform(2, 15)
                model.cut_engine(each, cut_s, model.daemons)
        else:
            self._hide(model, name, fault)

    def _hide(self, model: DaemonFleetModel, name: str, fault: str) -> None:
        """Take an engine off the list, silence it for a moment, or both."""
        random = model.random
        if fault != 'depart':
            model.silence(name, random.uniform(0.2, 1.2))
        if fault != 'silence' and not model.has_departed(name):
            model.depart(name, random.uniform(1, 10))

    def _heads(self, model: DaemonFleetModel) -> Iterator[ModelEngine]:
        for engine in model.engines.values():
            if engine.alive and engine.joined and not engine.joined.rank:
                yield engine

    def _harm_daemon(self, model: DaemonFleetModel, fault: str) -> None:
        random = model.random
        daemon = random.choice(model.daemons)
        if fault == 'cut':
            model.cut_daemon(
                daemon,
                store=random.random() < 0.7,
                peers=random.random() < 0.5,
            )
        elif fault == 'heal':
            model.heal_daemons()
        elif fault == 'restart':
            model.restart_daemon(daemon)
        else:
            pause_s = random.uniform(0, 8) if fault == 'pause' else None
            model.take_over(pause_s)

    def test_rules_hold_for_many_seeds(self) -> None:
        """Members joined others while their head was open."""
        for seed in range(_SEARCH_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(self._play(seed).violations[:2], [])


class IsolatedPlannerTest(unittest.TestCase):
    """A planner that reaches the store and no other daemon.

    A head engine is cut off from the store and from the planner for 25 s, and
    serves the other daemons.
    """

    def test_head_that_others_reach_keeps_its_members(self) -> None:
        """It counted as stopped, as the planner could ask nobody."""
        for seed in range(5):
            model = DaemonFleetModel(Random(seed), service_profile((3,), (1,)))
            model.add('d0', 8)
            model.daemons = [ModelDaemon() for _ in range(3)]
            model.run_daemons(12)
            model.cut_daemon(model.holder, store=False, peers=True)
            head = model.open_heads('m3')[0]
            model.cut_engine(head.engine, 25, [model.holder])
            model.run_daemons(24)
            with self.subTest(seed=seed):
                self.assertEqual(model.violations[:2], [])
