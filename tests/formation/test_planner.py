"""Tests of replica formation and repair on a simulated fleet."""

import unittest
from collections import Counter
from random import Random
from typing import Any

import attrs

from tests.support.fleet_model import (
    FleetModel,
    ModelEngine,
    service_profile,
)
from tests.support.formation_builders import (
    DRAIN_S,
    STALL_S,
    formation_planner,
)
from yuccavalve.fleet.const import STALL_BUSY_S
from yuccavalve.formation import FormationPlanner, OrderTask
from yuccavalve.formation.const import (
    ENGINE_SILENCE_S,
    EPOCHS_PER_TERM,
    REFUSED_TERMS,
)
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    Membership,
    MemberState,
    OrderOutcome,
)


def _planner(term: int = 1) -> FormationPlanner:
    return formation_planner(term)


class FormationTest(unittest.TestCase):
    """Two domains of eleven engines each."""

    def setUp(self) -> None:
        """Form the first replicas before callers' requests come."""
        self.model = FleetModel(Random(1), service_profile(), started=False)
        self.model.add('d0', 11)
        self.model.add('d1', 11)
        self.planner = _planner()
        self.model.run(6, self.planner)
        self.model.started = True

    def tearDown(self) -> None:
        """Check that no invariant was violated."""
        self.assertEqual(self.model.violations, [])

    def _open(self, name: str) -> int:
        return len(self.model.open_heads(name))

    def test_first_replicas_use_both_domains(self) -> None:
        self.assertEqual((self._open('m6'), self._open('m3')), (2, 2))

    def test_dead_member_is_replaced_by_a_staged_spare(self) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        self.model.kill(head.joined.members[3])
        self.model.run(3, self.planner)
        self.assertEqual(self._open('m6'), 2)

    def test_dead_head_is_replaced_after_its_replica_broke(self) -> None:
        self.model.run(4, self.planner)
        self.model.kill(self.model.open_heads('m6')[0].engine)
        # Records lag by up to 0.4 s; joining and opening take 0.2 and 0.3 s.
        self.model.run(self.model.detection_s + STALL_S + 1.2, self.planner)
        self.assertEqual(self._open('m6'), 2)

    def test_draining_member_is_replaced_before_it_stops(self) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        leaving = self.model.engines[head.joined.members[2]]
        leaving.draining = True
        self.model.run(1.8, self.planner)
        self.assertEqual(self._open('m6'), 2)

    def test_stalled_replica_is_formed_again(self) -> None:
        head = self.model.open_heads('m6')[0]
        epoch = head.joined.epoch
        self.model.strikes = {head.engine: 2}
        self.model.run(ENGINE_SILENCE_S, self.planner)
        self.model.strikes = {}
        self.model.run(4, self.planner)
        epochs = {each.joined.epoch for each in self.model.open_heads('m6')}
        self.assertEqual(len(epochs), 2)
        self.assertNotIn(epoch, epochs)

    def test_briefly_stalled_replica_is_kept(self) -> None:
        head = self.model.open_heads('m6')[0]
        epoch = head.joined.epoch
        self.model.strikes = {head.engine: 2}
        self.model.run(ENGINE_SILENCE_S - STALL_BUSY_S - 0.2, self.planner)
        self.model.strikes = {}
        self.model.run(4, self.planner)
        epochs = {each.joined.epoch for each in self.model.open_heads('m6')}
        self.assertIn(epoch, epochs)

    def test_replica_of_an_unlisted_head_is_retired_first(self) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        self.model.depart(head.engine, 6)
        self.model.run(4, self.planner)
        self.assertEqual(self._open('m6'), 2)

    def test_replica_ends_its_requests_when_a_leaving_member_is_deaf(
        self,
    ) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        self.model.busy_until_s[head.engine] = self.model.now_s + 6
        member = head.joined.members[2]
        self.model.depart(member, 8)
        self.model.run(1.5, self.planner)
        self.model.refusing_connections = {member}
        self.model.run(9, self.planner)
        self.assertEqual(self._open('m6'), 2)

    def test_head_that_refuses_connections_may_still_work(self) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        members = set(head.joined.members) - {head.engine}
        self.model.depart(head.engine, 8)
        self.model.busy_until_s[head.engine] = self.model.now_s + 8
        self.model.run(1, self.planner)
        self.model.refusing_connections = {head.engine}
        self.model.run(5, self.planner)
        epochs = {
            self.model.engines[name].joined.epoch
            for name in members
            if self.model.engines[name].joined
        }
        self.assertEqual(epochs, {head.joined.epoch})
        self.model.run(10, self.planner)
        self.assertEqual(self._open('m6'), 2)

    def _former_members(self, epoch: int) -> set[str]:
        """Return the engines that are still in a replica."""
        return {
            engine.engine
            for engine in self.model.engines.values()
            if engine.joined is not None and engine.joined.epoch == epoch
        }

    def test_head_that_only_other_daemons_reach_is_open(self) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        self.model.cut(head.engine, store=True, planner=True)
        self.model.run(7, self.planner)
        self.assertEqual(self.model.violations, [])
        self.assertEqual(self._open('m6'), 2)

    def test_head_that_only_the_planner_does_not_reach_leaves(self) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        epoch = head.joined.epoch
        self.model.cut(head.engine, store=False, planner=True)
        self.model.run(5, self.planner)
        self.assertEqual(self._former_members(epoch), set())
        self.assertEqual(self._open('m6'), 2)

    def test_unreached_head_counts_as_open_without_other_daemons(self) -> None:
        """It does so until its replica has broken, as its members left."""
        self.model.has_other_daemons = False
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        members = set(head.joined.members) - {head.engine}
        self.model.cut(head.engine, store=True, planner=True)
        self.model.run(STALL_S, self.planner)
        joined = {self.model.engines[name].joined for name in members}
        self.assertEqual(joined, {None})
        self.model.run(4, self.planner)
        self.assertEqual(self._open('m6'), 2)
        self.model.heal(head.engine)
        self.model.run(4, self.planner)
        self.assertEqual(self._open('m6'), 2)

    def test_head_that_only_the_store_does_not_reach_ends_its_requests(
        self,
    ) -> None:
        """It was ordered to leave 1 s after its record had expired."""
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        epoch = head.joined.epoch
        self.model.busy_until_s[head.engine] = self.model.now_s + 10
        self.model.cut(head.engine, store=True, planner=False)
        self.model.run(9.8, self.planner)
        self.assertIn(head.engine, self._former_members(epoch))
        self.model.run(3, self.planner)
        self.assertEqual(self._former_members(epoch), set())

    def test_next_planner_lets_a_leaving_head_end_its_requests(self) -> None:
        """A planner that took over ordered it to leave at once."""
        for is_listed in (True, False):
            self.model.run(6, self.planner)
            head = self.model.open_heads('m6')[0]
            epoch = head.joined.epoch
            self.model.busy_until_s[head.engine] = self.model.now_s + 1.2
            if is_listed:
                head.draining = True
            else:
                self.model.depart(head.engine, DRAIN_S)
            self.model.run(0.3, self.planner)
            self.planner = _planner(2 + int(not is_listed))
            self.model.run(1.5, self.planner)
            self.assertEqual(self._former_members(epoch), set())

    def test_unlisted_head_that_is_briefly_silent_is_open(self) -> None:
        for silent_s in (0.4, 1.2, 1.4):
            self.model.run(4, self.planner)
            head = self.model.open_heads('m6')[0]
            self.model.silence(head.engine, silent_s)
            self.model.depart(head.engine, 2.6)
            self.model.run(8, self.planner)
            self.assertEqual(self.model.violations, [])

    def test_slow_member_is_replaced_by_a_spare(self) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        member = head.joined.members[3]
        self.model.strikes = {head.engine: 2}
        self.model.slow = {member}
        self.model.run(0.5, self.planner)
        self.model.strikes = {}
        self.model.run(3, self.planner)
        heads = self.model.open_heads('m6')
        self.assertEqual(len(heads), 2)
        members = {name for each in heads for name in each.joined.members}
        self.assertNotIn(member, members)

    def test_replica_with_a_slow_member_ends_its_requests(self) -> None:
        """It was left after 2 s, and its requests were broken off."""
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        self.model.busy_until_s[head.engine] = self.model.now_s + 7
        self.model.strikes = {head.engine: 2}
        self.model.slow = {head.joined.members[3]}
        self.model.run(0.5, self.planner)
        self.model.strikes = {}
        self.model.run(10, self.planner)
        self.assertEqual(self._open('m6'), 2)

    def test_replica_is_kept_if_all_engines_are_slow(self) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        epoch = head.joined.epoch
        self.model.strikes = {head.engine: 3}
        self.model.slow = set(self.model.engines)
        self.model.run(3, self.planner)
        epochs = {each.joined.epoch for each in self.model.open_heads('m6')}
        self.assertIn(epoch, epochs)

    def test_next_planner_keeps_open_replicas(self) -> None:
        epochs = {
            each.joined.epoch
            for name in ('m6', 'm3')
            for each in self.model.open_heads(name)
        }
        self.model.run(3, _planner(2))
        kept = {
            each.joined.epoch
            for name in ('m6', 'm3')
            for each in self.model.open_heads(name)
        }
        self.assertEqual(kept, epochs)

    def test_next_planner_adopts_forming_replicas(self) -> None:
        self.model.run(4, self.planner)
        head = self.model.open_heads('m6')[0]
        self.model.kill(head.joined.members[3])
        self.model.run(1.6, self.planner)
        forming = {each.members for each in self.planner.forming.values()}
        self.assertTrue(forming)
        successor = _planner(2)
        self.model.run(0.4, successor)
        self.model.run(2, successor)
        members = {each.joined.members for each in self.model.open_heads('m6')}
        self.assertTrue(forming & members)
        self.assertEqual(len(members), 2)

    def test_restarted_engine_is_not_mistaken_for_the_old_one(self) -> None:
        head = self.model.open_heads('m6')[0]
        member = head.joined.members[2]
        self.model.kill(member)
        self.model.restart(member)
        self.model.run(6, self.planner)
        self.assertEqual(self._open('m6'), 2)


class LateOrderTest(unittest.TestCase):
    """Orders without an answer that are carried out after newer ones.

    The head engine of a replica of three leaves the first order to join and the
    first order to open it unanswered, and the first to join the next one.
    """

    def setUp(self) -> None:
        """Form a replica whose first two orders are held."""
        self.model = FleetModel(Random(1), service_profile((3,), (1,)))
        self.model.add('d0', 4)
        self.planner = _planner()
        self.head = ''
        self.is_repair = False
        self.to_hold = {
            (GroupOrderKind.JOIN, False),
            (GroupOrderKind.OPEN, False),
            (GroupOrderKind.JOIN, True),
        }
        self.model.holds = self._holds
        self.model.run(12, self.planner)
        head = self.model.open_heads('m3')[0]
        self.epoch = head.joined.epoch
        self.members = head.joined.members

    def _holds(self, engine: ModelEngine, order: GroupOrder) -> bool:
        if len(order.members) > 1 and not self.head:
            self.head = order.members[0]
        key = (order.kind, self.is_repair)
        is_held = engine.engine == self.head and key in self.to_hold
        if is_held:
            self.to_hold.remove(key)
        return is_held

    def _lose_member(self, planner: FormationPlanner) -> None:
        """Kill a member; carry out the held orders once the head has left."""
        self.model.kill(self.members[2])
        self.is_repair = True
        head = self.model.engines[self.head]
        while head.joined is not None and head.joined.epoch == self.epoch:
            self.model.run(0.1, planner)
        self.model.release(GroupOrderKind.JOIN)
        self.model.run(0.3, planner)
        self.model.release(GroupOrderKind.OPEN)
        self.model.run(4, planner)
        self.assertEqual(self.model.violations, [])
        self.assertEqual(len(self.model.open_heads('m3')), 1)

    def test_late_orders_open_no_replica_again(self) -> None:
        self._lose_member(self.planner)

    def test_next_planner_fences_late_orders(self) -> None:
        successor = _planner(2)
        self.model.run(1, successor)
        self._lose_member(successor)

    def test_next_planner_opens_no_replica_of_the_last_one(self) -> None:
        model = FleetModel(Random(1), service_profile((3,), (1,)))
        model.add('d0', 4)
        model.holds = lambda _, order: order.kind is GroupOrderKind.OPEN
        planner = _planner()
        while not model.held:
            model.run(0.1, planner)
        model.run(0.5, planner)
        earlier = model.held[0][1].epoch
        model.holds = lambda *_: False
        model.run(3, _planner(2))
        opened = {each.joined.epoch for each in model.open_heads('m3')}
        self.assertEqual(len(opened), 1)
        self.assertNotIn(earlier, opened)
        self.assertEqual(model.violations, [])


class HigherEpochTest(unittest.TestCase):
    """A planner whose term is below the one that formed the replicas.

    Its engines refused all orders to join, and a model that lost its replica
    was never served again.
    """

    def setUp(self) -> None:
        """Form a replica of three of five engines in term 60."""
        profile = service_profile((3,), (1,))
        self.model = FleetModel(Random(1), profile, raises_terms=True)
        self.model.add('d0', 5)
        self.first = _planner(60)
        self.model.run(12, self.first)
        self.replica = self.model.open_heads('m3')[0].joined

    def tearDown(self) -> None:
        """Check that no invariant was violated."""
        self.assertEqual(self.model.violations, [])

    def _lose_member(self, planner: FormationPlanner) -> None:
        self.model.kill(self.replica.members[2])
        self.model.run(8, planner)

    def _assert_formed_above(self, epoch: int) -> None:
        (head,) = self.model.open_heads('m3')
        self.assertGreater(head.joined.epoch, epoch)

    def test_epochs_in_records_are_exceeded(self) -> None:
        highest = max(each.epoch_seen for each in self.model.engines.values())
        self._lose_member(_planner(45))
        self._assert_formed_above(highest)

    def test_term_that_is_given_out_again_is_exceeded(self) -> None:
        """An epoch that is used twice could name two replicas."""
        self._lose_member(_planner(60))
        self._assert_formed_above(61 * EPOCHS_PER_TERM)

    def test_epochs_that_only_refusals_show_are_exceeded(self) -> None:
        highest = 90 * EPOCHS_PER_TERM
        for engine in self.model.engines.values():
            engine.epoch_seen = highest
        self._lose_member(_planner(45))
        self._assert_formed_above(highest)

    def test_only_lower_terms_are_raised(self) -> None:
        """A raised term makes the planner forget what it was about to do."""
        facts = self.model.facts()
        self.assertEqual(_planner(45).epochs.higher_term(facts), 60)
        self.assertIsNone(self.first.epochs.higher_term(facts))
        self.assertIsNone(_planner(61).epochs.higher_term(facts))

    def test_late_orders_are_fenced_below_their_epoch(self) -> None:
        """Orders of the first planner come late after the head has left."""
        head = self.model.engines[self.replica.members[0]]
        orders = [
            GroupOrder(
                kind,
                self.replica.replica,
                self.replica.epoch,
                'm3',
                self.replica.members,
            )
            for kind in (GroupOrderKind.JOIN, GroupOrderKind.OPEN)
        ]
        self.model.held = [(head, order) for order in orders]
        successor = _planner(45)
        self.model.run(1, successor)
        self.model.kill(self.replica.members[2])
        while head.joined and head.joined.epoch == self.replica.epoch:
            self.model.run(0.1, successor)
        self.model.release(GroupOrderKind.JOIN)
        self.model.run(0.3, successor)
        self.model.release(GroupOrderKind.OPEN)
        self.model.run(4, successor)
        self._assert_formed_above(self.replica.epoch)

    def test_overtaken_order_raises_no_term(self) -> None:
        engine = next(iter(self.model.facts().engines.values()))
        self.first.start_term(61)
        self.first.epochs.record_orders(
            OrderTask(engine, _join(epoch)) for epoch in (7, 8)
        )
        task = OrderTask(engine, _join(7))
        self.first.record(task, OrderOutcome.FENCED)
        self.assertIsNone(self.first.epochs.higher_term(self.model.facts()))
        task = OrderTask(engine, _join(8))
        self.first.record(task, OrderOutcome.FENCED)
        self.assertEqual(self.first.epochs.higher_term(self.model.facts()), 68)

    def test_engine_that_refuses_all_terms_is_not_heeded(self) -> None:
        """Each raised term forgets what the planner was about to do."""
        engine = next(iter(self.model.facts().engines.values()))
        raised = 0
        for term in range(100, 150):
            self.first.start_term(term)
            task = OrderTask(engine, attrs.evolve(_join(1), term=term))
            self.first.record(task, OrderOutcome.FENCED)
            raised += (
                self.first.epochs.higher_term(self.model.facts()) is not None
            )
        self.assertEqual(raised, REFUSED_TERMS)

    def test_epoch_without_room_above_it_is_not_heeded(self) -> None:
        """Only an entry of another writer can show such an epoch."""
        facts = self.model.facts()
        (name, engine), *_ = facts.engines.items()
        odd = attrs.evolve(
            engine, membership=Membership('r1', 2**64 - 1, 0, MemberState.READY)
        )
        facts = attrs.evolve(facts, engines={**facts.engines, name: odd})
        self.assertIsNone(self.first.epochs.higher_term(facts))


def _join(epoch: int) -> GroupOrder:
    return GroupOrder(GroupOrderKind.JOIN, f'r{epoch}', epoch, 'm3', term=61)


class _CountingEngines(dict[str, EngineRecord]):
    """Engines that count how often all of them are visited."""

    visits = 0

    def values(self) -> Any:
        """Return the records."""
        self.visits += 1
        return super().values()


class GrowthTest(unittest.TestCase):
    """What one step costs when there are many domains."""

    def _visits(self, domains: int) -> int:
        """Return how often one step visits all engines, after a death."""
        profile = service_profile((16, 4))
        model = FleetModel(Random(1), profile, started=False)
        for number in range(domains):
            model.add(f'd{number:02d}', 35)
        planner = _planner()
        model.run(10, planner)
        model.started = True
        model.kill(model.open_heads('m16')[0].joined.members[1])
        model.run(2, planner)
        facts = model.facts()
        engines = _CountingEngines(facts.engines)
        planner.step(attrs.evolve(facts, engines=engines), model.now_s)
        return engines.visits

    def test_visits_of_all_engines_do_not_grow_with_the_domains(self) -> None:
        self.assertLessEqual(self._visits(25), self._visits(5) + 2)


class SpareTest(unittest.TestCase):
    """Replicas of three engines in one domain, with callers' requests."""

    def _model(self, engines: int) -> FleetModel:
        model = FleetModel(
            Random(1),
            service_profile((3,), (1,), load_s=12, warm_s=1.2),
            started=False,
        )
        model.add('d0', engines)
        self.planner = _planner()
        model.run(30, self.planner)
        model.started = True
        return model

    def _members(self, model: FleetModel, number: int) -> tuple[str, ...]:
        joined = model.open_heads('m3')[number].joined
        return () if joined is None else joined.members

    def test_warm_spare_joins_without_loading(self) -> None:
        model = self._model(7)
        model.kill(self._members(model, 0)[2])
        # The death is detected after 1 s, and records lag by up to 0.4 s.
        model.run(2.4, self.planner)
        self.assertEqual(len(model.open_heads('m3')), 2)
        self.assertEqual(model.violations, [])

    def test_survivors_of_two_replicas_form_one(self) -> None:
        model = self._model(6)
        lost = [self._members(model, number)[2] for number in range(2)]
        for name in lost:
            model.kill(name)
        model.run(2.4, self.planner)
        self.assertEqual(len(model.open_heads('m3')), 1)

    def test_survivors_are_not_bound_while_another_engine_loads(self) -> None:
        model = self._model(6)
        model.add('d0', 1)
        first, second = (self._members(model, number) for number in range(2))
        model.kill(first[2])
        model.run(2.6, self.planner)
        model.kill(second[2])
        model.run(2.4, self.planner)
        self.assertEqual(len(model.open_heads('m3')), 1)

    def test_added_engines_do_not_delay_a_repair(self) -> None:
        model = self._model(7)
        model.kill(self._members(model, 0)[2])
        for _ in range(6):
            model.add('d0', 1)
            model.run(0.4, self.planner)
        self.assertGreaterEqual(len(model.open_heads('m3')), 2)

    def test_next_planner_continues_loads(self) -> None:
        model = self._model(7)
        model.add('d0', 1)
        model.run(6, self.planner)
        orders = model.orders
        planner = _planner(2)
        model.run(3, planner)
        self.assertEqual(model.orders, orders)
        model.run(6, planner)
        self.assertTrue(model.engines['d0-7'].staged)

    def test_next_planner_uses_warm_spares(self) -> None:
        model = self._model(7)
        orders = model.orders
        planner = _planner(2)
        model.run(3, planner)
        self.assertEqual(model.orders, orders)
        model.kill(self._members(model, 0)[2])
        model.run(2.4, planner)
        self.assertEqual(len(model.open_heads('m3')), 2)


class MoveTest(unittest.TestCase):
    """Two domains of nine engines: a large and a small replica in each."""

    def setUp(self) -> None:
        """Form the replicas, and kill a member of a large one."""
        self.model = FleetModel(Random(1), service_profile(), started=False)
        self.model.add('d0', 9)
        self.model.add('d1', 9)
        self.planner = _planner()
        self.model.run(12, self.planner)
        self.model.started = True
        self.model.kill(self.model.open_heads('m6')[0].joined.members[2])

    def tearDown(self) -> None:
        """Check that no invariant was violated."""
        self.assertEqual(self.model.violations, [])

    def _open(self) -> tuple[int, int]:
        heads = self.model.open_heads
        return len(heads('m6')), len(heads('m3'))

    def test_engines_move_to_the_busier_model(self) -> None:
        self.model.running = {'m6': 16, 'm3': 8}
        self.model.run(6, self.planner)
        self.assertEqual(self._open(), (2, 1))

    def _keep_donors_busy(self, duration_s: float) -> None:
        """Run requests in all small replicas, and move engines from one."""
        self.model.running = {'m6': 16, 'm3': 8}
        until_s = self.model.now_s + duration_s
        for head in self.model.open_heads('m3'):
            self.model.busy_until_s[head.engine] = until_s

    def test_donor_ends_its_requests_before_it_leaves(self) -> None:
        self._keep_donors_busy(6)
        self.model.run(5.8, self.planner)
        self.assertEqual(self._open()[0], 1)
        self.model.run(4, self.planner)
        self.assertEqual(self._open(), (2, 1))

    def test_no_second_donor_while_the_first_closes(self) -> None:
        self._keep_donors_busy(9)
        self.model.run(8.8, self.planner)
        closing = [
            engine
            for engine in self.model.engines.values()
            if engine.state(self.model.now_s) is MemberState.CLOSING
        ]
        self.assertEqual(len(closing), 1)

    def test_donor_with_endless_requests_leaves_in_time(self) -> None:
        self._keep_donors_busy(60)
        self.model.run(20, self.planner)
        self.assertEqual(self._open(), (2, 1))
        self.assertEqual(len(self.model.violations), 1)
        self.model.violations.clear()

    def test_donor_ends_requests_that_last_as_long_as_their_routes_allow(
        self,
    ) -> None:
        """Replicas were left after 10 s, whatever the routes' time-outs."""
        self.model.longest_request_s = 30
        self._keep_donors_busy(28)
        self.model.run(27.8, self.planner)
        self.assertEqual(self._open()[0], 1)
        self.model.run(4, self.planner)
        self.assertEqual(self._open(), (2, 1))

    def test_donor_is_not_bound_after_the_longest_time_out(self) -> None:
        self.model.longest_request_s = 2
        self._keep_donors_busy(60)
        self.model.run(12, self.planner)
        self.assertEqual(self._open(), (2, 1))
        self.assertEqual(len(self.model.violations), 1)
        self.model.violations.clear()

    def test_closing_donor_leaves_before_its_head_engine_stops(self) -> None:
        """Its members were bound until the end of the close."""
        self.model.longest_request_s = 30
        self._keep_donors_busy(28)
        self.model.run(4, self.planner)
        closing = next(
            engine
            for engine in self.model.engines.values()
            if engine.state(self.model.now_s) is MemberState.CLOSING
        )
        epoch = closing.joined.epoch
        closing.draining = True
        self.model.run(DRAIN_S - 0.1, self.planner)
        joined = closing.joined
        self.assertFalse(joined is not None and joined.epoch == epoch)
        self.assertEqual(len(self.model.violations), 1)
        self.model.violations.clear()

    def test_donor_that_loses_a_member_leaves_at_once(self) -> None:
        self._keep_donors_busy(9)
        self.model.run(4, self.planner)
        closing = next(
            engine
            for engine in self.model.engines.values()
            if engine.state(self.model.now_s) is MemberState.CLOSING
        )
        epoch = closing.joined.epoch
        self.model.kill(closing.joined.members[1])
        self.model.run(3, self.planner)
        joined = closing.joined
        self.assertFalse(joined is not None and joined.epoch == epoch)

    def test_next_planner_lets_a_closing_replica_end_its_requests(self) -> None:
        self._keep_donors_busy(6)
        self.model.run(4, self.planner)
        self.model.run(6, _planner(2))
        self.assertEqual(self._open(), (2, 1))

    def test_engines_serve_while_they_load(self) -> None:
        self.model.running = {'m6': 16, 'm3': 8}
        for _ in range(30):
            self.model.run(0.2, self.planner)
            self.assertGreaterEqual(sum(self._open()), 2)

    def test_equally_busy_models_keep_their_engines(self) -> None:
        self.model.running = {'m6': 13, 'm3': 26}
        kept = {each.joined.epoch for each in self.model.open_heads('m3')}
        self.model.run(6, self.planner)
        epochs = {each.joined.epoch for each in self.model.open_heads('m3')}
        self.assertLessEqual(kept, epochs)

    def test_survivors_serve_a_busier_model_meanwhile(self) -> None:
        self.model.running = {'m6': 13, 'm3': 26}
        self.model.run(3, self.planner)
        self.assertEqual(self._open(), (1, 3))

    def test_survivors_wait_while_no_model_is_busier(self) -> None:
        self.model.running = {'m6': 5, 'm3': 1}
        self.model.run(3, self.planner)
        self.model.add('d0', 1)
        self.model.add('d1', 1)
        self.model.run(7, self.planner)
        self.assertEqual(self._open(), (2, 2))

    def test_engines_stay_while_no_model_is_short(self) -> None:
        self.model.running = {'m6': 5, 'm3': 1}
        kept = {each.joined.epoch for each in self.model.open_heads('m3')}
        self.model.run(6, self.planner)
        epochs = {each.joined.epoch for each in self.model.open_heads('m3')}
        self.assertLessEqual(kept, epochs)


class InterleavingTest(unittest.TestCase):
    """Dead engines, late orders, lost answers and concurrent planners."""

    def _simulate(self, seed: int) -> FleetModel:
        """Simulate failures of engines and takeovers of the planner.

        The lease lets only one planner act at a time. From an earlier planner
        there may still be orders that are carried out late, and orders that
        it sends after it was paused between its check of the lease and the
        sending.
        """
        random = Random(seed)
        model = FleetModel(random, service_profile(), random.choice((0, 0.3)))
        model.add('d0', 11)
        model.add('d1', random.randrange(7, 12))
        planner = _planner(1)
        model.run(5, planner)
        for term in range(2, 9):
            self._inject_failure(model, random)
            if random.random() < 0.4:
                model.pause(planner, random.uniform(0, 5))
                planner = _planner(term)
            model.run(random.uniform(0.3, 4), planner)
        return model

    def _inject_failure(self, model: FleetModel, random: Random) -> None:
        name = random.choice(sorted(model.engines))
        engine = model.engines[name]
        if not engine.alive:
            model.restart(name)
        elif random.random() < 0.3:
            engine.draining = True
        elif random.random() < 0.3:
            model.depart(name, random.uniform(1, 8))
        else:
            model.kill(name)

    def test_invariants_hold_for_many_seeds(self) -> None:
        for seed in range(150):
            with self.subTest(seed=seed):
                model = self._simulate(seed)
                self.assertEqual(model.violations[:2], [])

    def _fits_both(self, model: FleetModel) -> bool:
        """Return whether one domain has room for a replica of each model."""
        usable = Counter(
            engine.domain
            for engine in model.engines.values()
            if engine.alive and not engine.draining
        )
        return max(usable.values()) >= 9

    def test_replicas_serve_again_after_failures(self) -> None:
        simulated = 0
        for seed in range(60):
            model = self._simulate(seed)
            model.late_share = 0
            if not self._fits_both(model):
                continue
            simulated += 1
            with self.subTest(seed=seed):
                model.run(40, _planner(20))
                self.assertTrue(model.open_heads('m6'))
                self.assertTrue(model.open_heads('m3'))
        self.assertGreater(simulated, 10)
