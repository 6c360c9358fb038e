"""Two daemons: exchange of state, and failover of the planner."""

import asyncio
import unittest

import attrs

from script.tools.link import Link
from tests.platform import builders
from tests.platform.standin import EngineOptions, FleetStandin
from tests.platform.support import (
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)


class _DaemonsTestCase(unittest.IsolatedAsyncioTestCase):
    """Daemons, each behind its own link to the store."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=4))
        await self.fleet.async_configure(builders.configuration())
        self.links: list[Link] = []
        self.daemons: list[DaemonRun] = []
        self.callers: list[Caller] = []

    async def _async_until_known(self) -> None:
        await async_until(
            lambda: all(
                len(each.node.entry_directory.addresses('zone-a')) == 2
                for each in self.daemons
            ),
            'the daemons know each other',
        )

    async def _async_add_daemon(
        self, number: int, processor_share: float = 1.0
    ) -> None:
        link = Link(self.fleet.store_address)
        await link.async_start()
        settings = builders.settings(
            link.address,
            name=f'front-{number}',
        )
        sized = attrs.evolve(settings.daemon, processor_share=processor_share)
        daemon = DaemonRun(attrs.evolve(settings, daemon=sized), seed=number)
        await daemon.async_start()
        self.links.append(link)
        self.daemons.append(daemon)
        self.callers.append(Caller(daemon.caller_address, builders.KEY))

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons, the stand-in and the links."""
        for link in self.links:
            link.unblock()
        await async_stop_all(self.fleet, *self.daemons)
        for link in self.links:
            await link.async_close()

    def _planner_index(self) -> int:
        plans = [each.node.share_state.plans for each in self.daemons]
        return plans.index(True) if any(plans) else -1

    def _follower_index(self) -> int:
        follows = [each.node.share_state.follows for each in self.daemons]
        return follows.index(True) if any(follows) else -1

    async def _async_check_follower_calls(self) -> None:
        """Check that the follower reads nothing and knows the engines."""
        planner = self._planner_index()
        follower = 1 - planner
        await async_until(
            lambda: (
                self._follower_index() == follower
                and not self.daemons[follower].node.serves_as_hub()
            ),
            'the daemon that does not plan follows and is no hub',
        )
        await self._async_check_calls(follower)
        self.assertEqual(self._planner_index(), planner)

    async def _async_check_calls(self, number: int) -> None:
        """Check that a daemon reads nothing and knows the engines."""
        node = self.daemons[number].node
        counts = node.ports.call_counts
        before = sum(counts.values())
        await asyncio.sleep(2)
        self.assertLessEqual(sum(counts.values()) - before, 2)
        self.assertFalse(node.is_view_stale())


class PlannerRankTest(_DaemonsTestCase):
    """A daemon that plans when a daemon with more processors joins."""

    async def test_planner_of_the_smaller_machine_follows(self) -> None:
        await self._async_add_daemon(0, 0.5)
        await async_until(
            lambda: self._planner_index() == 0, 'the first daemon plans'
        )
        await self._async_add_daemon(1, 2.0)
        await self._async_until_known()
        await async_until(
            lambda: self._follower_index() == 0, 'the planner follows'
        )
        await asyncio.sleep(1)
        await self._async_check_calls(1)
        self.assertEqual(self._planner_index(), 0)


class TwoDaemonsTest(_DaemonsTestCase):
    """Two equal daemons."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the daemons."""
        await super().asyncSetUp()
        for number in range(2):
            await self._async_add_daemon(number)
        await self._async_until_known()

    async def test_every_daemon_learns_that_requests_have_begun(self) -> None:
        started = [each.node.share_state.started for each in self.daemons]
        self.assertEqual(started, [False, False])
        await self.callers[0].async_call('GET', '/get/x', 'id-1')
        await async_until(
            lambda: all(each.node.share_state.started for each in self.daemons),
            'both daemons know that requests have begun',
            3,
        )

    async def test_routes_come_from_the_other_daemon(self) -> None:
        self.links[1].block()
        await self.fleet.async_configure(builders.configuration(6))
        await async_until(
            lambda: self.daemons[1].node.routing.version == 6,
            'the routes arrived without the store',
            3,
        )

    async def test_one_daemon_reads_the_store_for_both(self) -> None:
        await async_until(
            lambda: self._planner_index() >= 0, 'one daemon is the planner'
        )
        await self._async_check_follower_calls()

    async def test_engines_come_from_the_other_daemon(self) -> None:
        await async_until(
            lambda: self._follower_index() >= 0, 'one daemon is a follower'
        )
        isolated = self._follower_index()
        self.links[isolated].block()
        await self.fleet.async_add(
            EngineOptions('p-new', 'portal'),
        )
        view = self.daemons[isolated].node.view
        await async_until(
            lambda: view.engine('p-new') is not None,
            'the new engine is known without the store',
            3,
        )

    async def test_hub_without_the_store_is_updated_by_others(self) -> None:
        await async_until(
            lambda: self._follower_index() >= 0, 'one daemon is a follower'
        )
        hub = 1 - self._follower_index()
        self.links[hub].block()
        await self.fleet.async_add(
            EngineOptions('p-new', 'portal'),
        )
        view = self.daemons[hub].node.view
        await async_until(
            lambda: view.engine('p-new') is not None,
            'the new engine is known to the hub',
            5,
        )

    async def test_planner_that_is_killed_is_replaced(self) -> None:
        await async_until(
            lambda: self._planner_index() >= 0, 'one daemon is the planner'
        )
        killed = self._planner_index()
        other = 1 - killed
        view = self.daemons[other].node.view
        await async_until(
            lambda: len(view.heads('llm', builders.MODEL)) == 2,
            'two replicas serve',
        )
        await self.daemons[killed].async_kill()
        await async_until(
            lambda: self.daemons[other].node.share_state.plans,
            'the other daemon is the planner',
        )
        self.assertEqual(len(view.heads('llm', builders.MODEL)), 2)
        await async_until(
            lambda: (
                len(
                    self.daemons[other].node.entry_directory.addresses('zone-a')
                )
                == 1
            ),
            'the killed daemon is no longer listed',
        )

    async def test_planner_without_the_store_hands_over(self) -> None:
        await async_until(
            lambda: self._planner_index() >= 0, 'one daemon is the planner'
        )
        isolated = self._planner_index()
        self.links[isolated].block()
        await async_until(
            lambda: self.daemons[1 - isolated].node.share_state.plans,
            'the other daemon is the planner',
        )
        self.assertFalse(self.daemons[isolated].node.share_state.plans)

    async def test_stopping_daemon_is_not_listed(self) -> None:
        self.daemons[0].daemon.request_stop()
        await async_until(
            lambda: (
                self.daemons[1].node.entry_directory.addresses('zone-a')
                == [self.callers[1].address]
            ),
            'only the other daemon is listed',
            2,
        )
