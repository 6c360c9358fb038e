"""Loops by which gateway daemons discover and update each other."""

import asyncio

import attrs
from absl import logging

from yuccavalve.daemon.dependency import Dependency
from yuccavalve.daemon.gateway_node import GatewayNode
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.fleet.const import ERA_WRITE_INTERVAL_S, SHARE_URGENT_DELAY_S
from yuccavalve.membership import Member, decode_members
from yuccavalve.membership.const import MEMBER_PREFIX
from yuccavalve.peers import PeerUnreachableError
from yuccavalve.peers.const import SHARE_TIMEOUT_S
from yuccavalve.peers.engine_news import decode_engine_news
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import unpack_document
from yuccavalve.ports import Transaction, Write
from yuccavalve.timing import async_wait, jittered, spread_s

__all__ = ('MemberLoop', 'ShareLoop')

_MS = 1000
# Once in this many rounds a hub also contacts a daemon that is not live.
SILENT_PROBE_ROUNDS = 4
# Intervals between scans of the member rows: the first ones after the start,
# the one while no other daemon is live or a digest names unknown daemons, and
# the one while daemons learn of each other from updates.
_FIRST_INTERVALS_S = (0.4, 1.5)
_ALONE_INTERVAL_S = 2.0
_INTERVAL_S = 60.0


@attrs.define
class ShareLoop:
    """Exchanges updates with this daemon's hub, or as a hub with others."""

    node: GatewayNode
    _dependencies: dict[str, Dependency] = attrs.field(factory=dict)
    _exchanges: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    _rounds: int = 0
    _is_urgent: bool = False
    _engines_known: peer_pb2.EnginesKnown = attrs.field(
        factory=peer_pb2.EnginesKnown,
    )

    async def async_run(self) -> None:
        """Exchange updates until cancelled."""
        while True:
            await self._async_wait_for_round()
            try:
                await self._async_round()
            except Exception:
                logging.exception('event=share_failed')

    async def _async_wait_for_round(self) -> None:
        """Wait until the next exchange is due or an update is urgent."""
        node = self.node
        period_s = jittered(node.random, node.share_period_s())
        self._is_urgent = await async_wait(node.urgent_update, period_s)
        if self._is_urgent:
            await asyncio.sleep(SHARE_URGENT_DELAY_S)
        node.urgent_update.clear()

    async def _async_round(self) -> None:
        node = self.node
        node.share_state.started = (
            node.share_state.started or node.gateway.has_received_request
        )
        self._rounds += 1
        node.hubs.planner = node.planner()
        hub = node.hubs.hub_to_follow()
        node.share_state.follows = hub != node.roster.local_member
        if node.share_state.follows:
            self._start_exchange(hub, follows=True)
        if node.serves_as_hub():
            for other in self._other_hubs():
                if self._is_exchange_due(other):
                    self._start_exchange(other, follows=False)
        node.share_state.expire()
        node.update_informed()
        await self._async_fetch_routes()
        await node.peers.async_close_idle()

    def _other_hubs(self) -> list[Member]:
        """Return the other hubs and, in some rounds, a daemon that is not live.

        Such a daemon may have been cut off and receive no updates.
        """
        node = self.node
        others = node.hubs.other_hubs()
        if self._rounds % SILENT_PROBE_ROUNDS == 0:
            silent = [
                member
                for member in node.hubs.not_live(node.clock.now_s())
                if member not in others
            ]
            others.extend(node.random.sample(silent, min(1, len(silent))))
        return others

    def _is_exchange_due(self, member: Member) -> bool:
        """Return whether to exchange updates with another hub now.

        A daemon tells its engines only in its replies, so one that is asked
        for them does not count as having exchanged updates.
        """
        if self._asks_for_engines(member) or self._is_urgent:
            return True
        node = self.node
        return node.share_state.exchanges.is_due(
            member.member, node.clock.now_s(), node.share_period_s()
        )

    def _start_exchange(self, member: Member, *, follows: bool) -> None:
        """Exchange with a daemon unless an exchange is in progress."""
        if member.member in self._exchanges:
            return
        task = asyncio.create_task(self._async_share(member, follows=follows))
        self._exchanges[member.member] = task
        task.add_done_callback(
            lambda _: self._exchanges.pop(member.member, None),
        )

    async def _async_share(self, member: Member, *, follows: bool) -> None:
        """Exchange updates; skip a daemon with which that fails."""
        sent_at_s = self.node.clock.now_s()
        try:
            await self._async_exchange(member, sent_at_s, follows=follows)
        except PeerUnreachableError as error:
            self._record_failure(member, sent_at_s, error)
        except Exception as error:
            logging.exception('event=share_failed member=%s', member.member)
            self._record_failure(member, sent_at_s, error)

    def _record_failure(
        self, member: Member, sent_at_s: float, error: Exception
    ) -> None:
        self.node.hubs.record_failure(member.member, sent_at_s)
        self.node.startup.record_failure(member.member)
        self.node.update_informed()
        self._dependency(member.name).record_error(error)

    async def _async_exchange(
        self, member: Member, sent_at_s: float, *, follows: bool
    ) -> None:
        node = self.node
        message = node.share_state.build_message(member.member, follows=follows)
        if follows or self._asks_for_engines(member):
            message.engines_known.CopyFrom(self._engines_known)
        reply = await node.peers.async_call(
            member.peer_address,
            'Share',
            message,
            SHARE_TIMEOUT_S,
        )
        node.hubs.record_answer(member.member)
        self._dependency(member.name).record_answer()
        if node.share_state.apply_message(reply, sent_at_s):
            node.urgent_update.set()
        self._apply_view(reply, sent_at_s)
        node.mark_remote_leaving()
        node.startup.record_reply(informed=not reply.sender.uninformed)
        node.update_informed()

    def _asks_for_engines(self, member: Member) -> bool:
        """Return whether to request a daemon's view of the engines.

        Only the planner is asked, or any daemon while the local view is stale.
        """
        if self.node.share_state.plans:
            return False
        plans = self.node.planner() == member.member
        return plans or self.node.is_view_stale()

    def _apply_view(
        self,
        reply: peer_pb2.ShareMessage,
        sent_at_s: float,
    ) -> None:
        """Apply the engines and confirm the routes of another daemon."""
        if reply.HasField('engines'):
            engine_update = reply.engines
            applied = self.node.apply_engine_changes(
                decode_engine_news(engine_update, self.node.ports.unreadable),
                sent_at_s - engine_update.age_ms / _MS,
            )
            if applied:
                self._engines_known = peer_pb2.EnginesKnown(
                    source=engine_update.source,
                    revision=engine_update.revision,
                )
        same_version = reply.sender.routing_version == self.node.routing.version
        if same_version and reply.HasField('routing_age_ms'):
            self.node.routing.record_confirmed(
                sent_at_s - reply.routing_age_ms / _MS,
            )

    def _dependency(self, name: str) -> Dependency:
        dependency = self._dependencies.get(name)
        if dependency is None:
            dependency = Dependency(f'daemon_{name}')
            self._dependencies[name] = dependency
        return dependency

    async def _async_fetch_routes(self) -> None:
        """Fetch a newer version of the routes from a daemon that has it."""
        version, address = self.node.share_state.newest_routing()
        if version <= self.node.routing.version:
            return
        try:
            reply = await self.node.peers.async_call(
                address,
                'Routes',
                peer_pb2.RoutesRequest(),
                SHARE_TIMEOUT_S,
            )
        except PeerUnreachableError as error:
            logging.info('event=routes_not_fetched cause=%r', str(error))
            return
        if reply.document:
            self._adopt_routes(reply.document, address)

    def _adopt_routes(self, packed: bytes, address: str) -> None:
        try:
            self.node.adopt_routes(unpack_document(packed), address)
        except (KeyError, TypeError, ValueError) as error:
            self.node.ports.unreadable.record('config', address, packed, error)


@attrs.define
class MemberLoop:
    """Registers this daemon in the table service and discovers others."""

    node: GatewayNode
    registered: bool = False
    _rewrite_at_s: float = float('inf')

    def __attrs_post_init__(self) -> None:
        """Have the row written again in a new era."""
        self.node.on_era(self._handle_era)

    async def async_run(self) -> None:
        """Register this daemon, then scan for others until cancelled."""
        first_intervals_s = list(_FIRST_INTERVALS_S)
        while True:
            try:
                await self._async_round()
            except StoreUnavailableError as error:
                logging.info('event=members_unread cause=%r', str(error))
            interval_s = (
                first_intervals_s.pop(0)
                if first_intervals_s
                else self._interval_s()
            )
            await self._async_wait_for_round(
                jittered(self.node.random, interval_s)
            )

    async def async_unregister(self) -> None:
        """Remove this daemon's row."""
        write = Write(self._key(), None)
        await self.node.ports.table.async_transact(Transaction((), (write,)))

    async def _async_round(self) -> None:
        if not self.registered:
            await self._async_write()
            self.registered = True
        await self._async_scan()

    def _handle_era(self, era: int) -> None:
        """Write the row again soon: the copy may lack it.

        Daemons learn of an era at about the same time, so each waits for a
        random time.
        """
        if not self.registered:
            return
        node = self.node
        wait_s = spread_s(
            node.random, node.known_daemons(), ERA_WRITE_INTERVAL_S
        )
        self._rewrite_at_s = node.clock.now_s() + wait_s

    async def _async_rewrite(self) -> None:
        """Write the row again if that is due."""
        node = self.node
        if node.clock.now_s() < self._rewrite_at_s:
            return
        self._rewrite_at_s = float('inf')
        if node.gateway.stop.stopping:
            return
        try:
            await self._async_write()
        except StoreUnavailableError as error:
            logging.info('event=member_unwritten cause=%r', str(error))
            self._handle_era(node.ports.eras.era)

    async def _async_write(self) -> None:
        member = attrs.asdict(self.node.roster.local_member)
        write = Write(self._key(), member)
        await self.node.ports.table.async_transact(Transaction((), (write,)))

    async def _async_scan(self) -> None:
        rows = await self.node.ports.table.async_scan(MEMBER_PREFIX)
        members = decode_members(rows, self.node.ports.unreadable)
        self.node.roster.learn_all(members)
        if not self.node.member_rows_read:
            self.node.member_rows_read = True
            self.node.urgent_update.set()
        self.node.roster.forget_except(
            (member.member for member in members),
            self.node.clock.now_s(),
        )
        self.node.hubs.forget_except(
            member.member for member in self.node.roster.members()
        )

    def _key(self) -> str:
        """Return the row's key, which later processes of this daemon reuse."""
        return MEMBER_PREFIX + self.node.roster.local_member.name

    def _interval_s(self) -> float:
        return (
            _ALONE_INTERVAL_S if self.node.live_daemons() < 2 else _INTERVAL_S
        )

    async def _async_wait_for_round(self, interval_s: float) -> None:
        """Wait, less if a digest names unknown daemons meanwhile."""
        clock = self.node.clock
        until_s = clock.now_s() + interval_s
        while clock.now_s() < until_s:
            remaining_s = until_s - clock.now_s()
            await asyncio.sleep(min(_ALONE_INTERVAL_S, remaining_s))
            await self._async_rewrite()
            if self.node.share_state.unknown_daemons:
                self.node.share_state.unknown_daemons = False
                return
