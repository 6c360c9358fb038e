"""Test the choice of neighbors, the bounds and the news of partitions."""

import unittest
from random import Random

import attrs

from tests.support import builders
from yuccavalve.clock import ManualClock
from yuccavalve.daemon.entry_directory import EntryDirectory
from yuccavalve.fleet.activity import Activity
from yuccavalve.gateway.stopping import GatewayStop
from yuccavalve.membership import Roster
from yuccavalve.peers import ShareState
from yuccavalve.peers.cells import build_digest
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import encode_member
from yuccavalve.relay import EngineReach, NeighborChooser, RelayBounds
from yuccavalve.routing import RoutingState


class NeighborChooserTest(unittest.TestCase):
    """Three other daemons in the own zone and three in another."""

    def setUp(self) -> None:
        """Create the daemons."""
        self.clock = ManualClock(10)
        self.roster = Roster(self._member('own', 'a'))
        self.share_state = ShareState(
            self.roster,
            Activity(),
            RoutingState(),
            self.clock,
            Random(1),
            informed=True,
        )
        self.chooser = NeighborChooser(self.roster, self.share_state, Random(1))
        self.sequence = 0
        for name in ('a1', 'a2', 'a3', 'b1', 'b2', 'b3'):
            self._hear(name)

    def _member(self, name: str, zone: str, **fields: object):
        return attrs.evolve(
            builders.member(name),
            availability_zone=zone,
            caller_address=f'{name}:1',
            relay_address=f'{name}:2',
            **fields,
        )

    def _hear(
        self, name: str, *, leaving: bool = False, **fields: bool
    ) -> bool:
        self.sequence += 1
        member = self._member(name, name[0], leaving=leaving)
        entry = peer_pb2.ShareEntry(
            member=encode_member(member), sequence=self.sequence, **fields
        )
        message = peer_pb2.ShareMessage(sender=entry, follows=True)
        return self.share_state.apply_message(message, self.clock.now_s())

    def _chosen(self, *tried: str) -> set[str]:
        ids = {builders.member(name).member for name in tried}
        draws = (self.chooser.choose(ids, 10) for _ in range(60))
        return {each.name for each in draws if each is not None}

    def test_own_zone_comes_first_and_is_spread(self) -> None:
        self.assertEqual(self._chosen(), {'a1', 'a2', 'a3'})

    def test_daemons_that_can_not_serve_are_left_out(self) -> None:
        self._hear('a1', engines_unreachable=True)
        self._hear('a2', uninformed=True)
        self._hear('a3', leaving=True)
        self.assertEqual(self._chosen(), {'b1', 'b2', 'b3'})

    def test_few_daemons_of_a_zone_do_not_take_all_its_requests(self) -> None:
        self._hear('a1', engines_unreachable=True)
        self._hear('a2', engines_unreachable=True)
        self.share_state.record_reach(engines_unreachable=True)
        self.assertEqual(self._chosen(), {'a3', 'b1', 'b2', 'b3'})

    def test_failed_daemon_is_avoided_for_a_while(self) -> None:
        self.chooser.avoid(builders.member('a1').member, 9.5)
        self.assertEqual(self._chosen('a2'), {'a3'})
        self.chooser.avoid(builders.member('a1').member, 8.5)
        self.assertEqual(self._chosen('a2'), {'a1', 'a3'})

    def test_news_of_a_partition_is_urgent_once(self) -> None:
        self.assertTrue(self._hear('a1', engines_unreachable=True))
        self.assertFalse(self._hear('a1', engines_unreachable=True))
        self.assertTrue(self._hear('a1'))

    def test_digest_names_partitioned_daemons(self) -> None:
        """Daemons of other zones know a partition from a digest alone."""
        entry = peer_pb2.ShareEntry(
            member=encode_member(self._member('b1', 'b')),
            engines_unreachable=True,
        )
        digest = build_digest('hub', [(entry, 0)])
        message = peer_pb2.ShareMessage(
            sender=peer_pb2.ShareEntry(
                member=encode_member(self._member('b2', 'b')), sequence=99
            ),
            cells=[digest],
        )
        self.assertTrue(self.share_state.apply_message(message, 10))
        self.assertEqual(
            self.share_state.engines_unreachable_at(),
            {builders.member('b1').member},
        )

    def test_directory_leaves_partitioned_daemons_out(self) -> None:
        directory = EntryDirectory(
            self.roster,
            self.share_state,
            GatewayStop(),
            self.clock,
            Random(1),
            2,
        )
        self._hear('a1', engines_unreachable=True)
        self.assertNotIn('a1:1', directory.addresses('a'))
        for name in ('a2', 'a3'):
            self._hear(name, engines_unreachable=True)
        self.share_state.record_reach(engines_unreachable=True)
        self.assertEqual(
            set(directory.addresses('a')), {'b1:1', 'b2:1', 'b3:1'}
        )
        for name in ('b1', 'b2', 'b3'):
            self._hear(name, engines_unreachable=True)
        self.assertEqual(len(directory.addresses('a')), 4)


class EvidenceTest(unittest.TestCase):
    """Bounds, and evidence that is held back."""

    def test_bounds_count_requests_and_bytes(self) -> None:
        bounds = RelayBounds(max_count=2, max_bytes=10)
        self.assertTrue(bounds.enter(6))
        self.assertFalse(bounds.enter(6))
        self.assertTrue(bounds.enter(4))
        self.assertFalse(bounds.enter(0))
        bounds.leave(6)
        self.assertTrue(bounds.enter(6))

    def test_evidence_counts_once_another_connection_succeeds(self) -> None:
        recorded: list[int] = []
        reach = EngineReach(active=True)
        reach.hold(lambda: recorded.append(1), 10)
        reach.release(10.1)
        self.assertEqual(recorded, [])
        reach.record_connected(10.1)
        reach.release(10.15)
        self.assertEqual(recorded, [1])

    def test_evidence_of_a_partitioned_daemon_is_dropped(self) -> None:
        recorded: list[int] = []
        reach = EngineReach(active=True)
        reach.hold(lambda: recorded.append(1), 10)
        reach.detector.partitioned = True
        reach.release(11)
        reach.detector.partitioned = False
        reach.release(12)
        self.assertEqual(recorded, [])

    def test_activity_records_no_strikes_while_partitioned(self) -> None:
        activity = Activity()
        activity.record_unreached('i-1/0/0', 10)
        activity.record_partition(True)
        activity.record_unreached('i-2/0/0', 10.1)
        self.assertEqual(activity.strikes(10.2), {})
        activity.record_partition(False)
        self.assertFalse(activity.is_suspect('i-2/0/0', 10.2))
