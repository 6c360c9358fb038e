"""Tests of replicas whose head engine neither the store nor a daemon reaches.

Silence proves no end: the head serves on until its members have left it for as
long as a replica without them takes to break.
"""

import unittest
from collections.abc import Callable
from random import Random

from tests.support.daemon_model import DaemonFleetModel, ModelDaemon
from tests.support.fleet_model import (
    FleetModel,
    ModelEngine,
    service_profile,
)
from tests.support.formation_builders import STALL_S, formation_planner
from yuccavalve.fleet.const import UNLISTED_RETENTION_S
from yuccavalve.formation import OrderTask
from yuccavalve.formation.const import ENGINE_SILENCE_S, ORDER_TIMEOUT_S
from yuccavalve.ports.fleet import GroupOrder, GroupOrderKind, OrderOutcome

# A head that falls silent is found dead, and its order to leave is answered by
# nobody, before its members are ordered to leave.
_DETECTION_S = ENGINE_SILENCE_S + ORDER_TIMEOUT_S + 0.5


class UnreachedHeadTest(unittest.TestCase):
    """Two replicas of three engines in one domain; one head is cut off."""

    def setUp(self) -> None:
        """Open the replicas and cut one head off from everything."""
        self.model = FleetModel(Random(1), service_profile((3,), (1,)))
        self.model.add('d0', 7)
        self.planner = formation_planner(1)
        self.model.run(12, self.planner)
        self.head = self.model.open_heads('m3')[0]
        self.epoch = self.head.joined.epoch
        self.members = self.head.joined.members
        self.model.cut(self.head.engine, store=True, planner=True)
        self.model.silence(self.head.engine, 100)

    def tearDown(self) -> None:
        """Check that no engine joined another replica too early."""
        self.assertEqual(self.model.violations, [])

    def _hold(self, is_held: Callable[[ModelEngine, GroupOrder], bool]) -> None:
        self.model.holds = is_held

    def _return_head(self) -> None:
        self.head.silent_until_s = 0
        self.model.heal(self.head.engine)

    def _are_free(self) -> bool:
        """Return whether both members are in other replicas."""
        joined = [self.model.engines[name].joined for name in self.members[1:]]
        return all(
            each is not None and each.epoch > self.epoch for each in joined
        )

    def test_members_join_others_once_the_replica_has_broken(self) -> None:
        """They joined others 3.4 s after the cut (`review/7`)."""
        self.model.run(STALL_S, self.planner)
        self.assertFalse(self._are_free())
        self.model.run(_DETECTION_S + 1, self.planner)
        self.assertTrue(self._are_free())

    def test_wait_begins_when_a_late_leave_is_confirmed(self) -> None:
        """The first orders to leave reach the members 4 s late."""
        self._hold(lambda _, order: order.kind is GroupOrderKind.LEAVE)
        self.model.run(4, self.planner)
        self._hold(lambda *_: False)
        while self.model.held:
            self.model.release(GroupOrderKind.LEAVE)
        self.model.run(STALL_S - 0.5, self.planner)
        self.assertFalse(self._are_free())
        self.model.run(3, self.planner)
        self.assertTrue(self._are_free())

    def test_leave_whose_answer_is_lost_is_repeated(self) -> None:
        """The members leave, but the first answers don't arrive."""
        lost = set(self.members[1:])

        def lose_answer(engine: ModelEngine, order: GroupOrder) -> bool:
            is_lost = engine.engine in lost
            if is_lost and order.kind is GroupOrderKind.LEAVE:
                lost.discard(engine.engine)
                self.model._carry_out(engine, order)
                return True
            return False

        self._hold(lose_answer)
        self.model.run(_DETECTION_S + STALL_S + 2, self.planner)
        self.assertEqual(lost, set())
        self.assertTrue(self._are_free())

    def test_member_that_joins_again_late_does_not_count_as_out(self) -> None:
        """Late orders make the replica whole again 2 s after both left."""
        self.model.run(_DETECTION_S, self.planner)
        join = GroupOrder(
            GroupOrderKind.JOIN,
            self.head.joined.replica,
            self.epoch,
            'm3',
            self.members,
            1,
        )
        self.model.run(2, self.planner)
        for name in self.members[1:]:
            self.model._carry_out(self.model.engines[name], join)
        self.model.run(STALL_S - 2.5, self.planner)
        self.assertFalse(self._are_free())
        self.model.run(7, self.planner)
        self.assertTrue(self._are_free())

    def test_late_open_does_not_free_members_sooner(self) -> None:
        """The head is ordered to open again during the wait."""
        self.model.run(_DETECTION_S, self.planner)
        opening = GroupOrder(
            GroupOrderKind.OPEN, self.head.joined.replica, self.epoch
        )
        self.model._carry_out(self.head, opening)
        self.model.run(STALL_S - 1.5, self.planner)
        self.assertFalse(self._are_free())
        self.model.run(3, self.planner)
        self.assertTrue(self._are_free())

    def test_one_member_that_leaves_breaks_the_replica(self) -> None:
        """The other member is out of reach as well."""
        self.model.silence(self.members[2], 100)
        self.model.run(_DETECTION_S + STALL_S + 1, self.planner)
        joined = self.model.engines[self.members[1]].joined
        self.assertGreater(joined.epoch, self.epoch)

    def test_sound_replica_is_kept_when_all_return(self) -> None:
        """Head and members are out of reach for 8 s."""
        for name in self.members[1:]:
            self.model.silence(name, 8)
        self.head.silent_until_s = self.model.now_s + 8
        self.model.run(7.9, self.planner)
        self.model.heal(self.head.engine)
        self.model.run(6, self.planner)
        epochs = {each.joined.epoch for each in self.model.open_heads('m3')}
        self.assertIn(self.epoch, epochs)

    def test_head_that_returns_in_the_wait_leaves_by_its_own_word(
        self,
    ) -> None:
        """Its members are free at once, and serve with it again."""
        self.model.run(_DETECTION_S + 2, self.planner)
        self._return_head()
        self.model.run(2.5, self.planner)
        heads = self.model.open_heads('m3')
        self.assertEqual(len(heads), 2)
        self.assertNotIn(self.epoch, {each.joined.epoch for each in heads})

    def test_head_that_returns_after_the_wait_leaves(self) -> None:
        """Its replica has ended, and its engine is of use again."""
        self.model.run(_DETECTION_S + STALL_S + 2, self.planner)
        self._return_head()
        self.model.run(3, self.planner)
        joined = self.model.engines[self.head.engine].joined
        self.assertTrue(joined is None or joined.epoch > self.epoch)

    def test_next_planner_waits_for_what_the_last_one_ordered(self) -> None:
        """The lease changes 1 s after the members have left."""
        self.model.run(_DETECTION_S + 1, self.planner)
        successor = formation_planner(2)
        self.model.run(STALL_S - 2, successor)
        self.assertFalse(self._are_free())
        self.model.run(4, successor)
        self.assertTrue(self._are_free())

    def test_answer_of_a_paused_planner_is_not_dated_back(self) -> None:
        """Members leave while the planner is paused for 5 s."""
        tasks: list[OrderTask] = []
        while not any(task.engine.engine in self.members[1:] for task in tasks):
            self.model.run(0.1)
            tasks = self.planner.step(self.model.facts(), self.model.now_s)
        self.model.run(5)
        for task in tasks:
            if task.engine.engine in self.members[1:]:
                engine = self.model.engines[task.engine.engine]
                self.model._carry_out(engine, task.order)
                self.planner.record(task, OrderOutcome.DONE)
        self.model.run(STALL_S - 0.5, self.planner)
        self.assertFalse(self._are_free())
        self.model.run(2, self.planner)
        self.assertTrue(self._are_free())


class LostAnswerTest(unittest.TestCase):
    """The answer to an order that forms a replica is lost; its head is cut off.

    The order was carried out, so that the head may be open.
    """

    def _check(self, kind: GroupOrderKind) -> None:
        model = FleetModel(Random(1), service_profile((3,), (1,)))
        model.add('d0', 4)
        planner = formation_planner(1)
        heads: list[ModelEngine] = []

        def lose_answer(engine: ModelEngine, order: GroupOrder) -> bool:
            is_lost = order.kind is kind and len(order.members) == 3
            if heads or not is_lost or engine.engine != order.members[0]:
                return False
            model._carry_out(engine, order)
            heads.append(engine)
            return True

        model.holds = lose_answer
        while not model.open_heads('m3') or not heads:
            model.run(0.1, planner)
        head = model.open_heads('m3')[0]
        model.cut(head.engine, store=True, planner=True)
        model.silence(head.engine, 100)
        model.run(_DETECTION_S + STALL_S + 4, planner)
        self.assertEqual(model.violations, [])
        epochs = [each.joined.epoch for each in model.open_heads('m3')]
        self.assertEqual(len(epochs), 1)
        self.assertGreater(epochs[0], head.joined.epoch)

    def test_members_wait_for_a_head_whose_open_was_lost(self) -> None:
        self._check(GroupOrderKind.OPEN)

    def test_members_wait_for_a_head_whose_join_was_lost(self) -> None:
        self._check(GroupOrderKind.JOIN)


class ReturningMemberTest(unittest.TestCase):
    """A head stays out of reach; a member is listed again during the wait."""

    def test_member_that_returns_in_the_wait_is_not_free(self) -> None:
        """Its record was forgotten when it was found dead."""
        for seed in range(20):
            model = DaemonFleetModel(Random(seed), service_profile((3,), (1,)))
            model.add('d0', 7)
            model.daemons = [ModelDaemon() for _ in range(3)]
            model.run_daemons(12)
            head = model.open_heads('m3')[0]
            _, first, second = head.joined.members
            model.cut_engine(head.engine, 60, model.daemons)
            model.cut_engine(first, 60, model.daemons)
            model.cut_engine(second, 8, model.daemons)
            model.run_daemons(22)
            with self.subTest(seed=seed):
                self.assertEqual(model.violations[:2], [])
                joined = model.engines[second].joined
                self.assertGreater(joined.epoch, head.joined.epoch)


class LostDomainTest(unittest.TestCase):
    """All engines of a replica are dead for good."""

    def test_its_end_is_not_waited_for(self) -> None:
        """Nobody can confirm it, and nobody is bound."""
        model = DaemonFleetModel(Random(1), service_profile((3,), (1,)))
        model.add('d0', 3)
        model.add('d1', 4)
        model.daemons = [ModelDaemon() for _ in range(3)]
        model.run_daemons(12)
        for name in ('d0-0', 'd0-1', 'd0-2'):
            model.kill(name)
        model.run_daemons(3)
        self.assertEqual(len(model.planner.retiring), 1)
        model.run_daemons(UNLISTED_RETENTION_S + 3)
        self.assertEqual(model.planner.retiring, {})
        self.assertEqual(model.violations, [])


class UnknownHeadTest(unittest.TestCase):
    """All daemons start anew after the record of a head has expired.

    The head is cut off from the store and from them, and serves on.
    """

    def test_members_of_a_head_that_was_never_seen_wait(self) -> None:
        """They looked free 10 s after the daemon had begun to read."""
        for seed in range(20):
            model = DaemonFleetModel(Random(seed), service_profile((3,), (1,)))
            model.add('d0', 8)
            model.daemons = [ModelDaemon() for _ in range(3)]
            model.run_daemons(12)
            head = model.open_heads('m3')[0]
            members = head.joined.members[1:]
            model.cut_engine(head.engine, 60, model.daemons)
            for daemon in list(model.daemons):
                model.cut_daemon(daemon, store=True, peers=False)
            model.run_daemons(5)
            model.daemons = [ModelDaemon() for _ in range(3)]
            model.engines[head.engine].cut_from_store = True
            for daemon in model.daemons:
                daemon.cut_engines.add(head.engine)
            model.run_daemons(24)
            with self.subTest(seed=seed):
                self.assertEqual(model.violations[:2], [])
                joined = [model.engines[name].joined for name in members]
                epochs = {each.epoch for each in joined if each}
                self.assertNotIn(head.joined.epoch, epochs)
