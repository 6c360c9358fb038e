"""Steps of the planners of several services."""

import copy
import json
import unittest
from random import Random
from unittest import mock

import attrs

from tests.platform import builders
from tests.support.queue_model import head_record
from yuccavalve.daemon.formation_duty import FormationDuty
from yuccavalve.daemon.gateway_node import build_gateway_node
from yuccavalve.fleet.activity import engine_key
from yuccavalve.formation import FormationInput, FormationPlanner
from yuccavalve.formation.const import EPOCHS_PER_TERM
from yuccavalve.membership import Lease, LeaseStep
from yuccavalve.ports.fleet import EngineChanges, Membership, MemberState
from yuccavalve_platform.daemon import build_ports


class FormationDutyTest(unittest.TestCase):
    """A planner of two services whose replicas are formed."""

    def test_failing_planner_does_not_stop_the_others(self) -> None:
        """An error for one service left all later ones without orders."""
        settings = builders.settings('127.0.0.1:1')
        node = build_gateway_node(settings, build_ports(settings), Random(1))
        document = builders.configuration()
        second = copy.deepcopy(document['services'][0])
        document['services'].append({**second, 'name': 'second'})
        node.adopt_routes(json.dumps(document).encode(), 'test')
        node.view.version = 1
        node.view.as_of_s = 0
        lease = mock.Mock(tenure_began_at_s=0)
        lease.term.return_value = 7
        duty = FormationDuty(node, lease)
        planned = []

        def plan(_: FormationPlanner, facts: FormationInput, __: float) -> list:
            planned.append(facts.service.name)
            if facts.service.name == 'llm':
                raise ValueError('one engine is odd')
            return []

        with (
            mock.patch.object(FormationPlanner, 'step', plan),
            self.assertLogs('absl') as logs,
        ):
            duty._step()
        self.assertEqual(planned, ['llm', 'second'])
        self.assertIn('planner_step_failed service=llm', logs.output[0])


class ReplacedHeadTest(unittest.TestCase):
    """A planner that has given a replica up."""

    def test_all_daemons_are_told_at_once(self) -> None:
        """A head that returned got requests until it had left."""
        settings = builders.settings('127.0.0.1:1')
        node = build_gateway_node(settings, build_ports(settings), Random(1))
        node.adopt_routes(json.dumps(builders.configuration()).encode(), 'test')
        node.view.version = 1
        node.view.as_of_s = 0
        lease = mock.Mock(tenure_began_at_s=0)
        lease.term.return_value = 7
        duty = FormationDuty(node, lease)
        head = head_record('i-1')

        def give_up(planner: FormationPlanner, *_: object) -> list:
            planner.replaced_heads = [head]
            return []

        with mock.patch.object(FormationPlanner, 'step', give_up):
            duty._step()
        self.assertTrue(node.activity.is_replaced(engine_key(head)))
        self.assertTrue(node.urgent_update.is_set())
        node.record_planning(plans=False)
        self.assertFalse(node.activity.is_replaced(engine_key(head)))

    def test_gauge_counts_replicas_only_while_this_daemon_plans(self) -> None:
        """Two replicas have been given up and not ended."""
        settings = builders.settings('127.0.0.1:1')
        node = build_gateway_node(settings, build_ports(settings), Random(1))
        duty = FormationDuty(node, mock.Mock())
        duty._planners['llm'] = mock.Mock(retiring={'r1': None, 'r2': None})
        self.assertEqual(duty._ending_replicas(), {})
        node.record_planning(plans=True)
        self.assertEqual(duty._ending_replicas(), {('llm',): 2})


class HigherEpochTest(unittest.TestCase):
    """An engine shows an epoch above the planner's term."""

    def test_term_is_raised_before_the_next_step(self) -> None:
        """Engines refused all orders of the lower term."""
        settings = builders.settings('127.0.0.1:1')
        node = build_gateway_node(settings, build_ports(settings), Random(1))
        node.adopt_routes(json.dumps(builders.configuration()).encode(), 'test')
        node.view.version = 1
        node.view.as_of_s = 0
        lease = Lease('planner', 'a')
        lease.record_applied(node.clock.now_s(), LeaseStep.ACQUIRE, 7)
        loop = mock.Mock(lease=lease, tenure_began_at_s=0)
        loop.term.side_effect = lambda: lease.term
        duty = FormationDuty(node, loop)
        epoch = 60 * EPOCHS_PER_TERM + 3
        engine = attrs.evolve(
            head_record(1),
            service='llm',
            fabric_domain='zone-a-d0',
            membership=Membership('r60000003', epoch, 0, MemberState.READY),
        )
        terms = []
        with (
            mock.patch.object(type(node.view), 'records', lambda _: [engine]),
            mock.patch.object(
                FormationPlanner,
                'step',
                lambda planner, *_: terms.append(planner._term) or [],
            ),
        ):
            duty._step()
            self.assertEqual(terms, [])
            now_s = node.clock.now_s()
            step = lease.step(now_s, 0)
            self.assertIs(step, LeaseStep.ACQUIRE)
            lease.record_applied(now_s, step, 8)
            duty._step()
        self.assertEqual(terms, [61])


class TakeoverTest(unittest.TestCase):
    """A daemon acquires the lease while its view is of an earlier time."""

    def setUp(self) -> None:
        """Build a daemon that has read the list at 5 s."""
        settings = builders.settings('127.0.0.1:1')
        self.node = build_gateway_node(
            settings, build_ports(settings), Random(1)
        )
        self.node.adopt_routes(
            json.dumps(builders.configuration()).encode(), 'test'
        )
        self.node.view.apply(EngineChanges(1, {}, is_complete=True), 5)

    def _count_steps(self, tenure_began_at_s: float) -> int:
        lease = mock.Mock(tenure_began_at_s=tenure_began_at_s)
        lease.term.return_value = 7
        duty = FormationDuty(self.node, lease)
        with mock.patch.object(
            FormationPlanner, 'step', return_value=[]
        ) as step:
            duty._step()
        return step.call_count

    def test_no_step_before_the_list_is_read(self) -> None:
        """Members of replicas that the last planner had opened were taken."""
        self.assertEqual(self._count_steps(tenure_began_at_s=6), 0)

    def test_reading_that_began_earlier_does_not_count(self) -> None:
        """The last planner may have opened a replica during the call."""
        self.node.view.apply(EngineChanges(2, {}), 7, began_at_s=5.5)
        self.assertEqual(self._count_steps(tenure_began_at_s=6), 0)

    def test_news_of_other_daemons_do_not_count(self) -> None:
        """They may be older than the lease."""
        self.node.view.apply_relayed(EngineChanges(3, {}), 6.5)
        self.assertEqual(self._count_steps(tenure_began_at_s=6), 0)

    def test_step_after_the_list_is_read(self) -> None:
        """Planning goes on."""
        self.node.view.apply(EngineChanges(2, {}), 7, began_at_s=6.5)
        self.assertEqual(self._count_steps(tenure_began_at_s=6), 1)
