"""Test which daemons callers are directed to."""

import unittest
from random import Random

import attrs

from tests.support import builders
from yuccavalve.clock import ManualClock
from yuccavalve.daemon.entry_directory import MAX_ADDRESSES, EntryDirectory
from yuccavalve.fleet.activity import Activity
from yuccavalve.gateway.stopping import GatewayStop
from yuccavalve.membership import Member, Roster
from yuccavalve.peers import ShareState
from yuccavalve.routing import RoutingState


def _member(name: str, zone: str) -> Member:
    return attrs.evolve(
        builders.member(name),
        availability_zone=zone,
        caller_address=f'{name}:1',
    )


class EntryDirectoryTest(unittest.TestCase):
    """The entry directory of an informed daemon in zone a."""

    def setUp(self) -> None:
        """Create the entry directory."""
        self.clock = ManualClock(10)
        self.roster = Roster(_member('own', 'a'))
        share_state = ShareState(
            self.roster,
            Activity(),
            RoutingState(),
            self.clock,
            Random(1),
            informed=True,
        )
        self.stop = GatewayStop()
        self.entry_directory = EntryDirectory(
            self.roster,
            share_state,
            self.stop,
            self.clock,
            Random(1),
            2,
        )

    def _add_live_member(self, name: str, zone: str) -> None:
        member = _member(name, zone)
        self.roster.learn(member)
        self.roster.record_seen(member.member, self.clock.now_s())

    def test_only_daemons_of_the_callers_zone_while_it_has_any(self) -> None:
        self._add_live_member('near', 'a')
        self._add_live_member('far', 'b')
        self.assertEqual(
            self.entry_directory.addresses('a'), ['own:1', 'near:1']
        )
        self.assertEqual(self.entry_directory.addresses('b'), ['far:1'])
        self.assertEqual(len(self.entry_directory.addresses('c')), 3)

    def test_stopping_daemon_returns_only_others(self) -> None:
        self._add_live_member('near', 'a')
        self.stop.stopping = True
        self.assertEqual(self.entry_directory.addresses('a'), ['near:1'])
        self.assertFalse(self.entry_directory.is_ready())

    def test_answers_are_bounded(self) -> None:
        for number in range(100):
            self._add_live_member(f'd{number}', 'a')
        addresses = self.entry_directory.addresses('a')
        self.assertEqual(len(set(addresses)), MAX_ADDRESSES)
