"""Tests of the planner's moves."""

import unittest

import attrs

from tests.support.builders import hosts, plan_input, replica
from yuccavalve.ports import HostState
from yuccavalve.replicas import (
    Drain,
    Form,
    Release,
    ReplicaPlanner,
    ReplicaState,
)

_PLANNER = ReplicaPlanner()


class PlannerTest(unittest.TestCase):
    """Forming, draining and replacing replicas of two hosts."""

    def test_forms_in_one_domain(self) -> None:
        free = hosts('d1', 'a') | hosts('d2', 'b', 'c')
        moves = _PLANNER.plan(plan_input(free))
        self.assertEqual(moves, [Form('pool', ('b', 'c'))])

    def test_prefers_the_tightest_domain(self) -> None:
        free = hosts('d1', 'a', 'b', 'c') | hosts('d2', 'd', 'e')
        moves = _PLANNER.plan(plan_input(free))
        self.assertEqual(moves, [Form('pool', ('d', 'e'))])

    def test_two_broken_make_one_whole(self) -> None:
        present = hosts('d1', 'a', 'c')
        moves = _PLANNER.plan(
            plan_input(
                present,
                replica('p1', 'a', 'b', state=ReplicaState.BROKEN),
                replica('p2', 'c', 'd', state=ReplicaState.BROKEN),
                wanted=2,
            ),
        )
        self.assertEqual(
            moves,
            [Release('p1'), Release('p2'), Form('pool', ('a', 'c'))],
        )

    def test_spare_elsewhere_is_used_once_waiting_costs_more(self) -> None:
        free = hosts('d1', 'a') | hosts('d2', 'b')
        facts = plan_input(free)
        self.assertEqual(_PLANNER.plan(facts), [])
        waited = attrs.evolve(facts, missing_s={'pool': 2 * facts.load_s})
        self.assertEqual(len(_PLANNER.plan(waited)), 1)

    def test_no_split_in_the_plan_that_drains(self) -> None:
        present = hosts('d1', 'a', 'b', 'c') | hosts('d2', 'd')
        present['b'] = attrs.evolve(present['b'], state=HostState.LEAVING)
        facts = plan_input(present, replica('p1', 'a', 'b'))
        waited = attrs.evolve(facts, missing_s={'pool': 9000})
        self.assertEqual(_PLANNER.plan(waited), [Drain('p1')])

    def test_no_split_while_hosts_drain(self) -> None:
        free = hosts('d1', 'a', 'x', 'y') | hosts('d2', 'b')
        draining = replica('p1', 'x', 'y', state=ReplicaState.DRAINING)
        self.assertEqual(_PLANNER.plan(plan_input(free, draining)), [])

    def test_nothing_is_claimed_without_a_whole_set(self) -> None:
        self.assertEqual(_PLANNER.plan(plan_input(hosts('d1', 'a'))), [])

    def test_loads_are_bounded(self) -> None:
        free = hosts('d1', *'abcdef')
        facts = plan_input(free, wanted=3, max_loading=2)
        self.assertEqual(len(_PLANNER.plan(facts)), 2)

    def test_leaving_host_drains_its_replica_at_once(self) -> None:
        present = hosts('d1', 'a', 'b', 'c', 'd')
        present['b'] = attrs.evolve(present['b'], state=HostState.LEAVING)
        moves = _PLANNER.plan(plan_input(present, replica('p1', 'a', 'b')))
        self.assertEqual(moves, [Drain('p1'), Form('pool', ('c', 'd'))])

    def test_shrinking_drains_loading_first(self) -> None:
        present = hosts('d1', 'a', 'b', 'c', 'd')
        moves = _PLANNER.plan(
            plan_input(
                present,
                replica('p1', 'a', 'b'),
                replica('p2', 'c', 'd', state=ReplicaState.LOADING),
            ),
        )
        self.assertEqual(moves, [Drain('p2')])

    def test_split_replica_is_replaced_before_it_drains(self) -> None:
        split = attrs.evolve(
            replica('p1', 'a', 'b'),
            hosts=(
                replica('x', 'a', domain='d1').hosts[0],
                replica('x', 'b', domain='d2').hosts[0],
            ),
        )
        present = hosts('d1', 'a') | hosts('d2', 'b') | hosts('d3', 'c', 'd')
        self.assertEqual(
            _PLANNER.plan(plan_input(present, split)),
            [Form('pool', ('c', 'd'))],
        )
        loading = replica('p2', 'c', 'd', state=ReplicaState.LOADING)
        self.assertEqual(_PLANNER.plan(plan_input(present, split, loading)), [])
        serving = replica('p2', 'c', 'd', incarnation=2)
        self.assertEqual(
            _PLANNER.plan(plan_input(present, split, serving)),
            [Drain('p1')],
        )
