"""Loops that keep a gateway daemon's routes and engines up to date."""

import asyncio

import attrs
from absl import logging

from yuccavalve.daemon.dependency import Dependency
from yuccavalve.daemon.gateway_node import GatewayNode
from yuccavalve.exceptions import (
    EraEndedError,
    FeedHistoryLostError,
    StoreUnavailableError,
)
from yuccavalve.fleet.const import (
    ENGINE_BATCH_DELAY_S,
    ENGINE_POLL_S,
    ENGINE_WAIT_S,
    ERA_READ_INTERVAL_S,
    FEED_RETRY_FOLLOWER_S,
    FEED_RETRY_S,
    ROUTING_WAIT_S,
    STALL_CHECK_IDLE_S,
    STALL_CHECK_S,
    STALL_MAX_DELAY_S,
    UPDATE_AGE_CHECK_MIN_S,
    UPDATE_AGE_CHECK_S,
)
from yuccavalve.ports.position import NOWHERE, Position
from yuccavalve.timing import async_wait, jittered, spread_s

__all__ = ('EngineLoop', 'RoutingLoop', 'StallLoop')


_MS = 1000


@attrs.define
class RoutingLoop:
    """Follows the routing feed unless other daemons confirm the routes."""

    node: GatewayNode
    _position: Position = NOWHERE
    _dependency: Dependency = attrs.field(
        factory=lambda: Dependency('routing_feed'),
    )

    async def async_run(self) -> None:
        """Follow the feed until cancelled."""
        while True:
            fresh_s = self.node.routes_fresh_s()
            if fresh_s >= 0:
                await _async_wait_until_stale(self.node, fresh_s)
                continue
            try:
                await self._async_round()
            except FeedHistoryLostError as error:
                logging.info('event=feed_restarted feed=routing %s', error)
                self._position = NOWHERE
                await _async_wait_for_turn(self.node, error)
            except StoreUnavailableError as error:
                self._dependency.record_error(error)
                await _async_back_off(self.node)
            else:
                self._dependency.record_answer()

    async def _async_round(self) -> None:
        feed = self.node.ports.routing_feed
        is_read = self._position != NOWHERE
        if is_read and self.node.routing.table is not None:
            wait_s = jittered(self.node.random, ROUTING_WAIT_S)
            reading = await feed.async_wait(self._position, wait_s)
        else:
            reading = await feed.async_read()
        self.node.apply_evacuations(reading)
        if reading.document:
            self._adopt(reading.document)
        elif self.node.routing.table is None:
            await asyncio.sleep(FEED_RETRY_S)
        self._position = reading.position
        self.node.routing.record_confirmed(self.node.clock.now_s())

    def _adopt(self, document: bytes) -> None:
        try:
            self.node.adopt_routes(document, 'store')
        except (KeyError, TypeError, ValueError) as error:
            self.node.ports.unreadable.record(
                'config', 'store', document, error
            )


@attrs.define
class EngineLoop:
    """Reads changes of the engine list unless other daemons relay them."""

    node: GatewayNode
    _full_read_due: bool = True
    _was_planner: bool = False
    _dependency: Dependency = attrs.field(
        factory=lambda: Dependency('engine_feed'),
    )

    async def async_run(self) -> None:
        """Read changes until cancelled.

        After an error the changes that were read last may be applied in part,
        so all engines are read first.
        """
        self._full_read_due = True
        while True:
            self._track_planner_role()
            fresh_s = self.node.view_fresh_s()
            if fresh_s >= 0:
                await _async_wait_until_stale(self.node, fresh_s)
                continue
            try:
                await self._async_round()
            except FeedHistoryLostError as error:
                logging.info('event=feed_restarted feed=engines %s', error)
                self._full_read_due = True
                await _async_wait_for_turn(self.node, error)
            except StoreUnavailableError as error:
                self._dependency.record_error(error)
                self.node.view.record_outage(self.node.clock.now_s())
                await _async_back_off(self.node)
            else:
                self._dependency.record_answer()
                await self._async_wait_for_round()

    async def _async_wait_for_round(self) -> None:
        """Wait until the next read, briefly for the planner: it long-polls."""
        interval_s = ENGINE_POLL_S
        if self.node.share_state.plans:
            interval_s = ENGINE_BATCH_DELAY_S
        await asyncio.sleep(jittered(self.node.random, interval_s))

    def _track_planner_role(self) -> None:
        """Schedule a full read when this daemon becomes the planner.

        The planner needs the times at which engines renew their records,
        and daemons don't relay these.
        """
        if self.node.share_state.plans and not self._was_planner:
            self._full_read_due = True
        self._was_planner = self.node.share_state.plans

    async def _async_round(self) -> None:
        view = self.node.view
        feed = self.node.ports.engine_feed
        began_at_s = self.node.clock.now_s()
        if self._full_read_due:
            changes = await feed.async_read()
        else:
            wait_s = ENGINE_WAIT_S if self.node.share_state.plans else 0
            changes = await feed.async_changes(view.position, wait_s)
        now_s = self.node.clock.now_s()
        # A full reading that was overtaken is repeated: it tells when engines
        # have renewed their records, which daemons don't relay.
        if view.apply(changes, now_s, began_at_s):
            self._full_read_due = False
        self.node.handle_engine_update()
        if changes.records:
            self.node.engines_changed.set()


async def _async_wait_until_stale(node: GatewayNode, fresh_s: float) -> None:
    """Wait while updates from peers are fresh and this daemon does not plan."""
    wait_s = min(UPDATE_AGE_CHECK_S, max(UPDATE_AGE_CHECK_MIN_S, fresh_s))
    await async_wait(node.planning, wait_s)


async def _async_wait_for_turn(
    node: GatewayNode, error: FeedHistoryLostError
) -> None:
    """Wait before a follower reads everything anew in a new era.

    All daemons learn of it at about the same time. Most of them get the new
    rows from their hub meanwhile, and need not read.
    """
    if isinstance(error, EraEndedError) and not node.serves_as_hub():
        daemons = node.known_daemons()
        await asyncio.sleep(spread_s(node.random, daemons, ERA_READ_INTERVAL_S))


async def _async_back_off(node: GatewayNode) -> None:
    """Wait after a failed read, longer on a follower that has routes."""
    hub = node.serves_as_hub() or node.routing.table is None
    backoff_s = FEED_RETRY_S if hub else FEED_RETRY_FOLLOWER_S
    await asyncio.sleep(jittered(node.random, backoff_s))


@attrs.define
class StallLoop:
    """Cancels runs at stalled engines if another engine can continue them.

    Other runs are kept, since their engine may only be slow.
    """

    node: GatewayNode
    _reported_strikes: dict[str, int] = attrs.field(factory=dict)

    async def async_run(self) -> None:
        """Check for stalled engines until cancelled."""
        while True:
            delay_s = await self._async_wait_for_check()
            now_s = self.node.clock.now_s()
            self._cancel_quarantined(now_s)
            if delay_s >= STALL_MAX_DELAY_S:
                continue
            for key, runs in self.node.activity.find_stalled(now_s):
                moved = [run for run in runs if run.can_retry_elsewhere()]
                logging.warning(
                    'event=engine_stalled engine=%s runs=%d moved=%d',
                    key,
                    len(runs),
                    len(moved),
                )
                for run in moved:
                    run.stalled = True
                    run.cancel()
            self._report_strikes(now_s)

    async def _async_wait_for_check(self) -> float:
        """Wait until the next check; return how much the loop was delayed."""
        node = self.node
        is_busy = node.activity.has_streams() or node.share_state.plans
        period_s = STALL_CHECK_S if is_busy else STALL_CHECK_IDLE_S
        due_s = node.clock.now_s() + period_s
        await asyncio.sleep(period_s)
        now_s = node.clock.now_s()
        delay_s = now_s - due_s
        node.gateway.metrics.record_ms('loop_delay_ms', '', delay_s * _MS)
        node.loop_delay.record(delay_s, now_s)
        return delay_s

    def _cancel_quarantined(self, now_s: float) -> None:
        """Cancel runs that may still crash their engine."""
        node = self.node
        quarantine = node.share_state.quarantine
        quarantine.expire(now_s)
        if quarantine.take_urgent_news():
            node.urgent_update.set()
        if not quarantine.held_count:
            return
        for run in tuple(node.activity.beginning(now_s)):
            if quarantine.find(run.suspects, now_s) is not None:
                run.quarantined = True
                run.cancel()

    def _report_strikes(self, now_s: float) -> None:
        """Have an update sent at once if an engine has new strikes."""
        strikes = self.node.activity.strikes(now_s)
        if any(
            strikes[key] > self._reported_strikes.get(key, 0) for key in strikes
        ):
            self.node.urgent_update.set()
        self._reported_strikes = strikes
