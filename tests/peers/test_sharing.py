"""Exchange of updates among gateway daemons."""

import unittest
from random import Random

import attrs

from tests.support import builders
from tests.support.share_model import Daemon, ShareModel, build_share_state
from yuccavalve.clock import ManualClock
from yuccavalve.fleet.activity import EngineRun, engine_key_hash
from yuccavalve.fleet.const import (
    SHARE_MAX_AGE_S,
    SHARE_PERIOD_S,
    STALL_FIRST_S,
)
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.ports.position import Position

_KEY = 'i-1/0/1'
_KEY_HASH = engine_key_hash(_KEY)
_DAEMON_COUNT = 88
_MANY_DAEMONS = 195
_MANY_REPLICAS = 120
# What a daemon may spend on control, in the size that is designed for.
_CONTROL_BYTES_PER_S = 2048


class ManyDaemonsTest(unittest.TestCase):
    """Eighty-eight daemons in three zones, most of which follow a hub."""

    def setUp(self) -> None:
        """Exchange updates until all daemons know each other."""
        self.model = ShareModel.of(_DAEMON_COUNT)
        self.model.run(3)

    def _is_dropped_by_all(self, dead: Daemon) -> bool:
        now_s = self.model.clock.now_s()
        return all(
            dead.member not in each.share_state.roster.entries(now_s)
            for each in self.model.live()
        )

    def _min_known_daemons(self) -> int:
        now_s = self.model.clock.now_s()
        return min(
            len(each.share_state.roster.entries(now_s))
            for each in self.model.live()
        )

    def test_all_are_known_and_dead_daemons_are_dropped(self) -> None:
        self.assertEqual(self._min_known_daemons(), _DAEMON_COUNT)
        dead = self.model.daemons[-1]
        dead.dead = True
        self.model.run(3)
        self.assertTrue(self._is_dropped_by_all(dead))
        self.assertEqual(self._min_known_daemons(), _DAEMON_COUNT - 1)

    def test_dead_hub_is_replaced_and_no_other_is_dropped(self) -> None:
        follower = self.model.daemons[-1]
        hub = self.model.hub_of(follower)
        hub.dead = True
        for _ in range(12):
            self.model.run(SHARE_PERIOD_S)
            self.assertGreaterEqual(
                self._min_known_daemons(), _DAEMON_COUNT - 1
            )
        self.assertTrue(self._is_dropped_by_all(hub))
        self.assertIsNot(self.model.hub_of(follower), hub)

    def test_loads_reach_every_zone_and_are_counted_once(self) -> None:
        for daemon in self.model.daemons:
            daemon.share_state.activity.begin(EngineRun(_KEY, 0, streams=True))
        self.model.run(1)
        for daemon in self.model.daemons:
            self.assertEqual(
                daemon.share_state.activity.load(_KEY), _DAEMON_COUNT
            )

    def test_loads_are_counted_once_after_a_hub_died(self) -> None:
        for daemon in self.model.daemons:
            daemon.share_state.activity.begin(EngineRun(_KEY, 0, streams=True))
        self.model.run(1)
        self.model.hub_of(self.model.daemons[-1]).dead = True
        self.model.run(SHARE_MAX_AGE_S + 1)
        for daemon in self.model.live():
            self.assertEqual(
                daemon.share_state.activity.load(_KEY), _DAEMON_COUNT - 1
            )

    def test_cross_zone_traffic_is_bounded(self) -> None:
        for daemon in self.model.daemons:
            for number in range(4):
                run = EngineRun(f'i-{number}/0/1', 0, streams=True)
                daemon.share_state.activity.begin(run)
        self.model.run(6)
        self.model.cross_zone_bytes = 0
        self.model.run(10)
        # 88 daemons that each send 2 KB/s between zones would need 176 KB/s.
        self.assertLess(self.model.cross_zone_bytes / 10, 20000)
        self.assertLess(self.model.largest_bytes, 16384)

    def test_planner_and_routes_are_known_everywhere(self) -> None:
        planner = self.model.daemons[-1]
        planner.share_state.plans = True
        planner.share_state.started = True
        self.model.run(1)
        for daemon in self.model.daemons[:-1]:
            self.assertEqual(
                daemon.share_state.planner(),
                planner.member.member,
            )
            self.assertTrue(daemon.share_state.started)

    def test_restarted_daemon_replaces_its_earlier_process(
        self,
    ) -> None:
        earlier = self.model.daemons.pop()
        restarted = self.model.add(
            attrs.evolve(earlier.member, member='d87-again'),
        )
        self.model.run(1)
        for daemon in self.model.daemons:
            members = daemon.share_state.roster.members()
            self.assertIn(restarted.member, members)
            self.assertNotIn(earlier.member, members)


class FiveZonesTest(unittest.TestCase):
    """A hundred and ninety-five daemons in five zones, with much traffic."""

    def test_updates_stay_small_with_many_replicas_in_use(self) -> None:
        model = ShareModel.of(_MANY_DAEMONS, zones=tuple('abcde'))
        model.run(2)
        random = Random(1)
        for daemon in model.daemons:
            for number in random.sample(range(_MANY_REPLICAS), 4):
                key = f'i-{number:010x}/1760000000000/{number}'
                daemon.share_state.activity.begin(
                    EngineRun(key, 0, streams=True)
                )
        model.run(1)
        model.cross_zone_bytes = 0
        model.run(10)
        bytes_per_s = model.cross_zone_bytes / 10 / _MANY_DAEMONS
        self.assertLess(bytes_per_s, _CONTROL_BYTES_PER_S)
        self.assertLess(model.largest_bytes, 16384)
        for daemon in model.daemons:
            activity = daemon.share_state.activity
            total = sum(activity.local_loads().values())
            total += sum(activity.remote_runs.values())
            self.assertEqual(total, 4 * _MANY_DAEMONS)


class SharingTest(unittest.TestCase):
    """A hub, its follower and the hub of another zone."""

    def setUp(self) -> None:
        """Create the daemons."""
        self.clock = ManualClock(100)
        self.hub, self.follower, self.far = (
            build_share_state(builders.member(name), self.clock)
            for name in ('hub', 'follower', 'far')
        )

    def _follow(self) -> peer_pb2.ShareMessage:
        request = self.follower.build_message(follows=True)
        self.hub.apply_message(request, self.clock.now_s())
        reply = self.hub.reply(request)
        self.follower.apply_message(reply, self.clock.now_s())
        return reply

    def _exchange(self) -> None:
        request = self.hub.build_message()
        self.far.apply_message(request, self.clock.now_s())
        self.hub.apply_message(self.far.reply(request), self.clock.now_s())

    def test_loads_travel_through_hubs(self) -> None:
        self.follower.activity.begin(EngineRun(_KEY, 0, streams=True))
        self._follow()
        self._exchange()
        self.assertEqual(self.far.activity.remote_runs, {_KEY_HASH: 1})
        self.assertEqual(self.follower.activity.remote_runs, {})
        self.clock.advance(SHARE_MAX_AGE_S + 0.1)
        self.far.expire()
        self.assertEqual(self.far.activity.remote_runs, {})

    def test_older_update_does_not_replace_newer(self) -> None:
        old = self.follower.build_message(follows=True)
        self.follower.activity.begin(EngineRun(_KEY, 0, streams=True))
        self._follow()
        self.hub.apply_message(old, self.clock.now_s())
        self.hub.expire()
        self.assertEqual(self.hub.activity.remote_runs, {_KEY_HASH: 1})

    def test_new_strikes_are_urgent_once(self) -> None:
        self.follower.activity.begin(EngineRun(_KEY, 0, streams=True))
        self._follow()
        list(self.follower.activity.find_stalled(STALL_FIRST_S + 100))
        request = self.follower.build_message(follows=True)
        self.assertTrue(self.hub.apply_message(request, self.clock.now_s()))
        again = self.follower.build_message(follows=True)
        self.assertFalse(self.hub.apply_message(again, self.clock.now_s()))
        self.assertTrue(self.far.apply_message(self.hub.build_message(), 100))

    def test_own_strikes_are_left_out_of_the_reply(self) -> None:
        self.follower.activity.begin(EngineRun(_KEY, 0, streams=True))
        list(self.follower.activity.find_stalled(STALL_FIRST_S + 100))
        self._follow()
        self._follow()
        self.assertEqual(self.follower.activity.remote_strikes, {})
        self.assertEqual(self.hub.activity.remote_strikes, {_KEY_HASH: 1})

    def test_replaced_heads_travel_through_hubs(self) -> None:
        """The planner stops to tell of one whose replica has ended."""
        self.follower.activity.replaced = frozenset((_KEY,))
        self._follow()
        self._exchange()
        for share_state in (self.hub, self.far):
            self.assertTrue(share_state.activity.is_replaced(_KEY))
        self._follow()
        self.assertEqual(self.follower.activity.remote_replaced, frozenset())
        self.follower.activity.replaced = frozenset()
        self.clock.advance(0.1)
        self._follow()
        self._exchange()
        for share_state in (self.hub, self.far):
            self.assertFalse(share_state.activity.is_replaced(_KEY))

    def test_progress_elsewhere_limits_strikes(self) -> None:
        stalled = self.follower.activity
        stalled.begin(EngineRun(_KEY, 0, streams=True))
        list(stalled.find_stalled(STALL_FIRST_S + 100))
        stalled.record_unreached(_KEY, 100)
        self._follow()
        self._exchange()
        self.assertEqual(self.far.strikes(), {_KEY_HASH: 2})
        self.hub.activity.begin(EngineRun(_KEY, 0, streams=True))
        self.clock.advance(0.1)
        self._exchange()
        self.assertEqual(self.far.strikes(), {_KEY_HASH: 1})
        self._follow()
        self.assertEqual(self.follower.strikes(), {_KEY_HASH: 1})

    def test_holder_that_yields_or_is_replaced_loses_the_lease(self) -> None:
        self.follower.yielded_lease = Position(2, 7)
        self._follow()
        self._exchange()
        name = self.follower.roster.local_member.member
        for share_state in (self.hub, self.far):
            self.assertTrue(share_state.has_yielded(name, Position(2, 7)))
            for other in (Position(2, 8), Position(3, 7)):
                self.assertFalse(share_state.has_yielded(name, other))
                self.assertTrue(
                    share_state.has_yielded('follower-earlier', other)
                )

    def test_uninformed_daemons_are_known(self) -> None:
        self.hub.informed = True
        self.far.informed = True
        self._follow()
        self._exchange()
        own = self.follower.roster.local_member.member
        for share_state in (self.hub, self.far):
            self.assertEqual(share_state.uninformed(), {own})
        self.follower.informed = True
        self.clock.advance(0.1)
        self._follow()
        self._exchange()
        for share_state in (self.hub, self.far):
            self.assertEqual(share_state.uninformed(), set())
